//! Counts of what happened at the edge between nodes.

use crate::transport::peers::HelloRefusal;
use std::cell::Cell;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Connections that were opened by this node and finished their hello.
    pub dialled: Cell<u64>,
    /// Connections that were opened by others and finished their hello.
    pub accepted: Cell<u64>,
    /// Connects that failed.
    pub connect_failures: Cell<u64>,
    /// Hellos refused for lack of a common protocol version.
    pub refused_version: Cell<u64>,
    /// Hellos refused for a wrong key.
    pub refused_key: Cell<u64>,
    /// Hellos refused as malformed.
    pub refused_malformed: Cell<u64>,
    /// Hellos refused because too many were under way.
    pub refused_busy: Cell<u64>,
    /// Requests that were not understood.
    pub request_faults: Cell<u64>,
}

impl PeerCounters {
    /// Counts one refused hello.
    pub(super) fn count_refusal(&self, refusal: HelloRefusal) {
        let counter = match refusal {
            HelloRefusal::Version => &self.refused_version,
            HelloRefusal::WrongKey => &self.refused_key,
            HelloRefusal::Malformed => &self.refused_malformed,
            HelloRefusal::Busy => &self.refused_busy,
        };
        count(counter);
    }
}

pub(super) fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
