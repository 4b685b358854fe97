//! Requests read from, and bytes written to, a plain socket: stand-ins also send what no library
//! would.

use bytes::Bytes;
use std::{fmt::Write, io};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Largest head, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// A request with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlainRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl PlainRequest {
    /// The first value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The value of a parameter of the query.
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

/// Reads the next request of a connection; none if it ended before.
///
/// # Errors
/// If the connection breaks within a request, or the request is malformed.
pub async fn read_request(stream: &mut TcpStream) -> io::Result<Option<PlainRequest>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
        if head.len() > HEAD_LIMIT {
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

/// An answer with its length.
#[must_use]
pub fn build_answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        // Writing to a string never fails.
        let _ = write!(answer, "{name}: {value}\r\n");
    }
    answer.push_str("\r\n");
    let mut bytes = answer.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes bytes as they are.
///
/// # Errors
/// If the connection breaks.
pub async fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}
