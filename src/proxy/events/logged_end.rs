//! How a request or an attempt ended, as log lines hold it.

use crate::protocol::outcome::{RefusalReason, UnknownCause};
use serde::Serialize;

/// How a request or an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoggedEnd {
    /// The upstream answered with this HTTP status.
    Answered(u16),
    /// The request was refused and did not run.
    Refused(RefusalReason),
    /// It is not known whether the request ran.
    Unknown(UnknownCause),
    /// No route matches the request.
    NoRoute,
    /// The route needs an API key, and the request has none that is valid.
    Unauthorized,
    /// The attempt could not be sent to the other node.
    NotSent,
    /// The client disconnected.
    ClientLeft,
    /// The request ended while the attempt was still in progress.
    Abandoned,
}
