//! Settings of a node.

use crate::{
    coordination::{
        quota_shares::QuotaSettings, retry_budget::RetryBudgetSettings,
        slow_start::SlowStartSettings, upstream_health::UpstreamHealthSettings,
    },
    state::{
        ablation::Mechanism,
        names::{AvailabilityZoneName, NodeName, ServiceName},
    },
};
use http::HeaderName;
use std::{net::SocketAddr, time::Duration};

/// Late requests are logged this many times as often as ordinary ones. Logging all of them would take 9% of a node's
/// processor time on a day of high load.
const LATE_SAMPLING_FACTOR: u64 = 2;

/// Names of the HTTP headers between a node and its clients and local upstream. They differ between platforms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of a request. The upstream returns it in its answer.
    pub request_id: HeaderName,
    /// Time left until the deadline of a request, in milliseconds.
    pub time_left: HeaderName,
    /// Signature of the upstream. An answer without it does not come from an upstream.
    pub signature: HeaderName,
    /// In a request, the instance id of the upstream incarnation that the request is for.
    pub target_instance: HeaderName,
    /// In an answer, the instance id of the upstream incarnation that answered.
    pub instance: HeaderName,
    /// Service that runs on the VM where the client sent the request.
    pub caller_service: HeaderName,
    /// Present on answers to requests that the upstream did not run.
    pub not_executed: HeaderName,
    /// Load of an upstream: running requests, waiting requests, slots, and slowdown in percent.
    pub load: HeaderName,
    /// On answers to health checks, the remaining warm-up time of the upstream, in milliseconds.
    pub warmup_left: HeaderName,
    /// In an answer, the requests per second that the upstream accepts from all nodes together, a decimal number. Upstreams use
    /// either name.
    pub request_limit: [HeaderName; 2],
    /// In an answer, `1` if the upstream is leaving and takes no new requests. Upstreams use either name.
    pub leaving: [HeaderName; 2],
    /// API key of an organisation, in requests of clients.
    pub api_key: HeaderName,
    /// Name of the organisation that sent the request, in requests to upstreams.
    pub organisation: HeaderName,
    /// Prefixes of the names of headers that the platform defines. All others belong to applications.
    pub reserved_prefixes: [&'static str; 2],
}

impl HeaderNames {
    /// Header names for nodes that run without a platform that defines its own.
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
            request_limit: [
                HeaderName::from_static("x-request-limit"),
                HeaderName::from_static("x-server-limit"),
            ],
            leaving: [
                HeaderName::from_static("x-upstream-leaving"),
                HeaderName::from_static("x-server-leaving"),
            ],
            api_key: HeaderName::from_static("x-api-key"),
            organisation: HeaderName::from_static("x-organisation"),
            reserved_prefixes: ["x-upstream-", "x-server-"],
        }
    }

    /// Whether one of the names is that of the header.
    #[must_use]
    pub fn contains(&self, name: &HeaderName) -> bool {
        let in_requests = [
            &self.time_left,
            &self.target_instance,
            &self.caller_service,
            &self.api_key,
            &self.organisation,
        ];
        in_requests.contains(&name) || self.is_read_in_answers(name)
    }

    /// Whether the platform defines the header and nodes don't read it.
    #[must_use]
    pub fn is_reserved_and_unread(&self, name: &HeaderName) -> bool {
        let is_reserved = |prefix: &&str| name.as_str().starts_with(*prefix);
        self.reserved_prefixes.iter().any(is_reserved) && !self.is_read_in_answers(name)
    }

    fn is_read_in_answers(&self, name: &HeaderName) -> bool {
        let single = [
            &self.request_id,
            &self.signature,
            &self.instance,
            &self.not_executed,
            &self.load,
            &self.warmup_left,
        ];
        let double = self.request_limit.iter().chain(&self.leaving);
        single.into_iter().chain(double).any(|read| read == name)
    }
}

/// Sampling and retention of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// One in this many ordinary requests, which were answered in time, is logged. All nodes log the same requests,
    /// because a request that only some nodes log can't be traced.
    pub ordinary_one_in: u64,
    /// Number of the newest log lines that are kept in memory for operators' tools.
    pub kept_lines: usize,
}

impl LogSettings {
    /// One in this many late requests is logged; at least 1.
    #[must_use]
    pub const fn late_one_in(&self) -> u64 {
        let one_in = self.ordinary_one_in / LATE_SAMPLING_FACTOR;
        if one_in == 0 { 1 } else { one_in }
    }
}

/// Default of [`NodeLimits::memory_bytes`].
pub const DEFAULT_MEMORY_BYTES: usize = 256_000_000;

/// Default of [`NodeLimits::configuration_apply_timeout`].
pub const DEFAULT_CONFIGURATION_APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node refuses under overload before it is certain that it can't be served in time. All of it is off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverloadSettings {
    /// Refuses a request at an upstream with a request limit as soon as its turn is forecast beyond its deadline, and derives
    /// `Retry-After` from the queue.
    pub early_refusal: bool,
    /// Refuses a request at a full upstream if the calls that it would make to other services are likely to be rejected.
    pub call_admission: bool,
}

impl OverloadSettings {
    /// Whether early refusals are enabled.
    #[must_use]
    pub fn refuses_early(self) -> bool {
        self.early_refusal && !Mechanism::EarlyRefusals.is_disabled()
    }

    /// Whether refusals because of rejected calls are enabled.
    #[must_use]
    pub fn admits_by_calls(self) -> bool {
        self.call_admission && !Mechanism::CallAdmission.is_disabled()
    }
}

/// Limits of a node. They may change while the node runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLimits {
    /// Limits on retries.
    pub retry_budget: RetryBudgetSettings,
    /// Maximum number of load probes to the local upstream per second.
    pub probes_per_second: f64,
    /// Time from the request to stop until the platform kills the process.
    pub shutdown_grace: Duration,
    /// Maximum time from the acceptance of a configuration until it is in force at all nodes.
    pub configuration_apply_timeout: Duration,
    /// Limits on the requests that an upstream gets during its warm-up.
    pub slow_start: SlowStartSettings,
    /// How far the quotas of organisations may be exceeded.
    pub quota: QuotaSettings,
    /// Time after which a node that can't tell whether its configuration is current refuses requests with an API key; `None`
    /// if it serves them by the configuration that it has.
    pub key_expiry: Option<Duration>,
    /// Ejection of upstreams that fail while their health check passes; `None` if no upstream is ejected.
    pub upstream_health: Option<UpstreamHealthSettings>,
    /// Whether this node checks nodes that leave its requests unanswered for unusually long, and sends idempotent requests to another
    /// node if the check isn't answered.
    pub node_checks: bool,
    /// Refusals under overload.
    pub overload: OverloadSettings,
    /// Memory of the process in bytes; the platform ends a process that uses more.
    pub memory_bytes: usize,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the node.
    pub name: NodeName,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneName,
    /// Listening address for clients on the same VM.
    pub client_address: SocketAddr,
    /// Listening address for other nodes. It identifies the node within the mesh.
    pub peer_address: SocketAddr,
    /// Address of the local upstream.
    pub upstream_address: SocketAddr,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Limits that may change while the node runs.
    pub limits: NodeLimits,
    /// Sampling and retention of log lines.
    pub log: LogSettings,
    /// Listening address for operators' tools, if the node has one.
    pub operator_address: Option<SocketAddr>,
    /// Whether the whole mesh starts for the first time. Then the store holds no records of it, and no client waits
    /// for it yet.
    pub first_start: bool,
    /// Names of the HTTP headers.
    pub headers: HeaderNames,
}
