//! Runs a node on the current event loop until it has stopped.

use crate::{
    proxy::{
        core::ProxyCore, entry::ClientHandler, events::ProxyEvent, graceful_stop::stop_gracefully,
        liveness::watch_nodes, peer_requests::PeerHandler, quotas::watch_for_stalls,
    },
    transport::callers::{BodyHandling, CallerLimits, serve_callers},
};
use flume::Receiver;
use std::{rc::Rc, time::Duration};
use tokio::{net::TcpListener, task::spawn_local};

/// Maximum number of open connections from clients, and likewise from other nodes. Half of the file descriptors of a small VM, so
/// that some remain for connections to upstreams and nodes.
const MAX_CONNECTIONS: usize = 1_500;
/// Timeout for an idle connection and for receiving a request head. It is longer than the idle time that operators allow clients,
/// since closing earlier would abort requests in transit.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 1_000;
/// How much longer a request head of another node may be: nodes add headers to those of the client.
const HOP_HEAD_BYTES: usize = 8 * 1024;
/// How many more headers a request of another node may have.
const HOP_HEADERS: usize = 24;
/// Maximum request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The listeners of a node.
pub struct ProxyListeners {
    /// For clients on the VM.
    pub clients: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
}

/// Serves clients and other nodes until a message arrives on `stop`, then stops gracefully.
pub async fn run_proxy(core: &Rc<ProxyCore>, listeners: ProxyListeners, stop: &Receiver<()>) {
    spawn_local(serve_callers(
        listeners.clients,
        build_caller_limits(),
        core.timers.clone(),
        Rc::new(ClientHandler::new(Rc::clone(core))),
        Rc::clone(&core.request_connections),
        core.memory.clone(),
    ));
    spawn_local(serve_callers(
        listeners.peers,
        build_peer_limits(),
        core.timers.clone(),
        Rc::new(PeerHandler::new(Rc::clone(core))),
        Rc::clone(&core.request_connections),
        core.memory.clone(),
    ));
    spawn_local(watch_nodes(Rc::clone(core)));
    spawn_local(watch_for_stalls(Rc::clone(core)));
    core.log(&ProxyEvent::NodeStarted {
        address: core.settings.peer_address,
        service: core.settings.service.clone(),
    });
    // The sender is dropped only at the end of the process.
    let _ = stop.recv_async().await;
    stop_gracefully(core).await;
}

/// Limits on the connections and requests of other nodes. They forward any request that a client may send.
fn build_peer_limits() -> CallerLimits {
    let limits = build_caller_limits();
    CallerLimits {
        max_head_bytes: limits.max_head_bytes + HOP_HEAD_BYTES,
        max_headers: limits.max_headers + HOP_HEADERS,
        bodies: BodyHandling::ForwardLarge,
        ..limits
    }
}

/// Limits on the connections and requests of clients.
#[must_use]
pub fn build_caller_limits() -> CallerLimits {
    CallerLimits {
        max_connections: MAX_CONNECTIONS,
        head_timeout: HEAD_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        max_headers: MAX_HEADERS,
        max_body_bytes: MAX_BODY_BYTES,
        bodies: BodyHandling::Hold,
    }
}
