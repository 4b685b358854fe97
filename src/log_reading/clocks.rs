//! When each run began, on one clock for all.
//!
//! VMs' times of day differ, and jump. Within a run the steady clock orders lines; between runs, an
//! attempt can't have been served before it was asked for, nor answered after its answer came. These
//! bounds move the runs against each other until they hold.

use crate::log_reading::{
    incarnations::NodeIncarnation,
    matching::{MatchedAttempt, as_float},
};
use std::collections::BTreeMap;

/// Passes over all bounds. Each halves what is left of a contradiction between two runs; what lies
/// several runs apart takes a pass for each.
const PASSES: usize = 60;
/// Lines tell whole milliseconds, so each of four figures may be off by one.
const ROUNDING_MS: f64 = 2.0;

/// What the attempts between two runs allow for the difference of their beginnings.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    least: f64,
    most: f64,
}

/// The beginning of each run in milliseconds; of one without any time of day, 0.
#[must_use]
pub fn align_clocks(runs: &[NodeIncarnation], attempts: &[MatchedAttempt]) -> Vec<f64> {
    let mut begins: Vec<f64> = runs.iter().map(estimate_begin).collect();
    let bounds = collect_bounds(attempts);
    for _ in 0..PASSES {
        for ((entry, other), bounds) in &bounds {
            let difference = begins[*other] - begins[*entry];
            let wanted = difference.max(bounds.least).min(bounds.most);
            let half = (wanted - difference) / 2.0;
            begins[*other] += half;
            begins[*entry] -= half;
        }
    }
    begins
}

/// The median over the lines: a jump of the time of day shifts some of them, seldom half.
fn estimate_begin(run: &NodeIncarnation) -> f64 {
    let lines = run.lines.iter();
    let mut begins: Vec<f64> = lines
        .filter_map(|line| Some(as_float(line.wall_ms?) - as_float(line.up_ms)))
        .collect();
    begins.sort_by(f64::total_cmp);
    begins.get(begins.len() / 2).copied().unwrap_or_default()
}

fn collect_bounds(attempts: &[MatchedAttempt]) -> BTreeMap<(usize, usize), Bounds> {
    let mut all: BTreeMap<(usize, usize), Bounds> = BTreeMap::new();
    for attempt in attempts {
        let runs = (attempt.returned.run, attempt.executed.run);
        if runs.0 == runs.1 {
            continue;
        }
        let least = attempt.asked.0 - attempt.served.0 - ROUNDING_MS;
        let most = attempt.asked.1 - attempt.served.1 + ROUNDING_MS;
        let bounds = all.entry(runs).or_insert(Bounds { least, most });
        bounds.least = bounds.least.max(least);
        bounds.most = bounds.most.min(most);
    }
    for bounds in all.values_mut() {
        // A clock that ran unevenly allows no difference at all; the middle is the least wrong.
        if bounds.least > bounds.most {
            let middle = f64::midpoint(bounds.least, bounds.most);
            *bounds = Bounds {
                least: middle,
                most: middle,
            };
        }
    }
    all
}
