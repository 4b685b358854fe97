//! Hands a request to the upstream and judges what comes back.

use crate::{
    options::proxy_settings::HeaderNames,
    protocol::{
        headers::remove_hop_by_hop,
        hop::{AttemptOutcome, HOP_HEADER, HopRequest},
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        core::ProxyCore,
        crash_detection::{AbortedRequest, detect_crash, note_answered_here},
        events::ProxyEvent,
        executing::slowdown::note_load,
    },
    state::{ablation::Mechanism, request_fingerprint::RequestFingerprint},
    transport::{
        callers::CallerRequest,
        outgoing::{ConnectionReuse, SendError, SendOptions},
    },
};
use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, EXPECT},
    response::Parts,
};
use http_body_util::Full;
use std::{rc::Rc, time::Duration};

/// Longest time to open a connection to the upstream on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a kept connection may have been idle. Upstreams close them after some seconds,
/// at times without notice; a request that crosses the close has to be repeated.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Largest body of an answer, in bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Pause after a connect to the upstream failed.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Sends a request to the upstream; the caller holds a slot for it.
pub async fn dispatch(
    core: &Rc<ProxyCore>,
    hop: &HopRequest,
    req: CallerRequest,
    digest: RequestFingerprint,
    time_left: Duration,
) -> (AttemptOutcome, Option<Response<Bytes>>) {
    let Some(run) = core
        .local_upstream
        .borrow()
        .serving()
        .map(|run| run.identity.clone())
    else {
        return (AttemptOutcome::Refused(RefusalReason::Draining), None);
    };
    let names = &core.settings.headers;
    let id = req.headers.get(&names.request_id).cloned();
    let request_id = core.read_request_id(&req.headers);
    let Some(request) = build_request(names, req, hop, &run.instance, time_left) else {
        return (AttemptOutcome::Refused(RefusalReason::NotSent), None);
    };
    let rules = SendOptions {
        reuse: ConnectionReuse::for_request(
            hop.idempotent || Mechanism::FreshConnections.is_disabled(),
        ),
        connect_timeout: CONNECT_TIMEOUT.min(time_left),
        idle_limit: IDLE_LIMIT,
        body_limit: BODY_LIMIT,
        answer_timeouts: None,
    };
    let started = core.timers.now();
    let percent = core.slots.load().slowdown_percent;
    let deadline = core.timers.after(time_left);
    let address = core.settings.upstream;
    let is_answer = |parts: &Parts| belongs_to(names, parts, id.as_ref());
    let sent = tokio::select! {
        sent = core.outgoing.send(address, request, rules, is_answer) => sent,
        _ = deadline.recv_async() => {
            core.slots.observe_end(true);
            return (AttemptOutcome::Unknown(UnknownCause::DeadlinePassed), None);
        }
    };
    let now = core.timers.now();
    let is_cut = matches!(sent, Err(SendError::Disconnected));
    let result = judge(core, sent, &run.instance);
    let cut = is_cut.then(|| AbortedRequest {
        request: request_id,
        digest,
        run: run.clone(),
        service: hop.service.clone(),
    });
    if is_crash(core, cut).await {
        core.slots.observe_end(true);
        return (AttemptOutcome::Unknown(UnknownCause::UpstreamCrashed), None);
    }
    if result.0 == AttemptOutcome::Answered {
        note_answered_here(core, digest, &run);
    }
    let status = result.1.as_ref().map(Response::status);
    core.slots
        .observe_end(status.is_none_or(|status| status.is_server_error()));
    if status.is_some_and(|status| status.is_success()) {
        core.slots.observe(&hop.class, now.since(started), percent);
    }
    result
}

/// Whether the upstream has crashed, if it has cut a request. It takes no work for a while then.
async fn is_crash(core: &Rc<ProxyCore>, cut: Option<AbortedRequest>) -> bool {
    let Some(cut) = cut else {
        return false;
    };
    let crashed = detect_crash(core, cut).await;
    if crashed {
        pause(core);
    }
    crashed
}

fn pause(core: &ProxyCore) {
    let until = core.timers.now() + CONNECT_PAUSE;
    core.slots.paused_until.set(until);
}

fn judge(
    core: &Rc<ProxyCore>,
    sent: Result<Response<Bytes>, SendError>,
    instance: &str,
) -> (AttemptOutcome, Option<Response<Bytes>>) {
    match sent {
        Ok(response) => judge_response(core, response, instance),
        Err(SendError::NotSent) => {
            pause(core);
            (AttemptOutcome::Refused(RefusalReason::NotSent), None)
        }
        Err(SendError::Disconnected) => (
            AttemptOutcome::Unknown(UnknownCause::UpstreamDisconnected),
            None,
        ),
        Err(SendError::BadAnswer) => (AttemptOutcome::Unknown(UnknownCause::BadAnswer), None),
    }
}

fn judge_response(
    core: &Rc<ProxyCore>,
    response: Response<Bytes>,
    instance: &str,
) -> (AttemptOutcome, Option<Response<Bytes>>) {
    let names = &core.settings.headers;
    note_load(core, response.headers());
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another run has the address: what is known of the former one holds no longer.
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
    if encoded || (response.status().is_success() && !signed) {
        return (AttemptOutcome::Unknown(UnknownCause::BadAnswer), None);
    }
    (AttemptOutcome::Answered, Some(response))
}

/// Whether an answer is that of the request with `id`. An answer to an earlier request may still
/// arrive on a kept connection; it bears the id of that one.
fn belongs_to(names: &HeaderNames, parts: &Parts, id: Option<&HeaderValue>) -> bool {
    match parts.headers.get(&names.request_id) {
        Some(told) => Some(told) == id,
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
) -> Option<Request<Full<Bytes>>> {
    let mut headers = req.headers;
    remove_hop_by_hop(&mut headers);
    for name in [CONTENT_LENGTH, EXPECT, HeaderName::from_static(HOP_HEADER)] {
        headers.remove(name);
    }
    let millis = time_left.as_millis().max(1).to_string();
    headers.insert(&names.time_left, HeaderValue::from_str(&millis).ok()?);
    let instance = HeaderValue::from_str(instance).ok()?;
    headers.insert(&names.target_instance, instance);
    let caller = HeaderValue::from_str(hop.caller.as_str()).ok()?;
    headers.insert(&names.caller_service, caller);
    let mut request = Request::new(Full::new(req.body));
    *request.method_mut() = req.method;
    *request.uri_mut() = req.uri;
    *request.headers_mut() = headers;
    Some(request)
}
