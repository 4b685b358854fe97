//! The calls now at the upstream, with the sums that the estimates need.

use crate::{
    protocol::attempt::AttemptId,
    state::{moment::Moment, names::ClassName},
};
use std::collections::HashMap;

/// Deviations of the mean age, if times are spread exponentially, that still count as chance. With
/// fewer, chance alone would time and again send waiting calls elsewhere that would have made it.
const USUAL_DEVIATIONS: f64 = 3.0;

/// A call at the upstream.
#[derive(Clone, Debug)]
pub struct RunningCall {
    /// Its class.
    pub class: ClassName,
    /// When it was offered.
    pub offered: Moment,
    /// When it was sent.
    pub started: Moment,
    /// Time it was expected to take, in microseconds; 0 if nothing was known.
    pub expected_micros: u64,
}

/// All calls at the upstream.
#[derive(Clone, Debug, Default)]
pub struct RunningCalls {
    calls: HashMap<AttemptId, RunningCall>,
    all: Sums,
    /// Of the calls whose time could be estimated when they started.
    estimated: Sums,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    calls: u64,
    started: u64,
    expected: u64,
}

impl Sums {
    fn add(&mut self, call: &RunningCall) {
        self.calls += 1;
        self.started += call.started.0;
        self.expected += call.expected_micros;
    }

    fn subtract(&mut self, call: &RunningCall) {
        self.calls -= 1;
        self.started -= call.started.0;
        self.expected -= call.expected_micros;
    }

    fn ages(self, now: Moment) -> f64 {
        let all_now = now.0.saturating_mul(self.calls);
        as_float(all_now.saturating_sub(self.started))
    }
}

impl RunningCalls {
    /// Number of calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether that call runs.
    #[must_use]
    pub fn contains(&self, id: AttemptId) -> bool {
        self.calls.contains_key(&id)
    }

    /// Adds a call.
    pub fn insert(&mut self, id: AttemptId, call: RunningCall) {
        self.all.add(&call);
        if call.expected_micros > 0 {
            self.estimated.add(&call);
        }
        self.calls.insert(id, call);
    }

    /// Takes out a call.
    pub fn remove(&mut self, id: AttemptId) -> Option<RunningCall> {
        let call = self.calls.remove(&id)?;
        self.all.subtract(&call);
        if call.expected_micros > 0 {
            self.estimated.subtract(&call);
        }
        Some(call)
    }

    /// Mean age of the running calls in microseconds; 0 if there are none.
    #[must_use]
    pub fn mean_age_micros(&self, now: Moment) -> f64 {
        if self.calls.is_empty() {
            return 0.0;
        }
        self.all.ages(now) / as_float(self.all.calls)
    }

    /// How many times slower than expected the running calls are, by their age alone. An upstream
    /// that suddenly stands still ends no call, so that ends alone would show nothing. What may be
    /// chance is left out, so that the factor grows from 1 without a jump.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        if self.estimated.calls == 0 {
            return 1.0;
        }
        let ratio = self.estimated.ages(now) / as_float(self.estimated.expected);
        let calls = as_float(self.estimated.calls);
        let usual = 1.0 + USUAL_DEVIATIONS / calls.sqrt();
        (ratio / usual).max(1.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds of calls in progress stay far below 2^52"
)]
fn as_float(value: u64) -> f64 {
    value as f64
}
