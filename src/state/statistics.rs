//! Counts and times of calls, a class, over a sliding window.

use crate::state::moment::Moment;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Half of the window: counts cover between one and two of these.
const HALF_WINDOW: Duration = Duration::from_secs(5);
/// Precision of the times kept, in decimal digits.
const DIGITS: u8 = 2;

/// How a call ended, for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedOutcome {
    /// With a whole answer.
    Answered,
    /// Proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The end of a call, for counting.
#[derive(Clone, Copy, Debug)]
pub struct CountedCall {
    /// How it ended.
    pub outcome: CountedOutcome,
    /// Time from its arrival to its end.
    pub took: Duration,
    /// Whether it was answered within its class's target.
    pub on_target: bool,
    /// Attempts beyond the first.
    pub retries: u32,
}

/// Counts over some span.
#[derive(Clone, Debug)]
pub struct CallCounts {
    /// Calls that ended.
    pub calls: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, not run.
    pub not_run: u64,
    /// Of these, with an unknown outcome.
    pub unknown: u64,
    /// Of these, answered within the target.
    pub on_target: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Times of answered calls, in microseconds.
    pub times: Histogram<u32>,
}

impl CallCounts {
    fn new() -> Self {
        // Fails only for a precision above 5 digits.
        let times = Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("{DIGITS} is valid"));
        Self {
            calls: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            on_target: 0,
            retries: 0,
            times,
        }
    }

    fn count(&mut self, call: CountedCall) {
        self.calls += 1;
        self.on_target += u64::from(call.on_target);
        self.retries += u64::from(call.retries);
        match call.outcome {
            CountedOutcome::Answered => {
                self.answered += 1;
                let micros = u64::try_from(call.took.as_micros()).unwrap_or(u64::MAX);
                // Fails only if the histogram can't grow, and this one may.
                let _ = self.times.record(micros);
            }
            CountedOutcome::NotRun => self.not_run += 1,
            CountedOutcome::Unknown => self.unknown += 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.on_target += other.on_target;
        self.retries += other.retries;
        // Both have the same precision and grow by themselves, so adding can't fail.
        let _ = self.times.add(&other.times);
    }
}

/// Sums since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTotals {
    /// Calls answered.
    pub answered: u64,
    /// Calls not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls answered within the target.
    pub on_target: u64,
    /// Attempts beyond the first.
    pub retries: u64,
}

impl CallTotals {
    fn count(&mut self, call: CountedCall) {
        let sum = match call.outcome {
            CountedOutcome::Answered => &mut self.answered,
            CountedOutcome::NotRun => &mut self.not_run,
            CountedOutcome::Unknown => &mut self.unknown,
        };
        *sum += 1;
        self.on_target += u64::from(call.on_target);
        self.retries += u64::from(call.retries);
    }
}

/// Counts of one class over the last 5 to 10 seconds, and its sums.
#[derive(Clone, Debug)]
pub struct ClassStatistics {
    since: Moment,
    present: CallCounts,
    past: CallCounts,
    totals: CallTotals,
}

impl ClassStatistics {
    /// No calls yet.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            since: now,
            present: CallCounts::new(),
            past: CallCounts::new(),
            totals: CallTotals::default(),
        }
    }

    /// Counts a call that ended now.
    pub fn count(&mut self, call: CountedCall, now: Moment) {
        self.turn(now);
        self.present.count(call);
        self.totals.count(call);
    }

    /// The counts and the length of the window that they cover.
    pub fn window(&mut self, now: Moment) -> (CallCounts, Duration) {
        self.turn(now);
        let mut counts = self.past.clone();
        counts.add(&self.present);
        (counts, now.since(self.since) + HALF_WINDOW)
    }

    /// Sums since the node's start.
    #[must_use]
    pub fn totals(&self) -> CallTotals {
        self.totals
    }

    fn turn(&mut self, now: Moment) {
        let elapsed = now.since(self.since);
        if elapsed < HALF_WINDOW {
            return;
        }
        let present = std::mem::replace(&mut self.present, CallCounts::new());
        self.past = if elapsed < HALF_WINDOW * 2 {
            present
        } else {
            CallCounts::new()
        };
        self.since = now;
    }
}
