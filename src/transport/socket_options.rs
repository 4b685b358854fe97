//! Options of the sockets of connections.

use socket2::SockRef;
use tokio::net::TcpStream;

/// Size of the receive buffer of a connection in bytes. Linux doubles it for its own use.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that a connection can hold: its receive buffer and the read buffer of its protocol.
pub const CONNECTION_BYTES: usize = 3 * RECEIVE_BUFFER_BYTES;

/// Limits the bytes that the other side can send without being read. Without a limit, the receive buffer of a fast connection
/// grows to several megabytes.
pub fn limit_receive_buffer(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        tracing::debug!(%error, "receive buffer not limited");
    }
}
