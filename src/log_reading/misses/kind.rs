//! Kinds of ends, with the cause of each.

use crate::log_reading::{
    description::NodeNames, late_cause::LateCause, line::LogLine, outcome::RequestOutcome,
    request_lines::RequestLines,
};

/// How a request ended and why.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MissKind {
    /// Answered within its target.
    OnTime,
    /// Answered after it.
    Late(LateCause),
    /// Not run.
    Refused {
        /// Why.
        reason: String,
        /// Whether any node was asked for a slot.
        asked: bool,
    },
    /// It can't be told whether it ran.
    Unknown(String),
    /// Answered by the upstream with a status of a failure.
    UpstreamFailed(u64),
    /// The configuration has no route for it.
    NoRoute,
    /// The client went away.
    ClientLeft {
        /// Whether its target had passed by then.
        after_target: bool,
    },
    /// The line on its end could not be understood.
    NotUnderstood(String),
}

/// What an end counts as in a share on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// On time.
    OnTime,
    /// Not on time.
    Missed,
    /// Neither: there was nothing to be on time with.
    LeftOut,
}

/// How often a line on such an end is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// As of requests that go as they should.
    Ordinary,
    /// As of late requests.
    Late,
    /// Always, within the bounds of the node.
    Always,
}

impl MissKind {
    /// The kind of a request with an end.
    #[must_use]
    pub fn find(
        end: &LogLine,
        lines: &RequestLines<'_>,
        names: &NodeNames,
        call_ms: Option<u64>,
    ) -> Self {
        match RequestOutcome::classify(end) {
            RequestOutcome::OnTime => Self::OnTime,
            RequestOutcome::Late => Self::Late(LateCause::find(lines, names, call_ms)),
            RequestOutcome::Refused(reason) => Self::Refused {
                reason: reason.to_owned(),
                asked: end.number("asked") > 0,
            },
            RequestOutcome::Unknown(cause) => Self::Unknown(cause.to_owned()),
            RequestOutcome::UpstreamFailed(status) => Self::UpstreamFailed(status),
            RequestOutcome::NoRoute => Self::NoRoute,
            RequestOutcome::ClientLeft => Self::ClientLeft {
                after_target: end.number("took_ms") > end.number("target_ms"),
            },
            RequestOutcome::Other(word) => Self::NotUnderstood(word.to_owned()),
        }
    }

    /// What it counts as.
    #[must_use]
    pub const fn served(&self) -> Served {
        match self {
            Self::OnTime => Served::OnTime,
            Self::NoRoute
            | Self::NotUnderstood(_)
            | Self::ClientLeft {
                after_target: false,
            } => Served::LeftOut,
            _ => Served::Missed,
        }
    }

    /// How often a line on it is written.
    #[must_use]
    pub const fn written(&self) -> Written {
        match self {
            Self::OnTime | Self::NoRoute | Self::ClientLeft { .. } => Written::Ordinary,
            Self::Late(_) => Written::Late,
            _ => Written::Always,
        }
    }

    /// The end in one word.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Late(_) => "late",
            Self::Refused { .. } => "refused",
            Self::Unknown(_) => "unknown",
            Self::UpstreamFailed(_) => "upstream_failure",
            Self::NoRoute => "no_route",
            Self::ClientLeft { .. } => "client_left",
            Self::NotUnderstood(_) => "not_understood",
        }
    }

    /// Why, in words; empty if the end says it.
    #[must_use]
    pub fn cause(&self) -> String {
        match self {
            Self::OnTime | Self::NoRoute => String::new(),
            Self::Late(cause) => cause.describe().to_owned(),
            Self::Refused {
                reason: word,
                asked: _,
            }
            | Self::Unknown(word)
            | Self::NotUnderstood(word) => word.replace('_', " "),
            Self::UpstreamFailed(status) => status.to_string(),
            Self::ClientLeft { after_target: true } => "after its target".to_owned(),
            Self::ClientLeft {
                after_target: false,
            } => "before its target".to_owned(),
        }
    }
}
