//! Chooses an upstream for a call, from what one entry node knows of the upstreams of one service.
//!
//! Pure: time is passed in, chance comes from a seeded generator, nothing is sent from here.

mod candidate;
mod eligibility;
mod least_reported;
mod policy;
mod probe_pool;
mod random;
mod round_robin;
mod status;
mod two_choices;
mod two_choices_peak;
mod zone_preference;

pub use crate::{
    coordination::routing::status::{RouterStatus, UpstreamStatus},
    state::load_knowledge::{AttemptEnd, AttemptEndKind, UpstreamFacts},
};
use crate::{
    coordination::{
        measuring::ProbeLimiter,
        routing::{candidate::Candidate, eligibility::collect_candidates, policy::Policy},
    },
    events::reasons::ChoiceReason,
    protocol::load_report::LoadReport,
    state::{
        configuration::{MeasuringBudget, PolicyName},
        load_knowledge::UpstreamKnowledge,
        moment::Moment,
        names::{AvailabilityZoneName, NodeName, RegionName},
    },
};
use rand::{SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Latency assumed before any call was answered, in microseconds.
const FIRST_LATENCY_MICROS: f64 = 5_000.0;
/// An upstream of which nothing was heard for this long is worth a probe.
const STALE_AFTER: Duration = Duration::from_millis(500);
/// Without a call for this long the service is idle and nothing is probed.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// What a router is told by the settings and the published configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The rule that chooses.
    pub policy: PolicyName,
    /// Availability zone of this node.
    pub availability_zone: AvailabilityZoneName,
    /// Region of this node.
    pub region: RegionName,
    /// Most that measuring may cost.
    pub measuring: MeasuringBudget,
    /// The strictest target time of the service's classes.
    pub target: Duration,
}

impl RouterSettings {
    fn find_reason(&self, chosen: Candidate, candidates: usize) -> ChoiceReason {
        let near = chosen.knowledge.facts().availability_zone == self.availability_zone;
        if candidates == 1 {
            ChoiceReason::OnlyCandidate
        } else if near || self.policy.is_plain() {
            ChoiceReason::Policy
        } else {
            ChoiceReason::OtherZone
        }
    }
}

/// A chosen upstream, and what the choice rested on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The node beside it.
    pub node: NodeName,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Upstreams that could have been chosen.
    pub candidates: u16,
    /// Calls at the upstream as estimated, this one not included.
    pub known_load: u16,
    /// Age of the newest knowledge of it in milliseconds; 0 if nothing was heard.
    pub known_age_ms: u32,
}

/// Chooses among the upstreams of one service.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    policy: Policy,
    /// Sorted by node name.
    upstreams: Vec<UpstreamKnowledge>,
    probes: ProbeLimiter,
    last_call: Option<Moment>,
    rng: StdRng,
}

impl Router {
    /// A router that knows no upstreams.
    #[must_use]
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            policy: Policy::new(settings.policy),
            probes: ProbeLimiter::new(settings.measuring),
            settings,
            upstreams: Vec::new(),
            last_call: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes new settings and keeps what is known of the upstreams.
    pub fn update_settings(&mut self, settings: RouterSettings) {
        if settings.policy != self.settings.policy {
            self.policy = Policy::new(settings.policy);
        }
        self.probes.set_budget(settings.measuring);
        self.settings = settings;
    }

    /// Adds an upstream or takes newer facts of it.
    pub fn upsert_upstream(&mut self, facts: UpstreamFacts, now: Moment) {
        match self.find(&facts.node) {
            Ok(index) => self.upstreams[index].update_facts(facts, now),
            Err(index) => self
                .upstreams
                .insert(index, UpstreamKnowledge::new(facts, now)),
        }
    }

    /// Forgets an upstream.
    pub fn remove_upstream(&mut self, node: &NodeName) {
        if let Ok(index) = self.find(node) {
            self.upstreams.remove(index);
            self.policy.forget(node);
        }
    }

    /// The upstream for a call, or none if no upstream outside `excluded` takes work.
    pub fn choose(&mut self, excluded: &[NodeName], now: Moment) -> Option<NodeName> {
        self.choose_with_reason(excluded, now)
            .map(|choice| choice.node)
    }

    /// Like [`Self::choose`], and tells what the choice rested on.
    pub fn choose_with_reason(&mut self, excluded: &[NodeName], now: Moment) -> Option<Choice> {
        self.last_call = Some(now);
        self.probes.count_call();
        let typical = self.typical_micros();
        let candidates = collect_candidates(&self.upstreams, excluded, typical, now);
        let candidates = eligibility::keep_region(candidates, &self.settings.region);
        let chosen = self
            .policy
            .choose(&candidates, &self.settings, now, &mut self.rng)?;
        Some(Choice {
            node: chosen.node().clone(),
            reason: self.settings.find_reason(chosen, candidates.len()),
            candidates: u16::try_from(candidates.len()).unwrap_or(u16::MAX),
            known_load: chosen.calls_there(),
            known_age_ms: chosen.knowledge_age_ms(now),
        })
    }

    /// Counts a call as outstanding.
    pub fn record_started(&mut self, node: &NodeName, now: Moment) {
        if let Ok(index) = self.find(node) {
            self.upstreams[index].start_call(now);
        }
    }

    /// Learns from the end of an attempt. The end of a call to an upstream that has been removed
    /// meanwhile is ignored.
    pub fn record_ended(
        &mut self,
        node: &NodeName,
        ended: AttemptEnd,
        load: Option<LoadReport>,
        now: Moment,
    ) {
        let typical = self.typical_micros();
        if let Ok(index) = self.find(node) {
            let upstream = &mut self.upstreams[index];
            upstream.end_call(ended, load, typical, now);
            self.policy.take_knowledge(upstream, now);
        }
    }

    /// The upstream to probe now, if any is worth it and the budget grants it. The grant is spent
    /// by this call, whether or not an answer comes.
    pub fn next_probe(&mut self, now: Moment) -> Option<NodeName> {
        let busy = self.last_call.is_some_and(|at| now.since(at) < IDLE_AFTER);
        if !busy || self.settings.policy.is_plain() {
            return None;
        }
        let stalest = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_worth_probing(STALE_AFTER, now))
            .min_by_key(|upstream| upstream.heard_at())?;
        let node = stalest.facts().node.clone();
        if !self.probes.grant(now) {
            return None;
        }
        if let Ok(index) = self.find(&node) {
            self.upstreams[index].note_probe(now);
        }
        Some(node)
    }

    /// Takes the answer of a probe (none if it was lost) and what it cost in bytes.
    pub fn record_probe(
        &mut self,
        node: &NodeName,
        report: Option<LoadReport>,
        bytes: u32,
        now: Moment,
    ) {
        self.probes.settle(bytes);
        let found = self.find(node);
        if let (Ok(index), Some(report)) = (found, report) {
            let upstream = &mut self.upstreams[index];
            upstream.take_report(report, now);
            self.policy.take_knowledge(upstream, now);
        }
    }

    /// What is known of each upstream, and what measuring has cost.
    #[must_use]
    pub fn snapshot(&self, now: Moment) -> RouterStatus {
        let typical = self.typical_micros();
        RouterStatus {
            policy: self.settings.policy,
            measuring: self.probes.status(),
            upstreams: self
                .upstreams
                .iter()
                .map(|upstream| UpstreamStatus::new(upstream, typical, now))
                .collect(),
        }
    }

    /// Upstreams that are known, whatever their condition.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Median of the usual latencies of the upstreams: one slow upstream does not move it.
    fn typical_micros(&self) -> f64 {
        let usual = self
            .upstreams
            .iter()
            .filter_map(UpstreamKnowledge::usual_micros)
            .collect();
        candidate::median(usual).unwrap_or(FIRST_LATENCY_MICROS)
    }

    fn find(&self, node: &NodeName) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|upstream| upstream.facts().node.cmp(node))
    }
}
