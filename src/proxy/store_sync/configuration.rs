//! Applies the topic of the configuration: tables and evacuations.

use super::{
    TopicSync,
    restored_store::{TopicRead, tell_zone_of_copy},
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
    /// Where the store goes on after what other nodes told. A configuration is not read again: it may be a megabyte, which
    /// takes a link of 10 Mbit/s a second. Evacuations stand in the same topic: without them nothing is skipped.
    pub(super) fn skip_known(&self, topic: StoreTopic) -> Option<u64> {
        match topic {
            StoreTopic::Configuration => {
                let next = self.core.directory.borrow().configuration_resume_offset();
                next.filter(|next| *next <= self.core.evacuations.position())
            }
            StoreTopic::Nodes => None,
        }
    }

    /// Forgets where the store goes on after what other nodes told: it has deleted the records from there on.
    pub(super) fn forget_place(&self, topic: StoreTopic) {
        if topic == StoreTopic::Configuration {
            self.core.directory.borrow_mut().clear_stored_table();
        }
    }

    pub(super) fn take_configuration(&self, records: &RecordBatch, read: TopicRead) {
        let core = &self.core;
        // First, so that no request goes by the new routes to a zone that was evacuated before them.
        let changes = self.find_evacuations(records);
        let evacuation_read = match read {
            TopicRead::Continued => EvacuationRead::Continued,
            TopicRead::All | TopicRead::Copy => EvacuationRead::All,
            TopicRead::AllWrittenAgain => EvacuationRead::AllWrittenAgain,
        };
        apply_stored_evacuations(core, &changes, records.next, evacuation_read);
        for record in &records.records {
            match self.store.decode_table(record) {
                Some(Ok(table)) => {
                    let version = table.version;
                    core.apply_table(table, StateSource::Store);
                    let next = record.position.saturating_add(1);
                    let mut directory = core.directory.borrow_mut();
                    directory.note_stored_table(StoredTable { version, next });
                }
                Some(Err(error)) => core.log(&ProxyEvent::ConfigurationRejected { error }),
                None => {}
            }
        }
        if read == TopicRead::Copy {
            tell_zone_of_copy(core);
        }
    }

    fn find_evacuations(&self, records: &RecordBatch) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for record in &records.records {
            match self.store.decode_evacuated_zone(record) {
                Some(Ok(zone)) => changes.push(EvacuationChange {
                    zone,
                    evacuated: record.value.is_some(),
                    position: record.position,
                }),
                Some(Err(error)) => self.tell_rejected(record, error),
                None => {}
            }
        }
        changes
    }
}
