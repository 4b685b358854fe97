//! What happened, as callers, upstreams and the operator saw it.

use camphorturn::local_mesh::client::CallFailure;
use serde::Serialize;
use std::time::Instant;

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The node it was sent to.
    pub node: usize,
    /// Which run of that node's process.
    pub node_run: u64,
    /// Target, unique for each request.
    pub target: String,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The configuration that brought its route.
    pub route_version: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When its end was known.
    pub ended: Instant,
    /// Status and body, or why there is none.
    pub answer: Result<(u16, String), CallFailure>,
}

/// A change that the system acknowledged.
#[derive(Clone, Debug)]
pub enum Acknowledged {
    /// A node took in that a run of its upstream leaves.
    Leaving {
        /// Identity of the run.
        instance: String,
        /// When it started, which tells it from others under its identity.
        born: u64,
        /// When.
        at: Instant,
    },
    /// The store took in a configuration.
    Change {
        /// Which one.
        route_version: u64,
        /// When.
        at: Instant,
    },
}

/// A span in which a node, or each node, is kept from learning of changes.
#[derive(Clone, Debug)]
pub struct Hindrance {
    /// The node; none is each.
    pub node: Option<usize>,
    /// From.
    pub from: Instant,
    /// To.
    pub to: Instant,
}

/// A span in which an availability zone is evacuated.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Number of the zone.
    pub zone: usize,
    /// When the store took the operator's word.
    pub from: Instant,
    /// When the operator took the zone back.
    pub to: Option<Instant>,
}

/// A span in which an upstream is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdTime {
    /// The node beside it.
    pub node: usize,
    /// From.
    pub from: Instant,
    /// To.
    pub to: Instant,
}

/// A span in which something was done to a node.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The node.
    pub node: usize,
    /// From.
    pub from: Instant,
    /// To.
    pub to: Instant,
    /// Whether it was a planned stop and nothing else.
    pub planned: bool,
}

/// Everything.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<CallerRecord>,
    /// Acknowledgements.
    pub acknowledged: Vec<Acknowledged>,
    /// What was done to nodes.
    pub disturbances: Vec<Disturbance>,
    /// What kept nodes from learning of changes.
    pub hindrances: Vec<Hindrance>,
    /// Evacuations of zones.
    pub evacuations: Vec<Evacuation>,
    /// Cold times of upstreams.
    pub cold_times: Vec<ColdTime>,
    /// Spans in which requests on their way to an upstream were held up.
    pub held_up: Vec<ColdTime>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}
