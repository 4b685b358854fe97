//! Accepts the connections of other nodes.

use crate::{
    constants::{PEER_CONNECT_TIMEOUT, PEER_HELLO_LIMIT},
    transport::peers::{
        PeerConnections,
        connection::RpcSocket,
        connections::Shared,
        door::{Accepted, Door, GreetingPlace},
        error::HelloRefusal,
    },
};
use capnp_rpc::rpc_twoparty_capnp::Side;
use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Pause after a failed accept. Out of file descriptors, accept fails at once, again and again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves other nodes until the future is dropped. Must run within a `LocalSet`.
///
/// Accepted connections belong to `connections` and stay open when this future is dropped.
pub async fn serve_peers(listener: TcpListener, connections: PeerConnections) {
    let shared = connections.shared();
    let greeting_count = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if greeting_count.get() >= PEER_HELLO_LIMIT => {
                shared.counters.count_refusal(HelloRefusal::Busy);
                drop(stream);
            }
            Ok((stream, _)) => {
                let place = GreetingPlace::take(&greeting_count);
                spawn_local(accept(Rc::clone(&shared), stream, place));
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                let _ = shared.timers.after(ACCEPT_PAUSE).recv_async().await;
            }
        }
    }
}

/// Starts a connection and closes it if it has not proven itself in time.
async fn accept(shared: Rc<Shared>, stream: TcpStream, place: GreetingPlace) {
    let accepted = Rc::new(Accepted {
        link: OnceCell::new(),
        place: RefCell::new(Some(place)),
    });
    let door = Door::new_client(Rc::clone(&shared), Rc::clone(&accepted));
    let body_limit = shared.identity.body_limit;
    match RpcSocket::new(stream, Side::Server, Some(door.client), body_limit) {
        Ok(socket) => {
            let link = accepted.link.get_or_init(|| socket.start());
            let _ = shared.timers.after(PEER_CONNECT_TIMEOUT).recv_async().await;
            if accepted.place.take().is_some() {
                link.close();
            }
        }
        Err(error) => tracing::warn!(%error, "connection refused"),
    }
}
