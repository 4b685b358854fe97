//! Bodies of requests and answers. Most are held as a whole; large ones are forwarded while they arrive.

mod forwarded_body;
mod held_body;

pub use forwarded_body::{ForwardError, ForwardedBody, discard};
pub use held_body::{BodyCollector, HeldBody};

use crate::coordination::memory_budget::SMALL_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    any::Any,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};
use thiserror::Error;

/// Why a body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The body is larger than the limit.
    #[error("body too large")]
    TooLarge,
    /// The body doesn't fit into the memory of this node now.
    #[error("not run: memory_full")]
    MemoryFull,
    /// The body was not complete within the time allowed.
    #[error("body too slow")]
    Timeout,
    /// The body is truncated or malformed.
    #[error("body malformed or cut short")]
    Malformed,
}

/// The body of a request or an answer.
pub enum MessageBody {
    /// A complete body, and the number of its blocks that were sent.
    Held(HeldBody, usize),
    /// A body that is still arriving.
    Forwarded(Box<ForwardedBody>),
}

impl MessageBody {
    /// Another handle to a complete body; none if the body is still arriving.
    #[must_use]
    pub fn share(&self) -> Option<Self> {
        match self {
            Self::Held(body, _) => Some(Self::from(body.clone())),
            Self::Forwarded(_) => None,
        }
    }

    /// The complete body; none if it is still arriving.
    #[must_use]
    pub const fn held(&self) -> Option<&HeldBody> {
        match self {
            Self::Held(body, _) => Some(body),
            Self::Forwarded(_) => None,
        }
    }

    /// Length in bytes, or what is known of it.
    #[must_use]
    pub fn known_length(&self) -> usize {
        match self {
            Self::Held(body, _) => body.length(),
            Self::Forwarded(body) => body.known_length(),
        }
    }

    /// Keeps `guard` until the body has been sent or is dropped, if it is still arriving.
    pub fn keep(&mut self, guard: impl Any) {
        if let Self::Forwarded(body) = self {
            body.keep(Box::new(guard));
        }
    }

    /// The body in one piece.
    ///
    /// # Errors
    /// If it is larger than `limit` bytes, or can't be read.
    pub async fn to_bytes(self, limit: usize) -> Result<Bytes, ReadError> {
        let mut body = match self {
            Self::Held(body, _) => return Ok(body.to_bytes()),
            Self::Forwarded(body) => body,
        };
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|_| ReadError::Malformed)?.into_data();
            bytes.extend_from_slice(&data.unwrap_or_default());
            if bytes.len() > limit {
                return Err(ReadError::TooLarge);
            }
        }
        Ok(bytes.freeze())
    }
}

impl Default for MessageBody {
    fn default() -> Self {
        Self::from(HeldBody::default())
    }
}

impl From<HeldBody> for MessageBody {
    fn from(body: HeldBody) -> Self {
        Self::Held(body, 0)
    }
}

impl From<Bytes> for MessageBody {
    /// A body of the node itself, which is not counted in its memory budget.
    fn from(bytes: Bytes) -> Self {
        Self::from(HeldBody::uncounted(bytes))
    }
}

impl fmt::Debug for MessageBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.known_length())
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = ForwardError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ForwardError>>> {
        match &mut *self {
            Self::Held(body, sent) => {
                let block = body.blocks().get(*sent).cloned();
                *sent += 1;
                Poll::Ready(block.map(|block| Ok(Frame::data(block))))
            }
            Self::Forwarded(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(body, sent) => *sent >= body.blocks().len(),
            Self::Forwarded(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(body, sent) => {
                let left = body.blocks().iter().skip(*sent).map(Bytes::len);
                SizeHint::with_exact(left.sum::<usize>() as u64)
            }
            Self::Forwarded(body) => body.size_hint(),
        }
    }
}

/// Whether a body of this length is forwarded while it arrives instead of being held by a node that only forwards it.
#[must_use]
pub const fn is_large(length: usize) -> bool {
    length > SMALL_BODY_BYTES
}
