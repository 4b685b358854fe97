//! What became of the requests of one class at the node that took them.

use crate::state::latency_histogram::LatencyHistogram;
use std::time::Duration;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests that ended.
    pub requests: u64,
    /// Of these, answered by an upstream.
    pub answered: u64,
    /// Of these, answered within the target.
    pub on_target: u64,
    /// Refused without having run.
    pub refused: u64,
    /// Ended without it being known whether they ran.
    pub unknown: u64,
    /// Times of the answered ones.
    pub latency: LatencyHistogram,
}

impl ClassCounts {
    /// Counts an answer.
    pub fn count_answer(&mut self, took: Duration, target: Duration) {
        self.requests += 1;
        self.answered += 1;
        self.on_target += u64::from(took <= target);
        self.latency.observe(took);
    }

    /// Counts a refusal.
    pub fn count_refusal(&mut self) {
        self.requests += 1;
        self.refused += 1;
    }

    /// Counts an end that is not known.
    pub fn count_unknown(&mut self) {
        self.requests += 1;
        self.unknown += 1;
    }
}
