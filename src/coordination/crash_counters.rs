//! Choice of the nodes that count the crashes caused by a request, its crash counters.
//!
//! Retries of a request crash upstreams of different nodes, and each of these nodes sees one crash. If every crash were reported
//! to all nodes, a release that crashes everywhere would make every node send messages to every other one again and again. Instead
//! a few nodes, selected by the request fingerprint (rendezvous hashing), receive all crash reports for the request and propagate
//! only their conclusions to all nodes.

use crate::state::request_fingerprint::RequestFingerprint;
use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
};
use xxhash_rust::xxh64::Xxh64;

/// Number of nodes that count the crashes of one request. Two of them may be lost, or not know of each other, without a crash going
/// uncounted.
pub const CRASH_COUNTERS: usize = 3;

/// Sorts the nodes by their rank as crash counters of a request; the first [`CRASH_COUNTERS`] reachable ones count. Nodes that
/// know the same other nodes compute the same order, and a node more or less doesn't change the order of the others.
#[must_use]
pub fn order_crash_counters(
    fingerprint: RequestFingerprint,
    nodes: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let mut nodes: Vec<SocketAddr> = nodes.collect();
    nodes.sort_by_cached_key(|node| {
        let mut hasher = Xxh64::new(fingerprint.bits());
        node.hash(&mut hasher);
        (hasher.finish(), *node)
    });
    nodes
}
