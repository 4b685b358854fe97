//! Reads the complete body of a caller's request, with limits on its size and time.

use bytes::Bytes;
use flume::Receiver;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use thiserror::Error;

use crate::state::timestamp::Timestamp;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("body too large")]
    TooLarge,
    /// The body was not complete within the time allowed.
    #[error("body too slow")]
    Timeout,
    /// The body is truncated or malformed.
    #[error("body malformed or cut short")]
    Malformed,
}

/// Reads the complete body. Fails when the body is larger than `limit` bytes or `timeout` fires.
pub async fn read_body(
    incoming: Incoming,
    limit: usize,
    timeout: Receiver<Timestamp>,
) -> Result<Bytes, BodyError> {
    let declared = incoming.size_hint().lower();
    if usize::try_from(declared).map_or(true, |length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    tokio::select! {
        read = Limited::new(incoming, limit).collect() => match read {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
            Err(_) => Err(BodyError::Malformed),
        },
        _ = timeout.recv_async() => Err(BodyError::Timeout),
    }
}
