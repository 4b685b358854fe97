//! Answers without end.

use crate::http::write_all;
use tokio::net::TcpStream;

/// Bytes after which a flood ends, so that a test of a peer without limits ends too.
const MAX_FLOOD_BYTES: usize = 400_000_000;
/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 * 1024;

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodShape {
    /// Line ends before the status line.
    EmptyLines,
    /// The status line.
    StatusLine,
    /// Bytes that belong to no protocol.
    Noise,
    /// Interim answers (status 100).
    InterimAnswers,
    /// Interim answers with headers (status 103).
    EarlyHints,
    /// One header.
    HeaderLine,
    /// Headers of the head.
    Headers,
    /// A body that ends with its connection.
    UntilClose,
    /// A body with a length that it doesn't reach.
    Length,
    /// Chunks of 4 KiB.
    Chunks,
    /// Chunks of one byte.
    TinyChunks,
    /// The size of a chunk.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// Bytes after a complete answer.
    AfterAnswer,
}

impl FloodShape {
    /// All shapes.
    pub const ALL: [Self; 15] = [
        Self::EmptyLines,
        Self::StatusLine,
        Self::Noise,
        Self::InterimAnswers,
        Self::EarlyHints,
        Self::HeaderLine,
        Self::Headers,
        Self::UntilClose,
        Self::Length,
        Self::Chunks,
        Self::TinyChunks,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::AfterAnswer,
    ];

    /// What precedes the endless part, and what it repeats. `head` is a head without its last line end.
    fn build(self, head: &str) -> (String, String) {
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let repeat = |text: &str| text.to_owned();
        match self {
            Self::EmptyLines => (String::new(), repeat("\r\n")),
            Self::StatusLine => (repeat("HTTP/1.1 200 O"), repeat("K")),
            Self::Noise => (String::new(), repeat("\u{1}noise")),
            Self::InterimAnswers => (String::new(), repeat("HTTP/1.1 100 Continue\r\n\r\n")),
            Self::EarlyHints => (
                String::new(),
                repeat("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
            ),
            Self::HeaderLine => (format!("{head}x-long: "), repeat("a")),
            Self::Headers => (head.to_owned(), repeat("x-more: 1\r\n")),
            Self::UntilClose => (format!("{head}connection: close\r\n\r\n"), repeat("body")),
            Self::Length => (
                format!("{head}content-length: 99999999999\r\n\r\n"),
                repeat("body"),
            ),
            Self::Chunks => (chunked, format!("1000\r\n{}\r\n", "c".repeat(4_096))),
            Self::TinyChunks => (chunked, repeat("1\r\nc\r\n")),
            Self::ChunkSize => (chunked, repeat("0")),
            Self::ChunkExtension => (format!("{chunked}1;a="), repeat("e")),
            Self::Trailers => (format!("{chunked}1\r\nc\r\n0\r\n"), repeat("x-more: 1\r\n")),
            Self::AfterAnswer => (format!("{head}content-length: 0\r\n\r\n"), repeat("more")),
        }
    }
}

/// Writes an answer without end, until the peer closes the connection or much was written.
pub async fn flood(stream: &mut TcpStream, shape: FloodShape, head: &str) {
    let (first, unit) = shape.build(head);
    if write_all(stream, first.as_bytes()).await.is_err() {
        return;
    }
    let block = unit.repeat(WRITE_BYTES.div_ceil(unit.len()));
    for _ in 0..MAX_FLOOD_BYTES / block.len() {
        if write_all(stream, block.as_bytes()).await.is_err() {
            return;
        }
    }
}
