//! What a node tells operators' tools, in JSON.
//!
//! Every struct has defaults for all fields, so that tools and nodes of different versions
//! understand each other.

use crate::{
    protocol::load_report::{LoadReport, UpstreamCondition},
    state::{
        configuration::ConfigurationVersion,
        member::Incarnation,
        names::{AvailabilityZoneName, ClassName, NodeName, RegionName, ServiceName},
    },
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A node as it sees itself and the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// What is wrong, the worst first; empty if nothing is.
    pub problems: Vec<String>,
    /// The node's name.
    pub node: Option<NodeName>,
    /// The run of the node.
    pub incarnation: Incarnation,
    /// Version of the program.
    pub program_version: String,
    /// Milliseconds since the process began.
    pub uptime_ms: u64,
    /// Service of the upstream beside the node.
    pub service: Option<ServiceName>,
    /// Region of the VM.
    pub region: Option<RegionName>,
    /// Availability zone of the VM.
    pub availability_zone: Option<AvailabilityZoneName>,
    /// Load of the upstream beside the node.
    pub upstream: LoadReport,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// The configuration in force at this node.
    pub configuration_version: ConfigurationVersion,
    /// Calls that this node took from callers, a class.
    pub classes: Vec<ClassStatus>,
    /// What this node knows of the upstreams it sends calls to.
    pub upstreams: Vec<UpstreamStatus>,
    /// Budgets for measuring and for second attempts, a service.
    pub budgets: Vec<BudgetStatus>,
    /// The other nodes.
    pub members: Vec<MemberStatus>,
    /// Parts of services' keys, their owners and leases.
    pub owners: Vec<OwnerStatus>,
    /// The platform's log.
    pub log: LogStatus,
    /// Events recorded since the process began.
    pub events_recorded: u64,
}

/// One class over the last window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassStatus {
    /// The service.
    pub service: Option<ServiceName>,
    /// The class.
    pub class: Option<ClassName>,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Calls that ended in the window.
    pub calls: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, not run.
    pub not_run: u64,
    /// Of these, with an unknown outcome.
    pub unknown: u64,
    /// Of these, answered within the target's time.
    pub on_target: u64,
    /// Second attempts.
    pub retries: u64,
    /// The target's time, in milliseconds.
    pub target_ms: u32,
    /// Share of calls that must meet it.
    pub target_share: f64,
    /// Median time of answered calls, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile, in microseconds.
    pub p99_micros: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_micros: u64,
}

impl ClassStatus {
    /// Share of calls on target; 1 if there were none.
    #[must_use]
    pub fn on_target_share(&self) -> f64 {
        share(self.on_target, self.calls)
    }

    /// Whether the class meets its target.
    #[must_use]
    pub fn meets_target(&self) -> bool {
        self.on_target_share() >= self.target_share
    }
}

/// A part of a whole; 1 of nothing.
#[must_use]
pub fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    // Counts of calls stay far below the 52 bits that a float holds exactly.
    #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
    let quotient = part as f64 / whole as f64;
    quotient
}

/// What a node knows of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// The upstream, by the name of its node.
    pub upstream: Option<NodeName>,
    /// Its service.
    pub service: Option<ServiceName>,
    /// The last report.
    pub load: LoadReport,
    /// Age of the report, in milliseconds; nothing if there was none.
    pub age_ms: Option<u64>,
    /// Calls that this node has there now.
    pub outstanding: u32,
    /// Whether it gets less work for its errors or latency.
    pub avoided: bool,
}

/// Use of budgets over the last window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BudgetStatus {
    /// The service.
    pub service: Option<ServiceName>,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that the budget allows in the window.
    pub probes_allowed: u64,
    /// Bytes of probes and their answers.
    pub probe_bytes: u64,
    /// Bytes that the budget allows in the window.
    pub probe_bytes_allowed: u64,
    /// Second attempts sent.
    pub retries: u64,
    /// Second attempts that the budget allows in the window.
    pub retries_allowed: u64,
}

/// How a node sees another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCondition {
    /// Heard from lately.
    #[default]
    Alive,
    /// Did not answer lately.
    Suspected,
    /// Not heard from for so long that it gets no work.
    Lost,
    /// Announced that it leaves.
    Leaving,
}

/// Another node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Its name.
    pub node: Option<NodeName>,
    /// Its run.
    pub incarnation: Incarnation,
    /// Service of its upstream.
    pub service: Option<ServiceName>,
    /// Its availability zone.
    pub availability_zone: Option<AvailabilityZoneName>,
    /// Where operators' tools reach it.
    pub operator_address: Option<SocketAddr>,
    /// How this node sees it.
    pub condition: MemberCondition,
    /// The configuration version last heard of it.
    pub configuration_version: ConfigurationVersion,
}

/// A part of a service's keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OwnerStatus {
    /// The service.
    pub service: Option<ServiceName>,
    /// Number of the part.
    pub part: u32,
    /// The owner; nothing while there is none.
    pub owner: Option<NodeName>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Time left of the lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Keys remembered, if this node is the owner.
    pub keys: u64,
}

/// The platform's log as the node sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogStatus {
    /// Whether this node reads the log itself.
    pub reader: bool,
    /// Offset up to which records are applied.
    pub offset: u64,
    /// Time since the log was last read well, here or by the peer that tells of it, in milliseconds.
    pub age_ms: Option<u64>,
    /// Failures in a row.
    pub failures: u32,
}

/// What an upstream says of itself to the node beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Whether it takes work.
    pub condition: UpstreamCondition,
    /// Calls it can run at once; as before, or as in the settings, if not given.
    #[serde(default)]
    pub slots: Option<u16>,
    /// Port on which it serves; as before, or as in the settings, if not given.
    #[serde(default)]
    pub port: Option<u16>,
}

/// Answer to a drain, an announcement or a question for health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeCondition {
    /// Condition of the upstream after the request.
    pub condition: UpstreamCondition,
    /// Whether the node is stopping or draining.
    pub stopping: bool,
    /// Calls at the upstream.
    pub running: u16,
    /// Calls queued at the node.
    pub queued: u16,
}

/// A request that was not served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorProblem {
    /// What is wrong and what to do.
    pub error: String,
}
