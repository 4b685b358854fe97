//! A caller: an HTTP client with kept connections that reports outcomes as callers see them.

use crate::constants::{OUTCOME_HEADER, REASON_HEADER, UPSTREAM_HEADER};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{cell::RefCell, net::SocketAddr, rc::Rc};
use tokio::net::TcpStream;

/// A request as a caller builds it.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A whole reply as a caller sees it.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The outcome that a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ToldOutcome {
    /// `answered`.
    Answered,
    /// `not-run`.
    NotRun,
    /// `unknown`, or no reply at all, which a caller has to take the same way.
    Unknown,
    /// The request itself was refused.
    Rejected,
}

impl CallerAnswer {
    /// The outcome in the reply's header.
    #[must_use]
    pub fn outcome(&self) -> ToldOutcome {
        match self.text(OUTCOME_HEADER) {
            Some("answered") => ToldOutcome::Answered,
            Some("not-run") => ToldOutcome::NotRun,
            Some(_) => ToldOutcome::Unknown,
            None => ToldOutcome::Rejected,
        }
    }

    /// Why it was not run, or why that is unknown.
    #[must_use]
    pub fn reason(&self) -> Option<&str> {
        self.text(REASON_HEADER)
    }

    /// The upstream that was tried last.
    #[must_use]
    pub fn upstream(&self) -> Option<&str> {
        self.text(UPSTREAM_HEADER)
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Kept connections to one address. Must be used within a `LocalSet`.
#[derive(Clone)]
pub struct CallerClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

impl CallerClient {
    /// A client without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// Sends a call and reads the whole reply; none if the connection ended before that.
    pub async fn call(&self, call: CallerCall) -> Option<CallerAnswer> {
        let mut tx = self.connect().await?;
        let mut req = Request::new(Full::new(call.body));
        *req.method_mut() = call.method;
        *req.uri_mut() = call.target.parse().ok()?;
        *req.headers_mut() = call.headers;
        if !req.headers().contains_key(HOST) {
            let host = HeaderValue::from_str(&self.address.to_string()).ok()?;
            req.headers_mut().insert(HOST, host);
        }
        let (parts, body) = tx.send_request(req).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.idle.borrow_mut().push(tx);
        Some(CallerAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let Some(mut tx) = kept else { break };
            if tx.ready().await.is_ok() {
                return Some(tx);
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (tx, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(driver);
        Some(tx)
    }
}
