//! Any upstream, evenly.

use super::candidate::Candidate;
use rand::{rngs::StdRng, seq::IndexedRandom};

/// One of the candidates at random.
pub fn choose_random<'a>(candidates: &[Candidate<'a>], rng: &mut StdRng) -> Option<Candidate<'a>> {
    candidates.choose(rng).copied()
}
