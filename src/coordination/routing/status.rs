//! What a router knows, for status pages.

use crate::{
    coordination::measuring::MeasuringStatus,
    protocol::load_report::UpstreamCondition,
    state::{
        configuration::PolicyName,
        load_knowledge::UpstreamKnowledge,
        moment::Moment,
        names::{AvailabilityZoneName, NodeName},
    },
};
use serde::Serialize;

/// Knowledge of all upstreams of a service, and the cost of measuring them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouterStatus {
    /// The rule in force.
    pub policy: PolicyName,
    /// Budget and use of measuring.
    pub measuring: MeasuringStatus,
    /// Each upstream, by name.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Knowledge of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// The node beside it.
    pub node: NodeName,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Whether it takes new work.
    pub condition: UpstreamCondition,
    /// Own calls that have not ended.
    pub outstanding: u32,
    /// Calls in flight as estimated.
    pub in_flight: f64,
    /// Latency as estimated, in microseconds.
    pub latency_micros: f64,
    /// Aged share of failed answers, from 0 to 1.
    pub error_share: f64,
    /// Share of full load while warming, from 0 to 1.
    pub ramp: f64,
    /// Whether it refused a short time ago.
    pub avoided: bool,
    /// Age of the newest knowledge in milliseconds; none if nothing was heard.
    pub age_ms: Option<u64>,
}

impl UpstreamStatus {
    /// What is known of the upstream at `now`.
    #[must_use]
    pub fn new(upstream: &UpstreamKnowledge, typical_micros: f64, now: Moment) -> Self {
        let estimate = upstream.estimate(typical_micros, 0.0, now);
        let facts = upstream.facts();
        Self {
            node: facts.node.clone(),
            availability_zone: facts.availability_zone.clone(),
            condition: facts.condition,
            outstanding: upstream.outstanding(),
            in_flight: estimate.in_flight,
            latency_micros: estimate.latency_micros,
            error_share: estimate.excess_errors,
            ramp: estimate.ramp,
            avoided: estimate.avoided,
            age_ms: upstream
                .heard_at()
                .map(|at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)),
        }
    }
}
