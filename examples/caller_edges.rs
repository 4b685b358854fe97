//! Compares two servers for the edge towards callers: rouille, and hyper on the event loop.
//!
//! Both answer the same small reply. Prints the times of calls at 1, 50 and 200 kept connections,
//! whether a caller that goes away is noticed, and whether one that never ends its head is cut.

use bytes::Bytes;
use camphorturn::{
    local_mesh::client::{CallerCall, CallerClient},
    timers::TimerService,
    transport::callers::{
        CallerHandler, CallerLimits, CallerReply, CallerRequest, reply_json, serve_callers,
    },
};
use futures::future::LocalBoxFuture;
use hdrhistogram::Histogram;
use http::{HeaderMap, Method, StatusCode};
use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::task::{LocalSet, spawn_local};

const CONNECTIONS: [usize; 3] = [1, 50, 200];
const RATE: f64 = 1_000.0;
const SPAN: Duration = Duration::from_secs(3);
/// A head that is not complete after this long should be cut off.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the probes for a disconnect and a slow head wait.
const PATIENCE: Duration = Duration::from_secs(3);

fn main() {
    for (name, (address, dropped)) in [("rouille", start_rouille()), ("hyper", start_hyper())] {
        for connections in CONNECTIONS {
            let times = measure(address, connections);
            println!(
                "{name:<8} {connections:>3} connections  {:>6} calls  p50 {:>5} p99 {:>5} p99.9 {:>6} us",
                times.len(),
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
                times.value_at_quantile(0.999)
            );
        }
        println!(
            "{name:<8} a caller that goes away is noticed: {}",
            is_noticed(address, &dropped)
        );
        println!(
            "{name:<8} a head that never ends is cut off: {}",
            is_cut(address)
        );
    }
}

type Started = (SocketAddr, Arc<AtomicBool>);

fn start_rouille() -> Started {
    let server = rouille::Server::new("127.0.0.1:0", |req| {
        if req.url() == "/wait" {
            thread::sleep(PATIENCE);
        }
        rouille::Response::json(&"ok")
    });
    let server = server.expect("a loopback port is free");
    let address = server.server_addr();
    thread::spawn(move || server.run());
    // Its handlers have no way to learn that the caller has gone.
    (address, Arc::default())
}

struct Echo {
    timers: TimerService,
    dropped: Arc<AtomicBool>,
}

struct NoteDrop(Arc<AtomicBool>);

impl Drop for NoteDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

impl CallerHandler for Echo {
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        let waits = req.uri.path() == "/wait";
        let wait = self.timers.after(PATIENCE * 10);
        let note = waits.then(|| NoteDrop(Arc::clone(&self.dropped)));
        Box::pin(async move {
            if waits {
                let _ = wait.recv_async().await;
            }
            drop(note);
            reply_json(StatusCode::OK, "ok")
        })
    }

    fn is_stopping(&self) -> bool {
        false
    }
}

fn start_hyper() -> Started {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener
        .set_nonblocking(true)
        .expect("sockets can be non-blocking");
    let address = listener.local_addr().expect("it is bound");
    let dropped = Arc::new(AtomicBool::new(false));
    let noted = Arc::clone(&dropped);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.expect("the system gives an event queue");
        LocalSet::new().block_on(&runtime, async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("it is non-blocking");
            let timers = TimerService::system();
            let limits = CallerLimits {
                connections: 1_000,
                head_timeout: HEAD_TIMEOUT,
                body_timeout: HEAD_TIMEOUT,
                head: 32 * 1024,
                body: 1024 * 1024,
            };
            let echo = Echo {
                timers: timers.clone(),
                dropped: noted,
            };
            let _ = serve_callers(listener, limits, timers, Rc::new(echo)).await;
        });
    });
    (address, dropped)
}

fn measure(address: SocketAddr, connections: usize) -> Histogram<u64> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the system gives an event queue");
    let times = Rc::new(RefCell::new(
        Histogram::new(3).expect("3 digits are allowed"),
    ));
    LocalSet::new().block_on(&runtime, async {
        let gap =
            Duration::from_secs_f64(f64::from(u32::try_from(connections).unwrap_or(1)) / RATE);
        let began = Instant::now();
        let workers = (0..connections).map(|worker| {
            let times = Rc::clone(&times);
            let first = began + gap.mul_f64(f64::from(u32::try_from(worker).unwrap_or(0)) / 200.0);
            spawn_local(async move { drive(address, first, began + SPAN, gap, &times).await })
        });
        for worker in workers.collect::<Vec<_>>() {
            let _ = worker.await;
        }
    });
    times.borrow().clone()
}

async fn drive(
    address: SocketAddr,
    first: Instant,
    end: Instant,
    gap: Duration,
    times: &RefCell<Histogram<u64>>,
) {
    let client = CallerClient::new(address);
    let _ = client.call(build_call()).await;
    let mut due = first;
    while due < end {
        tokio::time::sleep_until(due.into()).await;
        let sent = Instant::now();
        if client.call(build_call()).await.is_some() {
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = times.borrow_mut().record(micros);
        }
        due += gap;
    }
}

fn build_call() -> CallerCall {
    CallerCall {
        method: Method::GET,
        target: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn is_noticed(address: SocketAddr, dropped: &AtomicBool) -> bool {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .write_all(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("it takes requests");
    thread::sleep(Duration::from_millis(200));
    drop(stream);
    thread::sleep(Duration::from_millis(500));
    dropped.load(Ordering::SeqCst)
}

fn is_cut(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost:")
        .expect("it takes requests");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("the time is not zero");
    let mut rest = Vec::new();
    // Either an answer and the end, or just the end; a timeout means that the server still waits.
    stream.read_to_end(&mut rest).is_ok()
}
