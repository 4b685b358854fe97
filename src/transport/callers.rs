//! The edge towards callers: an HTTP/1.1 server on the node's event loop.
//!
//! Bodies are read whole before a call is handed on. Dropping a handler's future is how a caller's
//! disconnect reaches it: the server drops the future as soon as it sees the connection end.

mod body;
mod reply;

pub use reply::{CallerReply, reply_json};

use crate::{
    protocol::headers::has_conflicting_lengths, state::request_fingerprint::RequestFingerprint,
    timers::TimerService,
};
use body::{BodyError, read_body};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http::{
    HeaderMap, HeaderValue, Method, Request, StatusCode, Uri,
    header::{CONNECTION, HOST, TRANSFER_ENCODING},
    request::Parts,
    uri::{Authority, PathAndQuery},
};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{cell::Cell, convert::Infallible, io, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Connections over the limit that are still told why they are refused.
const MAX_REJECTED_CONNECTIONS: usize = 64;
/// How long to wait after a failed `accept`, for instance when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A caller's request with its whole body.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Target as the caller sent it.
    pub uri: Uri,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallerRequest {
    /// The host that it asks; empty if it names none.
    #[must_use]
    pub fn host(&self) -> &str {
        let header = self.headers.get(HOST).and_then(|value| value.to_str().ok());
        let authority = self.uri.authority().map(Authority::as_str);
        authority.or(header).unwrap_or_default()
    }

    /// What it has in common with every other attempt at the same request.
    #[must_use]
    pub fn compute_fingerprint(&self) -> RequestFingerprint {
        let target = self.uri.path_and_query().map_or("", PathAndQuery::as_str);
        RequestFingerprint::compute(self.method.as_str(), self.host(), target, &self.body)
    }
}

/// What the node does with requests.
pub trait CallerHandler {
    /// Answers a request. Dropping the future cancels the call.
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply>;

    /// Whether kept connections are to be closed after the next answer.
    fn is_stopping(&self) -> bool;

    /// Bounds in force now, given the ones that the server was started with.
    fn limits(&self, started_with: CallerLimits) -> CallerLimits {
        started_with
    }
}

/// Bounds on what callers may use.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Open connections.
    pub max_connections: usize,
    /// Time a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// Time a caller may take to send a request's body.
    pub body_timeout: Duration,
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
}

/// Accepts callers until the future is dropped.
///
/// # Errors
/// None at present: failures of `accept` are waited out.
pub async fn serve_callers(
    listener: TcpListener,
    limits: CallerLimits,
    timers: TimerService,
    handler: Rc<dyn CallerHandler>,
) -> io::Result<()> {
    let server = Rc::new(CallerServer {
        limits,
        timers,
        handler,
        open: Cell::new(0),
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => server.admit(stream),
            // Out of file descriptors: without a pause this loop would spin on the same error.
            Err(_) => drop(server.timers.after(ACCEPT_PAUSE).recv_async().await),
        }
    }
}

struct CallerServer {
    limits: CallerLimits,
    timers: TimerService,
    handler: Rc<dyn CallerHandler>,
    open: Cell<usize>,
}

/// Counts a connection for as long as it lives.
struct OpenConnection(Rc<CallerServer>);

impl OpenConnection {
    fn count(server: &Rc<CallerServer>) -> Self {
        server.open.set(server.open.get() + 1);
        Self(Rc::clone(server))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl CallerServer {
    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let open = self.open.get();
        if open >= self.limits.max_connections + MAX_REJECTED_CONNECTIONS {
            return;
        }
        let too_many = open >= self.limits.max_connections;
        let counted = OpenConnection::count(self);
        tokio::task::spawn_local(serve_connection(counted, stream, too_many));
    }

    async fn answer(&self, req: Request<Incoming>, too_many: bool) -> CallerReply {
        if too_many {
            return close_after(reply_json(
                StatusCode::SERVICE_UNAVAILABLE,
                "too many connections",
            ));
        }
        // The library drops a Content-Length that stands beside chunks before it can be seen here.
        // A sender that believed that length would count the next bytes as this body, so no request
        // in chunks may be followed by another on its connection.
        let chunked = req.headers().contains_key(TRANSFER_ENCODING);
        let reply = match self.read_request(req).await {
            Ok(req) => self.handler.handle(req).await,
            Err(refused) => refused,
        };
        if chunked || self.handler.is_stopping() {
            return close_after(reply);
        }
        reply
    }

    async fn read_request(&self, req: Request<Incoming>) -> Result<CallerRequest, CallerReply> {
        let (parts, incoming) = req.into_parts();
        if has_conflicting_lengths(&parts.headers) {
            let refused = reply_json(StatusCode::BAD_REQUEST, "conflicting lengths");
            return Err(close_after(refused));
        }
        if count_head_bytes(&parts) > self.limits.max_head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(close_after(reply_json(status, "head too large")));
        }
        // Most calls have no body; for them no timer is set.
        let body = if incoming.is_end_stream() {
            Bytes::new()
        } else {
            let limits = self.handler.limits(self.limits);
            let timeout = self.timers.after(limits.body_timeout);
            let read = read_body(incoming, limits.max_body_bytes, timeout).await;
            read.map_err(refuse_body)?
        };
        Ok(CallerRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
        })
    }
}

fn refuse_body(error: BodyError) -> CallerReply {
    let status = match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken => StatusCode::BAD_REQUEST,
    };
    // The rest of the body was not read: the next bytes on this connection are not a request.
    close_after(reply_json(status, &error.to_string()))
}

fn close_after(mut reply: CallerReply) -> CallerReply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Bytes of target and headers. The library bounds its buffer only, and lets a head pass that
/// arrives in one piece above that bound.
fn count_head_bytes(parts: &Parts) -> usize {
    let target = parts
        .uri
        .path_and_query()
        .map_or(0, |text| text.as_str().len());
    let headers = parts.headers.iter();
    let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
    target + lengths.sum::<usize>()
}

async fn serve_connection(counted: OpenConnection, stream: TcpStream, too_many: bool) {
    // Answers are small and complete: waiting to fill a segment would only delay them.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let server = Rc::clone(&counted.0);
    let service = service_fn(|req| {
        let server = Rc::clone(&server);
        async move { Ok::<_, Infallible>(server.answer(req, too_many).await) }
    });
    let limits = server.handler.limits(server.limits);
    let ended = http1::Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = ended {
        tracing::trace!(%error, "caller connection ended");
    }
}

/// Body type of a reply.
pub type ReplyBody = Full<Bytes>;
