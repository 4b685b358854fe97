//! Why something happened, where an event needs more than the outcome types say.

use crate::protocol::outcome::{Outcome, RefusalReason, UnknownCause};
use serde::{Deserialize, Serialize};

/// How much an event matters to an operator.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// One step of one call, or something that recurs all the time.
    #[default]
    Debug,
    /// A change that is expected in operation.
    Info,
    /// Something works with less than it should have.
    Warning,
    /// Something does not work.
    Error,
}

impl Severity {
    /// The name as it stands in JSON.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warning => "warning",
            Self::Error => "error",
        }
    }

    /// The severity of that name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Debug, Self::Info, Self::Warning, Self::Error]
            .into_iter()
            .find(|severity| severity.as_str() == name)
    }
}

/// Why an upstream was picked for an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// The policy preferred it among those of the own availability zone.
    #[default]
    Policy,
    /// The policy preferred it; the own availability zone could not meet the target.
    OtherZone,
    /// It owns the idempotency key.
    KeyOwner,
    /// No other upstream was left.
    OnlyCandidate,
}

/// Why no further attempt was made at a call that was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryStop {
    /// The budget for second attempts is used up.
    Budget,
    /// The largest number of attempts is reached.
    Attempts,
    /// Too little time is left.
    Deadline,
    /// The attempt may have run and the class is not idempotent.
    MayHaveRun,
    /// No other upstream is left to try.
    NoCandidate,
    /// The refusal said that trying again can't help.
    Advice,
    /// The caller went away.
    Cancelled,
}

/// What a repeated idempotency key met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRepeat {
    /// The first attempt still runs; the repeat waits for its answer.
    Joined,
    /// The first answer was given again.
    Replayed,
    /// The body differs from the first; the repeat was refused.
    BodyDiffers,
    /// The first attempt ended without a known outcome.
    Unknown,
}

/// Who said that the condition of an upstream changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionSource {
    /// The upstream announced it.
    Announced,
    /// The node's check of the upstream.
    Check,
    /// The node's own calls to the upstream.
    Observed,
    /// The settings name the upstream.
    Settings,
    /// An operator asked for it, or the node stops.
    Operator,
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationSource {
    /// A record of the platform's log.
    Log,
    /// A snapshot in the platform's log.
    Snapshot,
    /// Another node.
    Peer,
    /// The node's own settings.
    Settings,
}

/// The outcome of a call without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeSummary {
    /// Answered, with this HTTP status.
    Answered(u16),
    /// Proven not to have run.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown(UnknownCause),
}

impl From<&Outcome> for OutcomeSummary {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(answer) => Self::Answered(answer.status.as_u16()),
            Outcome::NotRun(refusal) => Self::NotRun(refusal.reason),
            Outcome::Unknown(cause) => Self::Unknown(*cause),
        }
    }
}
