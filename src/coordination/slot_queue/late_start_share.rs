//! Share of the starts that goes to requests that are late, that is, can no longer finish within their latency target.
//!
//! Requests that can meet their target start first, and late ones get the remaining starts. How many remain depends on requests
//! that have yet to arrive; the share of the recent past is the best estimate. Without it, under lasting overload late requests
//! would wait until their deadlines and be refused only then.

use std::time::Duration;

/// Weight of the newest start in the moving average. With about ten slots and executions of a tenth of a second, half of the
/// average stems from the last tenth of a second.
const NEWEST_WEIGHT: f64 = 0.05;
/// Minimum share used in estimates. A late request with no other late one ahead of it may still wait, so that the end of the
/// overload is noticed even if no slot is ever free.
const MIN_SHARE: f64 = 0.02;

/// Moving average of the share of late requests among the starts that a late request was waiting for. Initially 1, so that
/// requests may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateStartShare(f64);

impl Default for LateStartShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LateStartShare {
    /// Records the start of a request from the queue. `has_late_waiting` is true if late requests were waiting, `is_late` if the
    /// started one was late.
    pub fn record_queued_start(&mut self, has_late_waiting: bool, is_late: bool) {
        if has_late_waiting {
            self.update(if is_late { 1.0 } else { 0.0 });
        }
    }

    /// Records a request that found a free slot and an empty queue.
    pub fn record_immediate_start(&mut self) {
        self.update(1.0);
    }

    fn update(&mut self, newest: f64) {
        self.0 += (newest - self.0) * NEWEST_WEIGHT;
    }

    /// Time until the turn of a late request, in addition to the time for the waiting requests that can meet their target. `ahead`
    /// is the total duration of the late requests before it, and `expected` its own duration.
    #[must_use]
    pub fn estimate_wait(self, ahead: Duration, expected: Duration, limit: usize) -> Duration {
        let share = self.0.max(MIN_SHARE);
        let slots = f64::from(u32::try_from(limit.max(1)).unwrap_or(u32::MAX));
        ahead.div_f64(share * slots) + expected.mul_f64((1.0 / share - 1.0) / slots)
    }
    /// Number of starts until the turn of a late request, in addition to those of the waiting requests that can meet their target,
    /// if `ahead` late requests start before it.
    #[must_use]
    pub fn estimate_starts(self, ahead: usize) -> f64 {
        let share = self.0.max(MIN_SHARE);
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        (ahead + 1.0) / share - 1.0
    }
}
