//! A caller: an HTTP client with kept connections that reports outcomes as callers see them.

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

/// Why there is no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of the call was written.
    NotSent,
    /// The connection ended before a whole reply.
    Disconnected,
}

/// The outcome that a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportedOutcome {
    /// An upstream's answer.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run, or there was no at all, which a caller has to take the same way.
    Unknown,
    /// The request itself was refused.
    Rejected,
}

impl CallerAnswer {
    /// The outcome that the status tells.
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

    /// What the node says of an outcome other than `answered`.
    #[must_use]
    pub fn reason(&self) -> Option<String> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        body["error"].as_str().map(str::to_owned)
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

    /// Sends a call and reads the whole reply.
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
