//! When a second attempt beside the first one pays, and after how long.

use crate::state::{latency_history::LatencyHistory, moment::Moment};
use std::time::Duration;

/// Quantile of the observed latency after which a second attempt starts.
const DELAY_QUANTILE: f64 = 0.95;
/// Quantile that a second attempt should bring down.
const TAIL_QUANTILE: f64 = 0.99;
/// Answers without which nothing is concluded.
const LEAST_SAMPLES: u64 = 100;

/// Time that a second attempt needs, as a multiple of the usual latency.
const SECOND_ATTEMPT: u32 = 2;

/// Time after which a second attempt pays for a class with that target; none while measurement
/// does not show that it does.
///
/// Under a lasting disturbance the quantile of the delay comes to lie within the disturbance, and
/// second attempts that start so late help no call to its target. So none starts later than leaves
/// it time to meet the target, but none before clearly more than the usual latency has passed
/// either: that would send nearly every call twice and empty the budget.
#[must_use]
pub fn hedge_delay_for_target(
    history: &LatencyHistory,
    target: Duration,
    now: Moment,
) -> Option<Duration> {
    let usual = history.quantile(0.5, now);
    let useful = target.saturating_sub(usual * SECOND_ATTEMPT);
    let latest = useful.max(usual + usual / 2);
    hedge_after(history, latest, now)
}

/// Time after which a second attempt pays, whatever the target; none while measurement does not show that it does.
///
/// With a second attempt, the slowest calls take about the delay and one usual latency. It pays
/// if the tail lies clearly above that. Half of the usual latency is asked for, not the whole:
/// once second attempts run, first ones are cut off at that sum, and the tail that is observed
/// shrinks to it; a stricter rule would turn itself on and off.
#[must_use]
pub fn hedge_delay(history: &LatencyHistory, now: Moment) -> Option<Duration> {
    hedge_after(history, Duration::MAX, now)
}

fn hedge_after(history: &LatencyHistory, latest: Duration, now: Moment) -> Option<Duration> {
    if history.samples(now) < LEAST_SAMPLES {
        return None;
    }
    let usual = history.quantile(0.5, now);
    let delay = history.quantile(DELAY_QUANTILE, now).min(latest);
    let tail = history.quantile(TAIL_QUANTILE, now);
    (tail > delay + usual / 2).then_some(delay)
}
