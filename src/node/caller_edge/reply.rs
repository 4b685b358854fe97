//! How the end of a call looks to its caller.

use crate::{
    constants::{
        CALL_HEADER, NODE_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_MS_HEADER,
        UPSTREAM_HEADER,
    },
    node::entry::CallEnd,
    protocol::{
        attempt::CallId,
        outcome::{Outcome, Refusal, RefusalReason, RetryAdvice, UnknownCause, UpstreamAnswer},
    },
    state::names::NodeName,
    transport::callers::{CallerReply, reply_json},
};
use http::{HeaderName, HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::Full;
use serde::Serialize;
use std::time::Duration;

/// The reply to a call that ended.
pub fn build_reply(end: &CallEnd) -> CallerReply {
    let mut reply = match &end.outcome {
        Outcome::Answered(answer) => pass_answer(answer),
        Outcome::NotRun(refusal) => tell_refusal(*refusal),
        Outcome::Unknown(cause) => tell_unknown(*cause),
    };
    if let Some(upstream) = &end.upstream {
        put_header(&mut reply, UPSTREAM_HEADER, upstream.as_str());
    }
    reply
}

/// Adds the identity of the call and the node that the caller reached.
pub fn mark_reply(reply: &mut CallerReply, node: &NodeName, id: CallId) {
    put_header(reply, NODE_HEADER, node.as_str());
    put_header(reply, CALL_HEADER, &id.to_string());
}

fn pass_answer(answer: &UpstreamAnswer) -> CallerReply {
    let mut reply = Response::new(Full::new(answer.body.clone()));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers.clone();
    put_header(&mut reply, OUTCOME_HEADER, "answered");
    reply
}

fn tell_refusal(refusal: Refusal) -> CallerReply {
    let status = match refusal.reason {
        RefusalReason::DeadlinePassed | RefusalReason::DeadlineTooShort => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::TooDeep => StatusCode::LOOP_DETECTED,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let reason = name_of(&refusal.reason);
    let mut reply = reply_json(status, &format!("not run: {reason}"));
    put_header(&mut reply, OUTCOME_HEADER, "not-run");
    put_header(&mut reply, REASON_HEADER, &reason);
    if let RetryAdvice::After(span) = refusal.advice {
        put_retry_after(&mut reply, span);
    }
    reply
}

fn tell_unknown(cause: UnknownCause) -> CallerReply {
    let status = match cause {
        UnknownCause::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let reason = name_of(&cause);
    let mut reply = reply_json(status, &format!("unknown whether it ran: {reason}"));
    put_header(&mut reply, OUTCOME_HEADER, "unknown");
    put_header(&mut reply, REASON_HEADER, &reason);
    reply
}

/// `Retry-After` counts whole seconds; the exact span stands beside it.
fn put_retry_after(reply: &mut CallerReply, span: Duration) {
    let seconds = span.as_millis().div_ceil(1_000).max(1);
    put_header(reply, RETRY_AFTER.as_str(), &seconds.to_string());
    put_header(reply, RETRY_AFTER_MS_HEADER, &span.as_millis().to_string());
}

/// The name that an enum's variant has in JSON.
fn name_of(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).ok();
    let name = json.as_ref().and_then(serde_json::Value::as_str);
    name.unwrap_or("other").to_owned()
}

fn put_header(reply: &mut CallerReply, name: &str, text: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    // Names of nodes are checked when settings are read; one that is no header value is left out.
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(text)) {
        reply.headers_mut().insert(name, value);
    }
}
