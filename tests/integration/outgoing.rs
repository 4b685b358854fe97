//! Tests of outgoing connections: malformed and truncated answers, and the reuse of idle connections.

use bolero::check;
use bytes::Bytes;
use camphorturn::{
    options::proxy_settings::DEFAULT_MEMORY_BYTES,
    timers::TimerService,
    transport::{
        held_bytes::SharedBudget,
        message_body::MessageBody,
        outgoing::{ConnectionReuse, OutgoingConnections, SendOptions},
    },
};
use http::Request;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Builder,
    task::{LocalSet, spawn_local, yield_now},
};

fn build_options(reuse: ConnectionReuse) -> SendOptions {
    SendOptions {
        reuse,
        connect_timeout: Duration::from_secs(20),
        idle_limit: Duration::from_secs(1),
        max_body_bytes: 64 * 1024,
        answer_timeouts: None,
        read_timeout: None,
    }
}

/// Starts a server that accepts one connection, reads once, sends `bytes` and closes the connection.
async fn serve_once(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    spawn_local(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1_024];
            let read = stream.read(&mut buffer).await.unwrap_or(0);
            if read > 0 {
                // Fails if the client has closed the connection already.
                let _ = stream.write_all(&bytes).await;
            }
        }
    });
    address
}

/// Sends a request to a server that answers with `bytes`, and returns the answer's body; `None` if the request failed.
fn send_and_read(bytes: Vec<u8>) -> Option<Bytes> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let timers = TimerService::system();
        let outgoing: Rc<OutgoingConnections> = OutgoingConnections::new(
            timers.clone(),
            SharedBudget::for_memory(DEFAULT_MEMORY_BYTES),
        );
        let address = serve_once(bytes).await;
        let options = build_options(ConnectionReuse::Never);
        let request = Request::new(MessageBody::default());
        let sent = outgoing.send(address, request, options, |_| true).await;
        timers.stop();
        sent.ok().map(http::Response::into_body)
    })
}

#[test]
fn send_any_answer_ends() {
    check!()
        .with_iterations(300)
        .for_each(|bytes: &[u8]| drop(send_and_read(bytes.to_vec())));
}

#[test]
fn send_truncated_answer_fails() {
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole body".to_vec();
    assert_eq!(
        send_and_read(whole.clone()).as_deref(),
        Some(&b"whole body"[..])
    );
    for end in 0..whole.len() {
        assert_eq!(
            send_and_read(whole[..end].to_vec()),
            None,
            "truncated at {end}"
        );
    }
}

/// Starts a server that answers every request, and counts its connections in `connections`.
async fn serve_and_count(connections: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.set(connections.get() + 1);
            spawn_local(async move {
                let mut buffer = [0; 1_024];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against two failures: a request that must not run twice is sent on a connection that the other side may have
/// dropped while it was idle, or a connection is opened although one was used just before.
#[test]
fn send_reuses_recently_used_connection() {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let timers = TimerService::fake();
        let outgoing = OutgoingConnections::new(
            timers.clone(),
            SharedBudget::for_memory(DEFAULT_MEMORY_BYTES),
        );
        let connections = Rc::new(Cell::new(0));
        let address = serve_and_count(Rc::clone(&connections)).await;
        let non_idempotent = ConnectionReuse::for_request(false);
        for (pause, reuse, opened) in [
            (0, non_idempotent, 1),
            (100, non_idempotent, 1),
            (200, non_idempotent, 2),
            (900, ConnectionReuse::Any, 2),
            (0, ConnectionReuse::Never, 3),
        ] {
            timers.advance(Duration::from_millis(pause));
            let options = build_options(reuse);
            let request = Request::new(MessageBody::default());
            let sent = outgoing.send(address, request, options, |_| true).await;
            assert!(sent.is_ok(), "after {pause} ms");
            // The connection returns to the pool after other tasks have run.
            for _ in 0..20 {
                yield_now().await;
            }
            assert_eq!(connections.get(), opened, "after {pause} ms");
        }
    });
}
