//! What following a topic does once the store has come back from a copy.

use super::{startup::wait_for_routes, write_own_again};
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

/// Time after the first read of the copy in which its clients write again what it has lost. What is missing after that is gone.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Longest pause before a node writes its record again. All nodes may have lost theirs in the same moment.
const WRITE_SPREAD: Duration = Duration::from_millis(500);

/// What a read of a topic gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TopicRead {
    /// The records after those read before.
    Continued,
    /// The newest of all keys.
    All,
    /// The same for the first time since the store came back from a copy.
    Copy,
    /// The same once its clients have written again what it had lost.
    AllWrittenAgain,
}

/// The reads of a topic over returns of the store.
#[derive(Default)]
pub(super) struct CopyReads {
    /// Place up to which this node has read the topic.
    read_up_to: Cell<u64>,
    second_due: Cell<Option<Timestamp>>,
}

impl CopyReads {
    /// Place up to which this node has read the topic; 0 if it has not.
    pub(super) fn read_up_to(&self) -> u64 {
        self.read_up_to.get()
    }

    /// Whether all records are to be read again now.
    pub(super) fn is_second_due(&self, now: Timestamp) -> bool {
        self.second_due.get().is_some_and(|due| due <= now)
    }

    /// Records a read up to the place `next`; `whole` if it was of the newest records of all keys.
    pub(super) fn note_read(&self, next: u64, whole: bool, now: Timestamp) -> TopicRead {
        let before = self.read_up_to.replace(next);
        if !whole {
            return TopicRead::Continued;
        }
        if StorePosition::is_of_earlier_epoch(before, next) {
            self.second_due.set(Some(now + REWRITE_TIME));
            return TopicRead::Copy;
        }
        if self.is_second_due(now) {
            self.second_due.set(None);
            return TopicRead::AllWrittenAgain;
        }
        TopicRead::All
    }
}

/// Tells the nodes of the zone where the topic of the configuration goes on, if this node reads for it. They would read the whole
/// configuration otherwise.
pub(super) fn tell_zone_of_copy(core: &Rc<ProxyCore>) {
    if !core.is_zone_reader() && !core.is_substitute_reader() {
        return;
    }
    let message = StateMessage {
        evacuations: core.evacuations.describe(),
        stored_table: core.directory.borrow().stored_table(),
        sender: Some(core.settings.peers),
        ..StateMessage::default()
    };
    send_along_tree(core, &core.list_zone_nodes(), &message);
}

/// Requests that records of nodes hold in quarantine.
pub(super) fn list_quarantined(records: &[KeyedRecord]) -> BTreeSet<RequestFingerprint> {
    let kept = records.iter().filter(|record| record.value.is_some());
    kept.filter_map(|record| parse_quarantine_key(&record.key))
        .collect()
}

/// Applies the first read of the records of nodes after the store came back. Known records stay; their nodes are asked to write again
/// what the store has lost.
pub(super) async fn take_copy(
    core: &Rc<ProxyCore>,
    copy: Vec<StoredRecord>,
    quarantined: &BTreeSet<RequestFingerprint>,
    next: u64,
) {
    let era = StorePosition::unpack(next).epoch;
    let lost = core.directory.borrow_mut().compare_with_copy(&copy);
    let own = core.settings.peers;
    let own_stored = copy.iter().find(|stored| stored.record.address == own);
    let own_stored = own_stored.map(|stored| stored.record.clone());
    for stored in copy {
        let address = stored.record.address;
        let is_known = core.directory.borrow().nodes.contains_key(&address);
        if !is_known {
            core.apply_record(stored, StateSource::Store);
        }
    }
    core.directory.borrow_mut().note_read(next);
    core.mark_node_records_read();
    write_lost_quarantines(core, quarantined);
    ask_to_write_again(core, &lost, era);
    match (build_own_record(core), own_stored) {
        (Some(known), stored) if stored.as_ref() != Some(&known) => {
            request_own_record_rewrite(core, era);
        }
        (None, Some(stored)) => {
            wait_for_routes(core).await;
            apply_stored_record(core, stored).await;
        }
        _ => {}
    }
}

/// The readers of a zone ask its nodes; the others of the zone need not read the store for it.
fn ask_to_write_again(core: &Rc<ProxyCore>, lost: &[NodeRecord], era: u64) {
    if !core.is_zone_reader() {
        return;
    }
    let own_zone = &core.settings.availability_zone;
    let asked = lost.iter().filter(|record| {
        record.availability_zone == *own_zone && record.address != core.settings.peers
    });
    let asked: Vec<SocketAddr> = asked.map(|record| record.address).collect();
    let message = StateMessage {
        lost_in_epoch: Some(era),
        ..StateMessage::default()
    };
    send_along_tree(core, &asked, &message);
}

/// Has the record of this node written again, once for each era in which the store has lost it.
pub fn request_own_record_rewrite(core: &ProxyCore, era: u64) {
    if era > core.record_lost_in_epoch.get() {
        core.record_lost_in_epoch.set(era);
        core.own_record_lost.notify_one();
    }
}

/// Writes the record of this node again whenever the store has lost it, until dropped.
pub(super) async fn write_own_when_lost(core: Rc<ProxyCore>, orders: Sender<RecordWrite>) {
    loop {
        core.own_record_lost.notified().await;
        let pause = WRITE_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        let _ = core.timers.after(pause).recv_async().await;
        write_own_again(&core, &orders);
    }
}
