//! Requests that a node sends: HTTP/1.1 over kept or fresh connections.
//!
//! Whatever ends an exchange early closes its connection: an answer that came late would be read as
//! that of the next request. Dropping the future of a request closes its connection, which is how a
//! cancel reaches the other side.

use crate::{state::timestamp::Timestamp, timers::TimerService};
use bytes::{Bytes, BytesMut};
use futures::{
    FutureExt,
    future::{Either, select},
};
use http::{HeaderMap, Request, Response, response::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, pin::pin, rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local, yield_now},
};

/// Silence after which the kernel asks whether the other side is still there, and the pause between
/// such questions. A VM without power sends no end of connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Unanswered questions after which a connection is broken.
const KEEPALIVE_TRIES: u32 = 2;
/// Time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// Read buffer of a connection, in bytes; also the largest head of an answer.
const BUFFER_LIMIT: usize = 32 * 1024;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte was handed to a connection.
    #[error("not sent")]
    NotSent,
    /// The connection ended after the request was handed over.
    #[error("connection ended before the answer")]
    Disconnected,
    /// The answer was malformed, cut short, too large or that of another request.
    #[error("malformed answer")]
    BadAnswer,
}

/// Which kept connections a request may be sent on. The other side may have closed an idle one without notice; what is sent on it
/// then ends as unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any that is kept.
    Any,
    /// Only one that was idle for less than that.
    IdleLessThan(Duration),
    /// None: a connection is opened.
    Never,
}

impl ConnectionReuse {
    /// Bound for requests that must run once. Servers and networks drop idle connections after longer than that.
    pub const NON_IDEMPOTENT: Self = Self::IdleLessThan(Duration::from_millis(150));

    /// The bound for a request, by whether it may run twice.
    #[must_use]
    pub const fn for_request(idempotent: bool) -> Self {
        if idempotent {
            Self::Any
        } else {
            Self::NON_IDEMPOTENT
        }
    }

    fn allows(self, idle: Duration) -> bool {
        match self {
            Self::Any => true,
            Self::IdleLessThan(limit) => idle < limit,
            Self::Never => false,
        }
    }
}

/// How one request is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Which kept connections it may be sent on.
    pub reuse: ConnectionReuse,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that a connection may have been idle.
    pub idle_limit: Duration,
    /// Largest answer body, in bytes.
    pub body_limit: usize,
    /// How long nothing may come; none if whoever sends the request bounds its time.
    pub answer_timeouts: Option<AnswerTimeouts>,
}

/// How long nothing may come of an answer. A bound on the whole answer would have a node with a thin link give up on each
/// large document and ask for it anew, which keeps the link full.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimeouts {
    /// Until its head.
    pub head: Duration,
    /// Between two pieces of its body.
    pub body_chunk: Duration,
}

struct Connection {
    tx: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Timestamp,
    /// What the other side told in `Keep-Alive`.
    allowed: Option<Duration>,
}

/// A node's outgoing connections, by address.
pub struct OutgoingConnections {
    timers: TimerService,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl OutgoingConnections {
    /// No connections yet.
    #[must_use]
    pub fn new(timers: TimerService) -> Rc<Self> {
        Rc::new(Self {
            timers,
            idle: RefCell::default(),
        })
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends a request and reads its whole answer. `is_answer` tells from the head whether it
    /// belongs to the request.
    ///
    /// # Errors
    /// See [`SendError`]: only `NotSent` proves that the request did not reach the other side.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        options: SendOptions,
        is_answer: impl Fn(&Parts) -> bool,
    ) -> Result<Response<Bytes>, SendError> {
        let mut req = req;
        while let Some(mut connection) = self.take_idle(address, options) {
            match self
                .exchange(&mut connection, req, options, &is_answer)
                .await
            {
                Ok(answer) => {
                    self.give_back(address, connection, answer.headers());
                    return Ok(answer);
                }
                Err(Failure::Returned(unsent)) => req = *unsent,
                Err(Failure::Ended(error)) => return Err(error),
            }
        }
        let mut connection = self.open(address, options.connect_timeout).await?;
        match self
            .exchange(&mut connection, req, options, &is_answer)
            .await
        {
            Ok(answer) => {
                self.give_back(address, connection, answer.headers());
                Ok(answer)
            }
            Err(Failure::Returned(_)) => Err(SendError::NotSent),
            Err(Failure::Ended(error)) => Err(error),
        }
    }

    /// Whether nothing listens at an address: whoever did has ended. One that is too busy to answer within `limit` is there.
    pub async fn refuses_connections(&self, address: SocketAddr, limit: Duration) -> bool {
        let timeout = self.timers.after(limit);
        let connecting = pin!(TcpStream::connect(address));
        match select(connecting, timeout.recv_async()).await {
            Either::Left((Err(error), _)) => matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ),
            Either::Left((Ok(_), _)) | Either::Right(_) => false,
        }
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        req: Request<Full<Bytes>>,
        options: SendOptions,
        is_answer: impl Fn(&Parts) -> bool,
    ) -> Result<Response<Bytes>, Failure> {
        let sent = connection.tx.try_send_request(req);
        let head = options
            .answer_timeouts
            .map(|answer_timeouts| answer_timeouts.head);
        let response = match self.within(head, sent).await? {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(req) => Failure::Returned(Box::new(req)),
                    None if error.error().is_parse() => Failure::Ended(SendError::BadAnswer),
                    None => Failure::Ended(SendError::Disconnected),
                });
            }
        };
        let (parts, incoming) = response.into_parts();
        if !is_answer(&parts) {
            return Err(Failure::Ended(SendError::BadAnswer));
        }
        let body = self.read_body(incoming, options).await?;
        Ok(Response::from_parts(parts, body))
    }

    async fn read_body(&self, incoming: Incoming, options: SendOptions) -> Result<Bytes, Failure> {
        let mut body = Limited::new(incoming, options.body_limit);
        let mut bytes = BytesMut::new();
        let body_chunk = options
            .answer_timeouts
            .map(|answer_timeouts| answer_timeouts.body_chunk);
        while let Some(frame) = self.within(body_chunk, body.frame()).await? {
            let frame = frame.map_err(|_| Failure::Ended(SendError::BadAnswer))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    }

    /// Awaits a part of an answer, for `limit` at the most.
    async fn within<T>(
        &self,
        limit: Option<Duration>,
        part: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let Some(limit) = limit else {
            return Ok(part.await);
        };
        let timeout = self.timers.after(limit);
        match select(pin!(part), timeout.recv_async()).await {
            Either::Left((part, _)) => Ok(part),
            Either::Right(_) => Err(Failure::Ended(SendError::Disconnected)),
        }
    }

    async fn open(&self, address: SocketAddr, limit: Duration) -> Result<Connection, SendError> {
        let timeout = self.timers.after(limit);
        let opening = pin!(open_connection(address));
        match select(opening, timeout.recv_async()).await {
            Either::Left((opened, _)) => opened,
            Either::Right(_) => Err(SendError::NotSent),
        }
    }

    /// Takes the connection that was used last, if the rules allow it.
    fn take_idle(&self, address: SocketAddr, options: SendOptions) -> Option<Connection> {
        let now = self.timers.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| {
            let limit = idle.allowed.unwrap_or(options.idle_limit);
            now.since(idle.since) < limit.min(options.idle_limit) && !idle.connection.tx.is_closed()
        });
        let newest = kept.pop_if(|idle| options.reuse.allows(now.since(idle.since)));
        newest.map(|idle| idle.connection)
    }

    /// Keeps a connection once it can take the next request. One with an unfinished body or with
    /// bytes after its answer never can.
    fn give_back(
        self: &Rc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        headers: &HeaderMap,
    ) {
        let allowed = read_keep_alive(headers);
        let pool = Rc::clone(self);
        spawn_local(async move {
            yield_now().await;
            if connection.tx.ready().await.is_ok() {
                let since = pool.timers.now();
                let mut idle = pool.idle.borrow_mut();
                idle.entry(address).or_default().push(Idle {
                    connection,
                    since,
                    allowed,
                });
            }
        });
    }
}

/// Half of the seconds that the other side keeps an idle connection: a request that crosses the
/// close would end as unknown.
fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split([',', ';'])
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)) / 2)
}

enum Failure {
    /// No byte was written; here is the request again.
    Returned(Box<Request<Full<Bytes>>>),
    Ended(SendError),
}

async fn open_connection(address: SocketAddr) -> Result<Connection, SendError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| SendError::NotSent)?;
    set_options(&stream).map_err(|_| SendError::NotSent)?;
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_LIMIT)
        .handshake(TokioIo::new(stream));
    let (tx, driver) = handshake.await.map_err(|_| SendError::NotSent)?;
    let driver = spawn_local(driver.map(|ended| {
        if let Err(error) = ended {
            tracing::trace!(%error, "outgoing connection ended");
        }
    }));
    Ok(Connection {
        tx,
        driver: driver.abort_handle(),
    })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_TRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
