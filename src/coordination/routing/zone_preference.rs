//! Prefers the own availability zone while it meets the target.

use super::{RouterSettings, candidate::Candidate, eligibility::prefer};

/// Share of the target time up to which a call may be expected to take in the own zone.
const TARGET_SHARE: f64 = 0.5;

/// Candidates of the own availability zone that have room and meet the target well; else those anywhere
/// that have room; else all.
///
/// The bound lies below the target and below a full upstream, so that work spills over before the
/// zone fails, not after.
pub fn keep_zone<'a>(
    candidates: Vec<Candidate<'a>>,
    settings: &RouterSettings,
) -> Vec<Candidate<'a>> {
    let bound = settings.target.as_secs_f64() * 1e6 * TARGET_SHARE;
    let near = candidates
        .iter()
        .copied()
        .filter(|candidate| {
            candidate.knowledge.facts().availability_zone == settings.availability_zone
        })
        .filter(|candidate| candidate.has_room() && candidate.expected_micros() <= bound)
        .collect::<Vec<_>>();
    if near.is_empty() {
        prefer(candidates, Candidate::has_room)
    } else {
        near
    }
}
