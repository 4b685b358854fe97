//! An HTTP client with persistent connections that reports outcomes as callers see them.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{cell::RefCell, net::SocketAddr, rc::Rc};
use tokio::net::TcpStream;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// A complete answer as a caller receives it.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of the call was written.
    NotSent,
    /// The connection ended before the answer was complete.
    Disconnected,
}

/// Outcome of a call as the node reported it to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportedOutcome {
    /// An upstream ran the call and answered.
    Answered,
    /// The call did not run.
    NotRun,
    /// The call may have run. A call without an answer counts as unknown too.
    Unknown,
    /// The request is not valid, or no route matches it.
    Rejected,
}

impl CallerAnswer {
    /// Derives the outcome from the HTTP status.
    #[must_use]
    pub fn outcome(&self) -> ReportedOutcome {
        match self.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                ReportedOutcome::NotRun
            }
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => ReportedOutcome::Unknown,
            status if status.is_client_error() => ReportedOutcome::Rejected,
            _ => ReportedOutcome::Answered,
        }
    }

    /// Returns the reason that the node gives in the body for an outcome other than `Answered`.
    #[must_use]
    pub fn reason(&self) -> Option<String> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        body["error"].as_str().map(str::to_owned)
    }
}

/// A client with persistent connections to one address. Must be used within a `LocalSet`.
#[derive(Clone)]
pub struct CallerClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

impl CallerClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// Sends a call and reads the complete answer.
    ///
    /// # Errors
    /// See [`CallFailure`].
    pub async fn call(&self, call: CallerCall) -> Result<CallerAnswer, CallFailure> {
        let mut tx = self.connect().await.ok_or(CallFailure::NotSent)?;
        let mut req = Request::new(Full::new(call.body));
        *req.method_mut() = call.method;
        *req.uri_mut() = call.target.parse().map_err(|_| CallFailure::NotSent)?;
        *req.headers_mut() = call.headers;
        if !req.headers().contains_key(HOST) {
            let host = HeaderValue::from_str(&self.address.to_string());
            let host = host.map_err(|_| CallFailure::NotSent)?;
            req.headers_mut().insert(HOST, host);
        }
        let sent = tx.try_send_request(req).await;
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(_) => CallFailure::NotSent,
            None => CallFailure::Disconnected,
        })?;
        let (parts, body) = answer.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| CallFailure::Disconnected)?;
        let body = body.to_bytes();
        self.idle.borrow_mut().push(tx);
        Ok(CallerAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut tx) = idle else { break };
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
