//! How a request ended, as its client sees it.

use crate::log_reading::line::{EndField, LogLine};

/// Least status by which an upstream says that it failed.
const LEAST_FAILURE: u64 = 500;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome<'a> {
    /// Answered within its target.
    OnTime,
    /// Answered after its target.
    Late,
    /// The upstream itself answered with a status of a failure.
    UpstreamFailed(u64),
    /// Not run, for a reason.
    Refused(&'a str),
    /// It can't be told whether it ran, for a cause.
    Unknown(&'a str),
    /// The configuration has no route for it.
    NoRoute,
    /// Its client went away before its end.
    ClientLeft,
    /// The line doesn't tell; empty if it has no end or no times at all.
    Other(&'a str),
}

impl<'a> RequestOutcome<'a> {
    /// Judges the line on the end of a request.
    #[must_use]
    pub fn judge(end: &'a LogLine) -> Self {
        match end.end() {
            EndField::Answered(status) if status >= LEAST_FAILURE => Self::UpstreamFailed(status),
            EndField::Answered(_) => judge_answer(end),
            EndField::Refused(reason) => Self::Refused(reason),
            EndField::Unknown(cause) => Self::Unknown(cause),
            EndField::CLIENT_LEFT => Self::ClientLeft,
            EndField::Other("no_route") => Self::NoRoute,
            EndField::Other(word) => Self::Other(word),
        }
    }
}

/// Without both times nothing is known of an answer: taken for 0 they would make it one on time.
fn judge_answer(end: &LogLine) -> RequestOutcome<'_> {
    match (end.find_number("took_ms"), end.find_number("target_ms")) {
        (Some(took), Some(target)) if took > target => RequestOutcome::Late,
        (Some(_), Some(_)) => RequestOutcome::OnTime,
        _ => RequestOutcome::Other(""),
    }
}
