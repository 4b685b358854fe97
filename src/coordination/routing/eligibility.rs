//! Which upstreams may be chosen at all, and which with less than their full share.

use crate::{
    coordination::routing::candidate::{Candidate, median},
    state::{
        load_knowledge::UpstreamKnowledge,
        moment::Moment,
        names::{NodeName, RegionName},
    },
};
use rand::{RngExt, rngs::StdRng};

/// Excess of failed answers below which an upstream gets its full share.
const TOLERATED_ERRORS: f64 = 0.1;
/// Least share of its calls that an upstream with failures gets, by which it shows its recovery.
const TRIAL_SHARE: f64 = 0.01;

/// Upstreams that take work and are not excluded.
pub fn collect_candidates<'a>(
    upstreams: &'a [UpstreamKnowledge],
    excluded: &[NodeName],
    typical_micros: f64,
    now: Moment,
) -> Vec<Candidate<'a>> {
    let errors = upstreams
        .iter()
        .map(|upstream| upstream.error_share(now))
        .collect();
    let typical_errors = median(errors).unwrap_or_default();
    upstreams
        .iter()
        .filter(|upstream| upstream.takes_work())
        .filter(|upstream| !excluded.contains(&upstream.facts().node))
        .map(|knowledge| Candidate {
            knowledge,
            estimate: knowledge.estimate(typical_micros, typical_errors, now),
        })
        .collect()
}

/// Candidates of the own region; those of others only if it has none.
pub fn keep_region<'a>(candidates: Vec<Candidate<'a>>, region: &RegionName) -> Vec<Candidate<'a>> {
    prefer(candidates, |candidate| {
        candidate.knowledge.facts().region == *region
    })
}

/// Leaves out upstreams that refused a short time ago, and thins out those that are warming or
/// fail more than the others. Never leaves nothing.
pub fn keep_healthy<'a>(candidates: &[Candidate<'a>], rng: &mut StdRng) -> Vec<Candidate<'a>> {
    let kept = prefer(candidates.to_vec(), |candidate| !candidate.estimate.avoided);
    prefer(kept, |candidate| {
        let share = share_of(candidate);
        share >= 1.0 || rng.random::<f64>() < share
    })
}

/// The share of its calls that a candidate gets.
fn share_of(candidate: &Candidate<'_>) -> f64 {
    let excess = candidate.estimate.excess_errors;
    let healthy = if excess <= TOLERATED_ERRORS {
        1.0
    } else {
        (1.0 - excess).powi(4).max(TRIAL_SHARE)
    };
    healthy * candidate.estimate.ramp
}

/// Candidates with the property, or all if none has it.
pub fn prefer<'a>(
    candidates: Vec<Candidate<'a>>,
    mut keeps: impl FnMut(&Candidate<'a>) -> bool,
) -> Vec<Candidate<'a>> {
    let kept = candidates
        .iter()
        .copied()
        .filter(|candidate| keeps(candidate))
        .collect::<Vec<_>>();
    if kept.is_empty() { candidates } else { kept }
}
