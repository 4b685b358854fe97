//! The pool of kept connections to one upstream.

use crate::{
    protocol::outcome::UpstreamAnswer,
    state::moment::Moment,
    timers::TimerService,
    transport::upstreams::{
        UpstreamError, UpstreamRequest,
        connection::{Exchange, UpstreamConnection},
    },
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// A connection unused for longer is closed: upstreams close idle connections themselves, and a
/// request that crosses such a close ends as unknown.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

struct Idle {
    connection: UpstreamConnection,
    since: Moment,
}

/// Kept connections to one upstream, for the event-loop thread.
pub struct UpstreamConnections {
    address: Cell<SocketAddr>,
    head_limit: usize,
    body_limit: usize,
    kept: usize,
    timers: TimerService,
    idle: RefCell<Vec<Idle>>,
}

impl UpstreamConnections {
    /// A pool that keeps at most `kept` idle connections. Limits are in bytes.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        kept: usize,
        head_limit: usize,
        body_limit: usize,
        timers: TimerService,
    ) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            head_limit,
            body_limit,
            kept,
            timers,
            idle: RefCell::default(),
        })
    }

    /// Where the upstream listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// The upstream listens on another port from now on. Idle connections to the old one are closed.
    pub fn move_to_port(&self, port: u16) {
        let mut address = self.address.get();
        if address.port() != port {
            address.set_port(port);
            self.address.set(address);
            self.idle.borrow_mut().clear();
        }
    }

    /// Sends a request and reads its whole answer. Dropping the future closes its connection.
    ///
    /// # Errors
    /// See [`UpstreamError`]: only `NotSent` proves that the request did not run.
    pub async fn send(
        self: &Rc<Self>,
        req: UpstreamRequest,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        while let Some(connection) = self.take_idle() {
            match self.exchange_on(connection, req.clone()).await {
                // The upstream had closed it while idle; no byte was sent, so another one may try.
                Exchange::NotSent => {}
                Exchange::Whole(answer) => return Ok(answer),
                Exchange::Shed => return Err(UpstreamError::Shed),
                Exchange::Failed(error) => return Err(error),
            }
        }
        let connection = UpstreamConnection::open(self.address.get(), self.head_limit).await?;
        match self.exchange_on(connection, req).await {
            Exchange::Whole(answer) => Ok(answer),
            Exchange::Shed => Err(UpstreamError::Shed),
            Exchange::NotSent => Err(UpstreamError::NotSent),
            Exchange::Failed(error) => Err(error),
        }
    }

    async fn exchange_on(
        self: &Rc<Self>,
        mut connection: UpstreamConnection,
        req: UpstreamRequest,
    ) -> Exchange {
        let exchange = connection.exchange(req, self.body_limit).await;
        if matches!(exchange, Exchange::Whole(_) | Exchange::Shed) {
            self.give_back(connection);
        }
        exchange
    }

    fn take_idle(&self) -> Option<UpstreamConnection> {
        let now = self.timers.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| now.since(kept.since) < IDLE_LIMIT && !kept.connection.is_closed());
        idle.pop().map(|kept| kept.connection)
    }

    /// Pools a connection once it can take the next request.
    ///
    /// A connection offered too early refuses the request, and the call would pay for opening
    /// another one.
    fn give_back(self: &Rc<Self>, mut connection: UpstreamConnection) {
        let pool = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if connection.becomes_ready().await {
                pool.keep(connection);
            }
        });
    }

    fn keep(&self, connection: UpstreamConnection) {
        let mut idle = self.idle.borrow_mut();
        // One that was in use while the upstream moved leads to where it no longer is.
        let current = connection.address() == self.address.get();
        if current && idle.len() < self.kept {
            let since = self.timers.now();
            idle.push(Idle { connection, since });
        }
    }
}
