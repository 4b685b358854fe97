//! The edge towards the upstream beside the node: kept HTTP/1.1 connections.
//!
//! A connection is pooled again only after a whole answer. Whatever ends an exchange early closes
//! its connection: a late answer left in it would be read as the answer to the next request.

mod connection;
mod pool;

pub use pool::UpstreamConnections;

use bytes::Bytes;
use http::{HeaderMap, Method};
use thiserror::Error;

/// One request for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without `Host` and the length.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why an upstream gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// No byte of the request was handed to a connection: it did not run.
    #[error("not sent")]
    NotSent,
    /// The upstream answered that it refused the work before running it.
    #[error("refused by the upstream")]
    Shed,
    /// The connection ended after the request was handed to it: it may have run.
    #[error("connection ended before the answer")]
    Cut,
    /// The answer was malformed, cut short or above the limit: the request ran, at least in part.
    #[error("malformed answer")]
    BadAnswer,
}
