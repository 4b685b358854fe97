//! Responses of the operators' server; errors are JSON too.

use crate::protocol::operator_views::OperatorErrorBody;
use rouille::Response;
use serde::Serialize;
use thiserror::Error;

/// Why a request to the operators' interface failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// The request has no token or a wrong one.
    #[error("the Authorization header needs the operators' token: `Bearer TOKEN`")]
    Unauthorized,
    /// The path is unknown.
    #[error(
        "no such path; there are /status, /log, /health, /drain, /evacuation, /configuration and /history"
    )]
    NotFound,
    /// The path is known but doesn't allow the method; holds the allowed methods.
    #[error("this path takes {0} only")]
    MethodNotAllowed(&'static str),
    /// A query parameter is missing or invalid.
    #[error("query parameter `{name}` must be {expected}")]
    BadParameter {
        /// Name of the parameter.
        name: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The body can't be read or decoded, or its configuration is invalid.
    #[error("the body can't be understood: {0}")]
    BadBody(String),
    /// The body is too large; holds the limit in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The event loop did not answer in time.
    #[error("the node did not answer in time")]
    Timeout,
    /// The store can't be read.
    #[error("the store can't be read: {0}")]
    StoreUnavailable(String),
    /// The store did not confirm an append, which may have been executed all the same.
    #[error("the store has not confirmed it, ask again: {0}")]
    StoreUnconfirmed(String),
    /// The event loop has ended.
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

/// Builds the response for an answer or an error.
pub fn build_response<T: Serialize>(answer: &Result<T, OperatorError>) -> Response {
    match answer {
        Ok(answer) => Response::json(answer),
        Err(error) => build_error_response(error),
    }
}

fn build_error_response(error: &OperatorError) -> Response {
    let body = OperatorErrorBody {
        error: error.to_string(),
    };
    let response = Response::json(&body).with_status_code(error.status());
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
