//! An in-memory store that the nodes of one process share.

use crate::{
    protocol::store::{
        ConditionalAppend, KeyedRecord, PublicationStore, QUARANTINE_VALUE, RecordBatch,
        StateStore, StoreError, StoreTopic, build_quarantine_key,
    },
    state::{
        known_node::NodeRecord, names::AvailabilityZoneName, published::PublishedRecord,
        request_fingerprint::RequestFingerprint, routing_table::RoutingTable,
    },
};
use bytes::Bytes;
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// Key of the records that hold configurations.
const CONFIGURATION_KEY: &str = "configuration";
/// Prefix of the keys of evacuated availability zones.
const EVACUATION_KEY_PREFIX: &str = "evacuation/";
/// Value of the records of evacuated zones: an empty JSON object, because the key names the zone.
const EVACUATION_VALUE: &[u8] = b"{}";

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// Calls succeed.
    #[default]
    Available,
    /// Every call fails and changes nothing.
    Unavailable,
    /// Writes are applied, but their answers are lost.
    LosesAnswers,
}

#[derive(Default)]
struct StoreContents {
    condition: StoreCondition,
    topics: HashMap<StoreTopic, Vec<KeyedRecord>>,
}

#[derive(Default)]
struct SharedStore {
    contents: Mutex<StoreContents>,
    appended: Notify,
}

/// An in-memory store. Clones share the same records.
#[derive(Clone, Default)]
pub struct LocalStore(Arc<SharedStore>);

impl LocalStore {
    /// Stores the first configuration of a mesh.
    pub fn publish_initial(&self, record: &PublishedRecord) {
        // Every value of this type can be written as JSON.
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.append(StoreTopic::Configuration, CONFIGURATION_KEY, &value);
    }

    /// Sets how the store responds to later calls.
    pub fn set_condition(&self, condition: StoreCondition) {
        self.lock().condition = condition;
    }

    fn lock(&self) -> MutexGuard<'_, StoreContents> {
        let contents = self.0.contents.lock();
        contents.unwrap_or_else(PoisonError::into_inner)
    }

    fn check_available(&self) -> Result<StoreCondition, StoreError> {
        match self.lock().condition {
            StoreCondition::Unavailable => Err(StoreError::NotDone("away".to_owned())),
            condition => Ok(condition),
        }
    }

    fn append(&self, topic: StoreTopic, key: &str, value: &[u8]) {
        self.append_record(topic, key, Some(value), None);
    }

    /// Appends a record. If `expected_end` is given, appends only if the topic ends at that position.
    fn append_record(
        &self,
        topic: StoreTopic,
        key: &str,
        value: Option<&[u8]>,
        expected_end: Option<u64>,
    ) -> ConditionalAppend {
        let mut contents = self.lock();
        let records = contents.topics.entry(topic).or_default();
        let end = records.len() as u64;
        if expected_end.is_some_and(|expected| expected != end) {
            return ConditionalAppend::Conflict;
        }
        records.push(KeyedRecord {
            key: key.to_owned(),
            value: value.map(Bytes::copy_from_slice),
            position: end,
        });
        drop(contents);
        self.0.appended.notify_waiters();
        ConditionalAppend::Stored
    }

    fn read_records(&self, topic: StoreTopic, from: u64) -> RecordBatch {
        let contents = self.lock();
        let records = contents.topics.get(&topic).map(Vec::as_slice);
        let records = records.unwrap_or_default();
        RecordBatch {
            records: records
                .iter()
                .filter(|record| record.position >= from)
                .cloned()
                .collect(),
            next: records.len() as u64,
        }
    }

    async fn wait_for_append(&self, topic: StoreTopic, from: u64) {
        loop {
            let appended = self.0.appended.notified();
            if self.read_records(topic, from).next > from {
                return;
            }
            appended.await;
        }
    }
}

/// Returns the answer to a write that was applied, or an error if answers are lost.
fn answer_call<T>(condition: StoreCondition, value: T) -> Result<T, StoreError> {
    match condition {
        StoreCondition::LosesAnswers => Err(StoreError::NoAnswer),
        StoreCondition::Available | StoreCondition::Unavailable => Ok(value),
    }
}

impl StateStore for LocalStore {
    async fn read_newest(&self, topic: StoreTopic) -> Result<RecordBatch, StoreError> {
        self.check_available()?;
        let all = self.read_records(topic, 0);
        let newest: BTreeMap<String, KeyedRecord> = all
            .records
            .into_iter()
            .map(|record| (record.key.clone(), record))
            .collect();
        let present = newest.into_values().filter(|record| record.value.is_some());
        let mut records: Vec<KeyedRecord> = present.collect();
        records.sort_by_key(|record| record.position);
        Ok(RecordBatch {
            records,
            next: all.next,
        })
    }

    async fn read_from(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: Duration,
    ) -> Result<RecordBatch, StoreError> {
        self.check_available()?;
        // If no record is appended in time, the answer holds none.
        let _ = timeout(wait, self.wait_for_append(topic, from)).await;
        Ok(self.read_records(topic, from))
    }

    async fn append_node(&self, record: &NodeRecord, value: &[u8]) -> Result<(), StoreError> {
        let condition = self.check_available()?;
        self.append(StoreTopic::Nodes, &self.get_node_key(record), value);
        answer_call(condition, ())
    }

    async fn append_quarantine(
        &self,
        fingerprint: RequestFingerprint,
        is_quarantined: bool,
    ) -> Result<(), StoreError> {
        let condition = self.check_available()?;
        let value = is_quarantined.then_some(QUARANTINE_VALUE);
        let end = self.append_record(
            StoreTopic::Nodes,
            &build_quarantine_key(fingerprint),
            value,
            None,
        );
        answer_call(condition, end).map(|_| ())
    }

    fn get_node_key(&self, record: &NodeRecord) -> String {
        record.address.to_string()
    }

    async fn delete_node(
        &self,
        record: &NodeRecord,
        expected_end: u64,
    ) -> Result<ConditionalAppend, StoreError> {
        let condition = self.check_available()?;
        let key = self.get_node_key(record);
        let end = self.append_record(StoreTopic::Nodes, &key, None, Some(expected_end));
        answer_call(condition, end)
    }

    fn decode_evacuated_zone(
        &self,
        record: &KeyedRecord,
    ) -> Option<Result<AvailabilityZoneName, String>> {
        let zone = record.key.strip_prefix(EVACUATION_KEY_PREFIX)?;
        Some(Ok(zone.into()))
    }

    fn decode_table(&self, record: &KeyedRecord) -> Option<Result<RoutingTable, String>> {
        if record.key != CONFIGURATION_KEY {
            return None;
        }
        let value = record.value.as_ref()?;
        let published = serde_json::from_slice::<PublishedRecord>(value);
        Some(
            published
                .map(|published| published.configuration.build_table(published.entry.version))
                .map_err(|error| error.to_string()),
        )
    }
}

impl PublicationStore for LocalStore {
    async fn append_configuration(
        &self,
        value: &[u8],
        expected_end: u64,
    ) -> Result<ConditionalAppend, StoreError> {
        let condition = self.check_available()?;
        let topic = StoreTopic::Configuration;
        let end = self.append_record(topic, CONFIGURATION_KEY, Some(value), Some(expected_end));
        answer_call(condition, end)
    }

    async fn append_evacuation(
        &self,
        zone: &AvailabilityZoneName,
        evacuated: bool,
    ) -> Result<(), StoreError> {
        let condition = self.check_available()?;
        let key = format!("{EVACUATION_KEY_PREFIX}{zone}");
        let value = evacuated.then_some(EVACUATION_VALUE);
        let end = self.append_record(StoreTopic::Configuration, &key, value, None);
        answer_call(condition, end).map(|_| ())
    }
}
