//! Token bucket that limits how often something may happen.

use crate::state::timestamp::Timestamp;

/// A token bucket: tokens accrue over time, up to the size of a burst.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
    tokens: f64,
    updated: Timestamp,
}

impl RateLimit {
    /// A full bucket that gains `per_second` tokens each second and holds at most `burst` tokens.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            updated: Timestamp::default(),
        }
    }

    /// Takes a token if there is one. Returns whether it did.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        let gained = now.since(self.updated).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.updated = self.updated.max(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
