//! Answers of the operators' server: JSON, errors included.

use crate::protocol::operator_views::OperatorErrorBody;
use rouille::Response;
use serde::Serialize;
use thiserror::Error;

/// Why a request was not served.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// No token, or a wrong one.
    #[error("the Authorization header needs the operators' token: `Bearer TOKEN`")]
    Unauthorized,
    /// No such path.
    #[error(
        "no such path; there are /status, /log, /health, /drain, /evacuation, /configuration and /history"
    )]
    NotFound,
    /// A known path with another method.
    #[error("this path takes {0} only")]
    MethodNotAllowed(&'static str),
    /// A query parameter can't be understood.
    #[error("query parameter `{name}` must be {expected}")]
    BadParameter {
        /// The parameter.
        name: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// The body can't be understood.
    #[error("the body can't be understood: {0}")]
    BadBody(String),
    /// The body is too large.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The event loop did not answer in time.
    #[error("the node did not answer in time")]
    Timeout,
    /// The store can't be read.
    #[error("the store can't be read: {0}")]
    StoreUnavailable(String),
    /// The store did not say that it has taken a record.
    #[error("the store has not confirmed it, ask again: {0}")]
    StoreUnconfirmed(String),
    /// The event loop is gone.
    #[error("the node is stopping")]
    Stopping,
}

impl OperatorError {
    const fn status(&self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed(_) => 405,
            Self::BadParameter { .. } | Self::BadBody(_) => 400,
            Self::BodyTooLarge(_) => 413,
            Self::Timeout => 504,
            Self::Stopping | Self::StoreUnavailable(_) | Self::StoreUnconfirmed(_) => 503,
        }
    }
}

/// The response for an answer or an error.
pub fn build_response<T: Serialize>(answer: &Result<T, OperatorError>) -> Response {
    match answer {
        Ok(answer) => Response::json(answer),
        Err(error) => build_problem(error),
    }
}

fn build_problem(error: &OperatorError) -> Response {
    let problem = OperatorErrorBody {
        error: error.to_string(),
    };
    let response = Response::json(&problem).with_status_code(error.status());
    match error {
        OperatorError::Unauthorized => {
            response.with_additional_header("WWW-Authenticate", "Bearer")
        }
        OperatorError::MethodNotAllowed(allowed) => {
            response.with_additional_header("Allow", *allowed)
        }
        _ => response,
    }
}
