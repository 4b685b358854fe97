//! The better of two upstreams at random, by the last report.

use super::candidate::Candidate;
use rand::{rngs::StdRng, seq::IndexedRandom};

/// The less loaded of two different candidates, by their reports alone.
pub fn choose_two_choices<'a>(
    candidates: &[Candidate<'a>],
    rng: &mut StdRng,
) -> Option<Candidate<'a>> {
    candidates
        .sample(rng, 2)
        .min_by_key(|candidate| candidate.reported_load())
        .copied()
}
