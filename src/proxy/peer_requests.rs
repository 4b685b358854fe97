//! Requests between nodes, over HTTP/1.1.
//!
//! Each request in progress has a connection of its own. A connection that hangs delays no other request, and closing it cancels
//! only its request at the other node.

use crate::{
    options::proxy_settings::HeaderNames,
    protocol::{
        headers::{insert_first, remove_hop_by_hop, take_first},
        hop::{
            AttemptOutcome, FINGERPRINT_HEADER, HOP_HEADER, HopAnswer, HopRequest, STATE_HEADER,
        },
    },
    proxy::{
        core::ProxyCore,
        entry::record_rejected_body,
        executing::{CompletedAttempt, execute},
        state_sharing::answer_state_message,
        table_fetching::record_peer_version,
    },
    state::ablation::Mechanism,
    transport::{
        callers::{CallerHandler, CallerReply, CallerRequest, reply_json},
        message_body::{MessageBody, ReadError, is_large},
        outgoing::{ConnectionReuse, SendError, SendOptions},
    },
};
use futures::future::LocalBoxFuture;
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, DATE, EXPECT},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Timeout for opening a connection to another node. TCP retransmits a lost packet of a connect after a second, so after a few
/// round trips between zones it is better to try another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// A kept connection to another node that has been idle for longer is not used again. A VM that has lost power does not close its
/// connections: it is unknown whether a request sent on one was executed, while a failed connect proves that it was not.
const IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum body of a state message, in bytes.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum body between nodes, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Sends a request to another node, which executes it at its local upstream.
///
/// # Errors
/// If no valid answer arrived; only [`SendError::NotSent`] proves that the request was not executed.
pub async fn send_hop(
    core: &Rc<ProxyCore>,
    to: SocketAddr,
    hop: &HopRequest,
    req: &CallerRequest,
) -> Result<CompletedAttempt, SendError> {
    let names = &core.settings.headers;
    let request = build_hop(names, hop, req).ok_or(SendError::NotSent)?;
    let options = SendOptions {
        reuse: ConnectionReuse::for_request(
            hop.idempotent || Mechanism::FreshConnections.is_disabled(),
        ),
        connect_timeout: CONNECT_TIMEOUT,
        idle_limit: IDLE_LIMIT,
        max_body_bytes: MAX_BODY_BYTES,
        answer_timeouts: None,
        read_timeout: is_large(req.body.known_length()).then_some(hop.time_left),
    };
    let outgoing = &core.outgoing;
    let mut response = outgoing
        .send_large(to, request, options, hop.time_left, |_| true)
        .await?;
    let status = response.status();
    let header = take_first(response.headers_mut(), &HOP_HEADER);
    if header.is_none() {
        return Err(classify_rejection(status));
    }
    let answer = header
        .as_ref()
        .and_then(|value| HopAnswer::decode(value.to_str().ok()?))
        .ok_or(SendError::BadAnswer)?;
    record_peer_version(core, to, answer.version);
    let response = (answer.outcome == AttemptOutcome::Answered).then_some(response);
    Ok(CompletedAttempt { answer, response })
}

/// Classifies an answer of a node's server without the header of its handler: the node has rejected the request before it was handled.
const fn classify_rejection(status: StatusCode) -> SendError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => SendError::NotSent,
        _ => SendError::Rejected,
    }
}

fn build_hop(
    names: &HeaderNames,
    hop: &HopRequest,
    req: &CallerRequest,
) -> Option<Request<MessageBody>> {
    let mut headers = req.headers.clone();
    remove_hop_by_hop(&mut headers, names);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    let value = HeaderValue::from_str(&hop.encode()).ok()?;
    insert_first(&mut headers, &HOP_HEADER, value);
    if hop.has_fingerprint {
        let value = HeaderValue::from_str(&req.fingerprint.to_string()).ok()?;
        insert_first(&mut headers, &FINGERPRINT_HEADER, value);
    }
    let mut request = Request::new(req.body.share()?);
    *request.method_mut() = req.method.clone();
    *request.uri_mut() = req.uri.clone();
    *request.headers_mut() = headers;
    Some(request)
}

/// Handles requests of other nodes: state messages and attempts to execute at the local upstream.
pub struct PeerHandler {
    core: Rc<ProxyCore>,
}

impl PeerHandler {
    /// Creates the handler for the peer listener of a node.
    #[must_use]
    pub fn new(core: Rc<ProxyCore>) -> Self {
        Self { core }
    }
}

impl CallerHandler for PeerHandler {
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            // A forwarded request may have a header of its client with the name of the mark of state messages.
            let is_hop = req.headers.contains_key(HOP_HEADER);
            if !is_hop && req.headers.contains_key(STATE_HEADER) {
                return match req.body.to_bytes(MAX_STATE_BYTES).await {
                    Ok(body) => answer_state_message(&core, &body).await,
                    Err(error) => reply_json(StatusCode::BAD_REQUEST, &error.to_string()),
                };
            }
            answer_hop(&core, req).await
        })
    }

    fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }

    fn record_rejected_body(&self, error: ReadError) {
        record_rejected_body(&self.core, error);
    }
}

async fn answer_hop(core: &Rc<ProxyCore>, mut req: CallerRequest) -> CallerReply {
    let header = take_first(&mut req.headers, &HOP_HEADER);
    let hop = header
        .as_ref()
        .and_then(|value| HopRequest::decode(value.to_str().ok()?));
    let Some(hop) = hop else {
        return reply_json(StatusCode::BAD_REQUEST, "not a message between nodes");
    };
    if hop.has_fingerprint {
        let header = take_first(&mut req.headers, &FINGERPRINT_HEADER);
        let fingerprint = header.and_then(|value| value.to_str().ok()?.parse().ok());
        req.fingerprint = fingerprint.unwrap_or(req.fingerprint);
    }
    record_peer_version(core, hop.sender, hop.version);
    let completed = execute(core, &hop, req).await;
    let mut reply = match completed.response {
        Some(response) => strip_connection_headers(&core.settings.headers, response),
        None => Response::default(),
    };
    if let Ok(value) = HeaderValue::from_str(&completed.answer.encode()) {
        insert_first(reply.headers_mut(), &HOP_HEADER, value);
    }
    reply
}

/// Removes the headers that apply only to the connection on which a response arrived.
pub fn strip_connection_headers(
    names: &HeaderNames,
    response: Response<MessageBody>,
) -> CallerReply {
    let (mut parts, body) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers, names);
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(DATE);
    Response::from_parts(parts, body)
}
