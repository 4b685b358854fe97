//! The client of operators' tools: one question to one node.

use crate::{
    events::view::{EventPage, EventQuery},
    options::{access::OperatorAccess, secret::Secret},
    protocol::operator_views::{NodeCondition, NodeStatus, OperatorProblem},
};
use attohttpc::{RequestBuilder, Response};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;

/// Longest wait for a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a whole answer; nodes give up after two seconds themselves.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a node did not answer a question.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AskError {
    /// No connection, or it broke.
    #[error("not reached: {0}")]
    Unreached(String),
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
    Unreadable(String),
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
    pub fn fetch_status(&self, node: SocketAddr) -> Result<NodeStatus, AskError> {
        self.send(attohttpc::get(format!("http://{node}/status")))
    }

    /// One page of a node's events.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else.
    pub fn fetch_events(
        &self,
        node: SocketAddr,
        query: &EventQuery,
    ) -> Result<EventPage, AskError> {
        let mut req = attohttpc::get(format!("http://{node}/events"))
            .param("since", query.since)
            .param("severity", query.severity.as_str())
            .param("limit", query.limit);
        if let Some(call) = query.call {
            req = req.param("call", call);
        }
        self.send(req)
    }

    /// Tells a node to take no new work.
    ///
    /// # Errors
    /// If the node is not reached, refuses or answers something else.
    pub fn start_drain(&self, node: SocketAddr) -> Result<NodeCondition, AskError> {
        self.send(attohttpc::post(format!("http://{node}/drain")))
    }

    fn send<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T, AskError> {
        let res = req
            .bearer_auth(self.token.expose())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .follow_redirects(false)
            .send()
            .map_err(|error| AskError::Unreached(error.to_string()))?;
        read_answer(res)
    }
}

fn read_answer<T: DeserializeOwned>(res: Response) -> Result<T, AskError> {
    let status = res.status();
    if status.is_success() {
        return res
            .json()
            .map_err(|error| AskError::Unreadable(error.to_string()));
    }
    let problem: OperatorProblem = res.json().unwrap_or_default();
    Err(AskError::Refused {
        status: status.as_u16(),
        problem: problem.error,
    })
}
