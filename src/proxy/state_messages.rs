//! Sends state messages to other nodes, to one node or along a tree to all nodes of a zone.

use crate::{
    coordination::fanout::split_receivers,
    protocol::hop::{STATE_HEADER, StateMessage},
    proxy::{core::ProxyCore, events::ProxyEvent},
    transport::{
        message_body::MessageBody,
        outgoing::{AnswerTimeouts, ConnectionReuse, SendError, SendOptions},
    },
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, Uri};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// How a state message is sent. A node that can't be reached in time is skipped; it learns the version of the routing table from
/// the next request.
const SEND_OPTIONS: SendOptions = SendOptions {
    reuse: ConnectionReuse::Any,
    connect_timeout: Duration::from_millis(250),
    idle_limit: MAX_IDLE_TIME,
    max_body_bytes: MAX_BODY_BYTES,
    answer_timeouts: Some(AnswerTimeouts {
        head: ANSWER_TIMEOUT,
        body_chunk: ANSWER_TIMEOUT,
    }),
    read_timeout: None,
};
/// Timeout for opening a connection for a message that a request of a client waits for.
const URGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest idle time after which a connection to another node is reused. If the VM of that node has lost power meanwhile, a new
/// connection fails after its connect timeout, a reused one only after the longer answer timeout.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Largest body of an answer in bytes. It holds a routing table of some ten thousand routes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest time without any byte of an answer to a state message. Only a VM that is down or whose link is full takes longer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message to a few of the receivers, which forward it to the others.
pub fn send_along_tree(core: &Rc<ProxyCore>, receivers: &[SocketAddr], message: &StateMessage) {
    for subtree in split_receivers(receivers) {
        let core = Rc::clone(core);
        let message = message.clone();
        spawn_local(async move { send_to_any(&core, subtree, message).await });
    }
}

/// Tries the receivers, the last one first, until one accepts the message. That one forwards it to those not tried yet.
async fn send_to_any(core: &ProxyCore, receivers: Vec<SocketAddr>, mut message: StateMessage) {
    let mut remaining = receivers;
    while let Some(to) = remaining.pop() {
        message.forward_to.clone_from(&remaining);
        if send_state(core, to, &message).await.is_some() {
            return;
        }
    }
}

/// Sends a message to a node. Returns its answer; none if the node did not accept the message.
pub async fn send_state(
    core: &ProxyCore,
    to: SocketAddr,
    message: &StateMessage,
) -> Option<Response<Bytes>> {
    let request = build_request(serde_json::to_vec(message).ok()?);
    let sent = core
        .outgoing
        .send(to, request, SEND_OPTIONS, |_| true)
        .await;
    sent.ok().filter(|answer| answer.status().is_success())
}

/// Sends a message that needs an answer soon to a node, and returns the message in its answer.
///
/// # Errors
/// [`SendError::NotSent`] if no connection to the node could be opened; another error if no valid answer arrived.
pub async fn ask_state(
    core: &ProxyCore,
    to: SocketAddr,
    message: &StateMessage,
) -> Result<StateMessage, SendError> {
    let body = serde_json::to_vec(message).map_err(|_| SendError::NotSent)?;
    let options = SendOptions {
        connect_timeout: URGENT_CONNECT_TIMEOUT,
        ..SEND_OPTIONS
    };
    let request = build_request(body);
    let answer = core.outgoing.send(to, request, options, |_| true).await?;
    if !answer.status().is_success() {
        return Err(SendError::BadAnswer);
    }
    count_state_bytes(core, answer.body().len());
    if answer.body().is_empty() {
        return Ok(StateMessage::default());
    }
    serde_json::from_slice(answer.body()).map_err(|error| {
        log_malformed(core, &error);
        SendError::BadAnswer
    })
}

/// Sends a message to a node. Returns the message in its answer and the size of that in bytes; none without a valid answer.
pub async fn exchange_state(
    core: &ProxyCore,
    to: SocketAddr,
    message: &StateMessage,
) -> Option<(StateMessage, usize)> {
    let answer = send_state(core, to, message).await?;
    let body = answer.body();
    count_state_bytes(core, body.len());
    if body.is_empty() {
        return Some((StateMessage::default(), 0));
    }
    match serde_json::from_slice(body) {
        Ok(message) => Some((message, body.len())),
        Err(error) => {
            log_malformed(core, &error);
            None
        }
    }
}

/// Adds the size of a message from another node to the counter of state bytes.
pub fn count_state_bytes(core: &ProxyCore, bytes: usize) {
    let counter = &core.counters.state_bytes;
    let added = u64::try_from(bytes).unwrap_or(u64::MAX);
    counter.set(counter.get().saturating_add(added));
}

/// Logs that a state message could not be decoded.
pub fn log_malformed(core: &ProxyCore, error: &serde_json::Error) {
    core.log(&ProxyEvent::StateRejected {
        error: error.to_string(),
    });
}

fn build_request(body: Vec<u8>) -> Request<MessageBody> {
    let mut request = Request::new(MessageBody::from(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/state");
    let marker = HeaderValue::from_static("1");
    request.headers_mut().insert(STATE_HEADER, marker);
    request
}
