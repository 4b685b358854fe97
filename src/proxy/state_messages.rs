//! Messages with state from node to node, and how they reach all nodes of a zone.

use crate::{
    coordination::fanout::split_receivers,
    protocol::hop::{STATE_HEADER, StateMessage},
    proxy::{core::ProxyCore, events::ProxyEvent},
    transport::outgoing::{AnswerTimeouts, ConnectionReuse, SendOptions},
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri};
use http_body_util::Full;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// How a message with state is sent. A node that can't be reached in time is passed over; it learns the
/// version from the next request.
const RULES: SendOptions = SendOptions {
    reuse: ConnectionReuse::Any,
    connect_timeout: Duration::from_millis(250),
    idle_limit: IDLE_LIMIT,
    body_limit: BODY_LIMIT,
    answer_timeouts: Some(AnswerTimeouts {
        head: TIMEOUT,
        body_chunk: TIMEOUT,
    }),
};
/// Longest time that a kept connection to another node may have been idle. A VM that lost power meanwhile shows when a
/// connection is opened, and only after the whole patience on a kept one.
const IDLE_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer, in bytes: a routing table of some ten thousand routes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Longest time in which nothing comes of an answer to a message with state: that of a VM which is dark or whose link is
/// full.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message to a few of the receivers, which pass it on to the rest.
pub fn send_along_tree(core: &Rc<ProxyCore>, receivers: &[SocketAddr], message: &StateMessage) {
    for part in split_receivers(receivers) {
        let core = Rc::clone(core);
        let message = message.clone();
        spawn_local(async move { send_to_first(&core, part, message).await });
    }
}

/// Sends a message to the first of the receivers that takes it.
async fn send_to_first(core: &ProxyCore, receivers: Vec<SocketAddr>, mut message: StateMessage) {
    let mut rest = receivers;
    while let Some(to) = rest.pop() {
        message.forward_to.clone_from(&rest);
        if send_state(core, to, &message).await.is_some() {
            return;
        }
    }
}

/// The answer of the other node, if it has taken the message.
pub async fn send_state(
    core: &ProxyCore,
    to: SocketAddr,
    message: &StateMessage,
) -> Option<Response<Bytes>> {
    let request = build_state(serde_json::to_vec(message).ok()?);
    let sent = core.outgoing.send(to, request, RULES, |_| true).await;
    sent.ok().filter(|answer| answer.status().is_success())
}

/// Sends a message and returns what the other node answers, if it does, with its bytes.
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

/// Counts the bytes of a message from another node.
pub fn count_state_bytes(core: &ProxyCore, bytes: usize) {
    let counter = &core.counters.state_bytes;
    let added = u64::try_from(bytes).unwrap_or(u64::MAX);
    counter.set(counter.get().saturating_add(added));
}

/// Tells of a message that can't be read.
pub fn log_malformed(core: &ProxyCore, error: &serde_json::Error) {
    core.log(&ProxyEvent::StateRejected {
        error: error.to_string(),
    });
}

fn build_state(body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/state");
    let mark = HeaderValue::from_static("1");
    request
        .headers_mut()
        .insert(HeaderName::from_static(STATE_HEADER), mark);
    request
}
