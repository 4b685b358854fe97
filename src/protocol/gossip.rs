//! What nodes tell one another of themselves, of other members and of the log.

use crate::state::{
    configuration::ConfigurationVersion,
    member::{Incarnation, Member},
    names::NodeName,
};
use bytes::Bytes;
use std::time::Duration;

/// What a node says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeclaredState {
    /// Known to the mesh, its upstream not announced yet.
    #[default]
    Joining,
    /// Takes work.
    Serving,
    /// Takes no new work and will end.
    Draining,
}

/// What others say of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// Answers.
    #[default]
    Alive,
    /// At least one node could not reach it.
    Suspected,
    /// Taken for gone until it shows itself again.
    Dead,
}

/// Number of statements that a node made of itself in one incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u32);

/// A statement on one member, passed on from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rumour {
    /// The member.
    pub name: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The member's own statement that this one is based on.
    pub revision: Revision,
    /// What the member says of itself.
    pub declared: DeclaredState,
    /// What others say of it.
    pub health: Health,
    /// The node that suspects it.
    pub suspected_by: Option<NodeName>,
    /// The member's description, where the receiver may not have it.
    pub description: Option<Member>,
}

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
