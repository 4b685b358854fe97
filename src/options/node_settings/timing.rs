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
    /// Time for which an owner may begin calls after a view of the log that shows it as owner.
    #[serde(rename = "duration_ms", deserialize_with = "read_millis")]
    pub duration: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(5),
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
    /// Time after which a suspected node is taken as gone if enough others suspect it too.
    #[serde(rename = "suspect_ms", deserialize_with = "read_millis")]
    pub suspect_after: Duration,
    /// Time after which a suspected node is taken as gone though too few others suspect it.
    #[serde(rename = "gone_ms", deserialize_with = "read_millis")]
    pub gone_after: Duration,
    /// Nodes that urgent news is sent to at once.
    pub fanout: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_secs(1),
            suspect_after: Duration::from_secs(4),
            gone_after: Duration::from_secs(15),
            fanout: 4,
        }
    }
}
