//! What nodes tell one another of themselves, of other members and of the log.

pub use crate::state::membership::statement::{DeclaredState, Health, Revision, Rumour};

use crate::state::{configuration::ConfigurationVersion, member::Incarnation, names::NodeName};
use bytes::Bytes;
use std::time::Duration;

/// What a node knows of the platform's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogKnowledge {
    /// Configuration version held.
    pub configuration_version: ConfigurationVersion,
    /// Offset up to which the log is known.
    pub offset: u64,
    /// Time since a reader saw that offset at the log's end.
    pub age: Duration,
}

/// State folded from the log, or the means to reach it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StateShare {
    /// Nothing.
    #[default]
    None,
    /// The whole folded state.
    Snapshot {
        /// Offset up to which records are folded in.
        offset: u64,
        /// The encoded state.
        state: Bytes,
    },
    /// Consecutive records.
    Records {
        /// Offset of the first one.
        offset: u64,
        /// The encoded records.
        records: Vec<Bytes>,
    },
}

/// One message between two nodes, and likewise its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Number of the sender's last statement of itself.
    pub revision: Revision,
    /// The sender's state.
    pub declared: DeclaredState,
    /// Digest of the sender's table of members.
    pub digest: u64,
    /// What the sender knows of the log.
    pub log: LogKnowledge,
    /// Statements on other members, the newest first.
    pub rumours: Vec<Rumour>,
    /// Digests of the buckets of the sender's table; empty unless the tables differ.
    pub buckets: Vec<u64>,
    /// Buckets whose members the receiver should send back.
    pub wanted_buckets: Vec<u8>,
    /// Members whose descriptions the receiver should send back.
    pub wanted_descriptions: Vec<NodeName>,
    /// Asks for state folded from the log beyond this offset.
    pub wants_state_after: Option<u64>,
    /// State that the receiver asked for.
    pub state: StateShare,
}
