//! What an entry node knows of one upstream, how old that is, and what it lets one expect.
//!
//! Three sources, from the most to the least trusted: the node's own outstanding calls (true at
//! once), the ends of its own calls (true when they ended), and load reports (stale on arrival,
//! possibly wrong). A report adds calls of other nodes to the estimate; it can neither hide a
//! latency that was observed here nor invent one that observation contradicts.

mod avoidance;
mod error_average;
mod outstanding;
mod peak_average;
mod ramp;
mod reported_load;

pub use self::{
    avoidance::Avoidance, error_average::ErrorAverage, outstanding::OutstandingCalls,
    peak_average::PeakAverage, ramp::Ramp, reported_load::ReportedLoad,
};
use crate::{
    protocol::{
        load_report::{LoadReport, UpstreamCondition},
        outcome::RefusalReason,
    },
    state::{
        member::Incarnation,
        moment::Moment,
        names::{AvailabilityZoneName, NodeName, RegionName},
    },
};
use std::time::Duration;

/// Time over which an observed peak of latency fades.
const PEAK_FADE: Duration = Duration::from_millis(500);
/// Time over which the usual latency follows what is observed.
const USUAL_FADE: Duration = Duration::from_secs(5);
/// Time for which the news of a drain outweighs other messages.
const DRAIN_HOLD: Duration = Duration::from_secs(1);
/// A server error counts as a call that took this many times the usual latency.
const ERROR_LATENCY_FACTOR: f64 = 10.0;
/// An upstream that announced no slots is taken to run one call at a time.
const SLOTS_AT_LEAST: f64 = 1.0;

/// What membership tells of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamFacts {
    /// The node beside the upstream.
    pub node: NodeName,
    /// Availability zone of its VM.
    pub availability_zone: AvailabilityZoneName,
    /// Region of its VM.
    pub region: RegionName,
    /// Calls the upstream can run at once.
    pub slots: u16,
    /// Whether it takes new work.
    pub condition: UpstreamCondition,
    /// The run of the node that this describes.
    pub incarnation: Incarnation,
}

/// How an attempt at an upstream ended, as seen by the entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEndKind {
    /// A whole answer came.
    Answered {
        /// The answer's status says that the server failed (500 and above).
        server_error: bool,
    },
    /// Proven not to have run.
    Refused(RefusalReason),
    /// It may have run.
    Unknown,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Time from the start of the attempt to its end.
    pub took: Duration,
    /// How it ended.
    pub kind: AttemptEndKind,
}

/// What a call sent to an upstream now may expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Calls at the upstream, running or queued, own ones included.
    pub in_flight: f64,
    /// Latency of one call, in microseconds.
    pub latency_micros: f64,
    /// Calls the upstream runs at once.
    pub slots: f64,
    /// Share of failed answers above what is usual for the service, from 0 to 1.
    pub excess_errors: f64,
    /// Share of full load that may be sent, from 0 to 1; below 1 while warming.
    pub ramp: f64,
    /// The upstream refused a short time ago.
    pub avoided: bool,
}

/// Everything an entry node knows of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamKnowledge {
    facts: UpstreamFacts,
    outstanding: OutstandingCalls,
    peak: PeakAverage,
    usual: PeakAverage,
    errors: ErrorAverage,
    reported: ReportedLoad,
    avoidance: Avoidance,
    ramp: Ramp,
    observed_at: Option<Moment>,
    probed_at: Option<Moment>,
    drained_at: Option<Moment>,
}

impl UpstreamKnowledge {
    /// Nothing known but the facts.
    #[must_use]
    pub fn new(facts: UpstreamFacts, now: Moment) -> Self {
        let ramp = Ramp::new(facts.condition, now);
        let drained_at = (facts.condition == UpstreamCondition::Draining).then_some(now);
        Self {
            facts,
            outstanding: OutstandingCalls::default(),
            peak: PeakAverage::peak_sensitive(PEAK_FADE),
            usual: PeakAverage::plain(USUAL_FADE),
            errors: ErrorAverage::default(),
            reported: ReportedLoad::default(),
            avoidance: Avoidance::default(),
            ramp,
            observed_at: None,
            probed_at: None,
            drained_at,
        }
    }

    /// Takes newer facts. A new incarnation is a new process: nothing observed before holds.
    pub fn update_facts(&mut self, facts: UpstreamFacts, now: Moment) {
        if facts.incarnation < self.facts.incarnation {
            return;
        }
        if facts.incarnation > self.facts.incarnation {
            let outstanding = std::mem::take(&mut self.outstanding);
            *self = Self::new(facts, now);
            self.outstanding = outstanding;
            return;
        }
        let condition = facts.condition;
        self.facts = UpstreamFacts {
            condition: self.facts.condition,
            ..facts
        };
        self.take_condition(condition, now);
    }

    /// Takes a condition from a message that may be older than what is known.
    ///
    /// A message that was sent before a drain may arrive after the news of it, and a leaving
    /// upstream would get new work again; so a drain holds for longer than messages are under way.
    /// It ends then, since an upstream may come back beside the same run of its node.
    fn take_condition(&mut self, condition: UpstreamCondition, now: Moment) {
        let leaving = condition == UpstreamCondition::Draining;
        let held = self.drained_at.is_some_and(|at| now.since(at) < DRAIN_HOLD);
        if held && !leaving {
            return;
        }
        self.drained_at = leaving.then_some(now);
        self.facts.condition = condition;
        self.ramp.enter(condition, now);
    }

    /// The facts that hold now.
    #[must_use]
    pub fn facts(&self) -> &UpstreamFacts {
        &self.facts
    }

    /// Whether new work may be sent at all.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(
            self.facts.condition,
            UpstreamCondition::Serving | UpstreamCondition::Warming
        )
    }

    /// Counts an own call from the moment it is sent.
    pub fn start_call(&mut self, now: Moment) {
        self.outstanding.start(now);
    }

    /// Learns from the end of an own call. `typical_micros` is the usual latency of the service.
    pub fn end_call(
        &mut self,
        ended: AttemptEnd,
        load: Option<LoadReport>,
        typical_micros: f64,
        now: Moment,
    ) {
        self.outstanding.end(now - ended.took);
        let took = micros(ended.took);
        match ended.kind {
            AttemptEndKind::Answered {
                server_error: false,
            } => self.observe_answer(took, now),
            AttemptEndKind::Answered { server_error: true } | AttemptEndKind::Unknown => {
                self.observe_failure(took, typical_micros, now);
            }
            AttemptEndKind::Refused(RefusalReason::Cancelled) => {
                self.observe_cut_off(took, typical_micros, now);
            }
            AttemptEndKind::Refused(reason) => self.observe_refusal(reason, now),
        }
        if let Some(report) = load {
            self.take_report(report, now);
        }
    }

    /// Takes a load report, from an answer or a probe.
    pub fn take_report(&mut self, report: LoadReport, now: Moment) {
        self.reported.take(report, self.outstanding.count(), now);
        self.take_condition(report.condition, now);
    }

    /// What a call sent now may expect, given the usual latency and error share of the service.
    #[must_use]
    pub fn estimate(&self, typical_micros: f64, typical_errors: f64, now: Moment) -> LoadEstimate {
        let observed = self.peak.read(typical_micros, now);
        let latency_micros = observed.max(self.outstanding.oldest_age_micros(now));
        let slots = f64::from(self.facts.slots).max(SLOTS_AT_LEAST);
        let own = f64::from(self.outstanding.count());
        let believable = self.believable_in_flight(slots, latency_micros / typical_micros, now);
        let others = self.reported.others(now).min((believable - own).max(0.0));
        LoadEstimate {
            in_flight: own + others,
            latency_micros,
            slots,
            excess_errors: (self.errors.read(now) - typical_errors).max(0.0),
            ramp: self.ramp.share(now),
            avoided: self.avoidance.is_active(now),
        }
    }

    /// Most calls in flight that fit what was observed here a short time ago: an upstream whose
    /// answers come as fast as ever has a slot free.
    ///
    /// Without this bound a report that claims a long queue would keep all work away from an
    /// upstream that is in fact idle.
    fn believable_in_flight(&self, slots: f64, slowdown: f64, now: Moment) -> f64 {
        let fresh = self.observed_at.is_some_and(|at| now.since(at) < PEAK_FADE);
        if fresh {
            slots * slowdown.max(1.0) - 1.0
        } else {
            f64::INFINITY
        }
    }

    /// The usual latency observed here, if any, in microseconds.
    #[must_use]
    pub fn usual_micros(&self) -> Option<f64> {
        self.usual.last()
    }

    /// Aged share of failed answers.
    #[must_use]
    pub fn error_share(&self, now: Moment) -> f64 {
        self.errors.read(now)
    }

    /// Own calls that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> u32 {
        self.outstanding.count()
    }

    /// The last report and when it came.
    #[must_use]
    pub fn last_report(&self) -> Option<(LoadReport, Moment)> {
        self.reported.last()
    }

    /// When an own call or a report last told something.
    #[must_use]
    pub fn heard_at(&self) -> Option<Moment> {
        let reported_at = self.reported.last().map(|(_, at)| at);
        self.observed_at.max(reported_at)
    }

    /// Notes that a probe is under way.
    pub fn note_probe(&mut self, now: Moment) {
        self.probed_at = Some(now);
    }

    /// Whether a probe would tell something: no call or report
    /// told of it for `stale_after`, and neither a call nor a probe is under way that soon will.
    #[must_use]
    pub fn is_worth_probing(&self, stale_after: Duration, now: Moment) -> bool {
        let is_old = |at: Option<Moment>| at.is_none_or(|at| now.since(at) >= stale_after);
        self.outstanding.count() == 0 && is_old(self.heard_at()) && is_old(self.probed_at)
    }

    /// Whether the upstream refused a short time ago.
    #[must_use]
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.avoidance.is_active(now)
    }

    fn observe_answer(&mut self, took: f64, now: Moment) {
        self.peak.observe(took, now);
        self.usual.observe(took, now);
        self.errors.observe(false, now);
        self.avoidance.clear();
        self.observed_at = Some(now);
    }

    /// A fast failure must not look like a fast answer: it would draw ever more calls to the
    /// upstream that fails them. Counted as slow, it repels them.
    fn observe_failure(&mut self, took: f64, typical_micros: f64, now: Moment) {
        self.peak
            .observe(took.max(typical_micros * ERROR_LATENCY_FACTOR), now);
        self.errors.observe(true, now);
        self.observed_at = Some(now);
    }

    /// An attempt that was given up tells how long it took at the least. Without this, a hedge that
    /// overtakes a slow attempt would hide from the router that the upstream is slow.
    fn observe_cut_off(&mut self, took: f64, typical_micros: f64, now: Moment) {
        if took > self.peak.read(typical_micros, now) {
            self.peak.observe(took, now);
            self.observed_at = Some(now);
        }
    }

    fn observe_refusal(&mut self, reason: RefusalReason, now: Moment) {
        if reason == RefusalReason::Draining {
            self.take_condition(UpstreamCondition::Draining, now);
        }
        self.avoidance.refuse(reason, now);
    }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
