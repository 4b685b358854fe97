//! HTTP/1.1 over plain sockets, without a library: stand-ins also send malformed answers.

use bytes::Bytes;
use std::{fmt::Write, io};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A request with its complete body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlainRequest {
    /// Method, as in the request line.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Header names in lower case and their values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Body; empty without a `content-length`.
    pub body: Bytes,
}

impl PlainRequest {
    /// The first value of a header. `name` must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The value of a query parameter, not percent-decoded.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// Reads the next request of a connection; none if the connection ended before its head was complete.
///
/// # Errors
/// If the connection fails or ends within a body, or the request is malformed.
pub async fn read_request(stream: &mut TcpStream) -> io::Result<Option<PlainRequest>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
        if head.len() > MAX_HEAD_BYTES {
            return Err(io::Error::other("head too large"));
        }
    }
    let text = String::from_utf8(head).map_err(io::Error::other)?;
    let mut request = parse_head(&text).ok_or_else(|| io::Error::other("malformed head"))?;
    let length = request.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(io::Error::other)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    request.body = Bytes::from(body);
    Ok(Some(request))
}

fn parse_head(text: &str) -> Option<PlainRequest> {
    let mut lines = text.split("\r\n");
    let mut start = lines.next()?.split(' ');
    let mut request = PlainRequest {
        method: start.next()?.to_owned(),
        target: start.next()?.to_owned(),
        ..PlainRequest::default()
    };
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':')?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        request.headers.push(header);
    }
    Some(request)
}

/// Builds an answer with a `content-length`.
#[must_use]
pub fn build_answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        // Writing to a `String` never fails.
        let _ = write!(answer, "{name}: {value}\r\n");
    }
    answer.push_str("\r\n");
    let mut bytes = answer.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes bytes without changes.
///
/// # Errors
/// If the connection fails.
pub async fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}
