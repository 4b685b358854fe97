//! Outcomes of the requests of one class of work, counted at the node that received them from clients.

use crate::state::latency_histogram::LatencyHistogram;
use std::time::Duration;

/// Counts since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests that ended.
    pub requests: u64,
    /// Of these, requests answered by an upstream.
    pub answered: u64,
    /// Of the answered ones, requests answered within the latency target of the class.
    pub on_target: u64,
    /// Requests refused without having run at an upstream.
    pub refused: u64,
    /// Requests that ended without it being known whether they ran.
    pub unknown: u64,
    /// Latencies of the answered requests.
    pub latency: LatencyHistogram,
}

impl ClassCounts {
    /// Counts a request that was answered after `took`; `target` is the latency target of its class.
    pub fn count_answer(&mut self, took: Duration, target: Duration) {
        self.requests += 1;
        self.answered += 1;
        self.on_target += u64::from(took <= target);
        self.latency.observe(took);
    }

    /// Counts a refused request.
    pub fn count_refusal(&mut self) {
        self.requests += 1;
        self.refused += 1;
    }

    /// Counts a request of which it is not known whether it ran.
    pub fn count_unknown(&mut self) {
        self.requests += 1;
        self.unknown += 1;
    }
}
