//! Probes the local upstream at the health path that the configuration gives for its service.

use crate::{
    proxy::{
        core::{ProxyCore, increment},
        executing::{
            leaving::record_probed_leaving, request_limit::record_probed_limit,
            warmup::record_warmup_header,
        },
    },
    state::names::ServiceName,
    transport::{
        message_body::MessageBody,
        outgoing::{ConnectionReuse, SendError, SendOptions},
    },
};
use bytes::Bytes;
use http::{Request, Response, Uri, response::Parts};
use std::{rc::Rc, time::Duration};

/// Timeout of a probe. After a timeout the last reported slowdown of the upstream stays in use.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);
/// Number of probes by which a node verifies which incarnation of its upstream is running, and the pause after each that isn't
/// answered. All of them take less than the second within which an announcement has to be acknowledged.
const VERIFYING_PROBES: usize = 4;
const VERIFYING_PAUSE: Duration = Duration::from_millis(50);
/// A kept connection that has been idle for longer is not used for a probe.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Maximum body of a probe response, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// What the local upstream answers to probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbedState {
    /// It is the expected incarnation and accepts requests.
    Accepting,
    /// It is the expected incarnation and accepts no requests: it is leaving or unhealthy.
    NotAccepting,
    /// It is another incarnation.
    OtherInstance,
    /// It did not answer in time, or not with its identity.
    Unknown,
}

/// Probes whether the upstream is the incarnation with this name and accepts requests. An upstream that doesn't answer is probed
/// again: on a busy VM the answer to a single probe may come too late.
pub async fn probe_state(
    core: &Rc<ProxyCore>,
    service: &ServiceName,
    instance: &str,
) -> ProbedState {
    let Some(uri) = find_health_uri(core, service) else {
        return ProbedState::Unknown;
    };
    let answer = probe_until_answered(core, uri).await;
    let reported = answer
        .as_ref()
        .and_then(|answer| Some((read_instance(core, answer)?, answer.status())));
    match reported {
        None => ProbedState::Unknown,
        Some((reported, _)) if reported != instance => ProbedState::OtherInstance,
        Some((_, status)) if status.is_success() => ProbedState::Accepting,
        Some((_, _)) => ProbedState::NotAccepting,
    }
}

/// Probes the upstream up to [`VERIFYING_PROBES`] times, until it answers. A full upstream rejects probes like other requests, which
/// tells nothing about its state.
async fn probe_until_answered(core: &Rc<ProxyCore>, uri: Uri) -> Option<Response<Bytes>> {
    let not_executed = &core.settings.headers.not_executed;
    for _ in 0..VERIFYING_PROBES {
        let answer = send_probe(core, uri.clone(), ConnectionReuse::Any).await;
        match answer {
            Ok(answer) if !answer.headers().contains_key(not_executed) => return Some(answer),
            Ok(_) | Err(_) => {}
        }
        let _ = core.timers.after(VERIFYING_PAUSE).recv_async().await;
    }
    None
}

/// Whether an incarnation of the upstream has ended. It has if connections are refused, if they end without a response because
/// another process accepts them, or if another incarnation answers. An upstream that does not answer in time is running and busy.
pub async fn has_incarnation_ended(
    core: &Rc<ProxyCore>,
    service: &ServiceName,
    instance: &str,
) -> bool {
    let upstream = core.settings.upstream_address;
    let Some(uri) = find_health_uri(core, service) else {
        return core
            .outgoing
            .refuses_connections(upstream, PROBE_TIMEOUT)
            .await;
    };
    match send_probe(core, uri, ConnectionReuse::Never).await {
        Ok(answer) => read_instance(core, &answer).is_some_and(|reported| reported != instance),
        Err(ProbeError::Failed(error)) => error != SendError::BadAnswer,
        Err(ProbeError::TimedOut) => false,
        Err(ProbeError::RateLimited) => {
            core.outgoing
                .refuses_connections(upstream, PROBE_TIMEOUT)
                .await
        }
    }
}

fn read_instance<'a>(core: &ProxyCore, answer: &'a Response<Bytes>) -> Option<&'a str> {
    let instance = answer.headers().get(&core.settings.headers.instance)?;
    instance.to_str().ok()
}

/// The health path of a service; none if the configuration has no such service or path.
pub fn find_health_uri(core: &ProxyCore, service: &ServiceName) -> Option<Uri> {
    let routes = core.routes()?;
    routes.find_service(service)?.health_path.parse().ok()
}

/// Why a probe got no response.
pub enum ProbeError {
    /// No probe was sent, since the probe rate is exhausted.
    RateLimited,
    /// No response arrived in time.
    TimedOut,
    /// The probe could not be sent, or the connection ended, or the response was invalid.
    Failed(SendError),
}

/// Sends a probe to the upstream, within the probe rate that operators allow, and records the warm-up time from the response.
pub async fn send_probe(
    core: &Rc<ProxyCore>,
    uri: Uri,
    reuse: ConnectionReuse,
) -> Result<Response<Bytes>, ProbeError> {
    if !core.slots.slowdown.take_probe(core.timers.now()) {
        return Err(ProbeError::RateLimited);
    }
    increment(&core.counters.probes);
    let mut request = Request::new(MessageBody::default());
    *request.uri_mut() = uri;
    let options = SendOptions {
        reuse,
        // Longer than the whole probe, so that a failed connect always means a refused connection.
        connect_timeout: PROBE_TIMEOUT * 2,
        idle_limit: IDLE_LIMIT,
        max_body_bytes: MAX_BODY_BYTES,
        answer_timeouts: None,
        read_timeout: None,
    };
    let timeout = core.timers.after(PROBE_TIMEOUT);
    let names = &core.settings.headers;
    // A response with a request ID is a late response to a request.
    let is_answer = |parts: &Parts| !parts.headers.contains_key(&names.request_id);
    let upstream = core.settings.upstream_address;
    tokio::select! {
        sent = core.outgoing.send(upstream, request, options, is_answer) => {
            let answer = sent.map_err(ProbeError::Failed)?;
            record_warmup_header(core, answer.headers());
            record_probed_limit(core, &answer);
            record_probed_leaving(core, &answer);
            Ok(answer)
        }
        _ = timeout.recv_async() => Err(ProbeError::TimedOut),
    }
}
