//! Which part of the starts goes to requests that are late.
//!
//! Requests that can be on time go first, so those that can't get what is left. How much that is depends on work
//! that has not come yet; what they got lately is the best guess. Without it they would be let wait under lasting
//! overload until their deadlines, and be told then that nothing came of it.

use std::time::Duration;

/// Weight of the newest start: with some ten slots and work of a tenth of a second, half of what is known is of the
/// last tenth of a second.
const WEIGHT: f64 = 0.05;
/// Smallest share reckoned with: a request that nobody is ahead of is still let wait, so that the end of the overload is
/// noticed also where no slot is ever free.
const LEAST: f64 = 0.02;

/// A moving average over starts that a late request waited for. Starts at 1: nothing speaks against waiting yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateStartShare(f64);

impl Default for LateStartShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LateStartShare {
    /// Learns from a start out of the queue.
    pub fn note_start(&mut self, late_waits: bool, starts_late: bool) {
        if late_waits {
            self.learn(if starts_late { 1.0 } else { 0.0 });
        }
    }

    /// Learns from a request that found a free slot and nobody waiting.
    pub fn note_idle(&mut self) {
        self.learn(1.0);
    }

    fn learn(&mut self, newest: f64) {
        self.0 += (newest - self.0) * WEIGHT;
    }

    /// Time until the turn of a request behind late work of `ahead` in all, beyond the time that requests take which can
    /// be on time and wait already.
    #[must_use]
    pub fn stretch(self, ahead: Duration, expected: Duration, limit: usize) -> Duration {
        let share = self.0.max(LEAST);
        let slots = f64::from(u32::try_from(limit.max(1)).unwrap_or(u32::MAX));
        ahead.div_f64(share * slots) + expected.mul_f64((1.0 / share - 1.0) / slots)
    }
}
