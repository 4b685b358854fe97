//! Counters of a node for its metrics page.

use crate::proxy::store_calls::StoreCallCounts;
use std::cell::Cell;

/// Counters since the start of the node, for the metrics page.
#[derive(Debug, Default)]
pub struct ProxyCounters {
    /// Client requests.
    pub requests: Cell<u64>,
    /// Client requests that an upstream answered.
    pub answered: Cell<u64>,
    /// Client requests refused without having been executed.
    pub refused: Cell<u64>,
    /// Client requests without a valid API key.
    pub unauthorized: Cell<u64>,
    /// Client requests of which it is unknown whether they were executed.
    pub unknown: Cell<u64>,
    /// Requests executed at the local upstream.
    pub executed: Cell<u64>,
    /// Retries and hedges that were spent from a retry budget.
    pub retries: Cell<u64>,
    /// Requests refused because their calls would be rejected.
    pub calls_rejected: Cell<u64>,
    /// Requests that the local upstream was executing when it crashed.
    pub aborted_by_crash: Cell<u64>,
    /// Probes sent to the local upstream.
    pub probes: Cell<u64>,
    /// Answers of the local upstream that named a request limit.
    pub limits_named: Cell<u64>,
    /// Answers of the local upstream whose request limit could not be read.
    pub limits_unreadable: Cell<u64>,
    /// Answers of the local upstream of which it can't be read whether it is leaving.
    pub leaving_unreadable: Cell<u64>,
    /// Ejections of the local upstream.
    pub ejections: Cell<u64>,
    /// Requests sent to the ejected local upstream as trials.
    pub upstream_trials: Cell<u64>,
    /// Requests refused since the local upstream is ejected or returning.
    pub refused_as_failing: Cell<u64>,
    /// Requests that were refused because the memory for requests was full.
    pub refused_for_memory: Cell<u64>,
    /// Bytes of state messages received from other nodes.
    pub state_bytes: Cell<u64>,
    /// Routing tables received from other nodes that were not newer than the one in force.
    pub stale_tables: Cell<u64>,
    /// Messages that asked another node for credit of an organisation.
    pub credit_requests: Cell<u64>,
    /// Of these, not answered in time.
    pub credit_timeouts: Cell<u64>,
    /// Calls to the store.
    pub store_calls: StoreCallCounts,
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
