//! Applies the topic of the nodes: their records, and requests in quarantine.

use super::{
    TopicSync,
    restored_store::{list_quarantined, take_copy},
    startup::wait_for_routes,
    write_own_again,
};
use crate::{
    protocol::store::{KeyedRecord, RecordBatch, StateStore, parse_quarantine_key},
    proxy::{
        core::ProxyCore,
        crash_detection::{apply_stored_quarantine, propagate_quarantine_to_zone},
        directory::StateSource,
        events::ProxyEvent,
        state_sharing::share_with_zone,
        upstream_announcements::apply_stored_record,
    },
    state::{
        known_node::{NodeRecord, StoredRecord},
        request_fingerprint::RequestFingerprint,
    },
};
use std::collections::HashSet;

impl<S: StateStore> TopicSync<S> {
    pub(super) async fn take_copy_of_nodes(&self, records: &RecordBatch) {
        let copy = records.records.iter();
        let copy: Vec<StoredRecord> = copy
            .filter(|record| parse_quarantine_key(&record.key).is_none())
            .filter_map(|record| self.decode_node(record, record.value.as_ref()?))
            .collect();
        let quarantined = list_quarantined(&records.records);
        take_copy(&self.core, copy, &quarantined, records.next).await;
    }

    /// Applies records of nodes; `whole` if they are the newest of all keys.
    pub(super) async fn take_nodes(&self, records: &RecordBatch, whole: bool) {
        let core = &self.core;
        let mut news = Vec::new();
        let mut own = None;
        for record in &records.records {
            if let Some(digest) = parse_quarantine_key(&record.key) {
                self.take_quarantine(digest, record, whole);
                continue;
            }
            let Some(value) = &record.value else {
                self.forget(|key| key == record.key, record.position);
                continue;
            };
            let Some(stored) = self.decode_node(record, value) else {
                continue;
            };
            if stored.record.address == core.settings.peers {
                own = Some(stored);
            } else if core.apply_record(stored.clone(), StateSource::Store) {
                news.push(stored);
            }
        }
        if whole {
            // Drops from before may be among what the store has deleted.
            let kept: HashSet<&str> = records
                .records
                .iter()
                .map(|kept| kept.key.as_str())
                .collect();
            self.forget(|key| !kept.contains(key), records.next);
        }
        core.directory.borrow_mut().note_read(records.next);
        core.mark_node_records_read();
        if whole {
            news = list_unshared(core, news, own.as_ref());
        }
        share_with_zone(core, news);
        if let Some(own) = own {
            wait_for_routes(core).await;
            apply_stored_record(core, own.record).await;
        }
    }

    fn decode_node(&self, record: &KeyedRecord, value: &[u8]) -> Option<StoredRecord> {
        match serde_json::from_slice(value) {
            Ok(node) => Some(describe_stored(record, node)),
            Err(error) => {
                self.tell_rejected(record, error.to_string());
                None
            }
        }
    }

    /// At a start all nodes read the same, so only what comes later is told to the zone.
    fn take_quarantine(&self, digest: RequestFingerprint, record: &KeyedRecord, whole: bool) {
        let news = record.value.is_some() && apply_stored_quarantine(&self.core, digest);
        if news && !whole {
            propagate_quarantine_to_zone(&self.core, digest);
        }
    }

    /// Forgets the nodes whose keys the store held up to a revision and does no longer.
    fn forget(&self, is_dropped: impl Fn(&str) -> bool, up_to: u64) {
        let core = &self.core;
        let by_key = |record: &NodeRecord| is_dropped(&self.store.get_node_key(record));
        let forgotten = core.directory.borrow_mut().remove_dropped(up_to, by_key);
        for record in forgotten {
            core.log(&ProxyEvent::NodeForgotten {
                known: record.name,
                address: record.address,
            });
        }
        let own_is_dropped = core.stored_record.borrow().as_ref().is_some_and(by_key);
        if own_is_dropped {
            // Nobody has reached this node for long, but it lives: it was cut off, and gets no work from others without a record.
            write_own_again(core, &self.orders);
        }
    }
}

/// Of what a node has read as a whole, what others may not have heard of. Those that read before stop as soon as the record
/// of a node that comes before them is there, and what followed it may have come after their last read.
fn list_unshared(
    core: &ProxyCore,
    read: Vec<StoredRecord>,
    own: Option<&StoredRecord>,
) -> Vec<StoredRecord> {
    match own {
        Some(own) if core.is_zone_reader() => {
            let later = |stored: &StoredRecord| stored.revision > own.revision;
            read.into_iter().filter(later).collect()
        }
        _ => Vec::new(),
    }
}

const fn describe_stored(record: &KeyedRecord, node: NodeRecord) -> StoredRecord {
    StoredRecord {
        revision: record.position.saturating_add(1),
        record: node,
    }
}
