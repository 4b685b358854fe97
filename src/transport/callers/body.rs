//! Reading a caller's body whole, within a size and a time.

use bytes::Bytes;
use flume::Receiver;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use thiserror::Error;

use crate::state::timestamp::Timestamp;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// Above the limit.
    #[error("body too large")]
    TooLarge,
    /// Not complete within the time allowed.
    #[error("body too slow")]
    TooSlow,
    /// Cut short or malformed.
    #[error("body malformed or cut short")]
    Broken,
}

/// Reads the whole body, or fails when it passes `limit` bytes or `timeout` fires.
pub async fn read_body(
    incoming: Incoming,
    limit: usize,
    timeout: Receiver<Timestamp>,
) -> Result<Bytes, BodyError> {
    let announced = incoming.size_hint().lower();
    if usize::try_from(announced).map_or(true, |length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    tokio::select! {
        read = Limited::new(incoming, limit).collect() => match read {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
            Err(_) => Err(BodyError::Broken),
        },
        _ = timeout.recv_async() => Err(BodyError::TooSlow),
    }
}
