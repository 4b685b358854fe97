//! Bodies of requests and answers. Most are held as a whole; large ones are forwarded while they arrive.

use crate::{
    coordination::memory_budget::SMALL_BODY_BYTES,
    state::timestamp::Timestamp,
    timers::TimerService,
    transport::held_bytes::{HeldBytes, SharedBudget},
};
use bytes::{Bytes, BytesMut};
use flume::Receiver;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    any::Any,
    cell::RefCell,
    collections::VecDeque,
    fmt,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};
use thiserror::Error;
use tokio::task::{AbortHandle, spawn_local};

/// Size in bytes of the blocks that hold a body. Blocks of one size leave no gaps that are too small for the next body.
const BLOCK_BYTES: usize = 64 * 1024;

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

/// A complete body. Clones share the bytes.
#[derive(Clone, Default)]
pub struct HeldBody {
    blocks: Rc<[Bytes]>,
    length: usize,
    /// Counts the bytes in the memory budget.
    _held: Option<Rc<HeldBytes>>,
}

impl HeldBody {
    /// The blocks of the body.
    #[must_use]
    pub fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }

    /// The body in one piece. Copies it if it has several blocks.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &*self.blocks {
            [] => Bytes::new(),
            [block] => block.clone(),
            blocks => blocks.concat().into(),
        }
    }
}

/// Collects a body in blocks, within the memory budget.
pub struct BodyCollector {
    blocks: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    held: HeldBytes,
    declared: Option<usize>,
}

impl BodyCollector {
    /// Begins to collect a body. `declared` is its length if that is known.
    ///
    /// # Errors
    /// [`ReadError::MemoryFull`] if it doesn't fit.
    pub fn begin(budget: &SharedBudget, declared: Option<usize>) -> Result<Self, ReadError> {
        let held = budget.try_hold_request(declared);
        Ok(Self {
            blocks: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            held: held.ok_or(ReadError::MemoryFull)?,
            declared,
        })
    }

    /// Begins to collect an answer, which is forwarded if it doesn't fit.
    #[must_use]
    pub fn begin_answer(budget: &SharedBudget, declared: Option<usize>) -> Self {
        Self {
            blocks: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            held: budget.hold_answer(),
            declared,
        }
    }

    /// Number of bytes collected.
    #[must_use]
    pub const fn length(&self) -> usize {
        self.length
    }

    /// Reserves the memory for `count` more bytes.
    ///
    /// # Errors
    /// [`ReadError::MemoryFull`] if they don't fit.
    pub fn reserve(&mut self, count: usize) -> Result<(), ReadError> {
        if self.held.try_cover(self.length + count) {
            Ok(())
        } else {
            Err(ReadError::MemoryFull)
        }
    }

    /// Adds bytes for which memory is reserved. They are copied: a frame may keep the whole buffer of its connection in memory.
    pub fn push(&mut self, mut data: Bytes) {
        self.length += data.len();
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_block(data.len());
            }
            let room = self.last.capacity() - self.last.len();
            let part = data.split_to(room.min(data.len()));
            self.last.extend_from_slice(&part);
        }
    }

    fn begin_block(&mut self, wanted: usize) {
        let full = std::mem::take(&mut self.last);
        if !full.is_empty() {
            self.blocks.push(full.freeze());
        }
        let collected: usize = self.blocks.iter().map(Bytes::len).sum();
        let missing = self
            .declared
            .map_or(wanted, |length| length.saturating_sub(collected));
        self.last = BytesMut::with_capacity(missing.clamp(1, BLOCK_BYTES));
    }

    /// The body as collected.
    #[must_use]
    pub fn finish(mut self) -> HeldBody {
        if !self.last.is_empty() {
            self.blocks.push(self.last.freeze());
        }
        HeldBody {
            blocks: self.blocks.into(),
            length: self.length,
            _held: (self.length > 0).then(|| Rc::new(self.held)),
        }
    }
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
            Self::Held(body, _) => body.length,
            Self::Forwarded(body) => body.read_bytes.max(body.declared.unwrap_or(0)),
        }
    }

    /// Keeps `guard` until the body has been sent or is dropped, if it is still arriving.
    pub fn keep(&mut self, guard: impl Any) {
        if let Self::Forwarded(body) = self {
            let mut in_use = body.in_use.borrow_mut();
            in_use.guards.push(Box::new(guard));
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
        let length = bytes.len();
        let blocks = if bytes.is_empty() {
            vec![]
        } else {
            vec![bytes]
        };
        Self::from(HeldBody {
            blocks: blocks.into(),
            length,
            _held: None,
        })
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
                let block = body.blocks.get(*sent).cloned();
                *sent += 1;
                Poll::Ready(block.map(|block| Ok(Frame::data(block))))
            }
            Self::Forwarded(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(body, sent) => *sent >= body.blocks.len(),
            Self::Forwarded(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(body, sent) => {
                let left = body.blocks.iter().skip(*sent).map(Bytes::len);
                SizeHint::with_exact(left.sum::<usize>() as u64)
            }
            Self::Forwarded(body) => body.size_hint(),
        }
    }
}

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

    /// Sends what a collector has read before the rest.
    #[must_use]
    pub fn after(mut self, collected: BodyCollector) -> Self {
        self.declared = collected.declared;
        self.read_bytes = collected.length;
        self.first = collected.blocks.into();
        if !collected.last.is_empty() {
            self.first.push_back(collected.last.freeze());
        }
        self.held = Some(collected.held);
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

/// Whether a body of this length is forwarded while it arrives instead of being held by a node that only forwards it.
#[must_use]
pub const fn is_large(length: usize) -> bool {
    length > SMALL_BODY_BYTES
}
