//! Which nodes read the platform's store, and how often the others make sure.
//!
//! Each call to the store is paid for, so two nodes of each availability zone read it and tell the
//! others of their zone; bytes within a zone cost nothing. Nobody is appointed: each node works out
//! the readers from the nodes it knows. Two that know different nodes may both read, or neither; the
//! slow reads of all others and the versions on requests between nodes make up for the latter.

use crate::{protocol::store::StoreTopic, state::ablation::Mechanism};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// Longest wait of one read of the configuration by the first reader of a zone. The store may lose a read that arrives while
/// it is away for a moment, and both readers renew their reads when a change arrives; the next change must be in force in
/// time all the same.
const FIRST_WAIT: Duration = Duration::from_millis(1_700);
/// Longest wait of one read of the nodes' records by the first reader.
const FIRST_RECORDS_WAIT: Duration = Duration::from_secs(4);
/// Longest wait of one read of the configuration by the second reader. It is there for the loss of the first; while that
/// one reads, it also finds out when a store that was silent is back.
const SECOND_WAIT: Duration = Duration::from_secs(12);
/// Pause between two reads of the nodes' records by the second reader. A record only says where to ask, so one that is
/// learned late while nobody has noticed the loss of the first reader costs little; each read is paid for.
const SECOND_RECORDS_PAUSE: Duration = Duration::from_secs(8);
/// Pause between the reads of all other nodes, at the least, for each node that is known, and at the
/// most. Their reads together cost the same however many nodes there are, up to the longest pause.
const OTHERS_PAUSE: (Duration, Duration, Duration) = (
    Duration::from_secs(14),
    Duration::from_millis(500),
    Duration::from_mins(1),
);
/// Pause between two reads of the nodes' records by a reader, in the same way. At a common start all
/// announce themselves within a second or two, and each read is paid for; after a loss of power it is the
/// time in which nodes go by what was true before.
const RECORDS_PAUSE: (Duration, Duration, Duration) = (
    Duration::from_millis(400),
    Duration::from_millis(30),
    Duration::from_secs(2),
);

/// What a node reads for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingRole {
    /// It reads for its zone.
    First,
    /// It reads as well, so that the loss of the first delays no change of the configuration.
    Second,
    /// It hears from the readers and makes sure now and then.
    Other,
}

/// How a node reads a topic next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadingPlan {
    /// What the node reads for its zone.
    pub role: ReadingRole,
    /// Longest time that the read waits for a record.
    pub wait: Duration,
    /// Pause before it, ended at once when the node becomes a reader.
    pub pause: Duration,
    /// Pause after a read of the nodes' records.
    pub records_pause: Duration,
}

fn scale(pause: (Duration, Duration, Duration), nodes: usize) -> Duration {
    let (least, each, most) = pause;
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    each.saturating_mul(nodes).clamp(least, most)
}

/// What `own` reads for its zone; `others` are the other nodes of the zone that can be reached.
#[must_use]
pub fn find_reading_role(own: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> ReadingRole {
    if Mechanism::StoreReaders.is_disabled() {
        return ReadingRole::First;
    }
    let own_rank = rank(own);
    match others.filter(|other| rank(*other) < own_rank).count() {
        0 => ReadingRole::First,
        1 => ReadingRole::Second,
        _ => ReadingRole::Other,
    }
}

/// Whether `own` is among the readers of its zone.
#[must_use]
pub fn is_reader(own: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> bool {
    find_reading_role(own, others) != ReadingRole::Other
}

/// Whether `own` goes before all `others`, which are the other nodes that can be reached. Of what one node of the mesh
/// does, it is the one; two that know different nodes may both be.
#[must_use]
pub fn is_first(own: SocketAddr, mut others: impl Iterator<Item = SocketAddr>) -> bool {
    let own_rank = rank(own);
    others.all(|other| own_rank < rank(other))
}

/// The one of `others` that goes directly before `own`, if any does.
#[must_use]
pub fn find_predecessor(
    own: SocketAddr,
    others: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let own_rank = rank(own);
    let before = others.filter(|other| rank(*other) < own_rank);
    before.max_by_key(|other| rank(*other))
}

/// The `others` but `own` in the order in which all nodes see them, from the one after `own` on.
#[must_use]
pub fn order_ring(own: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let own_rank = rank(own);
    let mut ring: Vec<SocketAddr> = others.filter(|other| *other != own).collect();
    ring.sort_by_cached_key(|other| {
        let rank = rank(*other);
        (rank < own_rank, rank)
    });
    ring
}

/// How to read a topic next, with that many nodes known.
#[must_use]
pub fn plan_reading(role: ReadingRole, topic: StoreTopic, nodes: usize) -> ReadingPlan {
    let (wait, pause) = match (role, topic) {
        (ReadingRole::First, StoreTopic::Configuration) => (FIRST_WAIT, Duration::ZERO),
        (ReadingRole::First, StoreTopic::Nodes) => (FIRST_RECORDS_WAIT, Duration::ZERO),
        (ReadingRole::Second, StoreTopic::Configuration) => (SECOND_WAIT, Duration::ZERO),
        (ReadingRole::Second, StoreTopic::Nodes) => (Duration::ZERO, SECOND_RECORDS_PAUSE),
        (ReadingRole::Other, _) => (Duration::ZERO, scale(OTHERS_PAUSE, nodes)),
    };
    ReadingPlan {
        role,
        wait,
        pause,
        records_pause: scale(RECORDS_PAUSE, nodes),
    }
}

/// Even over the nodes, and the same at each of them.
fn rank(address: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    (hasher.finish(), address)
}
