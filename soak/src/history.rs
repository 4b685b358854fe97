//! Record of a seed's run: requests, acknowledged changes, faults and violations. The checks read it.

use camphorturn::local_mesh::client::CallFailure;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time after an acknowledged change within which every node must have it in force. For a node that was kept from receiving
/// changes, or has started, the time counts from the end of that period. The platform's users rely on this limit.
pub const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_500);

/// A request and its result, as its caller observed them.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Number of the node that the request was sent to.
    pub node: usize,
    /// Incarnation of that node's process, counted from 1.
    pub node_incarnation: u64,
    /// Path of the request. It is unique, except for requests that crash upstreams.
    pub target: String,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Version of the configuration that added the route; 0 is the first configuration.
    pub route_version: u64,
    /// When the request was sent.
    pub sent: Instant,
    /// When the answer was complete or the call had failed.
    pub ended: Instant,
    /// Status and body, or why there is no answer.
    pub answer: Result<(u16, String), CallFailure>,
}

/// A change that a node or the store acknowledged.
#[derive(Clone, Debug)]
pub enum Acknowledged {
    /// A node accepted the announcement that its upstream is draining.
    Leaving {
        /// Instance id of the upstream.
        instance: String,
        /// Start of the incarnation, in Unix milliseconds: incarnations may share an instance id.
        incarnation_started_ms: u64,
        /// When the acknowledgement arrived.
        at: Instant,
    },
    /// The store accepted a configuration.
    Change {
        /// Version of the configuration.
        route_version: u64,
        /// When the store accepted it.
        at: Instant,
    },
}

/// A period in which a fault keeps one node, or every node, from receiving changes.
#[derive(Clone, Debug)]
pub struct UpdateOutage {
    /// Number of the node; none stands for every node.
    pub node: Option<usize>,
    /// Start.
    pub from: Instant,
    /// End.
    pub to: Instant,
}

/// A period in which an availability zone is evacuated.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Number of the zone, an index into [`crate::vm::ZONES`].
    pub zone: usize,
    /// When the store accepted the evacuation.
    pub from: Instant,
    /// When the operator restored the zone; none while it is evacuated.
    pub to: Option<Instant>,
}

/// A period of one upstream: its warm-up, or a fault of the link to it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamPeriod {
    /// Number of the upstream's node.
    pub node: usize,
    /// Start.
    pub from: Instant,
    /// End.
    pub to: Instant,
}

/// A period in which a fault of a node may be visible to its callers.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Number of the node.
    pub node: usize,
    /// Start.
    pub from: Instant,
    /// End.
    pub to: Instant,
    /// Whether the fault was a planned stop: SIGTERM and nothing else.
    pub planned: bool,
}

/// All that was recorded while a seed ran.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of all callers that reached a node.
    pub requests: Vec<CallerRecord>,
    /// Acknowledged changes.
    pub acknowledged: Vec<Acknowledged>,
    /// Faults of nodes.
    pub disturbances: Vec<Disturbance>,
    /// Periods in which nodes did not receive changes.
    pub update_outages: Vec<UpdateOutage>,
    /// Evacuations of availability zones.
    pub evacuations: Vec<Evacuation>,
    /// Warm-ups of upstreams.
    pub warmups: Vec<UpstreamPeriod>,
    /// Periods in which the link to an upstream delayed or dropped requests.
    pub delayed_links: Vec<UpstreamPeriod>,
}

/// A promise to callers or operators that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the promise; written out in reports.
    pub promise: &'static str,
    /// What was observed instead; written out as `seen`.
    #[serde(rename = "seen")]
    pub observed: String,
}

impl History {
    /// Whether a fault may have kept the node of a request from receiving changes until `limit` before it was sent.
    #[must_use]
    pub fn delays_updates(&self, request: &CallerRecord, limit: Duration) -> bool {
        self.update_outages.iter().any(|outage| {
            outage.node.is_none_or(|node| node == request.node)
                && outage.from <= request.ended
                && outage.to + limit > request.sent
        })
    }
}
