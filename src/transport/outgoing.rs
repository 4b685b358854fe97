//! The HTTP/1.1 client of a node, with a pool of idle connections per address.
//!
//! When an exchange ends early, its connection is closed: a late answer would otherwise be read as the answer to the
//! next request. Dropping the future of a request closes its connection too, so that the other side learns that the
//! request was cancelled.

mod connection;

use self::connection::{Connection, open_connection};
use crate::{
    state::timestamp::Timestamp,
    timers::TimerService,
    transport::{
        held_bytes::SharedBudget,
        message_body::{BodyCollector, ForwardedBody, MessageBody},
        socket_options::CONNECTION_BYTES,
    },
};
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use http::{HeaderMap, Request, Response, response::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use std::{
    cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, pin::pin, rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    task::{spawn_local, yield_now},
};

/// Largest number of bytes that may precede the body of an answer: interim answers and the head.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Bytes on the connection for each byte of a body. Chunks have heads of their own.
const BODY_OVERHEAD_FACTOR: usize = 2;

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte of the request was written to a connection.
    #[error("not sent")]
    NotSent,
    /// The connection ended, or the answer timed out, after the request or a part of it was written.
    #[error("connection ended before the answer")]
    Disconnected,
    /// The other side rejected the request before it handled it.
    #[error("rejected unhandled")]
    Rejected,
    /// The answer was malformed, truncated, too large or that of another request.
    #[error("malformed answer")]
    BadAnswer,
}

/// Which idle connections a request may be sent on. The other side may have closed one without this side having
/// learned of it; it is then unknown whether a request sent on that connection was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any idle connection.
    Any,
    /// Only a connection that has been idle for less than this time.
    IdleLessThan(Duration),
    /// None: a new connection is opened.
    Never,
}

impl ConnectionReuse {
    /// Rule for requests that must not run twice. Servers and networks keep idle connections for longer than this time.
    pub const NON_IDEMPOTENT: Self = Self::IdleLessThan(Duration::from_millis(150));

    /// The rule for a request, by whether it may run twice.
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

/// How a request is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Which idle connections the request may be sent on.
    pub reuse: ConnectionReuse,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is closed instead of reused.
    pub idle_limit: Duration,
    /// Largest answer body, in bytes.
    pub max_body_bytes: usize,
    /// Timeouts for the parts of the answer; `None` if the sender of the request limits its time.
    pub answer_timeouts: Option<AnswerTimeouts>,
    /// Longest time for which the other side may read nothing of what was sent; `None` for the usual one, which lets requests fail soon
    /// after a VM has lost power. A large body is read only once its request runs, so it has a connection of its own.
    pub read_timeout: Option<Duration>,
}

/// Timeouts for the parts of an answer. With a timeout for the whole answer, a node with a slow network link would give
/// up on each large document and request it again, which would keep the link busy.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimeouts {
    /// Longest time until the answer's head.
    pub head: Duration,
    /// Longest time between two chunks of the answer's body.
    pub body_chunk: Duration,
}

struct IdleConnection {
    connection: Connection,
    since: Timestamp,
    /// Time after which the connection must not be used any more, from the other side's `Keep-Alive` header.
    keep_alive: Option<Duration>,
}

/// The outgoing connections of a node.
pub struct OutgoingConnections {
    timers: TimerService,
    budget: SharedBudget,
    /// Idle connections by address; the last one of each address was used last.
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl OutgoingConnections {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(timers: TimerService, budget: SharedBudget) -> Rc<Self> {
        Rc::new(Self {
            timers,
            budget,
            idle: RefCell::default(),
        })
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends a request and reads its complete answer. `is_answer` decides from an answer's head whether it belongs to
    /// the request.
    ///
    /// # Errors
    /// See [`SendError`]: only `NotSent` guarantees that the request did not reach the other side.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        req: Request<MessageBody>,
        options: SendOptions,
        is_answer: impl Fn(&Parts) -> bool,
    ) -> Result<Response<Bytes>, SendError> {
        let (connection, answer) = self.exchange(address, req, options, is_answer).await?;
        let (parts, incoming) = answer.into_parts();
        let body = match self.read_body(incoming, options).await {
            Ok(body) => body,
            Err(error) => return Err(error.into_send_error(&connection)),
        };
        self.return_to_pool(address, connection, read_keep_alive(&parts.headers));
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a request. Returns its answer once it is complete, or once so much of it was read that it is not held as a whole; the rest
    /// then has to arrive before `deadline` fires.
    ///
    /// # Errors
    /// See [`SendError`]: only `NotSent` guarantees that the request did not reach the other side.
    pub async fn send_large(
        self: &Rc<Self>,
        address: SocketAddr,
        req: Request<MessageBody>,
        options: SendOptions,
        deadline: Duration,
        is_answer: impl Fn(&Parts) -> bool,
    ) -> Result<Response<MessageBody>, SendError> {
        let until = self.timers.now() + deadline;
        let (connection, answer) = self.exchange(address, req, options, is_answer).await?;
        let (parts, mut incoming) = answer.into_parts();
        let collected = match self.collect(&mut incoming, options).await {
            Ok(collected) => collected,
            Err(error) => return Err(error.into_send_error(&connection)),
        };
        let keep_alive = read_keep_alive(&parts.headers);
        let body = match collected {
            Collected::Complete(collector) => {
                self.return_to_pool(address, connection, keep_alive);
                MessageBody::from(collector.finish())
            }
            Collected::Partial(collector) => {
                let pool = Rc::clone(self);
                let remaining = until.since(self.timers.now());
                let body = ForwardedBody::new(incoming, options.max_body_bytes)
                    .after(collector)
                    .until(self.timers.after(remaining), connection.driver.clone())
                    .on_end(move || pool.return_to_pool(address, connection, keep_alive));
                MessageBody::Forwarded(Box::new(body))
            }
        };
        Ok(Response::from_parts(parts, body))
    }

    /// Reads a body to its end, or until it doesn't fit into the memory.
    async fn collect(
        &self,
        incoming: &mut Incoming,
        options: SendOptions,
    ) -> Result<Collected, ExchangeError> {
        let exact = incoming.size_hint().exact();
        let declared = exact.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if declared.is_some_and(|length| length > options.max_body_bytes) {
            return Err(ExchangeError::Failed(SendError::BadAnswer));
        }
        let mut collector = BodyCollector::begin_answer(&self.budget, declared);
        loop {
            let frame = match incoming.frame().await {
                None => return Ok(Collected::Complete(collector)),
                Some(Err(_)) => return Err(ExchangeError::Failed(SendError::BadAnswer)),
                Some(Ok(frame)) => frame,
            };
            let data = frame.into_data().unwrap_or_default();
            if collector.length() + data.len() > options.max_body_bytes {
                return Err(ExchangeError::Failed(SendError::BadAnswer));
            }
            let fits = collector.reserve(data.len()).is_ok();
            collector.push(data);
            if !fits {
                return Ok(Collected::Partial(collector));
            }
        }
    }

    /// Sends a request on a connection, and returns both with the head of the answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        req: Request<MessageBody>,
        options: SendOptions,
        is_answer: impl Fn(&Parts) -> bool,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        let mut req = req;
        while let Some(mut connection) = self.take_idle(address, options) {
            match self
                .send_on(&mut connection, req, options, &is_answer)
                .await
            {
                Ok(answer) => return Ok((connection, answer)),
                Err(ExchangeError::Unsent(unsent)) => req = *unsent,
                Err(error) => return Err(error.into_send_error(&connection)),
            }
        }
        let mut connection = self.open(address, options).await?;
        match self
            .send_on(&mut connection, req, options, &is_answer)
            .await
        {
            Ok(answer) => Ok((connection, answer)),
            Err(error) => Err(error.into_send_error(&connection)),
        }
    }

    /// Whether connections to an address are refused, which means that no process listens there any more. A process
    /// that is too busy to accept a connection within `limit` counts as listening.
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

    async fn send_on(
        &self,
        connection: &mut Connection,
        req: Request<MessageBody>,
        options: SendOptions,
        is_answer: impl Fn(&Parts) -> bool,
    ) -> Result<Response<Incoming>, ExchangeError> {
        connection.allowance.set(MAX_HEAD_BYTES);
        let sent = connection.tx.try_send_request(req);
        let head_timeout = options.answer_timeouts.map(|timeouts| timeouts.head);
        let response = match self.wait_at_most(head_timeout, sent).await? {
            Ok(response) => response,
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(req) => ExchangeError::Unsent(Box::new(req)),
                    None if error.error().is_parse() => ExchangeError::Failed(SendError::BadAnswer),
                    None => ExchangeError::Failed(SendError::Disconnected),
                });
            }
        };
        let (parts, incoming) = response.into_parts();
        if !is_answer(&parts) {
            return Err(ExchangeError::Failed(SendError::BadAnswer));
        }
        let body_bytes = options.max_body_bytes.saturating_mul(BODY_OVERHEAD_FACTOR);
        connection.allowance.set(MAX_HEAD_BYTES + body_bytes);
        Ok(Response::from_parts(parts, incoming))
    }

    async fn read_body(
        &self,
        incoming: Incoming,
        options: SendOptions,
    ) -> Result<Bytes, ExchangeError> {
        let mut body = Limited::new(incoming, options.max_body_bytes);
        let mut bytes = BytesMut::new();
        let chunk_timeout = options.answer_timeouts.map(|timeouts| timeouts.body_chunk);
        while let Some(frame) = self.wait_at_most(chunk_timeout, body.frame()).await? {
            let frame = frame.map_err(|_| ExchangeError::Failed(SendError::BadAnswer))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    }

    /// Awaits a part of an answer, for at most `limit` if there is one.
    async fn wait_at_most<T>(
        &self,
        limit: Option<Duration>,
        part: impl Future<Output = T>,
    ) -> Result<T, ExchangeError> {
        let Some(limit) = limit else {
            return Ok(part.await);
        };
        let timeout = self.timers.after(limit);
        match select(pin!(part), timeout.recv_async()).await {
            Either::Left((part, _)) => Ok(part),
            Either::Right(_) => Err(ExchangeError::Failed(SendError::Disconnected)),
        }
    }

    async fn open(
        &self,
        address: SocketAddr,
        options: SendOptions,
    ) -> Result<Connection, SendError> {
        let timeout = self.timers.after(options.connect_timeout);
        let opening = pin!(open_connection(address, options.read_timeout, &self.budget));
        match select(opening, timeout.recv_async()).await {
            Either::Left((opened, _)) => opened,
            Either::Right(_) => Err(SendError::NotSent),
        }
    }

    /// Takes the connection that was used last, if `options` allow to reuse it. Closes connections that have been idle
    /// for too long.
    fn take_idle(&self, address: SocketAddr, options: SendOptions) -> Option<Connection> {
        if options.read_timeout.is_some() {
            return None;
        }
        let now = self.timers.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| {
            let limit = idle.keep_alive.unwrap_or(options.idle_limit);
            now.since(idle.since) < limit.min(options.idle_limit) && !idle.connection.tx.is_closed()
        });
        let newest = kept.pop_if(|idle| options.reuse.allows(now.since(idle.since)));
        let mut connection = newest?.connection;
        connection.buffers = Some(self.budget.reserve(CONNECTION_BYTES));
        Some(connection)
    }

    /// Adds a connection to the pool once it is ready for the next request. A connection with an unfinished body or
    /// with bytes after its answer never is.
    fn return_to_pool(
        self: &Rc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.is_reusable {
            return;
        }
        let pool = Rc::clone(self);
        spawn_local(async move {
            yield_now().await;
            if connection.tx.ready().await.is_ok() {
                connection.buffers = None;
                let since = pool.timers.now();
                let mut idle = pool.idle.borrow_mut();
                idle.entry(address).or_default().push(IdleConnection {
                    connection,
                    since,
                    keep_alive,
                });
            }
        });
    }
}

/// Half of the time for which the other side keeps an idle connection, by its `Keep-Alive` header. If a request were
/// sent while the other side closes the connection, it would be unknown whether it was executed.
fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split([',', ';'])
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)) / 2)
}

enum ExchangeError {
    /// No byte of the request was written; holds the request, to be sent on another connection.
    Unsent(Box<Request<MessageBody>>),
    /// The request failed and must not be sent again.
    Failed(SendError),
}

impl ExchangeError {
    /// The error that remains when the request is not sent on another connection.
    fn into_send_error(self, connection: &Connection) -> SendError {
        match self {
            Self::Unsent(_) => SendError::NotSent,
            Self::Failed(_) if connection.allowance.is_exhausted() => SendError::BadAnswer,
            Self::Failed(error) => error,
        }
    }
}

/// The part of a body that was read before the answer is returned.
enum Collected {
    Complete(BodyCollector),
    Partial(BodyCollector),
}
