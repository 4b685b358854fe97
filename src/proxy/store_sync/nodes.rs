//! Applies records of the nodes topic: records of nodes, and requests in quarantine.

use super::{
    TopicSync,
    restored_store::{apply_restored_records, list_quarantined},
    rewrite_own_record,
    startup::wait_for_routes,
};
use crate::{
    protocol::store::{KeyedRecord, RecordBatch, StateStore, parse_quarantine_key},
    proxy::{
        core::ProxyCore,
        crash_detection::{
            apply_stored_quarantine, propagate_quarantine_to_zone, send_quarantines,
        },
        directory::StateSource,
        events::ProxyEvent,
        state_sharing::{send_missed_records, share_with_zone},
        upstream_announcements::apply_stored_record,
    },
    state::{
        known_node::{NodeRecord, NodeRecordValue, StoredRecord},
        request_fingerprint::RequestFingerprint,
    },
};
use std::{collections::HashSet, net::SocketAddr, ops::Range};

impl<S: StateStore> TopicSync<S> {
    /// Applies the first full read after the store was restored from a backup.
    pub(super) async fn apply_restored_nodes(&self, records: &RecordBatch) {
        let node_records = records.records.iter();
        let node_records: Vec<StoredRecord> = node_records
            .filter(|record| parse_quarantine_key(&record.key).is_none())
            .filter_map(|record| {
                let value = self.decode_node(record, record.value.as_ref()?)?;
                Some(build_stored_record(record, value.record))
            })
            .collect();
        let quarantined = list_quarantined(&records.records);
        apply_restored_records(&self.core, node_records, &quarantined, records.next).await;
    }

    /// Applies records of nodes. After a full read, which gave the newest record of each key, known nodes that the store no
    /// longer holds are removed.
    pub(super) async fn apply_nodes(&self, records: &RecordBatch, is_full_read: bool) {
        let core = &self.core;
        let mut new_records = Vec::new();
        let mut late_readers = Vec::new();
        let mut own_record = None;
        for record in &records.records {
            if let Some(fingerprint) = parse_quarantine_key(&record.key) {
                self.apply_quarantine(fingerprint, record, is_full_read);
                continue;
            }
            let Some(value) = &record.value else {
                self.remove_nodes(|key| key == record.key, record.position);
                continue;
            };
            let Some(value) = self.decode_node(record, value) else {
                continue;
            };
            let stored = build_stored_record(record, value.record);
            if stored.record.address == core.settings.peer_address {
                core.own_record_revision.set(stored.revision);
                own_record = Some(stored);
                continue;
            }
            late_readers.extend(find_late_reader(core, &stored, value.read_revision));
            if core.apply_record(stored.clone(), StateSource::Store) {
                new_records.push(stored);
            }
        }
        if is_full_read {
            // The store may already have deleted the records that mark keys as dropped.
            let kept: HashSet<&str> = records
                .records
                .iter()
                .map(|kept| kept.key.as_str())
                .collect();
            self.remove_nodes(|key| !kept.contains(key), records.next);
        }
        core.directory
            .borrow_mut()
            .advance_read_position(records.next);
        let is_own_stored = own_record.is_some();
        core.quotas.record_first_read(is_own_stored);
        core.mark_node_records_read();
        if core.is_zone_reader() {
            for late_reader in late_readers {
                let missed = late_reader.list_missed(core, &new_records);
                send_missed_records(core, late_reader.address, missed);
                send_quarantines(core, late_reader.address);
            }
        }
        if is_full_read {
            new_records = find_records_to_share(core, new_records, own_record.as_ref());
        }
        share_with_zone(core, new_records);
        if let Some(own_record) = own_record {
            wait_for_routes(core).await;
            apply_stored_record(core, own_record.record).await;
        }
    }

    fn decode_node(&self, record: &KeyedRecord, value: &[u8]) -> Option<NodeRecordValue> {
        match serde_json::from_slice(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.log_rejected(record, error.to_string());
                None
            }
        }
    }

    /// Applies a quarantine and forwards it to the zone if it is new. A full read is made by each node at its start, so its
    /// records are not forwarded.
    fn apply_quarantine(
        &self,
        fingerprint: RequestFingerprint,
        record: &KeyedRecord,
        is_full_read: bool,
    ) {
        let is_new = record.value.is_some() && apply_stored_quarantine(&self.core, fingerprint);
        if is_new && !is_full_read {
            propagate_quarantine_to_zone(&self.core, fingerprint);
        }
    }

    /// Removes the known nodes with a revision of at most `up_to` whose keys the store no longer holds.
    fn remove_nodes(&self, is_dropped: impl Fn(&str) -> bool, up_to: u64) {
        let core = &self.core;
        let by_key = |record: &NodeRecord| is_dropped(&self.store.get_node_key(record));
        let removed = core.directory.borrow_mut().remove_dropped(up_to, by_key);
        for record in removed {
            core.log(&ProxyEvent::NodeForgotten {
                known: record.name,
                address: record.address,
            });
        }
        let own_is_dropped = core.stored_record.borrow().as_ref().is_some_and(by_key);
        if own_is_dropped {
            // Other nodes dropped the record because this node was unreachable for a long time. Without a record it gets no
            // requests from them.
            rewrite_own_record(core, &self.record_writes);
        }
    }
}

/// A node that had read the records before its own was stored.
struct LateReader {
    address: SocketAddr,
    /// Revisions of the records that it may lack.
    missed: Range<u64>,
}

impl LateReader {
    /// The known records that the node may lack, except those that are sent to the whole zone now.
    fn list_missed(&self, core: &ProxyCore, new_records: &[StoredRecord]) -> Vec<StoredRecord> {
        let is_new = |address: SocketAddr| {
            new_records
                .iter()
                .any(|new_record| new_record.record.address == address)
        };
        let mut known = core.directory.borrow().list_records();
        let own = known
            .iter_mut()
            .find(|stored| stored.record.address == core.settings.peer_address);
        if let Some(own) = own {
            own.revision = core.own_record_revision.get();
        }
        known.retain(|stored| {
            let address = stored.record.address;
            self.missed.contains(&stored.revision) && address != self.address && !is_new(address)
        });
        known
    }
}

/// Whether a node of the zone may lack records: those after the revision up to which it had read, and before its own became known here.
fn find_late_reader(
    core: &ProxyCore,
    stored: &StoredRecord,
    read_revision: Option<u64>,
) -> Option<LateReader> {
    let read_revision = read_revision?;
    let address = stored.record.address;
    let directory = core.directory.borrow();
    let known = directory.nodes.get(&address);
    let known_since = known.map_or(stored.revision, |known| known.revision);
    let missed = read_revision + 1..known_since;
    let is_in_zone = stored.record.availability_zone == core.settings.availability_zone;
    (is_in_zone && !missed.is_empty()).then_some(LateReader { address, missed })
}

/// The records of a full read that other nodes of the zone may not have. A reader stops reading once the record of a node that
/// ranks before it is known. So if this node is a reader, earlier readers may not have seen the records that
/// were stored after this node's own.
fn find_records_to_share(
    core: &ProxyCore,
    read: Vec<StoredRecord>,
    own_record: Option<&StoredRecord>,
) -> Vec<StoredRecord> {
    match own_record {
        Some(own_record) if core.is_zone_reader() => {
            let is_later = |stored: &StoredRecord| stored.revision > own_record.revision;
            read.into_iter().filter(is_later).collect()
        }
        _ => Vec::new(),
    }
}

const fn build_stored_record(record: &KeyedRecord, node: NodeRecord) -> StoredRecord {
    StoredRecord {
        revision: record.position.saturating_add(1),
        record: node,
    }
}
