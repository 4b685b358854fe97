//! Distribution of a message to all nodes of a zone along a tree: each node forwards it to a few others.
//!
//! A VM with a slow link and a tenth of a core can't send a message to a hundred nodes, and then serve the routing table to each
//! of them, within the time limit for a change to come into force. With four receivers per node, four levels reach 340 nodes.

use std::net::SocketAddr;

/// Maximum number of nodes that one node sends a message to.
const FANOUT: usize = 4;

/// Splits the receivers into one part per node that is sent the message directly. The first reachable node of a part receives the
/// message and forwards it to the rest of the part.
#[must_use]
pub fn split_receivers(receivers: &[SocketAddr]) -> Vec<Vec<SocketAddr>> {
    let size = receivers.len().div_ceil(FANOUT).max(1);
    receivers.chunks(size).map(<[SocketAddr]>::to_vec).collect()
}
