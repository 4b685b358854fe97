//! The closed set of rules that choose an upstream.

use crate::{
    coordination::routing::{
        RouterSettings, candidate::Candidate, eligibility::keep_healthy,
        least_reported::choose_least_reported, probe_pool::ProbePool, random::choose_random,
        round_robin::RoundRobin, two_choices::choose_two_choices,
        two_choices_peak::choose_two_choices_peak, zone_preference::keep_zone,
    },
    state::{
        configuration::PolicyName, load_knowledge::UpstreamKnowledge, moment::Moment,
        names::NodeName,
    },
};
use rand::rngs::StdRng;

/// A rule with the state it keeps.
#[derive(Debug)]
pub enum Policy {
    /// Any upstream, evenly.
    Random,
    /// Each in turn.
    RoundRobin(RoundRobin),
    /// The least load by the last report.
    LeastReported,
    /// The better of two by the last report.
    TwoChoices,
    /// The better of two by peak-sensitive latency and calls in flight.
    TwoChoicesPeak,
    /// A pool of recent reports with a hot/cold rule.
    ProbePool(ProbePool),
}

impl PolicyName {
    /// Whether the rule is a plain one, kept to compare with: it leaves out upstreams that take no
    /// work and those that refused the same call, and looks at nothing else that was observed.
    #[must_use]
    pub fn is_plain(self) -> bool {
        match self {
            Self::Random | Self::RoundRobin | Self::LeastReported | Self::TwoChoices => true,
            Self::TwoChoicesPeak | Self::ProbePool => false,
        }
    }
}

impl Policy {
    /// The rule of that name, with nothing in its state.
    pub fn new(name: PolicyName) -> Self {
        match name {
            PolicyName::Random => Self::Random,
            PolicyName::RoundRobin => Self::RoundRobin(RoundRobin::default()),
            PolicyName::LeastReported => Self::LeastReported,
            PolicyName::TwoChoices => Self::TwoChoices,
            PolicyName::TwoChoicesPeak => Self::TwoChoicesPeak,
            PolicyName::ProbePool => Self::ProbePool(ProbePool::default()),
        }
    }

    /// Chooses one of the candidates; none only if there are none.
    pub fn choose<'a>(
        &mut self,
        candidates: &[Candidate<'a>],
        settings: &RouterSettings,
        now: Moment,
        rng: &mut StdRng,
    ) -> Option<Candidate<'a>> {
        match self {
            Self::Random => choose_random(candidates, rng),
            Self::RoundRobin(state) => state.choose(candidates),
            Self::LeastReported => choose_least_reported(candidates, rng),
            Self::TwoChoices => choose_two_choices(candidates, rng),
            Self::TwoChoicesPeak => {
                let kept = keep_zone(keep_healthy(candidates, rng), settings);
                choose_two_choices_peak(&kept, rng)
            }
            Self::ProbePool(pool) => {
                let kept = keep_zone(keep_healthy(candidates, rng), settings);
                pool.choose(&kept, now, rng)
            }
        }
    }

    /// Lets the rule note fresh knowledge of an upstream.
    pub fn take_knowledge(&mut self, upstream: &UpstreamKnowledge, now: Moment) {
        if let Self::ProbePool(pool) = self {
            pool.take(upstream, now);
        }
    }

    /// Drops what the rule keeps of an upstream.
    pub fn forget(&mut self, node: &NodeName) {
        if let Self::ProbePool(pool) = self {
            pool.forget(node);
        }
    }
}
