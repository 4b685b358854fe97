//! The routing table and records of nodes, told from node to node.

use crate::{
    coordination::spreading::split_receivers,
    protocol::hop::{STATE_HEADER, StateMessage},
    proxy::{
        core::{ProxyCore, count},
        directory::StateSource,
        events::{ProxyEvent, in_millis},
        retiring::is_reached,
    },
    state::{configuration::ConfigurationVersion, placement_view::StoredRecord},
    transport::{
        callers::{CallerReply, reply_json},
        outgoing::{SendError, SendRules},
    },
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use rand::seq::SliceRandom;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// How a message with state is sent. A node that can't be reached in time is passed over; it learns the
/// version from the next request.
const RULES: SendRules = SendRules {
    fresh: false,
    connect_timeout: Duration::from_millis(250),
    idle_limit: Duration::from_secs(20),
    body_limit: BODY_LIMIT,
};
/// Largest answer, in bytes: a routing table of some ten thousand routes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Nodes that are asked to read the store in place of one that can't.
const STAND_INS: usize = 2;
/// Longest time for a message with state.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches what is newer from a node that told of a higher version.
///
/// The node that is behind asks, and one node at a time. Were all nodes that are ahead to send their table, a node
/// with a narrow link would get a large one from each of them, and be cut off by just that.
pub fn fetch_newer(core: &Rc<ProxyCore>, from: SocketAddr, version: ConfigurationVersion) {
    let own = core.directory.borrow().version();
    if version <= own || core.fetching.replace(true) {
        return;
    }
    core.log(&ProxyEvent::StateFetched {
        from,
        version: version.0,
        before: own.0,
    });
    let core = Rc::clone(core);
    spawn_local(async move {
        let message = StateMessage {
            wanted: Some(own),
            ..StateMessage::default()
        };
        let asked = core.timers.now();
        match ask_state(&core, from, &message).await {
            Some(answer) => take_message(&core, answer),
            None => core.log(&ProxyEvent::FetchFailed {
                from,
                took_ms: in_millis(core.timers.now().since(asked)),
            }),
        }
        core.fetching.set(false);
    });
}

/// Tells the nodes of the zone what this one has read from the store: a routing table that is in
/// force now, and records of nodes.
pub fn share_with_zone(core: &Rc<ProxyCore>, new_table: bool, records: Vec<StoredRecord>) {
    if !new_table && records.is_empty() {
        return;
    }
    let zone = core.list_zone();
    let directory = core.directory.borrow();
    let table = directory.routes().filter(|_| new_table);
    let message = StateMessage {
        table: table.map(|routes| routes.table().clone()),
        nodes: records,
        ..StateMessage::default()
    };
    let missing = |to: &SocketAddr| !new_table || !directory.has_version(*to);
    let mut receivers: Vec<SocketAddr> = zone.into_iter().filter(missing).collect();
    drop(directory);
    // The other reader of the zone tells it too; with another order the loss of a node that passes on
    // is made up for.
    receivers.shuffle(&mut rand::rng());
    core.log(&ProxyEvent::ZoneTold {
        nodes: receivers.len(),
        table: new_table,
        records: message.nodes.len(),
    });
    spread(core, &receivers, &message);
}

/// Has a few other nodes of the zone read the store for a while. The store may turn away both nodes that read for
/// a zone and no others; the rest of the zone would not hear of a change in time.
pub fn hand_reading_over(core: &Rc<ProxyCore>) {
    let mut zone = core.list_zone();
    zone.shuffle(&mut rand::rng());
    zone.truncate(STAND_INS);
    core.log(&ProxyEvent::ReadingHandedOver { nodes: zone.len() });
    for to in zone {
        let core = Rc::clone(core);
        let message = StateMessage {
            read_store: true,
            ..StateMessage::default()
        };
        spawn_local(async move { send_state(&core, to, &message).await });
    }
}

/// Sends a message to a few of the receivers, which pass it on to the rest.
fn spread(core: &Rc<ProxyCore>, receivers: &[SocketAddr], message: &StateMessage) {
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
        message.pass_on.clone_from(&rest);
        if send_state(core, to, &message).await.is_some() {
            return;
        }
    }
}

/// The answer of the other node, if it has taken the message.
async fn send_state(
    core: &ProxyCore,
    to: SocketAddr,
    message: &StateMessage,
) -> Option<Response<Bytes>> {
    let body = serde_json::to_vec(message).ok()?;
    let bytes = body.len();
    let request = build_state(body);
    let begun = core.timers.now();
    let timeout = core.timers.after(TIMEOUT);
    let sent = tokio::select! {
        sent = core.outgoing.send(to, request, RULES, |_| true) => sent,
        _ = timeout.recv_async() => Err(SendError::Cut),
    };
    if let Some(table) = &message.table {
        if sent.is_ok() {
            core.directory.borrow_mut().note_version(to, table.version);
        }
        core.log(&ProxyEvent::TableSent {
            to,
            version: table.version.0,
            bytes,
            taken: sent.is_ok(),
            took_ms: in_millis(core.timers.now().since(begun)),
        });
    }
    sent.ok().filter(|answer| answer.status().is_success())
}

/// Sends a message and returns what the other node answers, if it does.
pub async fn ask_state(
    core: &ProxyCore,
    to: SocketAddr,
    message: &StateMessage,
) -> Option<StateMessage> {
    let answer = send_state(core, to, message).await?;
    if answer.body().is_empty() {
        return Some(StateMessage::default());
    }
    match serde_json::from_slice(answer.body()) {
        Ok(message) => {
            note_received(core, &message, answer.body().len());
            Some(message)
        }
        Err(error) => {
            log_malformed(core, &error);
            None
        }
    }
}

fn log_malformed(core: &ProxyCore, error: &serde_json::Error) {
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

/// Takes in a message of another node, passes it on as told, and answers what is asked in it.
pub async fn answer_state(core: &Rc<ProxyCore>, body: &[u8]) -> CallerReply {
    let message: StateMessage = match serde_json::from_slice(body) {
        Ok(message) => message,
        Err(error) => {
            log_malformed(core, &error);
            return reply_json(StatusCode::BAD_REQUEST, "malformed state");
        }
    };
    note_received(core, &message, body.len());
    let (wanted, reaches) = (message.wanted, message.reaches);
    take_message(core, message);
    let mut answer = match wanted {
        Some(version) => core.directory.borrow().list_newer_than(version),
        None => StateMessage::default(),
    };
    if let Some(suspect) = reaches {
        answer.reached = Some(is_reached(core, suspect).await);
    }
    if answer == StateMessage::default() {
        return Response::new(Full::default());
    }
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    Response::new(Full::new(Bytes::from(body)))
}

/// Counts a message of another node, before it is taken in.
fn note_received(core: &ProxyCore, message: &StateMessage, bytes: usize) {
    let counters = &core.counters;
    let added = u64::try_from(bytes).unwrap_or(u64::MAX);
    counters
        .state_bytes
        .set(counters.state_bytes.get().saturating_add(added));
    let Some(table) = &message.table else {
        return;
    };
    let news = table.version > core.directory.borrow().version();
    if !news {
        count(&counters.stale_tables);
    }
    core.log(&ProxyEvent::TableReceived {
        version: table.version.0,
        bytes,
        news,
    });
}

fn take_message(core: &Rc<ProxyCore>, mut message: StateMessage) {
    if message.read_store {
        core.read_for_zone();
    }
    let receivers = std::mem::take(&mut message.pass_on);
    spread(core, &receivers, &message);
    if let Some(table) = message.table {
        core.take_table(table, StateSource::Peer);
    }
    for stored in message.nodes {
        core.take_record(stored, StateSource::Peer);
    }
}
