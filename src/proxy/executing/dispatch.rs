//! Sends a request to the local upstream and classifies its response.

use crate::{
    coordination::upstream_health::{EvidenceKind, ExecutionEnd},
    options::proxy_settings::HeaderNames,
    protocol::{
        headers::remove_hop_by_hop,
        hop::{AttemptOutcome, HopRequest},
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        core::ProxyCore,
        crash_detection::{AbortedRequest, detect_crash, record_local_answer},
        events::ProxyEvent,
        executing::{
            leaving::record_leaving_header, request_limit::record_limit_header,
            slowdown::record_load_header, upstream_headers::log_unread_headers,
        },
        health::{RunningExecution, Trial},
    },
    state::{ablation::Mechanism, request_fingerprint::RequestFingerprint},
    transport::{
        callers::CallerRequest,
        message_body::{MessageBody, is_large},
        outgoing::{ConnectionReuse, SendError, SendOptions},
    },
};
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, EXPECT},
    response::Parts,
};
use std::{rc::Rc, time::Duration};

/// Timeout for opening a connection to the upstream on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A kept connection that has been idle for longer is not used again. Upstreams close idle connections after some seconds, at times
/// without notice; a request that is sent at the same time has to be retried.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Maximum body of a response, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Largest number of headers of a response, and their largest total size in bytes. Other nodes accept somewhat more, for the header
/// that this node adds; otherwise the response would be lost between two nodes, and this one be considered lost.
const MAX_ANSWER_HEADERS: usize = 1_000;
const MAX_ANSWER_HEAD_BYTES: usize = 32 * 1024;
/// Time for which the upstream gets no requests after a failed connect or a crash.
const UPSTREAM_DOWN_PAUSE: Duration = Duration::from_millis(100);

/// Sends a request to the local upstream. The caller holds a slot for it. Returns the response only if the outcome is "answered".
pub async fn dispatch(
    core: &Rc<ProxyCore>,
    hop: &HopRequest,
    req: CallerRequest,
    fingerprint: RequestFingerprint,
    time_left: Duration,
    trial: Option<Trial>,
) -> (AttemptOutcome, Option<Response<MessageBody>>) {
    let Some(incarnation) = core
        .local_upstream
        .borrow()
        .serving()
        .map(|current| current.identity.clone())
    else {
        return (AttemptOutcome::Refused(RefusalReason::Draining), None);
    };
    let names = &core.settings.headers;
    let id = req.headers.get(&names.request_id).cloned();
    let request_id = core.read_request_id(&req.headers);
    let body_bytes = req.body.known_length();
    let Some(request) = build_request(names, req, hop, &incarnation.instance, time_left) else {
        return (AttemptOutcome::Refused(RefusalReason::NotSent), None);
    };
    let options = SendOptions {
        reuse: ConnectionReuse::for_request(
            hop.idempotent || Mechanism::FreshConnections.is_disabled(),
        ),
        connect_timeout: CONNECT_TIMEOUT.min(time_left),
        idle_limit: IDLE_LIMIT,
        max_body_bytes: MAX_BODY_BYTES,
        answer_timeouts: None,
        read_timeout: is_large(body_bytes).then_some(time_left),
    };
    let execution = RunningExecution::begin(core, &hop.class, trial);
    let started = core.timers.now();
    let slowdown_percent = core.slots.load().slowdown_percent;
    let deadline = core.timers.after(time_left);
    let address = core.settings.upstream_address;
    let is_answer = |parts: &Parts| is_response_to(names, parts, id.as_ref());
    let send_result = tokio::select! {
        send_result = core.outgoing.send_large(address, request, options, time_left, is_answer) => send_result,
        _ = deadline.recv_async() => {
            execution.finish(ExecutionEnd::Abandoned, true);
            return (AttemptOutcome::Unknown(UnknownCause::DeadlinePassed), None);
        }
    };
    if let Ok(response) = &send_result {
        record_limit_header(core, response, started);
        record_leaving_header(core, response, &incarnation);
    }
    let now = core.timers.now();
    let is_disconnected = matches!(send_result, Err(SendError::Disconnected));
    let result = classify_send_result(core, send_result, &incarnation.instance);
    let aborted = is_disconnected.then(|| AbortedRequest {
        request_id,
        fingerprint,
        incarnation: incarnation.clone(),
        service: hop.service.clone(),
    });
    if is_upstream_crash(core, aborted).await {
        execution.finish(ExecutionEnd::Ended(EvidenceKind::Reset), true);
        return (AttemptOutcome::Unknown(UnknownCause::UpstreamCrashed), None);
    }
    if result.0 == AttemptOutcome::Answered {
        record_local_answer(core, fingerprint, &incarnation);
    }
    let status = result.1.as_ref().map(Response::status);
    execution.finish(
        classify_end(result.0, status),
        status.is_none_or(|status| status.is_server_error()),
    );
    if status.is_some_and(|status| status.is_success()) {
        core.slots
            .record_duration(&hop.class, now.since(started), slowdown_percent);
    }
    result
}

/// What the result says about the upstream's health. An upstream that rejects a request is not held to fail.
fn classify_end(outcome: AttemptOutcome, status: Option<StatusCode>) -> ExecutionEnd {
    match (outcome, status) {
        (AttemptOutcome::Refused(_), _) => ExecutionEnd::NotExecuted,
        (AttemptOutcome::Answered, Some(status)) if !status.is_server_error() => {
            ExecutionEnd::Ended(EvidenceKind::Answered)
        }
        (AttemptOutcome::Answered, Some(_)) => ExecutionEnd::Ended(EvidenceKind::Failed),
        _ => ExecutionEnd::Ended(EvidenceKind::Reset),
    }
}

/// Whether the upstream has crashed, if it has aborted a request. After a crash it gets no requests for a while.
async fn is_upstream_crash(core: &Rc<ProxyCore>, aborted: Option<AbortedRequest>) -> bool {
    let Some(aborted) = aborted else {
        return false;
    };
    let crashed = detect_crash(core, aborted).await;
    if crashed {
        pause_attempts(core);
    }
    crashed
}

fn pause_attempts(core: &ProxyCore) {
    let until = core.timers.now() + UPSTREAM_DOWN_PAUSE;
    core.slots.paused_until.set(until);
}

fn classify_send_result(
    core: &Rc<ProxyCore>,
    send_result: Result<Response<MessageBody>, SendError>,
    instance: &str,
) -> (AttemptOutcome, Option<Response<MessageBody>>) {
    match send_result {
        Ok(response) => classify_response(core, response, instance),
        Err(SendError::NotSent) => {
            pause_attempts(core);
            (AttemptOutcome::Refused(RefusalReason::NotSent), None)
        }
        Err(SendError::Disconnected) => (
            AttemptOutcome::Unknown(UnknownCause::UpstreamDisconnected),
            None,
        ),
        Err(SendError::BadAnswer | SendError::Rejected) => {
            (AttemptOutcome::Unknown(UnknownCause::BadAnswer), None)
        }
    }
}

fn classify_response(
    core: &Rc<ProxyCore>,
    response: Response<MessageBody>,
    instance: &str,
) -> (AttemptOutcome, Option<Response<MessageBody>>) {
    let names = &core.settings.headers;
    record_load_header(core, response.headers());
    log_unread_headers(core, response.headers(), instance);
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another incarnation has the address; what is known of the former one is no longer valid.
        core.log(&ProxyEvent::UpstreamReplaced {
            instance: instance.to_owned(),
        });
        core.local_upstream.borrow_mut().end_incarnation(instance);
        return (AttemptOutcome::Refused(RefusalReason::UpstreamShed), None);
    }
    if response.headers().contains_key(&names.not_executed) {
        return (AttemptOutcome::Refused(RefusalReason::UpstreamShed), None);
    }
    let signed = response.headers().contains_key(&names.signature);
    let encoded = response.headers().contains_key(CONTENT_ENCODING);
    let is_upgrade = response.status() == StatusCode::SWITCHING_PROTOCOLS;
    let is_too_long = is_head_too_long(response.headers());
    if is_upgrade || is_too_long || encoded || (response.status().is_success() && !signed) {
        return (AttemptOutcome::Unknown(UnknownCause::BadAnswer), None);
    }
    (AttemptOutcome::Answered, Some(response))
}

/// Whether a response has more headers than the nodes pass on.
fn is_head_too_long(headers: &HeaderMap) -> bool {
    let bytes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    headers.len() > MAX_ANSWER_HEADERS || bytes.sum::<usize>() > MAX_ANSWER_HEAD_BYTES
}

/// Whether a response belongs to the request with this ID. The response to an earlier request may still arrive on a kept
/// connection; it carries the ID of that request.
fn is_response_to(names: &HeaderNames, parts: &Parts, id: Option<&HeaderValue>) -> bool {
    match parts.headers.get(&names.request_id) {
        Some(response_id) => Some(response_id) == id,
        None => {
            parts.status == StatusCode::MISDIRECTED_REQUEST
                || parts.headers.contains_key(&names.not_executed)
        }
    }
}

fn build_request(
    names: &HeaderNames,
    req: CallerRequest,
    hop: &HopRequest,
    instance: &str,
    time_left: Duration,
) -> Option<Request<MessageBody>> {
    let mut headers = req.headers;
    remove_hop_by_hop(&mut headers, names);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    let millis = time_left.as_millis().max(1).to_string();
    headers.insert(&names.time_left, HeaderValue::from_str(&millis).ok()?);
    let instance = HeaderValue::from_str(instance).ok()?;
    headers.insert(&names.target_instance, instance);
    let caller = HeaderValue::from_bytes(hop.caller.as_str().as_bytes()).ok()?;
    headers.insert(&names.caller_service, caller);
    headers.remove(&names.organisation);
    if let Some(organisation) = &hop.organisation {
        let organisation = HeaderValue::from_bytes(organisation.as_str().as_bytes()).ok()?;
        headers.insert(&names.organisation, organisation);
    }
    let mut request = Request::new(req.body);
    *request.method_mut() = req.method;
    *request.uri_mut() = req.uri;
    *request.headers_mut() = headers;
    Some(request)
}
