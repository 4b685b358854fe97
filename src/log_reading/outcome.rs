//! Classifies how a request ended for its client.

use crate::log_reading::line::{EndField, LogLine};

/// Lowest HTTP status that reports a failure of the upstream.
const MIN_FAILURE_STATUS: u64 = 500;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome<'a> {
    /// Answered within the latency target.
    OnTime,
    /// Answered after the latency target.
    Late,
    /// The upstream answered with this status, which reports a failure.
    UpstreamFailed(u64),
    /// Not executed, for this reason.
    Refused(&'a str),
    /// Unknown whether it was executed, for this cause.
    Unknown(&'a str),
    /// The configuration has no route for the request.
    NoRoute,
    /// The request has no valid API key.
    Unauthorized,
    /// The client disconnected before the request ended.
    ClientLeft,
    /// Any other word in the field `end`; empty if that field, or the times of an answered request, are missing.
    Other(&'a str),
}

impl<'a> RequestOutcome<'a> {
    /// Classifies the line on the end of a request.
    #[must_use]
    pub fn classify(end: &'a LogLine) -> Self {
        match end.end() {
            EndField::Answered(status) if status >= MIN_FAILURE_STATUS => {
                Self::UpstreamFailed(status)
            }
            EndField::Answered(_) => classify_answer(end),
            EndField::Refused(reason) => Self::Refused(reason),
            EndField::Unknown(cause) => Self::Unknown(cause),
            EndField::CLIENT_LEFT => Self::ClientLeft,
            EndField::Other("no_route") => Self::NoRoute,
            EndField::Other("unauthorized") => Self::Unauthorized,
            EndField::Other(word) => Self::Other(word),
        }
    }
}

/// Compares the duration with the target. If either is missing, the outcome is not known; a default of 0 would
/// count the request as on time.
fn classify_answer(end: &LogLine) -> RequestOutcome<'_> {
    match (end.find_number("took_ms"), end.find_number("target_ms")) {
        (Some(took), Some(target)) if took > target => RequestOutcome::Late,
        (Some(_), Some(_)) => RequestOutcome::OnTime,
        _ => RequestOutcome::Other(""),
    }
}
