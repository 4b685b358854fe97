//! Turns callers' requests into calls, and the ends of calls into replies.

mod reply;

use crate::{
    constants::KEY_HEADER,
    coordination::classification::{ClassifiedCall, Rejection, classify_call},
    events::{event::Event, reasons::OutcomeSummary},
    node::{
        core::NodeCore,
        entry::{CallEnd, EntryCall, carry_call},
        executing::saturate_micros,
        keyed_calls::carry_keyed_call,
    },
    protocol::{
        attempt::CallId,
        headers::clean_request_headers,
        outcome::{Outcome, Refusal, RefusalReason, RetryAdvice, UnknownCause},
    },
    state::{
        configuration::ConfigurationVersion,
        statistics::{CountedCall, CountedOutcome},
    },
    transport::callers::{CallerHandler, CallerReply, CallerRequest, reply_json},
};
use futures::future::LocalBoxFuture;
use http::StatusCode;
use reply::{build_reply, mark_reply};
use std::{rc::Rc, time::Duration};
use uuid::Uuid;

/// When to come back if this node has too many calls in progress.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// The node as callers meet it.
pub struct CallerEdge {
    core: Rc<NodeCore>,
}

impl CallerEdge {
    /// The edge of this node.
    #[must_use]
    pub fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }
}

impl CallerHandler for CallerEdge {
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        Box::pin(handle_request(Rc::clone(&self.core), req))
    }

    fn is_stopping(&self) -> bool {
        self.core.stopping.get()
    }
}

/// Counts a call in progress for as long as it lives, also when its caller goes away.
struct CallInProgress(Rc<NodeCore>);

impl CallInProgress {
    fn count(core: &Rc<NodeCore>) -> Self {
        core.calls.set(core.calls.get() + 1);
        Self(Rc::clone(core))
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}

async fn handle_request(core: Rc<NodeCore>, req: CallerRequest) -> CallerReply {
    let id = CallId(Uuid::now_v7());
    let mut reply = carry_request(&core, id, req).await;
    mark_reply(&mut reply, &core.me.name, id);
    reply
}

async fn carry_request(core: &Rc<NodeCore>, id: CallId, req: CallerRequest) -> CallerReply {
    let configuration = core.configuration();
    if configuration.version == ConfigurationVersion::default() {
        // A node that has just started knows no service yet. Refusing the request as malformed would
        // tell its caller not to repeat it.
        let keyed = req.headers.contains_key(KEY_HEADER);
        let refusal = refuse(RefusalReason::NoUpstream, RetryAdvice::Elsewhere, keyed);
        return build_reply(&refusal);
    }
    let classified = classify_call(&configuration.content, &req.method, &req.uri, &req.headers);
    if core.stopping.get() {
        let keyed = classified.as_ref().is_ok_and(|call| call.key.is_some());
        let refusal = refuse(RefusalReason::Draining, RetryAdvice::Elsewhere, keyed);
        return build_reply(&refusal);
    }
    let classified = match classified {
        Ok(classified) => classified,
        Err(rejection) => return reject(core, id, rejection),
    };
    if core.calls.get() >= core.settings.callers.max_calls {
        let advice = RetryAdvice::After(BUSY_RETRY);
        let keyed = classified.key.is_some();
        return build_reply(&refuse(RefusalReason::QueueFull, advice, keyed));
    }
    let counted = CallInProgress::count(core);
    let arrived = core.timers.now();
    let mut headers = req.headers;
    clean_request_headers(&mut headers);
    let call = EntryCall {
        id,
        service: classified.service.name.clone(),
        class: classified.class.clone(),
        method: req.method,
        target: classified.target.clone(),
        headers,
        body: req.body,
        deadline: arrived + classified.time_left,
        key: classified.key,
        depth: classified.depth,
        first_attempt: 0,
    };
    record_received(core, id, &classified);
    let end = if call.key.is_some() {
        carry_keyed_call(core, call).await
    } else {
        carry_call(core, call).await
    };
    drop(counted);
    count_end(
        core,
        id,
        &classified,
        &end,
        core.timers.now().since(arrived),
    );
    build_reply(&end)
}

/// Refuses a call before anybody was asked about its key.
///
/// An earlier call with the key may have run. A caller told `not run` for a repeated booking could book
/// again with a new key, and would have two.
fn refuse(reason: RefusalReason, advice: RetryAdvice, keyed: bool) -> CallEnd {
    let outcome = if keyed {
        Outcome::Unknown(UnknownCause::KeyUnsettled)
    } else {
        Outcome::NotRun(Refusal { reason, advice })
    };
    CallEnd {
        outcome,
        upstream: None,
        attempts: 0,
    }
}

fn reject(core: &NodeCore, id: CallId, rejection: Rejection) -> CallerReply {
    let status = match rejection {
        Rejection::UnknownService | Rejection::UnknownClass => StatusCode::NOT_FOUND,
        Rejection::TooDeep => StatusCode::LOOP_DETECTED,
        Rejection::MalformedDeadline
        | Rejection::MalformedDepth
        | Rejection::MalformedKey
        | Rejection::MissingKey => StatusCode::BAD_REQUEST,
    };
    let event = Event::RequestRejected {
        status: status.as_u16(),
    };
    core.recorder.record(event, Some(id));
    reply_json(status, &rejection.to_string())
}

fn record_received(core: &NodeCore, id: CallId, call: &ClassifiedCall<'_>) {
    let event = Event::CallReceived {
        service: call.service.name.clone(),
        class: call.class.name.clone(),
        depth: call.depth,
        time_left_micros: saturate_micros(call.time_left),
        target_micros: saturate_micros(call.class.target.latency()),
        keyed: call.key.is_some(),
    };
    core.recorder.record(event, Some(id));
}

fn count_end(
    core: &NodeCore,
    id: CallId,
    call: &ClassifiedCall<'_>,
    end: &CallEnd,
    took: Duration,
) {
    let target = call.class.target.latency();
    let outcome = match end.outcome {
        Outcome::Answered(_) => CountedOutcome::Answered,
        Outcome::NotRun(_) => CountedOutcome::NotRun,
        Outcome::Unknown(_) => CountedOutcome::Unknown,
    };
    let counted = CountedCall {
        outcome,
        took,
        on_target: outcome == CountedOutcome::Answered && took <= target,
        retries: u32::from(end.attempts.saturating_sub(1)),
    };
    core.count_call(&call.service.name, &call.class.name, counted);
    let event = Event::CallEnded {
        service: call.service.name.clone(),
        class: call.class.name.clone(),
        outcome: OutcomeSummary::from(&end.outcome),
        attempts: end.attempts,
        took_micros: saturate_micros(took),
        target_micros: saturate_micros(target),
    };
    core.recorder.record(event, Some(id));
}
