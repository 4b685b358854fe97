//! Handing an attempt to the upstream and reading what became of it.

use crate::{
    constants::{CALL_HEADER, DEADLINE_HEADER, DEPTH_HEADER, KEY_HEADER},
    coordination::admission::EndKind,
    events::event::Event,
    node::{
        core::NodeCore,
        executing::{register_running, ticket::Ticket},
    },
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        outcome::{Outcome, Refusal, RefusalReason, RetryAdvice, UnknownCause, UpstreamAnswer},
    },
    state::moment::Moment,
    transport::upstreams::{UpstreamError, UpstreamRequest},
};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::{rc::Rc, time::Duration};

/// What ended the exchange with the upstream.
enum Exchange {
    Ended(Result<UpstreamAnswer, UpstreamError>),
    DeadlinePassed,
    Cancelled,
}

/// Sends an admitted attempt to the upstream.
pub async fn dispatch_attempt(
    core: &Rc<NodeCore>,
    mut ticket: Ticket,
    attempt: CallAttempt,
    arrived: Moment,
) -> Outcome {
    let waited = core.timers.now().since(arrived);
    let Some(time_left) = attempt.time_left.checked_sub(waited) else {
        ticket.finish(EndKind::NotSent);
        return refuse(RefusalReason::DeadlinePassed);
    };
    ticket.dispatch();
    record_dispatch(core, &attempt, waited);
    let cancelled = register_running(core, attempt.id);
    let deadline = core.timers.after(time_left);
    let id = attempt.id;
    let req = build_request(attempt, time_left);
    let exchange = tokio::select! {
        ended = core.upstream.send(req) => Exchange::Ended(ended),
        _ = deadline.recv_async() => Exchange::DeadlinePassed,
        _ = cancelled.recv_async() => Exchange::Cancelled,
    };
    let took = core.timers.now().since(arrived).saturating_sub(waited);
    let (kind, outcome) = judge_exchange(exchange);
    record_end(core, id, &outcome, took);
    ticket.finish(kind);
    outcome
}

fn judge_exchange(exchange: Exchange) -> (EndKind, Outcome) {
    match exchange {
        Exchange::Ended(Ok(answer)) => {
            let server_error = answer.status.is_server_error();
            (
                EndKind::Answered { server_error },
                Outcome::Answered(answer),
            )
        }
        Exchange::Ended(Err(UpstreamError::NotSent)) => {
            (EndKind::NotSent, refuse(RefusalReason::NotSent))
        }
        Exchange::Ended(Err(UpstreamError::Shed)) => {
            (EndKind::Shed, refuse(RefusalReason::UpstreamShed))
        }
        Exchange::Ended(Err(UpstreamError::Cut)) => {
            (EndKind::Cut, Outcome::Unknown(UnknownCause::UpstreamCut))
        }
        Exchange::Ended(Err(UpstreamError::BadAnswer)) => {
            (EndKind::Cut, Outcome::Unknown(UnknownCause::BadAnswer))
        }
        Exchange::DeadlinePassed => (
            EndKind::TimedOut,
            Outcome::Unknown(UnknownCause::DeadlinePassed),
        ),
        Exchange::Cancelled => (
            EndKind::Cancelled,
            Outcome::Unknown(UnknownCause::Cancelled),
        ),
    }
}

fn refuse(reason: RefusalReason) -> Outcome {
    Outcome::NotRun(Refusal {
        reason,
        advice: RetryAdvice::Elsewhere,
    })
}

fn build_request(attempt: CallAttempt, time_left: Duration) -> UpstreamRequest {
    let mut headers = attempt.headers;
    put_header(&mut headers, CALL_HEADER, &attempt.id.call.to_string());
    let millis = time_left.as_millis().max(1);
    put_header(&mut headers, DEADLINE_HEADER, &millis.to_string());
    let depth = attempt.depth.saturating_add(1);
    put_header(&mut headers, DEPTH_HEADER, &depth.to_string());
    if let Some(key) = attempt.key {
        put_header(&mut headers, KEY_HEADER, &key.0.to_string());
    }
    UpstreamRequest {
        method: attempt.method,
        target: attempt.target,
        headers,
        body: attempt.body,
    }
}

fn put_header(headers: &mut HeaderMap, name: &'static str, text: &str) {
    // Numbers and UUIDs are always valid header values.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn record_dispatch(core: &NodeCore, attempt: &CallAttempt, waited: Duration) {
    let event = Event::AttemptDispatched {
        attempt: attempt.id.number,
        waited_micros: saturate_micros(waited),
    };
    core.recorder.record(event, Some(attempt.id.call));
}

fn record_end(core: &NodeCore, id: AttemptId, outcome: &Outcome, took: Duration) {
    let took_micros = saturate_micros(took);
    let attempt = id.number;
    let event = match outcome {
        Outcome::Answered(answer) => Event::UpstreamAnswered {
            attempt,
            status: answer.status.as_u16(),
            took_micros,
        },
        Outcome::Unknown(cause) => Event::AttemptCut {
            attempt,
            cause: *cause,
            took_micros,
        },
        Outcome::NotRun(_) => return,
    };
    core.recorder.record(event, Some(id.call));
}

/// Microseconds for an event; longer spans than it can hold are cut to the longest.
#[must_use]
pub fn saturate_micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
