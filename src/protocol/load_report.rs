//! The load of an upstream as the node beside it sees it, carried on every answer and refusal.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamCondition {
    /// Not announced, or its checks fail.
    #[default]
    Down,
    /// Serving, with its load still being raised after a cold start.
    Warming,
    /// Serving.
    Serving,
    /// Finishing what it has; no new work.
    Draining,
}

/// Load at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls at the upstream now.
    pub running: u16,
    /// Calls waiting in the node's queue.
    pub queued: u16,
    /// Calls that the node lets the upstream run at once, at present.
    pub limit: u16,
    /// Estimated time of one call at the present load, in microseconds.
    pub latency_micros: u32,
    /// Failed answers of the last ones, in thousandths.
    pub errors_permille: u16,
    /// Whether new work is taken.
    pub condition: UpstreamCondition,
}

impl LoadReport {
    /// The latency estimate as a duration.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_micros(u64::from(self.latency_micros))
    }
}
