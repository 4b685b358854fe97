//! Rendezvous hashing: assigns a subject, such as a request or an organisation, to nodes.
//!
//! Nodes that know the same other nodes compute the same order, and a node more or less doesn't change the order of the others.

use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh64::xxh64;

/// Sorts the nodes by their rank for the subject with this hash.
#[must_use]
pub fn order_nodes(subject: u64, nodes: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut nodes: Vec<SocketAddr> = nodes.collect();
    nodes.sort_by_cached_key(|node| (rank_node(subject, *node), *node));
    nodes
}

/// Rank of a node for the subject with this hash; the lowest is the first.
#[must_use]
pub fn rank_node(subject: u64, node: SocketAddr) -> u64 {
    // One call of the hash function a node: an entry node ranks hundreds of nodes for a request.
    let [high, low] = node.port().to_be_bytes();
    match node.ip() {
        IpAddr::V4(ip) => {
            let [a, b, c, d] = ip.octets();
            xxh64(&[a, b, c, d, high, low], subject)
        }
        IpAddr::V6(ip) => {
            let mut bytes = [0; 18];
            bytes[..16].copy_from_slice(&ip.octets());
            bytes[16..].copy_from_slice(&[high, low]);
            xxh64(&bytes, subject)
        }
    }
}
