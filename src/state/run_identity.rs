//! What tells one run of an upstream from another.

use serde::{Deserialize, Serialize};

/// Identity of a run. An upstream may start again under the instance that it had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunIdentity {
    /// What the run calls itself.
    pub instance: String,
    /// When it started, in Unix milliseconds by the upstream's clock, if it tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
}

impl RunIdentity {
    /// Whether `other` is this run, or one before it under the same instance. Where one of them does not tell when it
    /// started, they count as the same: a leaving that was acknowledged must not be undone by a guess.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let later = matches!((self.born, other.born), (Some(own), Some(other)) if other > own);
        self.instance == other.instance && !later
    }
}
