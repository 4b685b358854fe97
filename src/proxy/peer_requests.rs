//! Requests between nodes, over HTTP/1.1.
//!
//! Each request under way has a connection of its own: one that falls silent holds up nothing else,
//! and closing it cancels just that request at the other node.

use crate::{
    protocol::{
        headers::remove_hop_by_hop,
        hop::{AttemptOutcome, HOP_HEADER, HopAnswer, HopRequest, STATE_HEADER},
    },
    proxy::{
        core::ProxyCore,
        executing::{CompletedAttempt, execute},
        state_sharing::answer_state_message,
        table_fetching::note_peer_version,
    },
    state::ablation::Mechanism,
    transport::{
        callers::{CallerHandler, CallerReply, CallerRequest, reply_json},
        outgoing::{ConnectionReuse, SendError, SendOptions},
    },
};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http::{
    HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, DATE, EXPECT},
    response::Parts,
};
use http_body_util::Full;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Longest time to open a connection to another node. A lost packet of an opening is sent again after a
/// second, so beyond some round trips between zones it is better to ask another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time that a kept connection to another node may have been idle. A VM that lost power in the
/// meantime does not say so: what is sent on the connection may have run for all that is known, while the
/// opening of a new one fails at once and proves that it did not.
const IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Largest body between nodes, in bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// Has another node run a request at its upstream.
///
/// # Errors
/// If no answer came; only [`SendError::NotSent`] proves that the request did not run.
pub async fn send_hop(
    core: &Rc<ProxyCore>,
    to: SocketAddr,
    hop: &HopRequest,
    req: &CallerRequest,
) -> Result<CompletedAttempt, SendError> {
    let request = build_hop(hop, req).ok_or(SendError::NotSent)?;
    let rules = SendOptions {
        reuse: ConnectionReuse::for_request(
            hop.idempotent || Mechanism::FreshConnections.is_disabled(),
        ),
        connect_timeout: CONNECT_TIMEOUT,
        idle_limit: IDLE_LIMIT,
        body_limit: BODY_LIMIT,
        answer_timeouts: None,
    };
    let is_answer = |parts: &Parts| parts.headers.contains_key(HOP_HEADER);
    let mut response = core.outgoing.send(to, request, rules, is_answer).await?;
    let header = response.headers_mut().remove(HOP_HEADER);
    let answer = header
        .as_ref()
        .and_then(|value| HopAnswer::decode(value.to_str().ok()?))
        .ok_or(SendError::BadAnswer)?;
    note_peer_version(core, to, answer.version);
    let response = (answer.outcome == AttemptOutcome::Answered).then_some(response);
    Ok(CompletedAttempt { answer, response })
}

fn build_hop(hop: &HopRequest, req: &CallerRequest) -> Option<Request<Full<Bytes>>> {
    let mut headers = req.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers.insert(
        HeaderName::from_static(HOP_HEADER),
        HeaderValue::from_str(&hop.encode()).ok()?,
    );
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.method.clone();
    *request.uri_mut() = req.uri.clone();
    *request.headers_mut() = headers;
    Some(request)
}

/// The node as other nodes meet it.
pub struct PeerHandler {
    core: Rc<ProxyCore>,
}

impl PeerHandler {
    /// The edge of this node.
    #[must_use]
    pub fn new(core: Rc<ProxyCore>) -> Self {
        Self { core }
    }
}

impl CallerHandler for PeerHandler {
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            if req.headers.contains_key(STATE_HEADER) {
                return answer_state_message(&core, &req.body).await;
            }
            answer_hop(&core, req).await
        })
    }

    fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }
}

async fn answer_hop(core: &Rc<ProxyCore>, mut req: CallerRequest) -> CallerReply {
    let header = req.headers.remove(HOP_HEADER);
    let hop = header
        .as_ref()
        .and_then(|value| HopRequest::decode(value.to_str().ok()?));
    let Some(hop) = hop else {
        return reply_json(StatusCode::BAD_REQUEST, "not a message between nodes");
    };
    note_peer_version(core, hop.sender, hop.version);
    let executed = execute(core, &hop, req).await;
    let mut reply = match executed.response {
        Some(response) => pass_on(response),
        None => Response::new(Full::default()),
    };
    if let Ok(value) = HeaderValue::from_str(&executed.answer.encode()) {
        let name = HeaderName::from_static(HOP_HEADER);
        reply.headers_mut().insert(name, value);
    }
    reply
}

/// An upstream's answer without what concerns its connection only.
pub fn pass_on(response: Response<Bytes>) -> CallerReply {
    let (mut parts, body) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(DATE);
    Response::from_parts(parts, Full::new(body))
}
