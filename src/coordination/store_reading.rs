//! Choice of the nodes that read the platform's store, and how often all nodes read it.
//!
//! Each call to the store costs money, so two nodes of each availability zone read it continuously and notify the other nodes of
//! their zone; bytes within a zone are free. The readers aren't elected: each node works out the readers from the nodes it knows.
//! Two nodes that know different nodes may both read, or neither. If neither does, the infrequent reads of all other nodes and the
//! versions that requests between nodes carry make up for it.

use crate::{protocol::store::StoreTopic, state::ablation::Mechanism};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// Maximum wait of one long-poll read of the configuration by the first reader of a zone. A read that arrives while the store is
/// unavailable may be lost, and it ends only after this time. Both readers start a new read when a change arrives, so both reads
/// may be lost at once; the next change must come into force in time nevertheless.
const FIRST_READER_CONFIGURATION_WAIT: Duration = Duration::from_millis(1_700);
/// Maximum wait of one long-poll read of the node records by the first reader.
const FIRST_READER_RECORDS_WAIT: Duration = Duration::from_secs(4);
/// Maximum wait of one long-poll read of the configuration by the second reader. The second reader compensates for the loss of the
/// first. While the first one reads, the second also detects that a store that didn't answer is available again.
const SECOND_READER_CONFIGURATION_WAIT: Duration = Duration::from_secs(12);
/// Pause between two reads of the node records by the second reader. A record only shows which nodes can be asked, so learning of
/// one late, while no node has noticed the loss of the first reader, costs little; each read costs money.
const SECOND_READER_RECORDS_PAUSE: Duration = Duration::from_secs(8);
/// Pause between reads of all other nodes: minimum, time per known node, and maximum. Up to the maximum, the total cost of these
/// reads is independent of the number of nodes.
const NON_READER_PAUSE: (Duration, Duration, Duration) = (
    Duration::from_secs(14),
    Duration::from_millis(500),
    Duration::from_mins(1),
);
/// Pause between two reads of the node records by a reader, scaled in the same way. If all nodes start together, they announce
/// themselves within a second or two, and each read costs money, so a read after a pause returns several records. After a power
/// loss, nodes use outdated records for this time.
const RECORDS_PAUSE: (Duration, Duration, Duration) = (
    Duration::from_millis(400),
    Duration::from_millis(30),
    Duration::from_secs(2),
);

/// Role of a node in reading the store for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingRole {
    /// Reads the store and notifies the other nodes of the zone.
    First,
    /// Reads as well, so that the loss of the first reader delays no change of the configuration.
    Second,
    /// Is notified by the readers and reads infrequently as a safeguard.
    Other,
}

/// Timing of the next read of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadingPlan {
    /// Role of the node.
    pub role: ReadingRole,
    /// Maximum time that the store waits for a new record before it answers.
    pub wait: Duration,
    /// Pause before the read; it ends early if the node becomes a reader.
    pub pause: Duration,
    /// Pause after a read of the node records.
    pub records_pause: Duration,
}

fn scale_pause(pause: (Duration, Duration, Duration), nodes: usize) -> Duration {
    let (min, per_node, max) = pause;
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    per_node.saturating_mul(nodes).clamp(min, max)
}

/// Role of the node `own_address` in its zone; `others` are the other reachable nodes of the zone.
#[must_use]
pub fn find_reading_role(
    own_address: SocketAddr,
    others: impl Iterator<Item = SocketAddr>,
) -> ReadingRole {
    if Mechanism::StoreReaders.is_disabled() {
        return ReadingRole::First;
    }
    let own_rank = rank(own_address);
    match others.filter(|other| rank(*other) < own_rank).count() {
        0 => ReadingRole::First,
        1 => ReadingRole::Second,
        _ => ReadingRole::Other,
    }
}

/// Whether `own_address` is among the readers of its zone.
#[must_use]
pub fn is_reader(own_address: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> bool {
    find_reading_role(own_address, others) != ReadingRole::Other
}

/// Whether `own_address` ranks before all `others`, the other reachable nodes of the mesh. The first node performs the tasks that
/// one node of the mesh is enough for. Two nodes that know different nodes may both be first.
#[must_use]
pub fn is_first(own_address: SocketAddr, mut others: impl Iterator<Item = SocketAddr>) -> bool {
    let own_rank = rank(own_address);
    others.all(|other| own_rank < rank(other))
}

/// Returns the node of `others` that ranks directly before `own_address`, if there is one.
#[must_use]
pub fn find_predecessor(
    own_address: SocketAddr,
    others: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let own_rank = rank(own_address);
    let before = others.filter(|other| rank(*other) < own_rank);
    before.max_by_key(|other| rank(*other))
}

/// Returns `others` without `own_address` as a ring: in the order of rank, which is the same at all nodes, starting after
/// `own_address`.
#[must_use]
pub fn order_ring(
    own_address: SocketAddr,
    others: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let own_rank = rank(own_address);
    let mut ring: Vec<SocketAddr> = others.filter(|other| *other != own_address).collect();
    ring.sort_by_cached_key(|other| {
        let rank = rank(*other);
        (rank < own_rank, rank)
    });
    ring
}

/// Plans the next read of a topic; `nodes` is the number of known nodes.
#[must_use]
pub fn plan_reading(role: ReadingRole, topic: StoreTopic, nodes: usize) -> ReadingPlan {
    let (wait, pause) = match (role, topic) {
        (ReadingRole::First, StoreTopic::Configuration) => {
            (FIRST_READER_CONFIGURATION_WAIT, Duration::ZERO)
        }
        (ReadingRole::First, StoreTopic::Nodes) => (FIRST_READER_RECORDS_WAIT, Duration::ZERO),
        (ReadingRole::Second, StoreTopic::Configuration) => {
            (SECOND_READER_CONFIGURATION_WAIT, Duration::ZERO)
        }
        (ReadingRole::Second, StoreTopic::Nodes) => (Duration::ZERO, SECOND_READER_RECORDS_PAUSE),
        (ReadingRole::Other, _) => (Duration::ZERO, scale_pause(NON_READER_PAUSE, nodes)),
    };
    ReadingPlan {
        role,
        wait,
        pause,
        records_pause: scale_pause(RECORDS_PAUSE, nodes),
    }
}

/// Rank of a node: evenly distributed over the nodes, and the same at each of them.
fn rank(address: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    (hasher.finish(), address)
}
