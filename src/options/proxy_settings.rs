//! What a node is told at its start.

use crate::{
    coordination::{retry_budget::RetryBudgetSettings, slow_start::SlowStartSettings},
    state::names::{AvailabilityZoneName, NodeName, ServiceName},
};
use http::HeaderName;
use std::{net::SocketAddr, time::Duration};

/// Of late requests so many times more are written than of those that go as they should. Written in full they
/// would take 9% of a node's processor time on a day of high load.
const LATE_SAMPLING_FACTOR: u64 = 2;

/// Names of the headers that clients and upstreams use. They differ between platforms; the node
/// only knows what each holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of a request; an upstream repeats it in its answer.
    pub request_id: HeaderName,
    /// Time until the deadline, in milliseconds.
    pub time_left: HeaderName,
    /// Proof that an answer is an upstream's.
    pub signature: HeaderName,
    /// Names the run of an upstream that is to run a request.
    pub target_instance: HeaderName,
    /// The run of an upstream that answered.
    pub instance: HeaderName,
    /// Service on the VM where a request began.
    pub caller_service: HeaderName,
    /// Stands on an answer to a request that was not run.
    pub not_executed: HeaderName,
    /// Load of an upstream: running, waiting, slots, slowdown in percent.
    pub load: HeaderName,
    /// On answers to health questions: how much longer the upstream is cold, in milliseconds.
    pub warmup_left: HeaderName,
}

impl HeaderNames {
    /// The product's own names, for upstreams without a platform that names them.
    #[must_use]
    pub const fn default_names() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            time_left: HeaderName::from_static("x-time-left-ms"),
            signature: HeaderName::from_static("x-upstream-signature"),
            target_instance: HeaderName::from_static("x-target-instance"),
            instance: HeaderName::from_static("x-instance"),
            caller_service: HeaderName::from_static("x-caller-service"),
            not_executed: HeaderName::from_static("x-not-executed"),
            load: HeaderName::from_static("x-load"),
            warmup_left: HeaderName::from_static("x-warmup-ms"),
        }
    }
}

/// Which lines of the log are written, and which are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Of requests that go as they should, one in so many is written, the same ones at all nodes: a
    /// request of which only some nodes tell explains nothing.
    pub ordinary_one_in: u64,
    /// Lines kept in memory for operators' tools.
    pub kept_lines: usize,
}

impl LogSettings {
    /// Of late requests, one in so many is written.
    #[must_use]
    pub const fn late_one_in(&self) -> u64 {
        let one_in = self.ordinary_one_in / LATE_SAMPLING_FACTOR;
        if one_in == 0 { 1 } else { one_in }
    }
}

/// Time until an accepted configuration is in force at all nodes, where nothing else is told.
pub const DEFAULT_CONFIGURATION_APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds on what a node does. They may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLimits {
    /// Bounds on repeated requests.
    pub retry_budget: RetryBudgetSettings,
    /// Most questions a second to the upstream for its load.
    pub probes_per_second: f64,
    /// Time from the order to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Longest time from the acknowledgement of a configuration until it is in force at all nodes.
    pub configuration_apply_timeout: Duration,
    /// Bounds on what a cold upstream gets.
    pub slow_start: SlowStartSettings,
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the node.
    pub name: NodeName,
    /// Availability zone of its VM.
    pub availability_zone: AvailabilityZoneName,
    /// Where clients on the VM send requests.
    pub client_address: SocketAddr,
    /// Where other nodes send requests.
    pub peer_address: SocketAddr,
    /// Where the upstream on the VM listens.
    pub upstream_address: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Bounds that may change while the node runs.
    pub limits: NodeLimits,
    /// Which lines of the log are written and kept.
    pub log: LogSettings,
    /// Where operators' tools reach the node, if they can.
    pub operator_address: Option<SocketAddr>,
    /// The whole mesh starts for the first time: the store holds no records of it, and nobody waits for it yet.
    pub first_start: bool,
    /// Header names of the platform.
    pub headers: HeaderNames,
}
