//! What a node tells operators' tools, and what they tell it.
//!
//! Tools and nodes of different versions talk to each other: a field that is missing has its default.

use crate::state::{
    configuration::ConfigurationVersion,
    names::{AvailabilityZoneName, ClassName, NodeName, ServiceName},
    published::PublicationEntry,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};

/// Share of a class's requests that are to be answered within its target.
pub const REQUIRED_ON_TARGET_SHARE: f64 = 0.99;

/// All that a node tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// Its name.
    pub node: Option<NodeName>,
    /// Its availability zone.
    pub availability_zone: Option<AvailabilityZoneName>,
    /// Service of its upstream.
    pub service: Option<ServiceName>,
    /// Time since its start, in milliseconds.
    pub up_ms: u64,
    /// Version of the configuration in force.
    pub version: ConfigurationVersion,
    /// Whether clients may bring requests.
    pub ready: bool,
    /// Whether it was told to stop.
    pub stopping: bool,
    /// Requests of its clients in progress.
    pub in_progress: usize,
    /// The upstream beside it; none before it has announced itself.
    pub upstream: Option<UpstreamStatus>,
    /// Classes of work that clients brought here.
    pub classes: Vec<ClassStatus>,
    /// Availability zones that get no requests, as far as it knows.
    pub evacuated_zones: BTreeSet<AvailabilityZoneName>,
    /// The other nodes it knows.
    pub peers: Vec<PeerStatus>,
}

/// An upstream as the node beside it knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// Its run.
    pub instance: String,
    /// It takes no new work.
    pub leaving: bool,
    /// Requests it runs at once, by its own word.
    pub slots: u16,
    /// Requests that the node lets it run at once.
    pub limit: u16,
    /// Requests that run.
    pub running: u16,
    /// Requests that wait.
    pub queued: u16,
    /// How long work takes now, in percent of the usual.
    pub slowdown_percent: u16,
    /// Share of the last requests that failed there, in percent.
    pub failed_percent: u8,
    /// Questions for its load so far.
    pub probes: u64,
}

/// A class of work at the node that took its requests, since the node's start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassStatus {
    /// The class.
    pub class: Option<ClassName>,
    /// Its target in milliseconds.
    pub target_ms: u64,
    /// Requests that ended.
    pub requests: u64,
    /// Answered by an upstream.
    pub answered: u64,
    /// Answered within the target.
    pub on_target: u64,
    /// Refused without having run.
    pub refused: u64,
    /// Ended without it being known whether they ran.
    pub unknown: u64,
    /// Least bound in milliseconds that half of the answers lie within.
    pub p50_ms: Option<u64>,
    /// Least bound in milliseconds that 99 of 100 answers lie within.
    pub p99_ms: Option<u64>,
}

impl ClassStatus {
    /// Share of its requests answered within the target; 1 if there were none.
    #[must_use]
    pub fn on_target_share(&self) -> f64 {
        compute_share(self.on_target, self.requests)
    }

    /// Whether the class meets its target.
    #[must_use]
    pub fn meets_target(&self) -> bool {
        self.on_target_share() >= REQUIRED_ON_TARGET_SHARE
    }
}

/// A part of a whole; 1 of nothing.
#[must_use]
pub fn compute_share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
    let quotient = part as f64 / whole as f64;
    quotient
}

/// Another node, as this one knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    /// Its name.
    pub node: Option<NodeName>,
    /// Where operators' tools reach it.
    pub operators: Option<SocketAddr>,
    /// Its upstream takes no new work.
    pub leaving: bool,
    /// Failures in a row to reach it.
    pub failures: u32,
}

/// Answer to a drain or a question for health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeHealth {
    /// Whether clients may bring requests.
    pub ready: bool,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
    /// Requests that run at the upstream.
    pub running: u16,
    /// Requests that wait for it.
    pub queued: u16,
}

/// Answer to an evacuation, or to the end of one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EvacuationView {
    /// Zones that are evacuated now.
    pub zones: BTreeSet<AvailabilityZoneName>,
}

/// Lines of a node's log, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogPage {
    /// The lines, JSON each.
    pub lines: Vec<String>,
    /// Number to ask for next.
    pub next: u64,
    /// Lines after the number asked for that the node no longer holds.
    pub dropped: u64,
}

/// Publications that are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryView {
    /// The newest version in the store.
    pub in_force: ConfigurationVersion,
    /// Accepted publications, the newest first.
    pub publications: Vec<PublicationEntry>,
}

/// A request that was not served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorErrorBody {
    /// What is wrong and what to do.
    pub error: String,
}
