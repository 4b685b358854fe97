//! What nodes keep in a store that outlives them: the configuration, and a record of each node.
//!
//! The store is an append-only log a topic, of which the newest record of each key stays for good. It may
//! be away, slow, or take an append and lose the answer to it.

use crate::state::{
    known_node::NodeRecord, names::AvailabilityZoneName, request_fingerprint::RequestFingerprint,
    routing_table::RoutingTable,
};
use bytes::Bytes;
use std::{future::Future, time::Duration};
use thiserror::Error;

/// What records are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// The configuration: one key.
    Configuration,
    /// The nodes, a key each, and requests in quarantine.
    Nodes,
}

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was done: the store refused, or no byte reached it.
    #[error("not done: {0}")]
    NotDone(String),
    /// No answer came; an append may be done now or later.
    #[error("no answer")]
    NoAnswer,
    /// The records asked for have been deleted.
    #[error("records have been deleted")]
    Deleted,
    /// The store has come back from a copy: another record stands at the place asked for, or none.
    #[error("the store has come back from a copy")]
    EpochChanged,
    /// The answer is not what the store's description says.
    #[error("malformed answer: {0}")]
    Malformed(&'static str),
}

/// A record. Without a value the key has been dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Bytes>,
    /// Its place in the topic, packed ([`StorePosition`](crate::state::store_position::StorePosition)).
    pub position: u64,
}

/// Newest records, or the records after a place, and the place to go on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// In the order of the log.
    pub records: Vec<KeyedRecord>,
    /// Place of the next record, packed ([`StorePosition`](crate::state::store_position::StorePosition)).
    pub next: u64,
}

/// Start of the keys among the nodes under which the store holds requests in quarantine.
const QUARANTINE_KEY: &str = "quarantine/";

/// Key among the nodes under which the store holds that a request is in quarantine.
///
/// It has a key of its own: a node that starts writes its own record anew, maybe before it has read the former one.
#[must_use]
pub fn quarantine_key(digest: RequestFingerprint) -> String {
    format!("{QUARANTINE_KEY}{digest}")
}

/// Its value. The key says it all.
pub const QUARANTINE_VALUE: &[u8] = b"{}";

/// The request in quarantine that a key among the nodes is about, if it is about one.
#[must_use]
pub fn parse_quarantine_key(key: &str) -> Option<RequestFingerprint> {
    key.strip_prefix(QUARANTINE_KEY)?.parse().ok()
}

/// A client of the store, as a node uses it.
pub trait StateStore: Clone + 'static {
    /// The newest record of each key.
    fn read_newest(
        &self,
        topic: StoreTopic,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>>;

    /// Records from a place on, as soon as there is one; none after `wait`.
    fn read_from(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>>;

    /// Appends a node's record, encoded as `value`, under the key of that node.
    fn append_node(
        &self,
        record: &NodeRecord,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// The key under which a node's record is kept.
    fn get_node_key(&self, record: &NodeRecord) -> String;

    /// Appends that a request is in quarantine, or drops that, under [`quarantine_key`].
    fn append_quarantine(
        &self,
        digest: RequestFingerprint,
        is_quarantined: bool,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Drops the record of a node, if the topic still ends at the place `expected_end`.
    fn delete_node(
        &self,
        record: &NodeRecord,
        expected_end: u64,
    ) -> impl Future<Output = Result<ConditionalAppend, StoreError>>;

    /// The routing table of a record of the configuration; none if the record holds something else.
    ///
    /// # Errors
    /// What is wrong with the record, for the log.
    fn decode_table(&self, record: &KeyedRecord) -> Option<Result<RoutingTable, String>>;

    /// The availability zone whose evacuation a record of the configuration is about: evacuated with a value, taken back without
    /// one. None if the record is about something else.
    ///
    /// # Errors
    /// What is wrong with the record, for the log.
    fn decode_evacuated_zone(
        &self,
        record: &KeyedRecord,
    ) -> Option<Result<AvailabilityZoneName, String>>;
}

/// How a conditional append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalAppend {
    /// It is stored.
    Stored,
    /// Another record came first; nothing is stored.
    Conflict,
}

/// A store that the product's own operators' interface publishes to.
pub trait PublicationStore: StateStore {
    /// Appends a record of the configuration if the topic still ends at `expected_end`.
    fn append_configuration(
        &self,
        value: &[u8],
        expected_end: u64,
    ) -> impl Future<Output = Result<ConditionalAppend, StoreError>>;

    /// Appends that an availability zone is evacuated, or drops that.
    fn append_evacuation(
        &self,
        zone: &AvailabilityZoneName,
        evacuated: bool,
    ) -> impl Future<Output = Result<(), StoreError>>;
}
