//! Runs a node on the present event loop until it has stopped.

use crate::{
    proxy::{
        core::ProxyCore, entry::ClientHandler, events::ProxyEvent, graceful_stop::stop_gracefully,
        peer_requests::PeerHandler,
    },
    transport::callers::{CallerLimits, serve_callers},
};
use flume::Receiver;
use std::{rc::Rc, time::Duration};
use tokio::{net::TcpListener, task::spawn_local};

/// Connections of clients and of other nodes that are open at once, each. Half of the descriptors of
/// a small VM, so that connections to upstreams and nodes find some.
const MAX_CONNECTIONS: usize = 1_500;
/// Time that a client's connection may be idle, and a head be under way. Above the idle time that
/// operators allow clients: closing earlier would cut requests that are on their way.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// Largest body, in bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// What a node listens on.
pub struct ProxyListeners {
    /// For clients on the VM.
    pub clients: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
}

/// Serves until a message on `stop` comes, then ends as planned.
pub async fn run_proxy(core: &Rc<ProxyCore>, listeners: ProxyListeners, stop: &Receiver<()>) {
    spawn_local(serve_callers(
        listeners.clients,
        limits(),
        core.timers.clone(),
        Rc::new(ClientHandler::new(Rc::clone(core))),
    ));
    spawn_local(serve_callers(
        listeners.peers,
        limits(),
        core.timers.clone(),
        Rc::new(PeerHandler::new(Rc::clone(core))),
    ));
    core.log(&ProxyEvent::NodeStarted {
        address: core.settings.peers,
        service: core.settings.service.clone(),
    });
    // The sender goes only with the process.
    let _ = stop.recv_async().await;
    stop_gracefully(core).await;
}

/// Bounds on those who connect.
#[must_use]
pub fn limits() -> CallerLimits {
    CallerLimits {
        max_connections: MAX_CONNECTIONS,
        head_timeout: HEAD_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
        max_head_bytes: HEAD_LIMIT,
        max_body_bytes: BODY_LIMIT,
    }
}
