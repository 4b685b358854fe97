//! A bound on how often something may happen: tokens earned by time, up to a burst.

use crate::state::timestamp::Timestamp;

/// Bounds events to a rate.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
    tokens: f64,
    since: Timestamp,
}

impl RateLimit {
    /// A full bucket that earns `per_second` tokens and holds `burst` at most.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            since: Timestamp::default(),
        }
    }

    /// Takes a token if there is one.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.since).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.since = self.since.max(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
