//! Applies records of the configuration topic: routing tables and evacuations.

use super::{
    TopicSync,
    restored_store::{TopicRead, send_resume_position_to_zone},
};
use crate::{
    protocol::{
        hop::StoredTable,
        store::{RecordBatch, StateStore, StoreTopic},
    },
    proxy::{directory::StateSource, evacuating::apply_stored_evacuations, events::ProxyEvent},
    state::evacuations::{EvacuationChange, EvacuationRead},
};

impl<S: StateStore> TopicSync<S> {
    /// Position from which to read a topic, given what other nodes have already sent. A configuration that is known is not
    /// read again: it may have a megabyte, which takes a second on a link of 10 Mbit/s. Evacuations are in the same topic, so
    /// records are skipped only if the evacuations up to that position are known too.
    pub(super) fn get_resume_position(&self, topic: StoreTopic) -> Option<u64> {
        match topic {
            StoreTopic::Configuration => {
                let next = self.core.directory.borrow().configuration_resume_position();
                next.filter(|next| *next <= self.core.evacuations.position())
            }
            StoreTopic::Nodes => None,
        }
    }

    /// Clears the position that other nodes have sent. The store has deleted the records from there on, or was restored from a
    /// backup.
    pub(super) fn clear_resume_position(&self, topic: StoreTopic) {
        if topic == StoreTopic::Configuration {
            self.core.directory.borrow_mut().clear_stored_table();
        }
    }

    pub(super) fn apply_configuration(&self, records: &RecordBatch, read: TopicRead) {
        let core = &self.core;
        core.contact.record_store(core.timers.now());
        // Evacuations are applied before tables, so that no request is sent on new routes to a zone that was evacuated earlier.
        let changes = self.decode_evacuations(records);
        let evacuation_read = match read {
            TopicRead::Incremental => EvacuationRead::Incremental,
            TopicRead::Full | TopicRead::FirstAfterRestore => EvacuationRead::Full,
            TopicRead::AfterRewrites => EvacuationRead::AfterRewrites,
        };
        apply_stored_evacuations(core, &changes, records.next, evacuation_read);
        for record in &records.records {
            match self.store.decode_table(record) {
                Some(Ok(table)) => {
                    let version = table.version;
                    core.apply_table(table, StateSource::Store);
                    let next = record.position.saturating_add(1);
                    let mut directory = core.directory.borrow_mut();
                    directory.record_stored_table(StoredTable { version, next });
                }
                Some(Err(error)) => core.log(&ProxyEvent::ConfigurationRejected { error }),
                None => {}
            }
        }
        if read == TopicRead::FirstAfterRestore {
            send_resume_position_to_zone(core);
        }
    }

    fn decode_evacuations(&self, records: &RecordBatch) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for record in &records.records {
            match self.store.decode_evacuated_zone(record) {
                Some(Ok(zone)) => changes.push(EvacuationChange {
                    zone,
                    evacuated: record.value.is_some(),
                    position: record.position,
                }),
                Some(Err(error)) => self.log_rejected(record, error),
                None => {}
            }
        }
        changes
    }
}
