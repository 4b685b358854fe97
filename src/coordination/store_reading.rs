//! Which nodes read the platform's store, and how often the others make sure.
//!
//! Each call to the store is paid for, so a few nodes of each availability zone read it and tell the
//! others of their zone; bytes within a zone cost nothing. Nobody is appointed: each node works out
//! the readers from the nodes it knows. Two that know different nodes may both read, or neither; the
//! slow reads of all others and the versions on requests between nodes make up for the latter.

use crate::state::ablation::Mechanism;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// Readers of a zone. With two, the loss of one delays nothing.
const READERS: usize = 2;
/// Longest wait of one read of a reader. A store that falls silent and comes back may leave a read
/// unanswered, and a change must be in force within seconds of its return.
const READER_WAIT: Duration = Duration::from_secs(4);
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

/// How a node reads a topic next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadingPlan {
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

/// Whether `own` is among the readers of its zone; `others` are the other nodes of the zone that can
/// be reached.
#[must_use]
pub fn is_reader(own: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> bool {
    if Mechanism::Readers.is_off() {
        return true;
    }
    let own_rank = rank(own);
    let before = others.filter(|other| rank(*other) < own_rank).count();
    before < READERS
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

/// How to read next, with that many nodes known.
#[must_use]
pub fn plan_reading(reader: bool, nodes: usize) -> ReadingPlan {
    let (wait, pause) = if reader {
        (READER_WAIT, Duration::ZERO)
    } else {
        (Duration::ZERO, scale(OTHERS_PAUSE, nodes))
    };
    ReadingPlan {
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
