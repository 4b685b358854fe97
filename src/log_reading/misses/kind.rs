//! Kinds of outcomes, each with its cause.

use crate::log_reading::{
    description::NodeNames, late_cause::LateCause, line::LogLine, outcome::RequestOutcome,
    request_lines::RequestLines,
};

/// Outcome of a request and its cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MissKind {
    /// Answered within the latency target.
    OnTime,
    /// Answered after the latency target.
    Late(LateCause),
    /// Not executed.
    Refused {
        /// Reason, as written in the log.
        reason: String,
        /// Whether any node was asked for a slot.
        nodes_asked: bool,
    },
    /// Unknown whether it was executed, for this cause.
    Unknown(String),
    /// The upstream answered with this status, which reports a failure.
    UpstreamFailed(u64),
    /// The configuration has no route for the request.
    NoRoute,
    /// The request has no valid API key.
    Unauthorized,
    /// The client disconnected.
    ClientLeft {
        /// Whether the latency target had passed by then.
        after_target: bool,
    },
    /// The log line on the end of the request has an unknown outcome or lacks the times.
    NotUnderstood(String),
}

/// What a request counts as in the on-time share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// Served on time.
    OnTime,
    /// Not served on time.
    Missed,
    /// Not counted: whether it was on time can't be judged.
    Excluded,
}

/// Which sampling rate the log applies to a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SamplingRule {
    /// Sampled like requests that ended normally.
    Ordinary,
    /// Sampled like late requests.
    Late,
    /// Always logged, within the rate limit of the node.
    Always,
}

impl MissKind {
    /// Determines the kind of a request from its log lines. `call_ms` is the duration of the slowest call that the
    /// upstream made for it; none if it made no call.
    #[must_use]
    pub fn determine(
        end: &LogLine,
        lines: &RequestLines<'_>,
        names: &NodeNames,
        call_ms: Option<u64>,
    ) -> Self {
        match RequestOutcome::classify(end) {
            RequestOutcome::OnTime => Self::OnTime,
            RequestOutcome::Late => Self::Late(LateCause::determine(lines, names, call_ms)),
            RequestOutcome::Refused(reason) => Self::Refused {
                reason: reason.to_owned(),
                nodes_asked: end.number("asked") > 0,
            },
            RequestOutcome::Unknown(cause) => Self::Unknown(cause.to_owned()),
            RequestOutcome::UpstreamFailed(status) => Self::UpstreamFailed(status),
            RequestOutcome::NoRoute => Self::NoRoute,
            RequestOutcome::Unauthorized => Self::Unauthorized,
            RequestOutcome::ClientLeft => Self::ClientLeft {
                after_target: end.number("took_ms") > end.number("target_ms"),
            },
            RequestOutcome::Other(word) => Self::NotUnderstood(word.to_owned()),
        }
    }

    /// What the request counts as in the on-time share.
    #[must_use]
    pub fn served(&self) -> Served {
        match self {
            Self::OnTime => Served::OnTime,
            _ if self.is_over_quota() => Served::Excluded,
            Self::NoRoute
            | Self::Unauthorized
            | Self::NotUnderstood(_)
            | Self::ClientLeft {
                after_target: false,
            } => Served::Excluded,
            _ => Served::Missed,
        }
    }

    /// Which sampling rate applies to the request.
    #[must_use]
    pub fn sampling_rule(&self) -> SamplingRule {
        match self {
            _ if self.is_over_quota() => SamplingRule::Ordinary,
            Self::OnTime | Self::NoRoute | Self::Unauthorized | Self::ClientLeft { .. } => {
                SamplingRule::Ordinary
            }
            Self::Late(_) => SamplingRule::Late,
            _ => SamplingRule::Always,
        }
    }

    /// Whether the organisation had sent more requests than its quota permits.
    fn is_over_quota(&self) -> bool {
        matches!(self, Self::Refused { reason, .. } if reason == "quota_exceeded")
    }

    /// Outcome in one word. It is also the value of `outcome` in JSON.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Late(_) => "late",
            Self::Refused { .. } => "refused",
            Self::Unknown(_) => "unknown",
            Self::UpstreamFailed(_) => "upstream_failure",
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::ClientLeft { .. } => "client_left",
            Self::NotUnderstood(_) => "not_understood",
        }
    }

    /// Cause in words; empty if the outcome implies it. It is also the value of `cause` in JSON.
    #[must_use]
    pub fn cause(&self) -> String {
        match self {
            Self::OnTime | Self::NoRoute | Self::Unauthorized => String::new(),
            Self::Late(cause) => cause.describe().to_owned(),
            Self::Refused {
                reason: word,
                nodes_asked: _,
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
