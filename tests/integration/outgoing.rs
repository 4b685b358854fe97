//! Answers that are no answers: whatever an upstream sends, a request ends, and only a whole answer counts.

use bolero::check;
use bytes::Bytes;
use camphorturn::{
    timers::TimerService,
    transport::outgoing::{OutgoingConnections, SendRules},
};
use http::Request;
use http_body_util::Full;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime::Builder,
    task::{LocalSet, spawn_local},
};

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
        let rules = SendRules {
            fresh: true,
            connect_timeout: Duration::from_secs(20),
            idle_limit: Duration::from_secs(1),
            body_limit: 64 * 1024,
            patience: None,
        };
        let request = Request::new(Full::new(Bytes::new()));
        let sent = outgoing.send(address, request, rules, |_| true).await;
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
