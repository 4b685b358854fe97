//! Counts of a node for its metrics page.

use crate::proxy::store_calls::StoreCallCounts;
use std::cell::Cell;

/// Counts since the start, for the metrics page.
#[derive(Debug, Default)]
pub struct ProxyCounters {
    /// Requests of clients.
    pub requests: Cell<u64>,
    /// Of these, answered by an upstream.
    pub answered: Cell<u64>,
    /// Of these, refused without having run.
    pub refused: Cell<u64>,
    /// Of these, ended without it being known whether they ran.
    pub unknown: Cell<u64>,
    /// Requests run at the upstream beside the node.
    pub executed: Cell<u64>,
    /// Requests sent to a second upstream.
    pub retries: Cell<u64>,
    /// Requests that were at the upstream beside the node when it crashed.
    pub aborted_by_crash: Cell<u64>,
    /// Questions to the upstream beside the node for its load.
    pub probes: Cell<u64>,
    /// Bytes of messages with state that came from other nodes.
    pub state_bytes: Cell<u64>,
    /// Routing tables that came from other nodes and were no news.
    pub stale_tables: Cell<u64>,
    /// Calls to the store.
    pub store_calls: StoreCallCounts,
}

/// Adds one.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
