//! Bodies that are forwarded while they arrive.

use super::held_body::BodyCollector;
use crate::{state::timestamp::Timestamp, timers::TimerService, transport::held_bytes::HeldBytes};
use bytes::Bytes;
use flume::Receiver;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    any::Any,
    cell::RefCell,
    collections::VecDeque,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};
use thiserror::Error;
use tokio::task::{AbortHandle, spawn_local};

/// Why a body ended early while it was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ForwardError {
    /// The connection ended, or the body is malformed.
    #[error("connection ended within the body")]
    Disconnected,
    /// The body is larger than the limit.
    #[error("body too large")]
    TooLarge,
}

/// What a forwarded body uses until it ends.
#[derive(Default)]
struct InUse {
    /// Aborts the connection on which the body arrives.
    connection: Option<AbortHandle>,
    guards: Vec<Box<dyn Any>>,
}

/// A body that is sent on while it arrives. If it ends early, the connection on which it is sent is closed, so that it doesn't look
/// complete.
pub struct ForwardedBody {
    /// What was read before the body was forwarded.
    first: VecDeque<Bytes>,
    /// `None` once the body has ended.
    incoming: Option<Incoming>,
    /// Length of the whole body; `None` if it is not known.
    declared: Option<usize>,
    /// Bytes read, including `first`.
    read_bytes: usize,
    sent_bytes: usize,
    limit: usize,
    on_end: Option<Box<dyn FnOnce()>>,
    /// Dropped after the connection that `on_end` owns.
    in_use: Rc<RefCell<InUse>>,
    /// Counts `first` in the memory budget.
    held: Option<HeldBytes>,
    /// How long the rest is read and discarded if the body is dropped before its end.
    discard: Option<(TimerService, Duration)>,
}

impl ForwardedBody {
    /// Forwards `incoming`, up to `limit` bytes.
    #[must_use]
    pub fn new(incoming: Incoming, limit: usize) -> Self {
        Self {
            first: VecDeque::new(),
            declared: incoming
                .size_hint()
                .exact()
                .and_then(|length| usize::try_from(length).ok()),
            incoming: Some(incoming),
            read_bytes: 0,
            sent_bytes: 0,
            limit,
            on_end: None,
            in_use: Rc::default(),
            held: None,
            discard: None,
        }
    }

    /// Length in bytes, or what is known of it.
    #[must_use]
    pub fn known_length(&self) -> usize {
        self.read_bytes.max(self.declared.unwrap_or(0))
    }

    /// Keeps `guard` until the body has been sent or is dropped.
    pub fn keep(&self, guard: Box<dyn Any>) {
        self.in_use.borrow_mut().guards.push(guard);
    }

    /// Sends what a collector has read before the rest.
    #[must_use]
    pub fn after(mut self, collected: BodyCollector) -> Self {
        self.declared = collected.declared();
        self.read_bytes = collected.length();
        let (first, held) = collected.into_blocks();
        self.first = first;
        self.held = Some(held);
        self
    }

    /// Aborts `connection`, on which the body arrives, when `deadline` fires. Nobody asks for the body then if its receiver doesn't read.
    #[must_use]
    pub fn until(self, deadline: Receiver<Timestamp>, connection: AbortHandle) -> Self {
        self.in_use.borrow_mut().connection = Some(connection);
        let in_use: Weak<RefCell<InUse>> = Rc::downgrade(&self.in_use);
        spawn_local(async move {
            let _ = deadline.recv_async().await;
            let in_use = in_use.upgrade().map(|in_use| in_use.take());
            if let Some(connection) = in_use.and_then(|in_use| in_use.connection) {
                connection.abort();
            }
        });
        self
    }

    /// If the body is dropped before its end, discards the rest for `time`, so that the sender reads the answer.
    #[must_use]
    pub fn discard_unread(mut self, timers: &TimerService, time: Duration) -> Self {
        self.discard = Some((timers.clone(), time));
        self
    }

    /// Calls `on_end` once the whole body was read, and drops it if the body ends early.
    #[must_use]
    pub fn on_end(mut self, on_end: impl FnOnce() + 'static) -> Self {
        self.on_end = Some(Box::new(on_end));
        self
    }

    fn poll_incoming(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ForwardError>>> {
        loop {
            let Some(incoming) = &mut self.incoming else {
                return Poll::Ready(None);
            };
            let Some(frame) = ready!(Pin::new(incoming).poll_frame(cx)) else {
                self.finish();
                return Poll::Ready(None);
            };
            let Ok(frame) = frame else {
                return Poll::Ready(Some(Err(ForwardError::Disconnected)));
            };
            // Trailers concern one connection only.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.read_bytes += data.len();
            if self.read_bytes > self.limit {
                return Poll::Ready(Some(Err(ForwardError::TooLarge)));
            }
            self.sent_bytes += data.len();
            if self.declared == Some(self.sent_bytes) {
                // The server doesn't ask for more than the length that it has announced.
                self.finish();
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn finish(&mut self) {
        self.incoming = None;
        if let Some(on_end) = self.on_end.take() {
            on_end();
        }
        self.in_use.take();
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        if let (Some(incoming), Some((timers, time))) = (self.incoming.take(), self.discard.take())
        {
            spawn_local(discard(incoming, self.limit, timers.after(time)));
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = ForwardError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ForwardError>>> {
        let frame = if let Some(data) = self.first.pop_front() {
            self.sent_bytes += data.len();
            Some(Ok(Frame::data(data)))
        } else {
            self.held = None;
            ready!(self.poll_incoming(cx))
        };
        if matches!(frame, Some(Err(_))) {
            // Closes the connection on which the body arrives.
            self.on_end = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.declared == Some(self.sent_bytes)
    }

    fn size_hint(&self) -> SizeHint {
        match self.declared {
            Some(length) => SizeHint::with_exact((length - self.sent_bytes.min(length)) as u64),
            None => SizeHint::default(),
        }
    }
}

/// Discards the rest of a body, up to `limit` bytes, until it ends or `timeout` fires. If a connection is closed with bytes that were not
/// read, the other side may lose the answer that was sent on it.
pub async fn discard(incoming: Incoming, limit: usize, timeout: Receiver<Timestamp>) {
    let mut incoming = incoming;
    let discard = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = incoming.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > limit {
                return;
            }
        }
    };
    tokio::select! {
        () = discard => {}
        _ = timeout.recv_async() => {}
    }
}
