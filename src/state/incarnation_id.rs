//! Identity of an incarnation: one process lifetime of an upstream, from its start to its end.

use serde::{Deserialize, Serialize};

/// Identity of an incarnation of an upstream. A restarted upstream may announce itself with the same instance name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationId {
    /// Name that the upstream announces for itself.
    pub instance: String,
    /// When the upstream started, in milliseconds since the Unix epoch by its own clock; `None` if it doesn't announce it.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

impl IncarnationId {
    /// Whether `other` is this incarnation or an earlier one with the same instance name.
    ///
    /// If the start of either is unknown, both count as the same. Otherwise an upstream whose departure was acknowledged could
    /// get requests again because it was mistaken for a new incarnation.
    #[must_use]
    pub fn is_same_or_newer_than(&self, other: &Self) -> bool {
        let other_is_later =
            matches!((self.started_ms, other.started_ms), (Some(own), Some(other)) if other > own);
        self.instance == other.instance && !other_is_later
    }
}
