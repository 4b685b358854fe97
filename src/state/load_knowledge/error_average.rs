//! Aged share of failed answers.

use crate::state::moment::Moment;
use std::time::Duration;

/// Time over which an answer's part in the share fades.
const FADE: Duration = Duration::from_secs(2);
/// Good answers assumed before any came, so that one failure of a new upstream is not all of it.
const ASSUMED_GOOD: f64 = 2.0;

/// Counts of failed and of all answers, both fading with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ErrorAverage {
    failed: f64,
    all: f64,
    at: Moment,
}

impl ErrorAverage {
    /// Takes one answer.
    pub fn observe(&mut self, failed: bool, now: Moment) {
        let kept = self.kept_weight(now);
        self.failed = self.failed * kept + if failed { 1.0 } else { 0.0 };
        self.all = self.all * kept + 1.0;
        self.at = now;
    }

    /// Share of failed answers, from 0 to 1. It returns to 0 when no answers come.
    #[must_use]
    pub fn read(&self, now: Moment) -> f64 {
        let kept = self.kept_weight(now);
        self.failed * kept / (self.all * kept + ASSUMED_GOOD)
    }

    fn kept_weight(&self, now: Moment) -> f64 {
        (-now.since(self.at).as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
