//! Choice of the nodes that count the crashes caused by a request, its crash counters.
//!
//! Retries of a request crash upstreams of different nodes, and each of these nodes sees one crash. If every crash were reported
//! to all nodes, a release that crashes everywhere would make every node send messages to every other one again and again. Instead
//! a few nodes, selected by the request fingerprint (rendezvous hashing), receive all crash reports for the request and propagate
//! only their conclusions to all nodes.

use crate::{
    coordination::rendezvous::order_nodes, state::request_fingerprint::RequestFingerprint,
};
use std::net::SocketAddr;

/// Number of nodes that count the crashes of one request. Two of them may be lost, or not know of each other, without a crash going
/// uncounted.
pub const CRASH_COUNTERS: usize = 3;

/// Sorts the nodes by their rank as crash counters of a request; the first [`CRASH_COUNTERS`] reachable ones count.
#[must_use]
pub fn order_crash_counters(
    fingerprint: RequestFingerprint,
    nodes: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    order_nodes(fingerprint.bits(), nodes)
}
