//! Interface to the store, which keeps the configuration and a record of each node across restarts of the nodes.
//!
//! The store has an append-only log per topic and keeps the newest record of each key for good. It may be unreachable
//! or slow, or execute an append and lose the answer to it.

use crate::state::{
    known_node::NodeRecord, names::AvailabilityZoneName, request_fingerprint::RequestFingerprint,
    routing_table::RoutingTable,
};
use bytes::Bytes;
use std::{future::Future, time::Duration};
use thiserror::Error;

/// A topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// The configuration under one key, and a key for each evacuated availability zone.
    Configuration,
    /// A key for each node's record, and one for each request in quarantine.
    Nodes,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call was not executed: the store refused it, or no byte of it was sent.
    #[error("not done: {0}")]
    NotDone(String),
    /// No answer came. An append may have been executed, or may still be.
    #[error("no answer")]
    NoAnswer,
    /// The store has deleted the requested records.
    #[error("records have been deleted")]
    Deleted,
    /// The store was restored from a backup: at the requested position it has another record or none.
    #[error("the store was restored from a backup")]
    EpochChanged,
    /// The store's answer can't be decoded, or a record that is to be appended can't be encoded.
    #[error("malformed data: {0}")]
    Malformed(&'static str),
}

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` if the record deletes its key.
    pub value: Option<Bytes>,
    /// Position in the topic, packed ([`StorePosition`](crate::state::store_position::StorePosition)).
    pub position: u64,
}

/// The result of a read: records, and the position from which to read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// The records, in the order of the log.
    pub records: Vec<KeyedRecord>,
    /// Position of the next record, packed ([`StorePosition`](crate::state::store_position::StorePosition)).
    pub next: u64,
}

/// Prefix of the keys of requests in quarantine, in the topic of the nodes.
const QUARANTINE_KEY_PREFIX: &str = "quarantine/";

/// Key in the topic of the nodes under which the store holds that a request is in quarantine.
///
/// The quarantine is not part of a node's record: a node that starts writes its own record again, perhaps before it
/// has read the previous one, and a quarantine in that record would be lost.
#[must_use]
pub fn build_quarantine_key(fingerprint: RequestFingerprint) -> String {
    format!("{QUARANTINE_KEY_PREFIX}{fingerprint}")
}

/// Value of the record of a request in quarantine: an empty JSON object, as the key holds the fingerprint.
pub const QUARANTINE_VALUE: &[u8] = b"{}";

/// The fingerprint in a key of the topic of the nodes; `None` if it is not the key of a request in quarantine.
#[must_use]
pub fn parse_quarantine_key(key: &str) -> Option<RequestFingerprint> {
    key.strip_prefix(QUARANTINE_KEY_PREFIX)?.parse().ok()
}

/// A client of the store.
pub trait StateStore: Clone + 'static {
    /// Reads the newest record of each key of a topic.
    fn read_newest(
        &self,
        topic: StoreTopic,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>>;

    /// Reads the records from the packed position `from` on. If there are none yet, waits for one for at most `wait`,
    /// then returns an empty batch.
    fn read_from(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>>;

    /// Appends a node's record, encoded as `value`, under the node's key.
    fn append_node(
        &self,
        record: &NodeRecord,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// The key under which a node's record is kept.
    fn get_node_key(&self, record: &NodeRecord) -> String;

    /// Appends a record under [`build_quarantine_key`]: [`QUARANTINE_VALUE`] if the request is in quarantine, else one that
    /// deletes the key.
    fn append_quarantine(
        &self,
        fingerprint: RequestFingerprint,
        is_quarantined: bool,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Deletes the record of a node, if the topic still ends at the packed position `expected_end`.
    fn delete_node(
        &self,
        record: &NodeRecord,
        expected_end: u64,
    ) -> impl Future<Output = Result<ConditionalAppend, StoreError>>;

    /// Decodes the routing table in a record of the configuration topic; `None` if the record holds something else.
    ///
    /// # Errors
    /// Why the record can't be decoded, as text for the log.
    fn decode_table(&self, record: &KeyedRecord) -> Option<Result<RoutingTable, String>>;

    /// The availability zone that a record of the configuration topic evacuates, if the record has a value, or
    /// restores, if it has none. `None` if the record holds something else.
    ///
    /// # Errors
    /// Why the record can't be decoded, as text for the log.
    fn decode_evacuated_zone(
        &self,
        record: &KeyedRecord,
    ) -> Option<Result<AvailabilityZoneName, String>>;
}

/// Result of an append that depends on the position at which the topic ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalAppend {
    /// The record is stored.
    Stored,
    /// The topic no longer ended at the expected position; nothing is stored.
    Conflict,
}

/// A store to which a node's operators' interface can publish.
pub trait PublicationStore: StateStore {
    /// Appends a record under the configuration's key, if the configuration topic still ends at the packed position
    /// `expected_end`.
    fn append_configuration(
        &self,
        value: &[u8],
        expected_end: u64,
    ) -> impl Future<Output = Result<ConditionalAppend, StoreError>>;

    /// Appends a record under the key of an availability zone's evacuation: one with a value if the zone is evacuated,
    /// else one that deletes the key.
    fn append_evacuation(
        &self,
        zone: &AvailabilityZoneName,
        evacuated: bool,
    ) -> impl Future<Output = Result<(), StoreError>>;
}
