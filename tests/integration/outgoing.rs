//! Answers that are no answers: whatever an upstream sends, a request ends, and only a whole answer counts.

use bolero::check;
use bytes::Bytes;
use camphorturn::{
    timers::TimerService,
    transport::outgoing::{ConnectionReuse, OutgoingConnections, SendOptions},
};
use http::Request;
use http_body_util::Full;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Builder,
    task::{LocalSet, spawn_local, yield_now},
};

fn options(reuse: ConnectionReuse) -> SendOptions {
    SendOptions {
        reuse,
        connect_timeout: Duration::from_secs(20),
        idle_limit: Duration::from_secs(1),
        body_limit: 64 * 1024,
        answer_timeouts: None,
    }
}

/// Reads whatever comes first, sends these bytes and closes.
async fn serve_once(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    spawn_local(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let mut question = [0; 1_024];
            let read = stream.read(&mut question).await.unwrap_or(0);
            if read > 0 {
                // The other side may have closed already.
                let _ = stream.write_all(&bytes).await;
            }
        }
    });
    address
}

/// The body of the answer, if the bytes were taken as one.
fn send_and_read(bytes: Vec<u8>) -> Option<Bytes> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let timers = TimerService::system();
        let outgoing: Rc<OutgoingConnections> = OutgoingConnections::new(timers.clone());
        let address = serve_once(bytes).await;
        let options = options(ConnectionReuse::Never);
        let request = Request::new(Full::new(Bytes::new()));
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
fn send_cut_answer_is_none() {
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole body".to_vec();
    assert_eq!(
        send_and_read(whole.clone()).as_deref(),
        Some(&b"whole body"[..])
    );
    for end in 0..whole.len() {
        assert_eq!(send_and_read(whole[..end].to_vec()), None, "cut at {end}");
    }
}

/// Answers every request, and counts the connections.
async fn serve_and_count(connections: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.set(connections.get() + 1);
            spawn_local(async move {
                let mut question = [0; 1_024];
                while stream.read(&mut question).await.is_ok_and(|read| read > 0) {
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

/// Failure: what must run once is sent on a connection that the other side may have dropped meanwhile, or opens a connection although
/// one was used a moment ago.
#[test]
fn send_reuses_what_was_used_a_moment_ago() {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let timers = TimerService::fake();
        let outgoing = OutgoingConnections::new(timers.clone());
        let connections = Rc::new(Cell::new(0));
        let address = serve_and_count(Rc::clone(&connections)).await;
        let once = ConnectionReuse::for_request(false);
        for (pause, reuse, opened) in [
            (0, once, 1),
            (100, once, 1),
            (200, once, 2),
            (900, ConnectionReuse::Any, 2),
            (0, ConnectionReuse::Never, 3),
        ] {
            timers.advance(Duration::from_millis(pause));
            let options = options(reuse);
            let request = Request::new(Full::new(Bytes::new()));
            let sent = outgoing.send(address, request, options, |_| true).await;
            assert!(sent.is_ok(), "after {pause} ms");
            // The connection is kept once the other tasks have had their turns.
            for _ in 0..20 {
                yield_now().await;
            }
            assert_eq!(connections.get(), opened, "after {pause} ms");
        }
    });
}
