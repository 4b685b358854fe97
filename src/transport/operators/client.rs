//! The client of the operators' interface, for operators' tools. Each call sends one request to one node.

use crate::{
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    options::{access::OperatorAccess, secret::Secret},
    protocol::operator_views::{
        EvacuationView, HistoryView, LogPage, NodeHealth, NodeStatus, OperatorErrorBody,
    },
};
use attohttpc::{ErrorKind, RequestBuilder, Response, body::Body};
use serde::de::DeserializeOwned;
use std::{io, net::SocketAddr, time::Duration};
use thiserror::Error;

/// Longest time to open a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for a complete answer. It is longer than the 15 seconds after which a node gives up on a publication,
/// so that the node's own answer arrives first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(17);

/// Why a call to a node failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorClientError {
    /// No connection could be opened: the request did not reach the node.
    #[error("not reached: {0}")]
    NotSent(String),
    /// The connection broke, or no answer came in time. The node may have executed the request.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The node answered with an error status.
    #[error("refused with status {status}: {problem}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Error message from the node's answer; empty if it has none.
        problem: String,
    },
    /// The answer can't be decoded, or the request can't be encoded.
    #[error("invalid answer: {0}")]
    InvalidAnswer(String),
}

/// Calls nodes' operators' interfaces with the operators' token.
#[derive(Clone)]
pub struct OperatorClient {
    token: Secret,
}

impl OperatorClient {
    /// Creates a client that authenticates itself with the token of `access`.
    #[must_use]
    pub fn new(access: &OperatorAccess) -> Self {
        Self {
            token: access.token.clone(),
        }
    }

    /// Fetches the status of a node.
    ///
    /// # Errors
    /// If the node is not reached, refuses or gives an invalid answer.
    pub fn fetch_status(&self, node: SocketAddr) -> Result<NodeStatus, OperatorClientError> {
        self.send(attohttpc::get(format!("http://{node}/status")))
    }

    /// Fetches the lines of a node's log from the line with number `from` on.
    ///
    /// # Errors
    /// If the node is not reached, refuses or gives an invalid answer.
    pub fn fetch_log_lines(
        &self,
        node: SocketAddr,
        from: u64,
    ) -> Result<LogPage, OperatorClientError> {
        self.send(attohttpc::get(format!("http://{node}/log")).param("from", from))
    }

    /// Fetches the latest publications from the store that the node uses.
    ///
    /// # Errors
    /// If the node is not reached, refuses or gives an invalid answer.
    pub fn fetch_history(&self, node: SocketAddr) -> Result<HistoryView, OperatorClientError> {
        self.send(attohttpc::get(format!("http://{node}/history")))
    }

    /// Publishes a configuration through a node.
    ///
    /// # Errors
    /// If the node is not reached, refuses or gives an invalid answer. Unless the error is `NotSent`, the configuration
    /// may have been published.
    pub fn publish(
        &self,
        node: SocketAddr,
        request: &PublicationRequest,
    ) -> Result<PublicationOutcome, OperatorClientError> {
        let url = format!("http://{node}/configuration");
        let body = attohttpc::post(url)
            .json(request)
            .map_err(|error| OperatorClientError::InvalidAnswer(error.to_string()))?;
        self.send(body)
    }

    /// Asks a node to drain its local upstream: it accepts no new requests and finishes those it has.
    ///
    /// # Errors
    /// If the node is not reached, refuses or gives an invalid answer.
    pub fn start_drain(&self, node: SocketAddr) -> Result<NodeHealth, OperatorClientError> {
        self.send(attohttpc::post(format!("http://{node}/drain")))
    }

    /// Evacuates an availability zone through a node if `evacuated` is true, else restores it.
    ///
    /// # Errors
    /// If the node is not reached, refuses or gives an invalid answer. Unless the error is `NotSent`, the change may have
    /// been stored.
    pub fn evacuate(
        &self,
        node: SocketAddr,
        zone: &str,
        evacuated: bool,
    ) -> Result<EvacuationView, OperatorClientError> {
        let url = format!("http://{node}/evacuation");
        let request = if evacuated {
            attohttpc::post(url)
        } else {
            attohttpc::delete(url)
        };
        self.send(request.param("zone", zone))
    }

    fn send<T: DeserializeOwned, B: Body>(
        &self,
        req: RequestBuilder<B>,
    ) -> Result<T, OperatorClientError> {
        let res = req
            .bearer_auth(self.token.expose())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .follow_redirects(false)
            .send()
            .map_err(|error| classify_error(&error))?;
        read_answer(res)
    }
}

/// Only a failure to connect guarantees that the request did not reach the node.
fn classify_error(error: &attohttpc::Error) -> OperatorClientError {
    let is_connect_failure = match error.kind() {
        ErrorKind::ConnectError { .. } | ErrorKind::ConnectNotSupported => true,
        ErrorKind::Io(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if is_connect_failure {
        OperatorClientError::NotSent(error.to_string())
    } else {
        OperatorClientError::NoAnswer(error.to_string())
    }
}

fn read_answer<T: DeserializeOwned>(res: Response) -> Result<T, OperatorClientError> {
    let status = res.status();
    if status.is_success() {
        return res
            .json()
            .map_err(|error| OperatorClientError::InvalidAnswer(error.to_string()));
    }
    let body: OperatorErrorBody = res.json().unwrap_or_default();
    Err(OperatorClientError::Refused {
        status: status.as_u16(),
        problem: body.error,
    })
}
