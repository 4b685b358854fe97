//! One connection to another node.

use crate::{
    constants::PEER_BUFFER,
    state::member::Member,
    transport::peers::{codec::reader_options, mesh_capnp::mesh},
};
use capnp::capability::Client;
use capnp_rpc::{Disconnector, RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{
    FutureExt,
    channel::oneshot,
    future::{Either, select},
    io::{BufReader, BufWriter},
    pin_mut,
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpStream, task::spawn_local};
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Silence after which the kernel asks whether the other machine is still there.
///
/// A VM that is switched off sends no end of connection; without this, its connections would stay.
const KEEPALIVE_TIME: Duration = Duration::from_secs(30);

/// Whether a connection is open, and the means to close it.
pub struct Link {
    open: Cell<bool>,
    stop: RefCell<Option<oneshot::Sender<()>>>,
}

impl Link {
    /// Whether requests can be handed to the connection.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Closes the connection; requests under way end as lost.
    pub fn close(&self) {
        self.open.set(false);
        if let Some(stop) = self.stop.borrow_mut().take() {
            let _ = stop.send(());
        }
    }
}

/// A connection whose both sides have proven themselves.
pub struct Connection {
    /// The node on the other side.
    pub member: Member,
    /// For requests to it.
    pub mesh: mesh::Client,
    /// Whether the connection is open.
    pub link: Rc<Link>,
}

/// The RPC system over a socket, not running yet.
pub struct RpcSocket {
    system: RpcSystem<Side>,
}

impl RpcSocket {
    /// Sets the socket up. `bootstrap` is what the other side can ask for first.
    pub fn new(
        stream: TcpStream,
        side: Side,
        bootstrap: Option<Client>,
        body_limit: usize,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
        let (reader, writer) = stream.into_split();
        let reader = BufReader::with_capacity(PEER_BUFFER, reader.compat());
        let writer = tokio_util::compat::TokioAsyncWriteCompatExt::compat_write(writer);
        let writer = BufWriter::with_capacity(PEER_BUFFER, writer);
        let network = VatNetwork::new(reader, writer, side, reader_options(body_limit));
        Ok(Self {
            system: RpcSystem::new(Box::new(network), bootstrap),
        })
    }

    /// What the other side offers first.
    pub fn bootstrap<T: capnp::capability::FromClientHook>(&mut self) -> T {
        self.system.bootstrap(Side::Server)
    }

    /// Runs the connection until it ends.
    pub fn start(self) -> Rc<Link> {
        let (stop, stopped) = oneshot::channel();
        let link = Rc::new(Link {
            open: Cell::new(true),
            stop: RefCell::new(Some(stop)),
        });
        spawn_local(drive(self.system, stopped, Rc::clone(&link)));
        link
    }
}

async fn drive(system: RpcSystem<Side>, stopped: oneshot::Receiver<()>, link: Rc<Link>) {
    let disconnector = system.get_disconnector();
    pin_mut!(system);
    let ended = match select(system.as_mut(), stopped).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => disconnect(system, disconnector).await,
    };
    link.open.set(false);
    if let Err(error) = ended {
        tracing::debug!(%error, "connection to a node ended");
    }
}

/// Fails the requests under way, then gives up the socket.
///
/// NB: the disconnect waits for messages that are being written. To a machine that is gone, they
/// never are; so the wait is one turn of the event loop only, and the socket is dropped after it.
async fn disconnect(
    mut system: std::pin::Pin<&mut RpcSystem<Side>>,
    disconnector: Disconnector<Side>,
) -> Result<(), capnp::Error> {
    let turn = tokio::task::yield_now().boxed_local();
    let closing = futures::future::join(system.as_mut(), disconnector);
    select(closing, turn).await;
    Ok(())
}
