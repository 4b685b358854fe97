//! When a second attempt beside the first one pays, and after how long.

use crate::state::{latency_history::LatencyHistory, moment::Moment};
use std::time::Duration;

/// Quantile of the observed latency after which a second attempt starts.
const DELAY_QUANTILE: f64 = 0.95;
/// Quantile that a second attempt should bring down.
const TAIL_QUANTILE: f64 = 0.99;
/// Answers without which nothing is concluded.
const LEAST_SAMPLES: u64 = 100;

/// Time after which a second attempt pays; none while measurement does not show that it does.
///
/// With a second attempt, the slowest calls take about the delay and one usual latency. It pays
/// if the tail lies clearly above that. Half of the usual latency is asked for, not the whole:
/// once second attempts run, first ones are cut off at that sum, and the tail that is observed
/// shrinks to it; a stricter rule would turn itself on and off.
#[must_use]
pub fn hedge_delay(history: &LatencyHistory, now: Moment) -> Option<Duration> {
    if history.samples(now) < LEAST_SAMPLES {
        return None;
    }
    let usual = history.quantile(0.5, now);
    let delay = history.quantile(DELAY_QUANTILE, now);
    let tail = history.quantile(TAIL_QUANTILE, now);
    (tail > delay + usual / 2).then_some(delay)
}
