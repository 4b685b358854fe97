//! JSON documents that a node's operators' interface returns.
//!
//! Tools and nodes may be of different versions: a missing field has its default.

use crate::state::{
    configuration::ConfigurationVersion,
    names::{AvailabilityZoneName, ClassName, NodeName, ServiceName},
    published::PublicationEntry,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};

/// Share of a class's requests, from 0 to 1, that has to be answered within the class's latency target.
pub const REQUIRED_ON_TARGET_SHARE: f64 = 0.99;

/// The state of a node, of its local upstream and of what it knows about other nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: Option<NodeName>,
    /// Availability zone of the node's VM.
    pub availability_zone: Option<AvailabilityZoneName>,
    /// Service of the local upstream.
    pub service: Option<ServiceName>,
    /// Time since the node started, in milliseconds.
    pub up_ms: u64,
    /// Version of the configuration in force; 0 before there is one.
    pub version: ConfigurationVersion,
    /// Whether the node accepts requests of clients.
    pub ready: bool,
    /// Whether the node was asked to stop.
    pub stopping: bool,
    /// Requests of the node's clients that are in progress.
    pub in_progress: usize,
    /// The local upstream; `None` before it has announced itself.
    pub upstream: Option<UpstreamStatus>,
    /// Counts for each class of the requests that clients sent to this node.
    pub classes: Vec<ClassStatus>,
    /// Evacuated availability zones, which get no requests, as far as this node knows.
    pub evacuated_zones: BTreeSet<AvailabilityZoneName>,
    /// The other nodes that this node knows.
    pub peers: Vec<PeerStatus>,
}

/// The local upstream of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// Identifier that the upstream's current incarnation announced.
    pub instance: String,
    /// Whether the upstream accepts no new requests.
    pub leaving: bool,
    /// Requests that the upstream can run at once, as it announced.
    pub slots: u16,
    /// Requests that the node lets the upstream run at once.
    pub limit: u16,
    /// Requests that the upstream is running.
    pub running: u16,
    /// Requests that wait at the node for a slot.
    pub queued: u16,
    /// Current time that requests take, in percent of their time at full speed of the VM.
    pub slowdown_percent: u16,
    /// Share of the last requests that failed at the upstream, in percent.
    pub failed_percent: u8,
    /// Load probes that the node has sent to the upstream so far.
    pub probes: u64,
    /// Whether the upstream is ejected because it fails requests. It gets only trials.
    pub ejected: bool,
    /// Time until the next trial of an ejected upstream, in milliseconds; `None` if it is not ejected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next_trial_ms: Option<u64>,
}

/// Counts of a class's requests at the node to which clients sent them, since the node's start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassStatus {
    /// The class.
    pub class: Option<ClassName>,
    /// Latency target of the class, in milliseconds.
    pub target_ms: u64,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that an upstream answered.
    pub answered: u64,
    /// Requests that an upstream answered within the latency target.
    pub on_target: u64,
    /// Requests that were refused without having run.
    pub refused: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Upper limit, in milliseconds, of the histogram bucket that holds the median latency of the answers; `None` if
    /// there are no answers or the latency is above the last bucket.
    pub p50_ms: Option<u64>,
    /// Upper limit, in milliseconds, of the histogram bucket that holds the 99th percentile of the latency; `None` as for
    /// `p50_ms`.
    pub p99_ms: Option<u64>,
}

impl ClassStatus {
    /// Share of the class's requests that were answered within the latency target; 1 if there were none.
    #[must_use]
    pub fn on_target_share(&self) -> f64 {
        compute_share(self.on_target, self.requests)
    }

    /// Whether the share of requests on target is at least [`REQUIRED_ON_TARGET_SHARE`].
    #[must_use]
    pub fn meets_target(&self) -> bool {
        self.on_target_share() >= REQUIRED_ON_TARGET_SHARE
    }
}

/// `part` divided by `whole`; 1 if `whole` is 0.
#[must_use]
pub fn compute_share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
    let quotient = part as f64 / whole as f64;
    quotient
}

/// What a node knows about another node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    /// Name of the other node.
    pub node: Option<NodeName>,
    /// Address of the other node's operators' interface, if it has one.
    pub operators: Option<SocketAddr>,
    /// Whether the other node's upstream accepts no new requests.
    pub leaving: bool,
    /// Consecutive failures to reach the other node.
    pub failures: u32,
    /// Whether the other node is suspect: it accepted requests and did not answer a check.
    pub suspect: bool,
}

/// Answer to a drain request and to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeHealth {
    /// Whether the node accepts requests of clients.
    pub ready: bool,
    /// Whether the local upstream accepts no new requests.
    pub leaving: bool,
    /// Requests that the local upstream is running.
    pub running: u16,
    /// Requests that wait at the node for a slot.
    pub queued: u16,
}

/// Answer to the evacuation or the restoration of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EvacuationView {
    /// Zones that are evacuated after the request.
    pub zones: BTreeSet<AvailabilityZoneName>,
}

/// Part of the log that a node keeps in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogPage {
    /// Log lines, oldest first; each is a JSON object.
    pub lines: Vec<String>,
    /// Number of the line after the last one of this page, from which to read on.
    pub next: u64,
    /// How many lines, from the requested number on, the node no longer holds.
    pub dropped: u64,
}

/// The latest publications of configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryView {
    /// Version of the newest configuration in the store.
    pub in_force: ConfigurationVersion,
    /// Accepted publications, newest first.
    pub publications: Vec<PublicationEntry>,
}

/// Body of an error response of the operators' interface.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorErrorBody {
    /// What went wrong and what the operator can do about it.
    pub error: String,
}
