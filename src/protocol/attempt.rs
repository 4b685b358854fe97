//! Identity of calls and of attempts at them.

use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::Uuid;

/// Identity of one call, given by the node that the caller reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub Uuid);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identity of one attempt at a call. Attempts of a call are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// Number of the attempt within the call.
    pub number: u16,
}
