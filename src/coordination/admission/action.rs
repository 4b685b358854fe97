//! What admission is asked and what it answers.

use crate::protocol::{attempt::AttemptId, outcome::Refusal};
use std::time::Duration;

/// The decision on a call that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Send it to the upstream now.
    Run,
    /// It waits; an [`AdmissionAction`] will follow.
    Queued,
    /// It does not run.
    Refused(Refusal),
}

/// What to do with a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send it to the upstream now.
    Start(AttemptId),
    /// Refuse it: it was not run.
    Refuse(AttemptId, Refusal),
}

/// How a call at the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Time since it was sent.
    pub took: Duration,
    /// In what way.
    pub kind: EndKind,
}

/// In what way a call at the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndKind {
    /// A whole answer came.
    Answered {
        /// Whether its status was 500 or above.
        server_error: bool,
    },
    /// The upstream refused it, saying that it did not run it.
    Shed,
    /// No byte of it was handed to a connection.
    NotSent,
    /// The connection broke, or the answer was malformed.
    Cut,
    /// The deadline passed.
    TimedOut,
    /// The caller went away.
    Cancelled,
}

/// What a cancellation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelResult {
    /// It waited and was taken out: it never runs.
    WasQueued,
    /// It is at the upstream. The caller of admission stops it and reports its end.
    Running,
    /// Admission does not have it.
    Unknown,
}
