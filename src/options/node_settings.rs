//! The settings of one node, typed and checked.

use crate::{
    constants::DEFAULT_BODY_LIMIT,
    options::secret::Secret,
    state::names::{AvailabilityZoneName, NodeName, RegionName, ServiceName},
};
use serde::{Deserialize, Deserializer};
use std::{net::SocketAddr, time::Duration};

/// Everything a node is told. `schema/node-settings.json` gives the ranges of the values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Who and where the node is.
    pub node: NodeIdentity,
    /// The side towards callers.
    pub callers: CallerSettings,
    /// The side towards other nodes.
    pub peers: PeerSettings,
    /// The side towards operators.
    pub operators: OperatorSettings,
    /// The upstream beside the node.
    pub upstream: UpstreamSettings,
    /// The platform's log service.
    pub platform_log: PlatformLogSettings,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// How the log is written.
    #[serde(default)]
    pub logging: LoggingSettings,
    /// A planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Leases on keys.
    #[serde(default)]
    pub leases: LeaseSettings,
    /// Heartbeats between nodes.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Most that the clocks of two VMs are taken to differ.
    #[serde(
        rename = "clock_skew_ms",
        default = "default_clock_skew",
        deserialize_with = "read_millis"
    )]
    pub clock_skew: Duration,
}

/// Who and where a node is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeIdentity {
    /// Unique in the mesh.
    pub name: NodeName,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneName,
}

/// The side towards callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Connections held open at once; further ones are closed.
    #[serde(default = "default_caller_connections")]
    pub max_connections: usize,
    /// Calls in progress at once; further ones are refused.
    #[serde(default = "default_caller_calls")]
    pub max_calls: usize,
    /// Time within which a caller must have sent the head of a request.
    #[serde(
        rename = "head_timeout_ms",
        default = "default_head_timeout",
        deserialize_with = "read_millis"
    )]
    pub head_timeout: Duration,
    /// Time within which a caller must have sent the body of a request.
    #[serde(
        rename = "body_timeout_ms",
        default = "default_body_timeout",
        deserialize_with = "read_millis"
    )]
    pub body_timeout: Duration,
    /// Largest request or answer body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
}

/// The side towards other nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Where other nodes connect.
    pub listen: SocketAddr,
    /// Address told to other nodes in place of `listen`.
    pub advertise: Option<SocketAddr>,
    /// Known to all nodes of the mesh and proven in the hello, never sent.
    pub shared_key: Secret,
    /// Peer addresses of some other nodes, asked when the platform's log can't be.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The side towards operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where operators' tools connect.
    pub listen: SocketAddr,
    /// Address told to other nodes and tools in place of `listen`.
    pub advertise: Option<SocketAddr>,
    /// Operators' tools send it as a bearer token.
    pub token: Secret,
}

/// The upstream beside the node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Where the node connects to it.
    pub address: SocketAddr,
    /// Calls it can run at once.
    pub slots: u16,
    /// True for an upstream that can't announce itself: it counts as announced from the start.
    #[serde(default)]
    pub announced: bool,
    /// Path that is asked now and then; any 2xx status counts as healthy.
    pub check_path: Option<String>,
    /// Time between two checks of `check_path`.
    #[serde(
        rename = "check_period_ms",
        default = "default_check_period",
        deserialize_with = "read_millis"
    )]
    pub check_period: Duration,
    /// Connections kept open to it.
    #[serde(default = "default_upstream_connections")]
    pub connections: usize,
}

/// The platform's log service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformLogSettings {
    /// Where the service listens.
    pub address: SocketAddr,
    /// Stream for configuration, membership and lease records.
    #[serde(default = "default_stream")]
    pub stream: String,
    /// Time between two reads by a node that reads the log.
    #[serde(
        rename = "poll_ms",
        default = "default_poll_period",
        deserialize_with = "read_millis"
    )]
    pub poll_period: Duration,
    /// Time after which a request to the log counts as failed.
    #[serde(
        rename = "timeout_ms",
        default = "default_log_timeout",
        deserialize_with = "read_millis"
    )]
    pub timeout: Duration,
}

/// Where metrics go.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// Address of a statsd server; without one, nothing is sent.
    pub statsd: Option<SocketAddr>,
    /// Start of every metric name.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: "camphorturn".to_owned(),
        }
    }
}

/// Form of the lines of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Lines for people.
    Text,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// What may need one soon.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single calls too.
    Debug,
    /// Everything.
    Trace,
}

/// How the log is written.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severity.
    pub level: LogLevel,
}

/// A planned stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Longest time that calls in progress are waited for.
    #[serde(rename = "bound_ms", deserialize_with = "read_millis")]
    pub bound: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            bound: Duration::from_secs(30),
        }
    }
}

/// Leases on keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Time for which a lease holds after its last renewal.
    #[serde(rename = "duration_ms", deserialize_with = "read_millis")]
    pub duration: Duration,
    /// Time between two renewals.
    #[serde(rename = "renew_ms", deserialize_with = "read_millis")]
    pub renew_period: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            renew_period: Duration::from_secs(5),
        }
    }
}

/// Heartbeats between nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Time between two heartbeats of a node.
    #[serde(rename = "heartbeat_ms", deserialize_with = "read_millis")]
    pub heartbeat_period: Duration,
    /// Silence after which a node is avoided.
    #[serde(rename = "suspect_ms", deserialize_with = "read_millis")]
    pub suspect_after: Duration,
    /// Silence after which a node is taken as gone.
    #[serde(rename = "gone_ms", deserialize_with = "read_millis")]
    pub gone_after: Duration,
    /// Nodes that a heartbeat goes to.
    pub fanout: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_millis(500),
            suspect_after: Duration::from_secs(2),
            gone_after: Duration::from_secs(30),
            fanout: 3,
        }
    }
}

impl PlatformLogSettings {
    /// The log at `address`, all else by default.
    #[must_use]
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            stream: default_stream(),
            poll_period: default_poll_period(),
            timeout: default_log_timeout(),
        }
    }
}

impl NodeSettings {
    /// Address that other nodes are told to connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.advertise.unwrap_or(self.peers.listen)
    }

    /// Address that operators' tools are told to connect to.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.advertise.unwrap_or(self.operators.listen)
    }
}

fn read_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

const fn default_clock_skew() -> Duration {
    Duration::from_millis(250)
}

const fn default_caller_connections() -> usize {
    1_000
}

const fn default_caller_calls() -> usize {
    2_000
}

const fn default_head_timeout() -> Duration {
    Duration::from_secs(5)
}

const fn default_body_timeout() -> Duration {
    Duration::from_secs(30)
}

const fn default_body_limit() -> usize {
    DEFAULT_BODY_LIMIT
}

const fn default_check_period() -> Duration {
    Duration::from_secs(1)
}

const fn default_upstream_connections() -> usize {
    64
}

fn default_stream() -> String {
    "camphorturn".to_owned()
}

const fn default_poll_period() -> Duration {
    Duration::from_secs(1)
}

const fn default_log_timeout() -> Duration {
    Duration::from_secs(2)
}
