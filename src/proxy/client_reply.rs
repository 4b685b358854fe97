//! Builds the replies to client requests.

use crate::{
    options::proxy_settings::HeaderNames,
    protocol::{
        hop::get_variant_name,
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::peer_requests::strip_connection_headers,
    transport::{
        callers::{CallerReply, reply_json},
        message_body::MessageBody,
    },
};
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use std::time::Duration;

/// How a client request ended.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The complete response of an upstream.
    Answered(Box<Response<MessageBody>>),
    /// The request was not executed and never will be. The client may retry after the given time.
    Refused(RefusalReason, Duration),
    /// The request may have been executed.
    Unknown(UnknownCause),
    /// No route matches the request.
    NoRoute,
    /// The route needs an API key, and the request has none that is valid.
    Unauthorized,
}

/// Builds the reply for an outcome: the upstream's response, or a status with an error text as JSON. `Retry-After` is in seconds
/// with three decimals.
#[must_use]
pub fn build_reply(names: &HeaderNames, outcome: RequestOutcome) -> CallerReply {
    match outcome {
        RequestOutcome::Answered(response) => strip_connection_headers(names, *response),
        RequestOutcome::Refused(reason, after) => {
            let text = format!("not run: {}", get_variant_name(&reason));
            let mut reply = reply_json(get_refusal_status(reason), &text);
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
        RequestOutcome::Unauthorized => reply_json(StatusCode::UNAUTHORIZED, "no valid API key"),
    }
}

fn get_refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
