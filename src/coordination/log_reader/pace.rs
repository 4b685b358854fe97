//! When to read next: evenly while the log works, less and less often while it does not.

use rand::{Rng, RngExt};
use std::time::Duration;

/// How often the log is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderPace {
    /// Time between reads of a log that works.
    pub poll: Duration,
    /// Longest time between reads of a log that does not.
    pub longest_retry: Duration,
}

impl Default for ReaderPace {
    fn default() -> Self {
        Self {
            poll: Duration::from_millis(500),
            longest_retry: Duration::from_secs(5),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Pacer {
    pace: ReaderPace,
    failures: u32,
    read_on: bool,
}

impl Pacer {
    pub fn new(pace: ReaderPace) -> Self {
        Self {
            pace,
            failures: 0,
            read_on: true,
        }
    }

    /// There is more to read now.
    pub fn read_on(&mut self) {
        self.read_on = true;
    }

    pub fn note_success(&mut self) {
        self.failures = 0;
    }

    /// Gives the longest time until the next read.
    pub fn note_failure(&mut self) -> Duration {
        self.failures = self.failures.saturating_add(1);
        self.read_on = false;
        self.longest_wait()
    }

    /// The time until the next read, between half and the whole of the longest one: readers that
    /// failed at the same instant must not all come back at the same instant.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        if std::mem::take(&mut self.read_on) {
            return Duration::ZERO;
        }
        self.longest_wait().mul_f64(rng.random_range(0.5..=1.0))
    }

    fn longest_wait(&self) -> Duration {
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let wait = self.pace.poll.saturating_mul(doubled);
        if self.failures == 0 {
            wait
        } else {
            wait.min(self.pace.longest_retry).max(self.pace.poll)
        }
    }
}
