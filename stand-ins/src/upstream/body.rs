//! Answer bodies: whole, or ended half-way.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};
use thiserror::Error;

/// Ends a connection on purpose.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection is cut on purpose")]
pub(super) struct CutOnPurpose;

impl From<Infallible> for CutOnPurpose {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A body in one piece, or half of one followed by an error.
pub(super) struct AnswerBody {
    whole_length: u64,
    part: Option<Bytes>,
    cut: bool,
    /// Whether the connection had a chance to write the part before it is cut.
    flushed: bool,
}

impl AnswerBody {
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            whole_length: bytes.len() as u64,
            part: Some(bytes).filter(|part| !part.is_empty()),
            cut: false,
            flushed: false,
        }
    }

    /// Announces the length of `bytes` but ends after half of them.
    pub fn half(bytes: &Bytes) -> Self {
        Self {
            whole_length: bytes.len() as u64,
            part: Some(bytes.slice(..bytes.len() / 2)),
            cut: true,
            flushed: false,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOnPurpose;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOnPurpose>>> {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if self.cut && !self.flushed {
            // An error right after the part would end the connection before the part was written:
            // the client would see no answer at all. hyper writes what it has when a body pauses.
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(self.cut.then_some(Err(CutOnPurpose)))
    }

    fn is_end_stream(&self) -> bool {
        self.part.is_none() && !self.cut
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.whole_length)
    }
}
