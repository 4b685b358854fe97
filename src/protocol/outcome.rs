//! The three outcomes of a call and what led to them.

use crate::protocol::load_report::LoadReport;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An upstream's whole answer.
#[derive(Clone, Debug)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No upstream of the service is known and serving.
    NoUpstream,
    /// The queue of the class is full.
    QueueFull,
    /// The deadline can't be met.
    DeadlineTooShort,
    /// The deadline passed while the call was queued.
    DeadlinePassed,
    /// The upstream is draining, or the node is stopping.
    Draining,
    /// The upstream is down or not announced yet.
    UpstreamDown,
    /// The upstream refused the work itself, saying that it did not run it.
    UpstreamShed,
    /// The connection was never opened, or no byte was handed to it.
    NotSent,
    /// The caller cancelled while the call was queued.
    Cancelled,
    /// The chain of calls is too deep.
    TooDeep,
    /// The budget for second attempts is used up.
    RetryBudget,
    /// The node is not the owner of the key, or its lease has lapsed.
    NotOwner,
    /// The executing node does not know the service or class.
    UnknownClass,
    /// The class needs an idempotency key and the call has none.
    KeyMissing,
    /// The key is not a version 7 UUID, or was issued further in the future than clocks may differ.
    KeyInvalid,
    /// The key was used before with another request.
    KeyReused,
}

/// What the receiver of a refusal should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// Another upstream may take it at once.
    Elsewhere,
    /// The service as a whole may take it after this time.
    After(Duration),
    /// Trying again can't help.
    Never,
}

/// A refusal: proof that the call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// What to do next.
    pub advice: RetryAdvice,
}

/// Why it can't be told whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownCause {
    /// The connection to the upstream broke after the request was handed to it.
    UpstreamCut,
    /// The deadline passed while the upstream ran the call.
    DeadlinePassed,
    /// The executing node was lost and could not be asked.
    NodeLost,
    /// The caller went away while the upstream ran the call.
    Cancelled,
    /// The upstream's answer was malformed, cut short or too large.
    BadAnswer,
    /// The key was issued before the present owner's knowledge begins.
    KeyTooOld,
    /// A call with the same key ran; its answer is no longer held.
    AnswerNotHeld,
    /// No node that could tell whether the key ran was reached in time.
    KeyUnsettled,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The upstream ran it and this is its whole answer.
    Answered(UpstreamAnswer),
    /// Proven not to have run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(UnknownCause),
}

/// An outcome with the load of the upstream at that instant.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Load of the upstream when the result was sent.
    pub load: LoadReport,
}

/// An executing node's word on an attempt it is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// The attempt did not run and never will.
    NeverRuns,
    /// The attempt was handed to the upstream and has ended or will end there.
    Ran,
    /// Another incarnation was asked; it can't tell.
    Unknown,
}
