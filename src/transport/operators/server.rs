//! The server itself: paths, limits and the wait for the event loop.

use crate::{
    events::{
        reasons::Severity,
        view::{EventPage, EventQuery},
    },
    protocol::{
        attempt::CallId,
        operator_views::{NodeCondition, UpstreamAnnouncement},
    },
    transport::operators::{
        answer::{OperatorError, build_response},
        request::OperatorRequest,
        token::OperatorToken,
    },
};
use flume::{RecvTimeoutError, Sender};
use rouille::{Request, Response};
use std::{
    io::Read,
    net::{IpAddr, SocketAddr},
    sync::mpsc,
    thread::JoinHandle,
    time::Duration,
};
use thiserror::Error;

/// Threads that serve operators' connections.
const SERVER_THREADS: usize = 4;
/// Longest wait for the event loop.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body of a request, in bytes.
const OPERATOR_BODY_LIMIT: usize = 16 * 1024;
/// Events in one answer, unless fewer are asked for.
const EVENT_PAGE_LIMIT: usize = 5_000;

/// The server could not be started.
#[derive(Debug, Error)]
#[error("operators' server can't listen on {listen}: {cause}")]
pub struct OperatorServerError {
    /// The address from the settings.
    pub listen: SocketAddr,
    /// What the system said.
    pub cause: String,
}

/// A running server; it ends when this is stopped or dropped.
pub struct OperatorServer {
    /// Where it listens.
    pub address: SocketAddr,
    thread: Option<JoinHandle<()>>,
    stop: mpsc::Sender<()>,
}

impl OperatorServer {
    /// Stops taking requests and waits for the server's thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // The thread may have ended by itself; then there is nobody to tell.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts the server. Questions go to `tx`, whose receiver is the event loop.
///
/// # Errors
/// If `listen` can't be bound.
pub fn serve_operators(
    listen: SocketAddr,
    token: &str,
    tx: Sender<OperatorRequest>,
) -> Result<OperatorServer, OperatorServerError> {
    let handler = Handler {
        token: OperatorToken::new(token),
        tx,
    };
    let server = rouille::Server::new(listen, move |req| handler.handle(req))
        .map_err(|cause| OperatorServerError {
            listen,
            cause: cause.to_string(),
        })?
        .pool_size(SERVER_THREADS);
    let address = server.server_addr();
    let (thread, stop) = server.stoppable();
    Ok(OperatorServer {
        address,
        thread: Some(thread),
        stop,
    })
}

struct Handler {
    token: OperatorToken,
    tx: Sender<OperatorRequest>,
}

impl Handler {
    fn handle(&self, req: &Request) -> Response {
        let path = req.url();
        if let Err(error) = self.authorize(req, &path) {
            return build_response::<NodeCondition>(&Err(error));
        }
        match path.as_str() {
            "/status" => {
                let ask = |reply| OperatorRequest::Status { reply };
                build_response(&check_method(req, "GET").and_then(|()| self.ask(ask)))
            }
            "/health" => {
                let ask = |reply| OperatorRequest::Health { reply };
                build_response(&check_method(req, "GET").and_then(|()| self.ask(ask)))
            }
            "/events" => build_response(&self.find_events(req)),
            "/drain" => {
                let ask = |reply| OperatorRequest::Drain { reply };
                build_response(&check_method(req, "POST").and_then(|()| self.ask(ask)))
            }
            "/upstream" => build_response(&self.announce(req)),
            _ => build_response::<NodeCondition>(&Err(OperatorError::NotFound)),
        }
    }

    fn authorize(&self, req: &Request, path: &str) -> Result<(), OperatorError> {
        let open = path == "/health" || (path == "/upstream" && is_loopback(req));
        if open || self.token.accepts(req.header("Authorization")) {
            return Ok(());
        }
        // The event loop records this; if it is too busy to, the caller is turned away all the same.
        let _ = self.tx.try_send(OperatorRequest::Rejected);
        Err(OperatorError::Unauthorized)
    }

    fn find_events(&self, req: &Request) -> Result<EventPage, OperatorError> {
        check_method(req, "GET")?;
        let query = read_event_query(req)?;
        self.ask(|reply| OperatorRequest::Events { query, reply })
    }

    fn announce(&self, req: &Request) -> Result<NodeCondition, OperatorError> {
        check_method(req, "POST")?;
        let announcement = read_announcement(req)?;
        self.ask(|reply| OperatorRequest::Announce {
            announcement,
            reply,
        })
    }

    fn ask<T>(&self, build: impl FnOnce(Sender<T>) -> OperatorRequest) -> Result<T, OperatorError> {
        let (reply, rx) = flume::bounded(1);
        self.tx
            .send_timeout(build(reply), REPLY_TIMEOUT)
            .map_err(|error| match error {
                flume::SendTimeoutError::Timeout(_) => OperatorError::Busy,
                flume::SendTimeoutError::Disconnected(_) => OperatorError::Stopping,
            })?;
        rx.recv_timeout(REPLY_TIMEOUT).map_err(|error| match error {
            RecvTimeoutError::Timeout => OperatorError::Busy,
            RecvTimeoutError::Disconnected => OperatorError::Stopping,
        })
    }
}

/// Whether the request comes from the node's own VM, where its upstream runs.
fn is_loopback(req: &Request) -> bool {
    match req.remote_addr().ip() {
        IpAddr::V4(address) => address.is_loopback(),
        IpAddr::V6(address) => address.to_canonical().is_loopback(),
    }
}

fn check_method(req: &Request, allowed: &'static str) -> Result<(), OperatorError> {
    if req.method() == allowed {
        Ok(())
    } else {
        Err(OperatorError::MethodNotAllowed(allowed))
    }
}

fn read_event_query(req: &Request) -> Result<EventQuery, OperatorError> {
    let since = read_parameter(req, "since", "a sequence number")?;
    let call = read_parameter(req, "call", "the identity of a call, a UUID")?;
    let limit: Option<usize> = read_parameter(req, "limit", "a number of events")?;
    Ok(EventQuery {
        since: since.unwrap_or(0),
        call: call.map(CallId),
        severity: read_severity(req)?,
        limit: limit.unwrap_or(EVENT_PAGE_LIMIT).min(EVENT_PAGE_LIMIT),
    })
}

fn read_parameter<T: std::str::FromStr>(
    req: &Request,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<T>, OperatorError> {
    req.get_param(name)
        .map(|text| text.parse())
        .transpose()
        .map_err(|_| OperatorError::BadParameter { name, expected })
}

fn read_severity(req: &Request) -> Result<Severity, OperatorError> {
    let text = req.get_param("severity");
    text.as_deref()
        .map_or(Some(Severity::Debug), Severity::from_name)
        .ok_or(OperatorError::BadParameter {
            name: "severity",
            expected: "debug, info, warning or error",
        })
}

fn read_announcement(req: &Request) -> Result<UpstreamAnnouncement, OperatorError> {
    let bad_body = |cause: &dyn ToString| OperatorError::BadBody(cause.to_string());
    let mut body = Vec::new();
    let data = req.data().ok_or_else(|| bad_body(&"it was read already"))?;
    let limit = OPERATOR_BODY_LIMIT + 1;
    data.take(limit as u64)
        .read_to_end(&mut body)
        .map_err(|cause| bad_body(&cause))?;
    if body.len() > OPERATOR_BODY_LIMIT {
        return Err(OperatorError::BodyTooLarge(OPERATOR_BODY_LIMIT));
    }
    serde_json::from_slice(&body).map_err(|cause| bad_body(&cause))
}
