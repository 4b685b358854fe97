//! Settings of the edges of a node: callers, peers, operators, the upstream and the platform's log.

use crate::{
    constants::DEFAULT_BODY_LIMIT,
    options::{node_settings::read_millis, secret::Secret},
    state::names::ServiceName,
};
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};

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
