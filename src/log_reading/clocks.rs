//! Estimates when each process started, on one common clock.
//!
//! The wall clocks of VMs differ and jump. Within an incarnation the monotonic clock orders lines. Between two
//! incarnations, an attempt can't have been received before it was sent, nor answered after its answer was
//! received. Each start is shifted until these limits hold.

use crate::log_reading::{
    incarnations::NodeIncarnation,
    matching::{MatchedAttempt, as_float},
};
use std::collections::BTreeMap;

/// Number of passes over all limits. Each pass halves the remaining contradiction between two incarnations; a
/// shift needs one pass per pair to reach an incarnation that is several pairs away.
const PASSES: usize = 60;
/// Tolerance in milliseconds. Log lines hold whole milliseconds, so each of the four values compared may be off
/// by one.
const ROUNDING_MS: f64 = 2.0;

/// Limits that the attempts between two incarnations set to the offset between their starts, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct OffsetLimits {
    min: f64,
    max: f64,
}

/// Returns the start of each incarnation in milliseconds since the Unix epoch; 0 for one without any wall-clock
/// time.
#[must_use]
pub fn align_clocks(incarnations: &[NodeIncarnation], attempts: &[MatchedAttempt]) -> Vec<f64> {
    let mut starts: Vec<f64> = incarnations.iter().map(estimate_start).collect();
    let limits = collect_limits(attempts);
    for _ in 0..PASSES {
        for ((entry, other), limits) in &limits {
            let offset = starts[*other] - starts[*entry];
            let allowed = offset.max(limits.min).min(limits.max);
            let half = (allowed - offset) / 2.0;
            starts[*other] += half;
            starts[*entry] -= half;
        }
    }
    starts
}

/// Takes the median over the lines: a jump of the wall clock shifts some of them, but seldom half.
fn estimate_start(incarnation: &NodeIncarnation) -> f64 {
    let lines = incarnation.lines.iter();
    let mut starts: Vec<f64> = lines
        .filter_map(|line| Some(as_float(line.wall_ms?) - as_float(line.up_ms)))
        .collect();
    starts.sort_by(f64::total_cmp);
    starts.get(starts.len() / 2).copied().unwrap_or_default()
}

fn collect_limits(attempts: &[MatchedAttempt]) -> BTreeMap<(usize, usize), OffsetLimits> {
    let mut all: BTreeMap<(usize, usize), OffsetLimits> = BTreeMap::new();
    for attempt in attempts {
        let incarnations = (attempt.returned.incarnation, attempt.executed.incarnation);
        if incarnations.0 == incarnations.1 {
            continue;
        }
        let min = attempt.sent_span.0 - attempt.served_span.0 - ROUNDING_MS;
        let max = attempt.sent_span.1 - attempt.served_span.1 + ROUNDING_MS;
        let limits = all.entry(incarnations).or_insert(OffsetLimits { min, max });
        limits.min = limits.min.max(min);
        limits.max = limits.max.min(max);
    }
    for limits in all.values_mut() {
        // With a clock that drifted, no offset meets all limits; the middle has the smallest error.
        if limits.min > limits.max {
            let middle = f64::midpoint(limits.min, limits.max);
            *limits = OffsetLimits {
                min: middle,
                max: middle,
            };
        }
    }
    all
}
