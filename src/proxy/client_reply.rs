//! What a client is told.

use crate::{
    protocol::{
        hop::get_variant_name,
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::peer_requests::pass_on,
    transport::callers::{CallerReply, reply_json},
};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use std::time::Duration;

/// How a client's request ended.
#[derive(Debug)]
pub enum RequestOutcome {
    /// An upstream's whole answer.
    Answered(Box<Response<Bytes>>),
    /// It did not run and never will; it may be tried again after the time given.
    Refused(RefusalReason, Duration),
    /// It may have run.
    Unknown(UnknownCause),
    /// No route leads anywhere.
    NoRoute,
}

/// The reply for that end.
#[must_use]
pub fn build_reply(end: RequestOutcome) -> CallerReply {
    match end {
        RequestOutcome::Answered(response) => pass_on(*response),
        RequestOutcome::Refused(reason, after) => {
            let text = format!("not run: {}", get_variant_name(&reason));
            let mut reply = reply_json(StatusCode::SERVICE_UNAVAILABLE, &text);
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
        RequestOutcome::Unknown(UnknownCause::DeadlinePassed) => {
            reply_json(StatusCode::GATEWAY_TIMEOUT, "no answer within the deadline")
        }
        RequestOutcome::Unknown(cause) => {
            let text = format!("unknown whether it ran: {}", get_variant_name(&cause));
            reply_json(StatusCode::BAD_GATEWAY, &text)
        }
        RequestOutcome::NoRoute => reply_json(StatusCode::NOT_FOUND, "no route"),
    }
}
