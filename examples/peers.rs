//! Measures one request between two nodes over loopback, with a handler that answers at once.
//!
//! `cargo run --release --example peers -- --json`

use bytes::Bytes;
use camphorturn::{
    constants::DEFAULT_BODY_LIMIT,
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    protocol::{
        attempt::{AttemptId, CallId},
        call::CallAttempt,
        gossip::Gossip,
        load_report::LoadReport,
        outcome::{AttemptResult, Outcome, Settlement, UpstreamAnswer},
    },
    state::member::{Incarnation, Member},
    timers::TimerService,
    transport::peers::{MeshKey, PeerConnections, PeerHandler, PeerIdentity, serve_peers},
};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};
use hdrhistogram::Histogram;
use http::{HeaderMap, Method, StatusCode};
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    fs, io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, runtime::Builder, task::LocalSet};
use uuid::Uuid;

const CALLS: u32 = 200_000;
const WARM_UP_CALLS: u32 = 5_000;
const IN_FLIGHT: [u32; 3] = [1, 50, 200];
const REQUEST_BYTES: usize = 200;
const ANSWER_BYTES: usize = 1_000;
/// The kernel counts processor time in hundredths of a second.
const MICROS_A_TICK: f64 = 10_000.0;
/// How often the receiving thread notes its processor time.
const TICKS_PERIOD: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct Figures {
    in_flight: u32,
    calls: u32,
    calls_per_second: f64,
    p50_micros: u64,
    p99_micros: u64,
    p999_micros: u64,
    sender_cpu_micros_per_call: f64,
    receiver_cpu_micros_per_call: f64,
}

struct Answering {
    answer: Bytes,
}

impl PeerHandler for Answering {
    fn execute(&self, _: &Member, _: CallAttempt) -> LocalBoxFuture<'static, AttemptResult> {
        let result = AttemptResult {
            outcome: Outcome::Answered(UpstreamAnswer {
                status: StatusCode::OK,
                headers: new_headers(),
                body: self.answer.clone(),
            }),
            load: LoadReport::default(),
        };
        std::future::ready(result).boxed_local()
    }

    fn execute_keyed(
        &self,
        from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        self.execute(from, attempt)
    }

    fn cancel(&self, _: AttemptId) -> LocalBoxFuture<'static, Settlement> {
        std::future::ready(Settlement::NeverRuns).boxed_local()
    }

    fn settle(&self, _: AttemptId) -> Settlement {
        Settlement::NeverRuns
    }

    fn probe(&self) -> LoadReport {
        LoadReport::default()
    }

    fn hand_over(&self, _: &Member, _: SlotHandover<HeldAnswer>) -> HandoverAnswer {
        HandoverAnswer::Stale
    }

    fn gossip(&self, _: &Member, gossip: Gossip) -> Gossip {
        gossip
    }
}

fn new_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("content-type", "application/json"),
        ("cache-control", "no-store"),
        ("x-request-id", "0190d2b2-6f0c-7cc0-8000-000000000000"),
    ] {
        headers.append(name, value.parse().expect("a header value"));
    }
    headers
}

fn new_attempt() -> CallAttempt {
    CallAttempt {
        id: AttemptId {
            call: CallId(Uuid::from_u128(1)),
            number: 0,
        },
        service: "frontdesk".into(),
        class: "lookup".into(),
        method: Method::GET,
        target: "/slots?practice=12&day=2026-05-04".into(),
        headers: new_headers(),
        body: Bytes::from(vec![b'x'; REQUEST_BYTES]),
        time_left: Duration::from_secs(5),
        key: None,
        depth: 0,
    }
}

fn new_member(name: &str, address: SocketAddr) -> Member {
    Member {
        name: name.into(),
        incarnation: Incarnation(1),
        service: "frontdesk".into(),
        region: "prairie-west".into(),
        availability_zone: "yxe-a".into(),
        peer_address: address,
        operator_address: address,
        slots: 6,
    }
}

fn new_connections(member: Member) -> PeerConnections {
    let identity = PeerIdentity {
        member,
        key: MeshKey::new("measurement"),
        body_limit: DEFAULT_BODY_LIMIT,
    };
    let handler = Rc::new(Answering {
        answer: Bytes::from(vec![b'y'; ANSWER_BYTES]),
    });
    PeerConnections::new(identity, handler, TimerService::system())
}

fn run_local<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Processor time of the calling thread, in ticks.
fn thread_ticks() -> u64 {
    let stat = fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
    // After the command, which is in parentheses, user time is the 12th field, system the 13th.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times.filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn start_receiver(ticks: Arc<AtomicU64>) -> Member {
    let (tx, rx) = flume::bounded(1);
    thread::spawn(move || {
        run_local(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let member = new_member("receiver", listener.local_addr().expect("an address"));
            tx.send(member.clone()).expect("the measuring thread waits");
            let count_ticks = async {
                loop {
                    ticks.store(thread_ticks(), Ordering::Relaxed);
                    tokio::time::sleep(TICKS_PERIOD).await;
                }
            };
            futures::join!(serve_peers(listener, new_connections(member)), count_ticks)
        });
    });
    rx.recv().expect("the receiving thread sends its address")
}

async fn send_calls(
    connections: &PeerConnections,
    to: &Member,
    in_flight: u32,
    calls: u32,
) -> Histogram<u64> {
    let attempt = new_attempt();
    let left = Cell::new(calls);
    let times = RefCell::new(Histogram::new(3).expect("3 digits are allowed"));
    let senders = (0..in_flight).map(|_| async {
        while left.get() > 0 {
            left.set(left.get() - 1);
            let started = Instant::now();
            let result = connections.execute(to, &attempt).await;
            result.expect("the receiver answers");
            let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            times.borrow_mut().record(micros).expect("auto-resizing");
        }
    });
    join_all(senders).await;
    times.into_inner()
}

async fn measure(
    connections: &PeerConnections,
    to: &Member,
    in_flight: u32,
    receiver_ticks: &AtomicU64,
) -> Figures {
    send_calls(connections, to, in_flight, WARM_UP_CALLS).await;
    tokio::time::sleep(2 * TICKS_PERIOD).await;
    let receiver_before = receiver_ticks.load(Ordering::Relaxed);
    let sender_before = thread_ticks();
    let started = Instant::now();
    let times = send_calls(connections, to, in_flight, CALLS).await;
    let elapsed = started.elapsed().as_secs_f64();
    let sender = thread_ticks() - sender_before;
    tokio::time::sleep(2 * TICKS_PERIOD).await;
    let receiver = receiver_ticks.load(Ordering::Relaxed) - receiver_before;
    Figures {
        in_flight,
        calls: CALLS,
        calls_per_second: f64::from(CALLS) / elapsed,
        p50_micros: times.value_at_quantile(0.5),
        p99_micros: times.value_at_quantile(0.99),
        p999_micros: times.value_at_quantile(0.999),
        sender_cpu_micros_per_call: micros_per_call(sender),
        receiver_cpu_micros_per_call: micros_per_call(receiver),
    }
}

fn micros_per_call(ticks: u64) -> f64 {
    let ticks = u32::try_from(ticks).unwrap_or(u32::MAX);
    f64::from(ticks) * MICROS_A_TICK / f64::from(CALLS)
}

fn print(figures: &Figures, json: bool) -> io::Result<()> {
    if json {
        println!("{}", serde_json::to_string(figures)?);
        return Ok(());
    }
    println!(
        "{:>3} in flight: {:>6.0} calls/s, p50 {} us, p99 {} us, p99.9 {} us, \
         CPU a call {:.1} us sender, {:.1} us receiver",
        figures.in_flight,
        figures.calls_per_second,
        figures.p50_micros,
        figures.p99_micros,
        figures.p999_micros,
        figures.sender_cpu_micros_per_call,
        figures.receiver_cpu_micros_per_call,
    );
    Ok(())
}

fn main() -> io::Result<()> {
    let json = std::env::args().any(|arg| arg == "--json");
    let ticks = Arc::new(AtomicU64::new(0));
    let receiver = start_receiver(Arc::clone(&ticks));
    run_local(async {
        let own = new_member("sender", receiver.operator_address);
        let connections = new_connections(own);
        for in_flight in IN_FLIGHT {
            let figures = measure(&connections, &receiver, in_flight, &ticks).await;
            print(&figures, json)?;
        }
        Ok(())
    })
}
