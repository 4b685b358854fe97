//! An upstream that may be chosen, with what a call sent to it may expect.

use crate::{
    protocol::load_report::LoadReport,
    state::{
        load_knowledge::{LoadEstimate, UpstreamKnowledge},
        moment::Moment,
        names::NodeName,
    },
};
use rand::{rngs::StdRng, seq::IndexedRandom};

/// Values within this factor of the lowest are equal.
const NEAR_EQUAL: f64 = 1.1;

/// An upstream that takes work and that the call has not been refused by.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What is known of it.
    pub knowledge: &'a UpstreamKnowledge,
    /// What that lets one expect.
    pub estimate: LoadEstimate,
}

impl<'a> Candidate<'a> {
    /// The node beside the upstream.
    #[must_use]
    pub fn node(&self) -> &'a NodeName {
        &self.knowledge.facts().node
    }

    /// Calls at the upstream by its last report alone; an upstream without a report counts as idle.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        self.last_report().map_or(0, |report| {
            u32::from(report.running) + u32::from(report.queued)
        })
    }

    /// Latency weighed by the calls that would be there with this one: lower is better.
    ///
    /// Up to the count of slots a call costs little beyond the latency observed, above it each
    /// call waits for one more. Weighing by the count alone would call an idle upstream that is
    /// five times slower as good as a quick one with five calls.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let load = (self.estimate.in_flight + 1.0) / self.estimate.slots;
        self.estimate.latency_micros * (load + load.max(1.0))
    }

    /// Whether a call sent now would find a free slot.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.estimate.in_flight + 1.0 <= self.estimate.slots * self.estimate.ramp
    }

    /// Time a call sent now may expect, in microseconds.
    #[must_use]
    pub fn expected_micros(&self) -> f64 {
        let load = (self.estimate.in_flight + 1.0) / self.estimate.slots;
        self.estimate.latency_micros * load.max(1.0)
    }

    /// Calls at the upstream as estimated, in whole calls.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "never negative, and the cast keeps within bounds"
    )]
    #[must_use]
    pub fn calls_there(&self) -> u16 {
        self.estimate.in_flight.round() as u16
    }

    /// Age of the newest knowledge, in milliseconds; 0 if nothing was heard.
    #[must_use]
    pub fn knowledge_age_ms(&self, now: Moment) -> u32 {
        self.knowledge.heard_at().map_or(0, |at| {
            u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
        })
    }

    fn last_report(&self) -> Option<LoadReport> {
        self.knowledge
            .last_report()
            .map(|(report, _): (LoadReport, Moment)| report)
    }
}

/// One of the candidates whose value is near the lowest, at random.
///
/// Entry nodes with the same knowledge would all take the lowest; and an upstream that recovers
/// approaches the others' values without ever passing them, so it would never be tried again.
pub fn choose_near_lowest<'a>(
    candidates: &[Candidate<'a>],
    rng: &mut StdRng,
    value: impl Fn(&Candidate<'a>) -> f64,
) -> Option<Candidate<'a>> {
    let lowest = candidates.iter().map(&value).min_by(f64::total_cmp)?;
    let near = candidates
        .iter()
        .copied()
        .filter(|candidate| value(candidate) <= lowest * NEAR_EQUAL)
        .collect::<Vec<_>>();
    near.choose(rng).copied()
}

/// The middle value, the lower of two.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
