//! One connection to an upstream.

use crate::{
    constants::{UPSTREAM_SHED_HEADER, UPSTREAM_SHED_VALUE},
    protocol::{
        headers::{clean_answer_headers, has_conflicting_lengths},
        outcome::UpstreamAnswer,
    },
    transport::upstreams::{UpstreamError, UpstreamRequest},
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::HOST, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::{net::TcpStream, task::AbortHandle};

/// An open connection. Dropping it closes the socket at once, whatever is still under way.
pub struct UpstreamConnection {
    tx: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    host: HeaderValue,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// What became of a request on one connection.
pub enum Exchange {
    /// A whole answer; the connection may be used again.
    Whole(UpstreamAnswer),
    /// A whole answer that says that the request was refused before it ran.
    Shed,
    /// No byte was sent; the request may go to another connection.
    NotSent,
    /// It failed after the request was handed over.
    Failed(UpstreamError),
}

impl UpstreamConnection {
    /// Connects, or tells that nothing was sent.
    pub async fn open(address: SocketAddr, head_limit: usize) -> Result<Self, UpstreamError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| UpstreamError::NotSent)?;
        stream
            .set_nodelay(true)
            .map_err(|_| UpstreamError::NotSent)?;
        let handshake = http1::Builder::new()
            .max_buf_size(head_limit)
            .handshake(TokioIo::new(stream));
        let (tx, driver) = handshake.await.map_err(|_| UpstreamError::NotSent)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                tracing::trace!(%error, "upstream connection ended");
            }
        });
        let host =
            HeaderValue::from_str(&address.to_string()).map_err(|_| UpstreamError::NotSent)?;
        Ok(Self {
            tx,
            driver: driver.abort_handle(),
            address,
            host,
        })
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the upstream has closed it, as far as is known.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Whether it can take the next request without waiting.
    pub async fn becomes_ready(&mut self) -> bool {
        self.tx.ready().await.is_ok()
    }

    /// Sends a request and reads its whole answer.
    pub async fn exchange(&mut self, req: UpstreamRequest, body_limit: usize) -> Exchange {
        let Some(req) = self.build_request(req) else {
            return Exchange::Failed(UpstreamError::NotSent);
        };
        let response = match self.tx.try_send_request(req).await {
            Ok(response) => response,
            // The request comes back only if no byte of it was written.
            Err(mut error) => match error.take_message() {
                Some(_) => return Exchange::NotSent,
                None if error.error().is_parse() => {
                    return Exchange::Failed(UpstreamError::BadAnswer);
                }
                None => return Exchange::Failed(UpstreamError::Cut),
            },
        };
        read_answer(response, body_limit).await
    }

    fn build_request(&self, req: UpstreamRequest) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(req.body));
        *request.method_mut() = req.method;
        *request.uri_mut() = req.target.parse().ok()?;
        *request.headers_mut() = req.headers;
        request.headers_mut().insert(HOST, self.host.clone());
        Some(request)
    }
}

async fn read_answer(response: Response<Incoming>, body_limit: usize) -> Exchange {
    let (parts, incoming) = response.into_parts();
    if has_conflicting_lengths(&parts.headers) {
        return Exchange::Failed(UpstreamError::BadAnswer);
    }
    let Ok(body) = Limited::new(incoming, body_limit).collect().await else {
        return Exchange::Failed(UpstreamError::BadAnswer);
    };
    if is_shed(&parts) {
        return Exchange::Shed;
    }
    let mut headers = parts.headers;
    clean_answer_headers(&mut headers);
    Exchange::Whole(UpstreamAnswer {
        status: parts.status,
        headers,
        body: body.to_bytes(),
    })
}

fn is_shed(parts: &response::Parts) -> bool {
    parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parts
            .headers
            .get(UPSTREAM_SHED_HEADER)
            .is_some_and(|value| value == UPSTREAM_SHED_VALUE)
}
