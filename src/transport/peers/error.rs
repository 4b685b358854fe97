//! Why a request to another node failed, and what that proves.

use crate::state::member::Incarnation;
use std::io;
use thiserror::Error;

/// A message that does not hold what its schema and limits ask for.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The encoding is broken, or a value is not in this release's schema.
    #[error("malformed message: {0}")]
    Encoding(#[from] capnp::Error),
    /// A field's value is not allowed.
    #[error("invalid {0}")]
    Invalid(&'static str),
    /// A field is larger than its limit.
    #[error("{field} exceeds {limit}")]
    TooLarge {
        /// The field.
        field: &'static str,
        /// The largest size allowed, in the field's unit.
        limit: usize,
    },
}

impl From<capnp::NotInSchema> for DecodeError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Encoding(error.into())
    }
}

/// Why a node refuses a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum HelloRefusal {
    /// No protocol version that both speak.
    #[error("no common protocol version")]
    Version,
    /// The other side does not hold the mesh's key.
    #[error("wrong mesh key")]
    WrongKey,
    /// The hello was not understood.
    #[error("malformed hello")]
    Malformed,
    /// Too many connections are in the middle of their hello.
    #[error("busy")]
    Busy,
}

/// Why a request was not understood and so not acted upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum RequestFault {
    /// A field is missing or has a value that is not allowed.
    #[error("malformed request")]
    Malformed,
    /// A field exceeds its limit.
    #[error("request too large")]
    TooLarge,
}

/// Why no byte of a request was handed to a connection.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotSentReason {
    /// The connection could not be opened.
    #[error("connect: {0}")]
    Connect(io::ErrorKind),
    /// The connection broke during the hello.
    #[error("hello cut short: {0}")]
    HelloCut(String),
    /// Opening the connection took too long.
    #[error("connect timed out")]
    Timeout,
    /// A connect failed a short time ago; the next one is due later.
    #[error("waiting to connect again")]
    BackingOff,
    /// The request's own deadline passed while the connection was opened.
    #[error("deadline passed before sending")]
    DeadlinePassed,
    /// The request exceeds the limits of what is carried.
    #[error("request too large")]
    TooLarge,
    /// Another node answers at that address.
    #[error("another node answers at the address")]
    OtherNode,
    /// The receiver did not understand the request and says that it did not act upon it.
    #[error("receiver: {0}")]
    Fault(RequestFault),
}

/// Why a request to another node failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// Proven: the receiver did not and will not act upon the request.
    #[error("not sent: {0}")]
    NotSent(NotSentReason),
    /// The receiver may have got the request.
    #[error("connection lost: {0}")]
    Lost(String),
    /// Another run of that node answers; no byte of the request was sent to it.
    #[error("node runs as incarnation {}", found.0)]
    WrongIncarnation {
        /// The incarnation that answers.
        found: Incarnation,
    },
    /// The hello was refused, by either side; no byte of the request was sent.
    #[error("hello refused: {0}")]
    Refused(HelloRefusal),
}

/// Why a hello did not lead to a connection.
#[derive(Debug, Error)]
pub enum HelloError {
    /// Refused by the other side, or by this one.
    #[error("refused: {0}")]
    Refused(#[from] HelloRefusal),
    /// The other side's message was not understood.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The connection broke.
    #[error("connection: {0}")]
    Connection(#[from] capnp::Error),
}
