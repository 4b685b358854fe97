//! A call as it travels from the entry node to the executing node.

use crate::{
    protocol::attempt::AttemptId,
    state::names::{ClassName, ServiceName},
};
use bytes::Bytes;
use http::{HeaderMap, Method};
use std::time::Duration;
use uuid::Uuid;

/// A caller's idempotency key: a version 7 UUID, so that its time of issue can be read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub Uuid);

/// One attempt at a call. Bodies are whole; headers are end-to-end ones only.
#[derive(Clone, Debug)]
pub struct CallAttempt {
    /// Identity of the attempt.
    pub id: AttemptId,
    /// Service that is called.
    pub service: ServiceName,
    /// Class of work, decided once by the entry node.
    pub class: ClassName,
    /// HTTP method.
    pub method: Method,
    /// Path and query, without the service prefix.
    pub target: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time left until the caller's deadline, at the moment of sending.
    pub time_left: Duration,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Calls above this one in the chain of services; 0 for a call from outside.
    pub depth: u8,
}
