//! The least load by the last report.

use super::candidate::Candidate;
use rand::{rngs::StdRng, seq::IndexedRandom};

/// One of the candidates with the least reported load, at random among equals.
pub fn choose_least_reported<'a>(
    candidates: &[Candidate<'a>],
    rng: &mut StdRng,
) -> Option<Candidate<'a>> {
    let least = candidates.iter().map(Candidate::reported_load).min()?;
    let equals = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.reported_load() == least)
        .collect::<Vec<_>>();
    equals.choose(rng).copied()
}
