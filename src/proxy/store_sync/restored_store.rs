//! Handles a store that was restored from a backup.
//!
//! Such a store has lost the records written after the backup was made. Nodes keep what they know and write the lost records
//! again.

use super::{rewrite_own_record, startup::wait_for_routes};
use crate::{
    protocol::{
        hop::StateMessage,
        store::{KeyedRecord, parse_quarantine_key},
    },
    proxy::{
        core::ProxyCore,
        crash_detection::write_lost_quarantines,
        directory::StateSource,
        state_messages::send_along_tree,
        upstream_announcements::{RecordWrite, apply_stored_record, build_own_record},
    },
    state::{
        known_node::{NodeRecord, StoredRecord},
        request_fingerprint::RequestFingerprint,
        store_position::StorePosition,
        timestamp::Timestamp,
    },
};
use flume::Sender;
use rand::RngExt;
use std::{cell::Cell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

/// Time after the first read of a restored store in which its clients write the lost records again. Records that are still
/// missing after that count as deleted.
const REWRITE_WINDOW: Duration = Duration::from_secs(10);

/// Longest random delay before a node writes its record again. All nodes may have lost theirs at the same time.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(500);

/// What a read of a topic returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TopicRead {
    /// The records after those of earlier reads.
    Incremental,
    /// The newest record of each key.
    Full,
    /// The newest record of each key, read for the first time since the store was restored from a backup.
    FirstAfterRestore,
    /// The newest record of each key, read once clients have had time to write the lost records again.
    AfterRewrites,
}

/// How far a topic has been read, and whether it is to be read in full again after the store was restored.
#[derive(Default)]
pub(super) struct ReadProgress {
    /// Packed position up to which this node has read the topic; 0 if it has not.
    read_position: Cell<u64>,
    reread_due: Cell<Option<Timestamp>>,
}

impl ReadProgress {
    /// Packed position up to which this node has read the topic; 0 if it has not.
    pub(super) fn read_position(&self) -> u64 {
        self.read_position.get()
    }

    /// Whether the second full read after a restore is due.
    pub(super) fn is_reread_due(&self, now: Timestamp) -> bool {
        self.reread_due.get().is_some_and(|due| due <= now)
    }

    /// Records a read up to the position `next`. `is_full_read` is true if it returned the newest record of each key.
    pub(super) fn track_read(&self, next: u64, is_full_read: bool, now: Timestamp) -> TopicRead {
        let before = self.read_position.replace(next);
        if !is_full_read {
            return TopicRead::Incremental;
        }
        if StorePosition::is_of_earlier_epoch(before, next) {
            self.reread_due.set(Some(now + REWRITE_WINDOW));
            return TopicRead::FirstAfterRestore;
        }
        if self.is_reread_due(now) {
            self.reread_due.set(None);
            return TopicRead::AfterRewrites;
        }
        TopicRead::Full
    }
}

/// Sends the position up to which the configuration topic is known to the nodes of the zone, if this node reads for the zone.
/// Without it they would read the whole configuration from the restored store.
pub(super) fn send_resume_position_to_zone(core: &Rc<ProxyCore>) {
    if !core.is_zone_reader() && !core.is_substitute_reader() {
        return;
    }
    let message = StateMessage {
        evacuations: core.evacuations.describe(),
        stored_table: core.directory.borrow().stored_table(),
        sender: Some(core.settings.peer_address),
        ..StateMessage::default()
    };
    send_along_tree(core, &core.list_zone_nodes(), &message);
}

/// The requests that are in quarantine according to the records.
pub(super) fn list_quarantined(records: &[KeyedRecord]) -> BTreeSet<RequestFingerprint> {
    let kept = records.iter().filter(|record| record.value.is_some());
    kept.filter_map(|record| parse_quarantine_key(&record.key))
        .collect()
}

/// Applies the first full read of the nodes topic after the store was restored. Known records stay, and nodes whose
/// records the store has lost are asked to write them again.
pub(super) async fn apply_restored_records(
    core: &Rc<ProxyCore>,
    records: Vec<StoredRecord>,
    quarantined: &BTreeSet<RequestFingerprint>,
    next: u64,
) {
    let epoch = StorePosition::unpack(next).epoch;
    let lost_records = core
        .directory
        .borrow_mut()
        .reconcile_with_restored_store(&records);
    let own_address = core.settings.peer_address;
    let own_stored = records
        .iter()
        .find(|stored| stored.record.address == own_address);
    let own_stored = own_stored.map(|stored| stored.record.clone());
    for stored in records {
        let address = stored.record.address;
        let is_known = core.directory.borrow().nodes.contains_key(&address);
        if !is_known {
            core.apply_record(stored, StateSource::Store);
        }
    }
    core.directory.borrow_mut().advance_read_position(next);
    core.mark_node_records_read();
    write_lost_quarantines(core, quarantined);
    request_record_rewrites(core, &lost_records, epoch);
    match (build_own_record(core), own_stored) {
        (Some(known), stored) if stored.as_ref() != Some(&known) => {
            request_own_record_rewrite(core, epoch);
        }
        (None, Some(stored)) => {
            wait_for_routes(core).await;
            apply_stored_record(core, stored).await;
        }
        _ => {}
    }
}

/// Asks the nodes of this zone whose records are lost to write them again, if this node is a reader of the zone. The other
/// nodes then need not read the store to find out.
fn request_record_rewrites(core: &Rc<ProxyCore>, lost_records: &[NodeRecord], epoch: u64) {
    if !core.is_zone_reader() {
        return;
    }
    let local_zone = &core.settings.availability_zone;
    let receivers = lost_records.iter().filter(|record| {
        record.availability_zone == *local_zone && record.address != core.settings.peer_address
    });
    let receivers: Vec<SocketAddr> = receivers.map(|record| record.address).collect();
    let message = StateMessage {
        lost_in_epoch: Some(epoch),
        ..StateMessage::default()
    };
    send_along_tree(core, &receivers, &message);
}

/// Requests that the record of this node is written again, once for each epoch of the store that lacks it.
pub fn request_own_record_rewrite(core: &ProxyCore, epoch: u64) {
    if epoch > core.record_lost_in_epoch.get() {
        core.record_lost_in_epoch.set(epoch);
        core.own_record_lost.notify_one();
    }
}

/// Writes the record of this node again each time that was requested, until dropped.
pub(super) async fn rewrite_own_record_when_lost(
    core: Rc<ProxyCore>,
    record_writes: Sender<RecordWrite>,
) {
    loop {
        core.own_record_lost.notified().await;
        let pause = MAX_REWRITE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
        let _ = core.timers.after(pause).recv_async().await;
        rewrite_own_record(&core, &record_writes);
    }
}
