//! One outgoing connection, and the options of its socket.

use super::{MAX_HEAD_BYTES, SendError};
use crate::transport::{
    held_bytes::{HeldBytes, SharedBudget},
    message_body::MessageBody,
    metered_stream::{Allowance, MeteredStream},
    socket_options::{CONNECTION_BYTES, limit_receive_buffer},
};
use futures::FutureExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
};

/// Idle time after which TCP sends a keepalive probe, and the time between two probes. A VM that loses power doesn't
/// close its connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may stay unacknowledged, or unread in a full receive buffer, before a connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest read buffer of a connection, in bytes; also the largest head of an answer. Larger than the largest head that a node passes
/// on.
const MAX_BUFFER_BYTES: usize = 40 * 1024;
/// Largest number of headers of an answer. Larger than the largest number that a node passes on.
const MAX_HEADERS: usize = 1_024;

/// A connection to an upstream, another node or the store.
pub struct Connection {
    /// Sends requests on the connection.
    pub tx: SendRequest<MessageBody>,
    /// Limits the bytes of each answer.
    pub allowance: Allowance,
    /// Counts the buffers of the connection in the memory budget; `None` while it is idle. A byte that arrives then ends it.
    pub buffers: Option<HeldBytes>,
    /// Whether the connection may be used for further requests.
    pub is_reusable: bool,
    /// Aborts the task that does the connection's reads and writes.
    pub driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection.
///
/// # Errors
/// [`SendError::NotSent`] if it can't be opened.
pub async fn open_connection(
    address: SocketAddr,
    read_timeout: Option<Duration>,
    budget: &SharedBudget,
) -> Result<Connection, SendError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| SendError::NotSent)?;
    set_socket_options(&stream, read_timeout.unwrap_or(UNACKNOWLEDGED_TIMEOUT))
        .map_err(|_| SendError::NotSent)?;
    let allowance = Allowance::default();
    allowance.set(MAX_HEAD_BYTES);
    let stream = MeteredStream::new(stream, allowance.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream));
    let (tx, driver) = handshake.await.map_err(|_| SendError::NotSent)?;
    let driver = spawn_local(driver.map(|ended| {
        if let Err(error) = ended {
            tracing::trace!(%error, "outgoing connection ended");
        }
    }));
    Ok(Connection {
        tx,
        allowance,
        buffers: Some(budget.reserve(CONNECTION_BYTES)),
        is_reusable: read_timeout.is_none(),
        driver: driver.abort_handle(),
    })
}

fn set_socket_options(stream: &TcpStream, read_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    limit_receive_buffer(stream);
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(read_timeout))
}
