//! The client of operators' tools: one question to one node.

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

/// Longest wait for a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a whole answer; nodes give up on a publication after 15 seconds themselves.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(17);

/// Why a node did not answer a question.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorClientError {
    /// No connection could be opened: the question did not reach the node.
    #[error("not reached: {0}")]
    NotSent(String),
    /// The connection broke, or no answer came in time; the node may have done what it was asked.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The node refused.
    #[error("refused with status {status}: {problem}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the node said.
        problem: String,
    },
    /// The answer can't be understood.
    #[error("its answer can't be understood: {0}")]
    InvalidAnswer(String),
}

/// Asks nodes with the operators' token.
#[derive(Clone)]
pub struct OperatorClient {
    token: Secret,
}

impl OperatorClient {
    /// A client that proves itself with the token of `access`.
    #[must_use]
    pub fn new(access: &OperatorAccess) -> Self {
        Self {
            token: access.token.clone(),
        }
    }

    /// All that a node tells of itself.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else.
    pub fn fetch_status(&self, node: SocketAddr) -> Result<NodeStatus, OperatorClientError> {
        self.send(attohttpc::get(format!("http://{node}/status")))
    }

    /// Lines of a node's log from a number on.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else.
    pub fn fetch_log_lines(
        &self,
        node: SocketAddr,
        from: u64,
    ) -> Result<LogPage, OperatorClientError> {
        self.send(attohttpc::get(format!("http://{node}/log")).param("from", from))
    }

    /// The publications that are remembered.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else.
    pub fn fetch_history(&self, node: SocketAddr) -> Result<HistoryView, OperatorClientError> {
        self.send(attohttpc::get(format!("http://{node}/history")))
    }

    /// Has a node publish a configuration.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else; it may have published all the same.
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

    /// Tells a node to take no new work.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else.
    pub fn start_drain(&self, node: SocketAddr) -> Result<NodeHealth, OperatorClientError> {
        self.send(attohttpc::post(format!("http://{node}/drain")))
    }

    /// Has a node evacuate an availability zone, or take it back.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else; the store may have the operator's word all the same.
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
            .map_err(|error| sort_error(&error))?;
        read_answer(res)
    }
}

/// Only a failure to connect proves that the node was not asked.
fn sort_error(error: &attohttpc::Error) -> OperatorClientError {
    let unconnected = match error.kind() {
        ErrorKind::ConnectError { .. } | ErrorKind::ConnectNotSupported => true,
        ErrorKind::Io(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if unconnected {
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
    let problem: OperatorErrorBody = res.json().unwrap_or_default();
    Err(OperatorClientError::Refused {
        status: status.as_u16(),
        problem: problem.error,
    })
}
