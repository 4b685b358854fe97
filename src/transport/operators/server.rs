//! The HTTP server of the operators' interface: paths, authentication, limits and the wait for the event loop.

use crate::{
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    options::checked_file::validate_configuration,
    protocol::operator_views::{EvacuationView, HistoryView, LogPage, NodeHealth},
    transport::operators::{
        answer::{OperatorError, build_response},
        request::{EvacuationError, OperatorRequest},
        token::OperatorToken,
    },
};
use flume::{RecvTimeoutError, Sender};
use rouille::{Request, Response};
use std::{io::Read, net::SocketAddr, sync::mpsc, thread::JoinHandle, time::Duration};
use thiserror::Error;

/// Threads that serve operators' connections.
const SERVER_THREADS: usize = 4;
/// Longest wait for the event loop.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for requests that call the store, such as a publication, which may take several attempts.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest body of a request, in bytes. A configuration of a hundred services has about 100 KB.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Why the server could not be started.
#[derive(Debug, Error)]
#[error("operators' server can't listen on {listen}: {cause}")]
pub struct OperatorServerError {
    /// The address from the settings.
    pub listen: SocketAddr,
    /// Error of the operating system.
    pub cause: String,
}

/// A running server. It ends after [`OperatorServer::request_stop`], or when the value is dropped.
pub struct OperatorServer {
    /// Address on which the server listens, with the actual port if the settings have port 0.
    pub address: SocketAddr,
    thread: Option<JoinHandle<()>>,
    stop: mpsc::Sender<()>,
}

impl OperatorServer {
    /// Asks the server's thread to end, which takes up to a second. Dropping the server waits for the thread.
    pub fn request_stop(&self) {
        // Fails if the thread has ended already.
        let _ = self.stop.send(());
    }

    fn stop_and_join(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}

/// Starts the server. It sends its requests to `tx`, from which the event loop receives them.
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
            return build_response::<NodeHealth>(&Err(error));
        }
        match path.as_str() {
            "/status" => {
                let build = |reply| OperatorRequest::Status { reply };
                build_response(
                    &check_method(req, "GET").and_then(|()| self.query_event_loop(build)),
                )
            }
            "/health" => {
                let build = |reply| OperatorRequest::Health { reply };
                build_response(
                    &check_method(req, "GET").and_then(|()| self.query_event_loop(build)),
                )
            }
            "/log" => build_response(&self.read_log_lines(req)),
            "/configuration" => build_response(&self.publish(req)),
            "/history" => build_response(&self.read_history(req)),
            "/drain" => {
                let build = |reply| OperatorRequest::Drain { reply };
                build_response(
                    &check_method(req, "POST").and_then(|()| self.query_event_loop(build)),
                )
            }
            "/evacuation" => build_response(&self.evacuate(req)),
            _ => build_response::<NodeHealth>(&Err(OperatorError::NotFound)),
        }
    }

    fn authorize(&self, req: &Request, path: &str) -> Result<(), OperatorError> {
        if path == "/health" || self.token.accepts(req.header("Authorization")) {
            return Ok(());
        }
        // The event loop logs the refusal. If its queue is full, the log lacks it, but the request is refused too.
        let _ = self.tx.try_send(OperatorRequest::Unauthorized);
        Err(OperatorError::Unauthorized)
    }

    fn read_log_lines(&self, req: &Request) -> Result<LogPage, OperatorError> {
        check_method(req, "GET")?;
        let from = read_parameter(req, "from", "the number of a line")?.unwrap_or(0);
        self.query_event_loop(|reply| OperatorRequest::LogLines { from, reply })
    }

    /// Publishes the configuration in the body. The server checks it even if the tool has checked it, because every node
    /// applies what the store holds.
    fn publish(&self, req: &Request) -> Result<PublicationOutcome, OperatorError> {
        check_method(req, "POST")?;
        let request = read_publication(req)?;
        validate_configuration("configuration", &request.configuration)
            .map_err(|findings| OperatorError::BadBody(findings.to_string()))?;
        let request = Box::new(request);
        let build = |reply| OperatorRequest::Publish { request, reply };
        self.query_with_timeout(STORE_REPLY_TIMEOUT, build)
    }

    /// `POST` evacuates the zone that the query names, `DELETE` restores it.
    fn evacuate(&self, req: &Request) -> Result<EvacuationView, OperatorError> {
        let evacuated = match req.method() {
            "POST" => true,
            "DELETE" => false,
            _ => return Err(OperatorError::MethodNotAllowed("POST, DELETE")),
        };
        let bad_zone = OperatorError::BadParameter {
            name: "zone",
            expected: "an availability zone of the mesh",
        };
        let zone = req.get_param("zone").filter(|zone| !zone.is_empty());
        let zone = zone.ok_or_else(|| bad_zone.clone())?;
        let build = |reply| OperatorRequest::Evacuate {
            zone: zone.as_str().into(),
            evacuated,
            reply,
        };
        let answer = self.query_with_timeout(STORE_REPLY_TIMEOUT, build)?;
        answer.map_err(|problem| match problem {
            EvacuationError::UnknownZone => bad_zone,
            EvacuationError::Store(cause) => OperatorError::StoreUnconfirmed(cause),
        })
    }

    fn read_history(&self, req: &Request) -> Result<HistoryView, OperatorError> {
        check_method(req, "GET")?;
        let build = |reply| OperatorRequest::History { reply };
        let answer = self.query_with_timeout(STORE_REPLY_TIMEOUT, build)?;
        answer.map_err(OperatorError::StoreUnavailable)
    }

    fn query_event_loop<T>(
        &self,
        build: impl FnOnce(Sender<T>) -> OperatorRequest,
    ) -> Result<T, OperatorError> {
        self.query_with_timeout(REPLY_TIMEOUT, build)
    }

    fn query_with_timeout<T>(
        &self,
        limit: Duration,
        build: impl FnOnce(Sender<T>) -> OperatorRequest,
    ) -> Result<T, OperatorError> {
        let (reply, rx) = flume::bounded(1);
        self.tx
            .send_timeout(build(reply), REPLY_TIMEOUT)
            .map_err(|error| match error {
                flume::SendTimeoutError::Timeout(_) => OperatorError::Timeout,
                flume::SendTimeoutError::Disconnected(_) => OperatorError::Stopping,
            })?;
        rx.recv_timeout(limit).map_err(|error| match error {
            RecvTimeoutError::Timeout => OperatorError::Timeout,
            RecvTimeoutError::Disconnected => OperatorError::Stopping,
        })
    }
}

fn check_method(req: &Request, allowed: &'static str) -> Result<(), OperatorError> {
    if req.method() == allowed {
        Ok(())
    } else {
        Err(OperatorError::MethodNotAllowed(allowed))
    }
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

fn read_publication(req: &Request) -> Result<PublicationRequest, OperatorError> {
    let bad_body = |cause: &dyn ToString| OperatorError::BadBody(cause.to_string());
    let mut body = Vec::new();
    let data = req.data().ok_or_else(|| bad_body(&"it was read already"))?;
    let limit = MAX_BODY_BYTES + 1;
    data.take(limit as u64)
        .read_to_end(&mut body)
        .map_err(|cause| bad_body(&cause))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(OperatorError::BodyTooLarge(MAX_BODY_BYTES));
    }
    serde_json::from_slice(&body).map_err(|cause| bad_body(&cause))
}
