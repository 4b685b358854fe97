//! How a message reaches all nodes of a zone: each passes it on to a few.
//!
//! One VM with a narrow link and a tenth of a core can't tell a hundred nodes, each of which then fetches a routing table from it,
//! within the time in which it must be in force. With four receivers a node, four steps reach 340.

use std::net::SocketAddr;

/// Nodes that one node sends a message to.
const FANOUT: usize = 4;

/// Parts of the receivers, one for each node that is sent the message; the first of a part that takes it
/// passes it on to the rest.
#[must_use]
pub fn split_receivers(receivers: &[SocketAddr]) -> Vec<Vec<SocketAddr>> {
    let size = receivers.len().div_ceil(FANOUT).max(1);
    receivers.chunks(size).map(<[SocketAddr]>::to_vec).collect()
}
