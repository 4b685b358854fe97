//! A pool of recent reports, each aged and used up, with a hot/cold rule.
//!
//! Upstreams whose calls in flight lie above a quantile of the pool are hot. Among cold ones the
//! lowest latency is chosen; if all are hot, the fewest calls in flight. A pool entry grants few
//! choices and then is gone, so that one report of an idle upstream can't draw all calls there.

use crate::{
    coordination::routing::{
        candidate::{Candidate, choose_near_lowest},
        two_choices_peak::choose_two_choices_peak,
    },
    state::{load_knowledge::UpstreamKnowledge, moment::Moment, names::NodeName},
};
use rand::{RngExt, rngs::StdRng};
use std::{collections::VecDeque, time::Duration};

/// Most entries in the pool.
const POOL_SIZE: usize = 16;
/// Age at which an entry is dropped.
const ENTRY_AGE: Duration = Duration::from_secs(1);
/// Choices that one entry grants.
const ENTRY_USES: u8 = 3;
/// Quantile of calls in flight above which an upstream is hot.
const HOT_QUANTILE: f64 = 0.8;
/// Share of choices made outside the pool. Only answers and probes refill the pool, and probes are
/// few: without this share the pool would hold the same few upstreams for ever.
const OUTSIDE_SHARE: f64 = 0.25;

#[derive(Clone, Debug)]
struct PoolEntry {
    node: NodeName,
    taken_at: Moment,
    uses_left: u8,
}

/// Recent reports that may still be used.
#[derive(Debug, Default)]
pub struct ProbePool {
    entries: VecDeque<PoolEntry>,
}

impl ProbePool {
    /// Notes fresh knowledge; the oldest entry gives way.
    pub fn take(&mut self, upstream: &UpstreamKnowledge, now: Moment) {
        if self.entries.len() >= POOL_SIZE {
            self.entries.pop_front();
        }
        self.entries.push_back(PoolEntry {
            node: upstream.facts().node.clone(),
            taken_at: now,
            uses_left: ENTRY_USES,
        });
    }

    /// Drops the entries of an upstream.
    pub fn forget(&mut self, node: &NodeName) {
        self.entries.retain(|entry| entry.node != *node);
    }

    /// Chooses by the pool, or by two choices while the pool has too few upstreams.
    pub fn choose<'a>(
        &mut self,
        candidates: &[Candidate<'a>],
        now: Moment,
        rng: &mut StdRng,
    ) -> Option<Candidate<'a>> {
        self.entries
            .retain(|entry| now.since(entry.taken_at) < ENTRY_AGE);
        let pooled = candidates
            .iter()
            .copied()
            .filter(|candidate| self.has_entry(candidate.node()))
            .collect::<Vec<_>>();
        if pooled.len() < 2 || rng.random::<f64>() < OUTSIDE_SHARE {
            return choose_two_choices_peak(candidates, rng);
        }
        let chosen = choose_hot_cold(&pooled, rng)?;
        self.use_entry(chosen.node());
        Some(chosen)
    }

    fn has_entry(&self, node: &NodeName) -> bool {
        self.entries.iter().any(|entry| entry.node == *node)
    }

    fn use_entry(&mut self, node: &NodeName) {
        let Some(index) = self.entries.iter().position(|entry| entry.node == *node) else {
            return;
        };
        self.entries[index].uses_left -= 1;
        if self.entries[index].uses_left == 0 {
            self.entries.remove(index);
        }
    }
}

fn choose_hot_cold<'a>(pooled: &[Candidate<'a>], rng: &mut StdRng) -> Option<Candidate<'a>> {
    let hot_above = hot_bound(pooled);
    let cold = pooled
        .iter()
        .copied()
        .filter(|candidate| candidate.estimate.in_flight < hot_above || candidate.has_room())
        .collect::<Vec<_>>();
    if cold.is_empty() {
        return choose_near_lowest(pooled, rng, |candidate| candidate.estimate.in_flight + 1.0);
    }
    choose_near_lowest(&cold, rng, Candidate::cost)
}

/// Calls in flight from which an upstream is hot.
fn hot_bound(pooled: &[Candidate<'_>]) -> f64 {
    let mut loads = pooled
        .iter()
        .map(|candidate| candidate.estimate.in_flight)
        .collect::<Vec<_>>();
    loads.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index into a pool of a few entries"
    )]
    let index = (loads.len() as f64 * HOT_QUANTILE) as usize;
    loads[index.min(loads.len() - 1)]
}
