//! The settings of one node, typed and checked.

mod edges;
mod observation;
mod timing;

use crate::state::names::{AvailabilityZoneName, NodeName, RegionName};
use serde::{Deserialize, Deserializer};
use std::{net::SocketAddr, time::Duration};

pub use self::{
    edges::{
        CallerSettings, OperatorSettings, PeerSettings, PlatformLogSettings, UpstreamSettings,
    },
    observation::{LogFormat, LogLevel, LoggingSettings, MetricsSettings},
    timing::{LeaseSettings, MembershipSettings, StopSettings},
};

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

const fn default_clock_skew() -> Duration {
    Duration::from_secs(1)
}

fn read_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
