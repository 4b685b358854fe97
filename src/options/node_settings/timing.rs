//! Settings of spans: the planned stop, leases and heartbeats.

use crate::options::node_settings::read_millis;
use serde::Deserialize;
use std::time::Duration;

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
