//! Each upstream in turn.

use crate::{coordination::routing::candidate::Candidate, state::names::NodeName};

/// Remembers whose turn it was.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: Option<NodeName>,
}

impl RoundRobin {
    /// The next candidate by name after the last one chosen. Going by name keeps the turn right
    /// while upstreams come and go.
    pub fn choose<'a>(&mut self, candidates: &[Candidate<'a>]) -> Option<Candidate<'a>> {
        let following = candidates.iter().find(|candidate| {
            self.last
                .as_ref()
                .is_none_or(|last| candidate.node() > last)
        });
        let chosen = following.or(candidates.first()).copied()?;
        self.last = Some(chosen.node().clone());
        Some(chosen)
    }
}
