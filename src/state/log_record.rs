//! Records of the platform's log: one JSON object each, with a version and a kind.

mod encoding;

pub use encoding::{DecodeError, decode_record, encode_record};

use crate::state::{
    configuration::{Configuration, ConfigurationVersion},
    member::{Incarnation, Member},
    names::NodeName,
    ownership::OwnershipEpoch,
    published::FoldedState,
};
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::Uuid;

/// Position of a record in the log, from 0. Positions are never used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identity of a record, given by its writer; the same one however often it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub Uuid);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A configuration that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// Who published it.
    pub author: String,
    /// Why, in the operator's words.
    pub note: String,
    /// The version that the operator saw; the publication is accepted only if it still holds.
    pub based_on: ConfigurationVersion,
    /// The whole new content.
    pub content: Configuration,
}

/// One run of a node has ended or is about to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// The node.
    pub node: NodeName,
    /// The run; later runs of the node are not meant.
    pub incarnation: Incarnation,
}

/// The state that folding every record below `state.next()` gives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The state.
    pub state: FoldedState,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRecordKind {
    /// Changes the configuration.
    Publish(Publication),
    /// Carries on what records that the log will forget have led to.
    Snapshot(Box<Snapshot>),
    /// A node has started.
    Join(Member),
    /// A node has ended.
    Leave(Leave),
    /// Changes the owners of a service's keys.
    OwnershipEpoch(OwnershipEpoch),
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Identity.
    pub id: RecordId,
    /// What it says.
    pub kind: LogRecordKind,
}
