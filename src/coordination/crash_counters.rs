//! Which nodes count the crashes under a request.
//!
//! The crashes of one request happen beside different nodes, each of which sees one. Were each told to all, a release that
//! crashes everywhere would have every node tell every other one again and again. Instead a few nodes, picked by the request
//! (rendezvous hashing), are told of all crashes under it, and only what they find out goes to all.

use crate::state::request_fingerprint::RequestFingerprint;
use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
};
use xxhash_rust::xxh64::Xxh64;

/// Nodes that count the crashes under one request. Two of them may be lost, or not know of each other, without a crash going
/// uncounted.
pub const CRASH_COUNTERS: usize = 3;

/// The nodes in the order in which they count the crashes under a request. Nodes that know the same others find the same order; a
/// node more or less moves no other one.
#[must_use]
pub fn order_crash_counters(
    digest: RequestFingerprint,
    nodes: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let mut nodes: Vec<SocketAddr> = nodes.collect();
    nodes.sort_by_cached_key(|node| {
        let mut hasher = Xxh64::new(digest.bits());
        node.hash(&mut hasher);
        (hasher.finish(), *node)
    });
    nodes
}
