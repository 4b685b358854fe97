//! The calls now at the upstream, with the sums that the estimates need.

use crate::{
    protocol::attempt::AttemptId,
    state::{moment::Moment, names::ClassName},
};
use std::collections::HashMap;

/// Age over expectation up to which running calls count as usual. Times vary from call to call, so
/// a factor below this is as likely chance as slowness.
const USUAL_AGE_RATIO: f64 = 2.0;

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
    started_sum: u64,
    expected_sum: u64,
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
        self.started_sum += call.started.0;
        self.expected_sum += call.expected_micros;
        self.calls.insert(id, call);
    }

    /// Takes out a call.
    pub fn remove(&mut self, id: AttemptId) -> Option<RunningCall> {
        let call = self.calls.remove(&id)?;
        self.started_sum -= call.started.0;
        self.expected_sum -= call.expected_micros;
        Some(call)
    }

    /// Mean age of the running calls in microseconds; 0 if there are none.
    #[must_use]
    pub fn mean_age_micros(&self, now: Moment) -> f64 {
        if self.calls.is_empty() {
            return 0.0;
        }
        as_float(self.age_sum(now)) / as_float(self.calls.len() as u64)
    }

    /// How many times slower than expected the running calls are, by their age alone. An upstream
    /// that suddenly stands still ends no call, so that ends alone would show nothing.
    #[must_use]
    pub fn slowdown(&self, now: Moment) -> f64 {
        if self.expected_sum == 0 {
            return 1.0;
        }
        let ratio = as_float(self.age_sum(now)) / as_float(self.expected_sum);
        if ratio > USUAL_AGE_RATIO { ratio } else { 1.0 }
    }

    fn age_sum(&self, now: Moment) -> u64 {
        let all_now = now.0.saturating_mul(self.calls.len() as u64);
        all_now.saturating_sub(self.started_sum)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds of calls in progress stay far below 2^52"
)]
fn as_float(value: u64) -> f64 {
    value as f64
}
