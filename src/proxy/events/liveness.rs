//! Contents of the events about the liveness of nodes.

use serde::Serialize;
use std::net::SocketAddr;

/// Why a node is suspect.
#[derive(Clone, Debug, Serialize)]
pub struct NodeSuspicion {
    /// The other node.
    pub to: SocketAddr,
    /// Time for which it has sent nothing although requests were outstanding there.
    pub silent_ms: u64,
    /// Requests of this node that are outstanding there.
    pub outstanding: usize,
}

/// A node that is no longer suspect.
#[derive(Clone, Debug, Serialize)]
pub struct NodeClearance {
    /// The other node.
    pub to: SocketAddr,
    /// Time for which it was suspect.
    pub suspect_ms: u64,
}
