//! A store in memory, shared by the nodes of one process.

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

/// Key of the configuration's record.
const CONFIGURATION_KEY: &str = "configuration";
/// Start of the keys of evacuated zones.
const EVACUATION_KEY: &str = "evacuation/";
/// Their value. The key says it all.
const EVACUATION_VALUE: &[u8] = b"{}";

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// It answers.
    #[default]
    Available,
    /// It refuses every call.
    Unavailable,
    /// It does what it is asked, and no answer comes.
    LosesAnswers,
}

#[derive(Default)]
struct Contents {
    condition: StoreCondition,
    topics: HashMap<StoreTopic, Vec<KeyedRecord>>,
}

#[derive(Default)]
struct Shared {
    contents: Mutex<Contents>,
    appended: Notify,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct LocalStore(Arc<Shared>);

impl LocalStore {
    /// Stores the configuration that a mesh starts with.
    pub fn publish_initial(&self, record: &PublishedRecord) {
        // The type holds nothing that JSON can't.
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.append(StoreTopic::Configuration, CONFIGURATION_KEY, &value);
    }

    /// How calls are treated from now on.
    pub fn set_condition(&self, condition: StoreCondition) {
        self.lock().condition = condition;
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        let contents = self.0.contents.lock();
        contents.unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self) -> Result<StoreCondition, StoreError> {
        match self.lock().condition {
            StoreCondition::Unavailable => Err(StoreError::NotDone("away".to_owned())),
            condition => Ok(condition),
        }
    }

    fn append(&self, topic: StoreTopic, key: &str, value: &[u8]) {
        self.append_at(topic, key, Some(value), None);
    }

    /// Appends if the topic ends at `expected_end`, or wherever it ends.
    fn append_at(
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

    fn list_from(&self, topic: StoreTopic, from: u64) -> RecordBatch {
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

    async fn wait_for(&self, topic: StoreTopic, from: u64) {
        loop {
            let appended = self.0.appended.notified();
            if self.list_from(topic, from).next > from {
                return;
            }
            appended.await;
        }
    }
}

/// An answer that is lost after the call was done.
fn answer<T>(condition: StoreCondition, value: T) -> Result<T, StoreError> {
    match condition {
        StoreCondition::LosesAnswers => Err(StoreError::NoAnswer),
        StoreCondition::Available | StoreCondition::Unavailable => Ok(value),
    }
}

impl StateStore for LocalStore {
    async fn read_newest(&self, topic: StoreTopic) -> Result<RecordBatch, StoreError> {
        self.check()?;
        let all = self.list_from(topic, 0);
        let newest: BTreeMap<String, KeyedRecord> = all
            .records
            .into_iter()
            .map(|record| (record.key.clone(), record))
            .collect();
        let kept = newest.into_values().filter(|record| record.value.is_some());
        let mut records: Vec<KeyedRecord> = kept.collect();
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
        self.check()?;
        // Without news in time the answer holds no records.
        let _ = timeout(wait, self.wait_for(topic, from)).await;
        Ok(self.list_from(topic, from))
    }

    async fn append_node(&self, record: &NodeRecord, value: &[u8]) -> Result<(), StoreError> {
        let condition = self.check()?;
        self.append(StoreTopic::Nodes, &self.get_node_key(record), value);
        answer(condition, ())
    }

    async fn append_quarantine(
        &self,
        digest: RequestFingerprint,
        is_quarantined: bool,
    ) -> Result<(), StoreError> {
        let condition = self.check()?;
        let value = is_quarantined.then_some(QUARANTINE_VALUE);
        let end = self.append_at(
            StoreTopic::Nodes,
            &build_quarantine_key(digest),
            value,
            None,
        );
        answer(condition, end).map(|_| ())
    }

    fn get_node_key(&self, record: &NodeRecord) -> String {
        record.address.to_string()
    }

    async fn delete_node(
        &self,
        record: &NodeRecord,
        expected_end: u64,
    ) -> Result<ConditionalAppend, StoreError> {
        let condition = self.check()?;
        let key = self.get_node_key(record);
        let end = self.append_at(StoreTopic::Nodes, &key, None, Some(expected_end));
        answer(condition, end)
    }

    fn decode_evacuated_zone(
        &self,
        record: &KeyedRecord,
    ) -> Option<Result<AvailabilityZoneName, String>> {
        let zone = record.key.strip_prefix(EVACUATION_KEY)?;
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
        let condition = self.check()?;
        let topic = StoreTopic::Configuration;
        let end = self.append_at(topic, CONFIGURATION_KEY, Some(value), Some(expected_end));
        answer(condition, end)
    }

    async fn append_evacuation(
        &self,
        zone: &AvailabilityZoneName,
        evacuated: bool,
    ) -> Result<(), StoreError> {
        let condition = self.check()?;
        let key = format!("{EVACUATION_KEY}{zone}");
        let value = evacuated.then_some(EVACUATION_VALUE);
        let end = self.append_at(StoreTopic::Configuration, &key, value, None);
        answer(condition, end).map(|_| ())
    }
}
