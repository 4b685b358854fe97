//! What tells one run of an upstream from another.

use serde::{Deserialize, Serialize};

/// Identity of a run. An upstream may start again under the instance that it had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationId {
    /// What the run calls itself.
    pub instance: String,
    /// When it started, in Unix milliseconds by the upstream's clock, if it tells.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

impl IncarnationId {
    /// Whether `other` is this run, or one before it under the same instance. Where one of them does not tell when it
    /// started, they count as the same: a leaving that was acknowledged must not be undone by a guess.
    #[must_use]
    pub fn is_same_or_newer_than(&self, other: &Self) -> bool {
        let later =
            matches!((self.started_ms, other.started_ms), (Some(own), Some(other)) if other > own);
        self.instance == other.instance && !later
    }
}
