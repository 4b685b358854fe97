//! A TCP stream that accepts a limited number of bytes for each answer.
//!
//! An upstream in trouble may send bytes without end: in a head, in interim answers, in chunk extensions, in trailers or after the
//! answer. Each of them has its own place in the protocol, but all arrive here.

use std::{
    cell::Cell,
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Number of bytes that a stream still accepts.
#[derive(Clone, Default)]
pub struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Sets the number of bytes that are accepted from now on.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Whether the stream has failed because more bytes came than were accepted.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }
}

/// A stream that fails once its allowance is exhausted.
pub struct MeteredStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl MeteredStream {
    /// Limits a stream.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        let left = self.allowance.0.get().saturating_sub(read);
        self.allowance.set(left);
        if left == 0 {
            return Poll::Ready(Err(io::Error::new(
                ErrorKind::InvalidData,
                "answer too long",
            )));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
