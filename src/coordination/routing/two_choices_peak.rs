//! The better of two upstreams at random, by peak-sensitive latency and calls in flight.

use super::candidate::{Candidate, choose_near_lowest};
use rand::{rngs::StdRng, seq::IndexedRandom};

/// Two are drawn instead of taking the best of all: entry nodes that share the same stale
/// knowledge would all take the same best one, and it would be swamped before any of them knew.
const CHOICES: usize = 2;

/// The cheaper of two different candidates.
pub fn choose_two_choices_peak<'a>(
    candidates: &[Candidate<'a>],
    rng: &mut StdRng,
) -> Option<Candidate<'a>> {
    let drawn = candidates.sample(rng, CHOICES).copied().collect::<Vec<_>>();
    choose_near_lowest(&drawn, rng, Candidate::cost)
}
