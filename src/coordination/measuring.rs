//! What measuring the upstreams may cost, as a hard limit.
//!
//! Three limits hold at once: probes a second, bytes a second, and probes as a share of calls. A
//! probe is granted before it is sent and paid for in full at that moment, at the most it can
//! cost: what it did not use is not given back, so that no reckoning error can raise the limit.

mod rate_limit;
mod usage_counter;

pub use self::{rate_limit::RateLimit, usage_counter::UsageCounter};
use crate::state::{configuration::MeasuringBudget, moment::Moment, token_bucket::TokenBucket};
use serde::Serialize;

/// Most bytes that one probe and its answer take on a kept connection: 240 bytes of messages, and
/// the headers of at most 6 segments. The test `probe_stays_within_what_is_paid_for_it` measures it.
pub const PROBE_BYTES_LIMIT: u32 = 560;
/// Probes that calls may earn ahead.
const EARNED_PROBES: f64 = 2.0;

/// Budget and use of measuring, for status pages and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MeasuringStatus {
    /// The budget in force.
    pub budget: MeasuringBudget,
    /// What was used since the start, by a counter that the limit does not read.
    pub used: UsageCounter,
}

/// Grants probes within the budget.
#[derive(Clone, Debug)]
pub struct ProbeLimiter {
    budget: MeasuringBudget,
    probes: RateLimit,
    bytes: RateLimit,
    earned: TokenBucket,
    used: UsageCounter,
}

impl ProbeLimiter {
    /// A limiter with nothing used.
    #[must_use]
    pub fn new(budget: MeasuringBudget) -> Self {
        Self {
            budget,
            probes: RateLimit::new(budget.probes_per_second, 1.0),
            bytes: RateLimit::new(budget.bytes_per_second, f64::from(PROBE_BYTES_LIMIT)),
            earned: TokenBucket::empty(EARNED_PROBES),
            used: UsageCounter::default(),
        }
    }

    /// Takes a new budget. What was spent under the old one still counts.
    pub fn set_budget(&mut self, budget: MeasuringBudget) {
        self.budget = budget;
        self.probes.set_rate(budget.probes_per_second);
        self.bytes.set_rate(budget.bytes_per_second);
    }

    /// Counts a call that was sent, which earns its share of a probe.
    pub fn count_call(&mut self) {
        self.earned.deposit(self.budget.capacity_share);
        self.used.calls += 1;
    }

    /// Grants one probe and pays for it, or refuses without paying.
    pub fn grant(&mut self, now: Moment) -> bool {
        let bytes = f64::from(PROBE_BYTES_LIMIT);
        let granted =
            self.earned.holds(1.0) && self.probes.allows(1.0, now) && self.bytes.allows(bytes, now);
        if granted {
            self.earned.withdraw(1.0);
            self.probes.spend(1.0, now);
            self.bytes.spend(bytes, now);
            self.used.probes += 1;
        }
        granted
    }

    /// Counts what a granted probe took in the end.
    pub fn settle(&mut self, bytes: u32) {
        self.used.bytes += u64::from(bytes);
    }

    /// Budget and use.
    #[must_use]
    pub fn status(&self) -> MeasuringStatus {
        MeasuringStatus {
            budget: self.budget,
            used: self.used,
        }
    }
}
