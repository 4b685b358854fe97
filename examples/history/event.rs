//! What a run over real nodes records, one event a line of JSON.

use serde::{Deserialize, Serialize};

/// A call as its caller knows it; named in the call's path, so that upstreams' records name it too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallNumber(pub u64);

/// A key, by the order of its making.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyNumber(pub u64);

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// A whole answer; it names the call that the upstream ran.
    Answered {
        /// That call.
        of: CallNumber,
    },
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Happening {
    /// A caller sends a call.
    Started {
        /// The call.
        call: CallNumber,
        /// Its key.
        key: Option<KeyNumber>,
        /// Whether running it twice does no harm.
        idempotent: bool,
    },
    /// A caller is told the outcome.
    Ended {
        /// The call.
        call: CallNumber,
        /// The outcome.
        told: Told,
    },
    /// An upstream begins to run a call.
    Ran {
        /// The call.
        call: CallNumber,
        /// The upstream.
        upstream: String,
        /// Order among all runs.
        sequence: u64,
    },
    /// A node says which configuration it has in force.
    Version {
        /// The node.
        node: String,
        /// Its run.
        incarnation: u64,
        /// The version.
        version: u64,
    },
    /// A node tells the mesh that it and its upstream leave.
    Leaving {
        /// The upstream.
        upstream: String,
    },
    /// An upstream takes work again after it left.
    Joined {
        /// The upstream.
        upstream: String,
    },
}

/// Something that happened, with its time on the one clock of the recording process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Microseconds since the start of the recording.
    pub at_micros: u64,
    /// What happened.
    pub happening: Happening,
}
