//! The HTTP/1.1 server on the node's event loop. Its callers are clients, other nodes or the local upstream.
//!
//! A request's body is read completely before the handler gets the request; a server for other nodes passes large bodies on while they
//! arrive. When a caller disconnects, the server drops the handler's future, which cancels the request.

mod body;
mod connections;
mod reply;

pub use connections::CallerConnections;
pub use reply::{CallerReply, reply_json};

use crate::{
    protocol::headers::has_conflicting_lengths,
    state::request_fingerprint::{FingerprintHasher, RequestFingerprint},
    timers::TimerService,
    transport::{
        held_bytes::{HeldBytes, SharedBudget},
        message_body::{ForwardedBody, MessageBody, ReadError, discard, is_large},
        socket_options::{CONNECTION_BYTES, limit_receive_buffer},
    },
};
use body::{BodyLimits, get_declared_length, read_body};
use futures::future::LocalBoxFuture;
use http::{
    HeaderMap, HeaderValue, Method, Request, StatusCode, Uri,
    header::{CONNECTION, EXPECT, HOST, RETRY_AFTER, TRANSFER_ENCODING},
    request::Parts,
    uri::{Authority, PathAndQuery},
};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt;
use std::{cell::Cell, convert::Infallible, ops::Range, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Connections above the limit whose requests are answered with an error; further ones are closed at once.
const MAX_REJECTED_CONNECTIONS: usize = 64;
/// Pause after a failed `accept`, which fails again at once while no file descriptors are free.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which the rest of a rejected body is read. A sender that goes on may not read the answer otherwise.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` of a request that doesn't fit into the memory, in seconds. A large body is gone after about this time; different
/// times keep its successors from returning together.
const MEMORY_RETRY_SECONDS: Range<f64> = 0.3..1.2;

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Request target as the caller sent it.
    pub uri: Uri,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// The body; complete unless the server forwards large bodies.
    pub body: MessageBody,
    /// Identifies requests with the same content. It covers the body only if that is complete.
    pub fingerprint: RequestFingerprint,
}

impl CallerRequest {
    /// The host from the request target, else from the `Host` header; empty if both name none.
    #[must_use]
    pub fn host(&self) -> &str {
        find_host(&self.uri, &self.headers)
    }
}

fn find_host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let authority = uri.authority().map(Authority::as_str);
    authority.or(header).unwrap_or_default()
}

fn begin_fingerprint(parts: &Parts) -> FingerprintHasher {
    let target = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let host = find_host(&parts.uri, &parts.headers);
    FingerprintHasher::begin(parts.method.as_str(), host, target)
}

/// Answers the requests that a server receives.
pub trait CallerHandler {
    /// Answers a request. Dropping the future cancels the request.
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply>;

    /// Whether a connection is to be closed after its next answer instead of being kept open.
    fn is_stopping(&self) -> bool;

    /// Records that a request was rejected because of its body.
    fn record_rejected_body(&self, _error: ReadError) {}

    /// Limits in force now, given those that the server was started with.
    fn limits(&self, initial: CallerLimits) -> CallerLimits {
        initial
    }
}

/// Limits on what callers may use.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Time that a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// Time that a caller may take to send a request's body.
    pub body_timeout: Duration,
    /// Largest head (target and headers) in bytes.
    pub max_head_bytes: usize,
    /// Largest number of headers of a request.
    pub max_headers: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// What is done with bodies.
    pub bodies: BodyHandling,
}

/// How a server handles the bodies of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyHandling {
    /// Each body is read before the request is handled.
    Hold,
    /// Large bodies are forwarded while they arrive: the sender holds them.
    ForwardLarge,
}

/// Accepts connections and serves their requests until `connections` are shut down or the future is dropped. After a failed
/// `accept` the server pauses and tries again.
pub async fn serve_callers(
    listener: TcpListener,
    limits: CallerLimits,
    timers: TimerService,
    handler: Rc<dyn CallerHandler>,
    connections: Rc<CallerConnections>,
    budget: SharedBudget,
) {
    let server = Rc::new(CallerServer {
        limits,
        timers,
        handler,
        connections,
        budget,
        open: Cell::new(0),
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = server.connections.wait_for_shutdown() => return,
        };
        match accepted {
            Ok((stream, _)) => server.admit(stream),
            // Without a pause, this loop would spin on the same error while no file descriptors are free.
            Err(_) => drop(server.timers.after(ACCEPT_RETRY_PAUSE).recv_async().await),
        }
    }
}

struct CallerServer {
    limits: CallerLimits,
    timers: TimerService,
    handler: Rc<dyn CallerHandler>,
    /// Connections of this server and of others that end with it.
    connections: Rc<CallerConnections>,
    /// The memory that requests and connections may use.
    budget: SharedBudget,
    /// Number of open connections of this server.
    open: Cell<usize>,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection {
    server: Rc<CallerServer>,
    /// Counts the buffers of the connection; `None` if there is no memory for them.
    buffers: Option<HeldBytes>,
}

impl OpenConnection {
    fn count(server: &Rc<CallerServer>) -> Self {
        server.open.set(server.open.get() + 1);
        Self {
            buffers: server.budget.try_reserve(CONNECTION_BYTES),
            server: Rc::clone(server),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.server.open.set(self.server.open.get() - 1);
    }
}

impl CallerServer {
    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let open = self.open.get();
        if open >= self.limits.max_connections + MAX_REJECTED_CONNECTIONS {
            return;
        }
        let connection = OpenConnection::count(self);
        let too_many = open >= self.limits.max_connections || connection.buffers.is_none();
        spawn_local(serve_connection(connection, stream, too_many));
    }

    async fn answer(&self, req: Request<Incoming>, too_many: bool) -> CallerReply {
        if too_many {
            return close_after(reply_json(
                StatusCode::SERVICE_UNAVAILABLE,
                "too many connections",
            ));
        }
        // For a chunked request, hyper removes a Content-Length header before it can be checked here. A sender that
        // goes by that length would take the bytes of the next request for this body, so the connection is closed
        // after every chunked request.
        let chunked = req.headers().contains_key(TRANSFER_ENCODING);
        let reply = match self.read_request(req).await {
            Ok(req) => self.handler.handle(req).await,
            Err(rejection) => rejection,
        };
        if chunked || self.handler.is_stopping() {
            return close_after(reply);
        }
        reply
    }

    async fn read_request(&self, req: Request<Incoming>) -> Result<CallerRequest, CallerReply> {
        let (parts, mut incoming) = req.into_parts();
        if has_conflicting_lengths(&parts.headers) {
            let rejection = reply_json(StatusCode::BAD_REQUEST, "conflicting lengths");
            return Err(close_after(rejection));
        }
        if count_head_bytes(&parts) > self.limits.max_head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(close_after(reply_json(status, "head too large")));
        }
        let mut hasher = begin_fingerprint(&parts);
        // Most requests have no body; they need no timer.
        let body = if incoming.is_end_stream() {
            MessageBody::default()
        } else if self.is_forwarded(&incoming) {
            MessageBody::Forwarded(Box::new(self.forward_body(incoming)))
        } else {
            let limits = self.handler.limits(self.limits);
            let body_limits = BodyLimits {
                bytes: limits.max_body_bytes,
                time: limits.body_timeout,
            };
            let (budget, timers) = (&self.budget, &self.timers);
            let read = read_body(&mut incoming, body_limits, budget, timers, &mut hasher).await;
            match read {
                Ok(body) => body.into(),
                Err(error) => {
                    // A sender that waits for an interim answer sends nothing after the rejection.
                    let is_sent = !parts.headers.contains_key(EXPECT);
                    return Err(self.reject_body(error, incoming, is_sent));
                }
            }
        };
        Ok(CallerRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            fingerprint: hasher.finish(),
        })
    }

    fn is_forwarded(&self, incoming: &Incoming) -> bool {
        let is_large = get_declared_length(incoming).is_some_and(is_large);
        self.limits.bodies == BodyHandling::ForwardLarge && is_large
    }

    fn forward_body(&self, incoming: Incoming) -> ForwardedBody {
        let limit = self.limits.max_body_bytes;
        ForwardedBody::new(incoming, limit).discard_unread(&self.timers, DISCARD_TIMEOUT)
    }

    /// Rejects a request whose body was not read to its end, which proves that it was not run.
    fn reject_body(&self, error: ReadError, incoming: Incoming, is_sent: bool) -> CallerReply {
        let status = match error {
            ReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::MemoryFull if self.limits.bodies == BodyHandling::ForwardLarge => {
                // To other nodes, 503 says that this node accepts no request at all.
                StatusCode::TOO_MANY_REQUESTS
            }
            ReadError::MemoryFull => StatusCode::SERVICE_UNAVAILABLE,
            ReadError::Timeout => StatusCode::REQUEST_TIMEOUT,
            ReadError::Malformed => StatusCode::BAD_REQUEST,
        };
        self.handler.record_rejected_body(error);
        if is_sent && error != ReadError::Malformed {
            let timeout = self.timers.after(DISCARD_TIMEOUT);
            spawn_local(discard(incoming, self.limits.max_body_bytes, timeout));
        }
        let mut reply = reply_json(status, &error.to_string());
        if error == ReadError::MemoryFull {
            let seconds = rand::rng().random_range(MEMORY_RETRY_SECONDS);
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        // The next bytes on this connection may not be a request.
        close_after(reply)
    }
}

fn close_after(mut reply: CallerReply) -> CallerReply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Bytes of the request target and the headers. hyper limits only its read buffer and accepts a larger head that
/// arrives in one read.
fn count_head_bytes(parts: &Parts) -> usize {
    let target = parts
        .uri
        .path_and_query()
        .map_or(0, |text| text.as_str().len());
    let headers = parts.headers.iter();
    let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
    target + lengths.sum::<usize>()
}

async fn serve_connection(connection: OpenConnection, stream: TcpStream, too_many: bool) {
    // Answers are small and written at once: waiting for a full segment would only delay them.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    limit_receive_buffer(&stream);
    let server = Rc::clone(&connection.server);
    let service = service_fn(|req| {
        let server = Rc::clone(&server);
        async move { Ok::<_, Infallible>(server.answer(req, too_many).await) }
    });
    let limits = server.handler.limits(server.limits);
    let http_connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .max_headers(limits.max_headers)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = server.connections.drive(http_connection).await {
        tracing::trace!(%error, "caller connection ended");
    }
}
