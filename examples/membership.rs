//! Measures what the membership costs a node, and how fast news spreads, for meshes of several
//! sizes in one process on a fake clock.
//!
//! `cargo run --release --example membership -- --json`

#[path = "../tests/integration/membership/network.rs"]
#[allow(dead_code, reason = "the tests use the rest of it")]
mod network;

use crate::network::{Network, new_log};
use camphorturn::{
    constants::DEFAULT_BODY_LIMIT,
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        gossip::Gossip,
        load_report::LoadReport,
        outcome::{AttemptResult, Outcome, Settlement, UnknownCause},
    },
    state::{member::Member, membership::MemberState},
    timers::TimerService,
    transport::peers::{
        MeshKey, PeerConnections, PeerHandler, PeerIdentity, codec::encode_gossip, serve_peers,
    },
};
use futures::{FutureExt, future::LocalBoxFuture};
use serde::Serialize;
use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::{LocalSet, spawn_local},
};

const SIZES: [usize; 4] = [10, 50, 100, 200];
/// Time over which a mesh without changes is observed.
const QUIET_TIME: Duration = Duration::from_mins(5);
/// Time over which a mesh is observed in which a node restarts every 10 s.
const RESTARTS: usize = 12;
const RESTART_PERIOD: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_mins(2);

#[derive(Serialize)]
struct Figures {
    nodes: usize,
    /// From a start of all nodes at once, with the log up, until all know that all serve.
    common_start_seconds: f64,
    /// Sent and received by one node, RPC framing included, TCP and IP headers not.
    quiet_bytes_per_second: f64,
    quiet_exchanges_per_second: f64,
    /// The same while one node of the mesh restarts every 10 s.
    restarts_bytes_per_second: f64,
    leave_known_to_all_seconds: Option<f64>,
    log_offset_known_to_all_seconds: Option<f64>,
    crash_known_to_all_seconds: Option<f64>,
    cpu_micros_per_node_and_second: f64,
}

/// Framing of one exchange by the RPC layer, measured.
#[derive(Serialize)]
struct Framing {
    bytes_per_exchange: u64,
}

/// Gives a gossip back as it came.
struct Returning;

impl PeerHandler for Returning {
    fn execute(&self, _: &Member, _: CallAttempt) -> LocalBoxFuture<'static, AttemptResult> {
        let result = AttemptResult {
            outcome: Outcome::Unknown(UnknownCause::NodeLost),
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
        std::future::ready(Settlement::Unknown).boxed_local()
    }

    fn settle(&self, _: AttemptId) -> Settlement {
        Settlement::Unknown
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

async fn listen() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}

fn new_connections(member: Member) -> PeerConnections {
    let identity = PeerIdentity {
        member,
        key: MeshKey::new("measurement"),
        body_limit: DEFAULT_BODY_LIMIT,
    };
    PeerConnections::new(identity, Rc::new(Returning), TimerService::system())
}

/// Bytes on one connection, both ways, that carries the hello and `count` exchanges.
async fn count_connection_bytes(count: u32) -> io::Result<u64> {
    let (listener, counting) = (listen().await?, listen().await?);
    let target = listener.local_addr()?;
    let mut member = network::new_member(1, 1);
    member.peer_address = counting.local_addr()?;
    let server = new_connections(member.clone());
    let serving = spawn_local(serve_peers(listener, server.clone()));
    let bytes = spawn_local(async move {
        let (mut client, _) = counting.accept().await?;
        let mut server = TcpStream::connect(target).await?;
        tokio::io::copy_bidirectional(&mut client, &mut server).await
    });
    let client = new_connections(network::new_member(2, 1));
    for _ in 0..count {
        let answer = client.gossip(&member, &Gossip::default()).await;
        answer.map_err(io::Error::other)?;
    }
    client.close_all();
    server.close_all();
    serving.abort();
    let (there, back) = bytes.await??;
    Ok(there + back)
}

async fn measure_framing() -> io::Result<Framing> {
    let few = count_connection_bytes(100).await?;
    let many = count_connection_bytes(200).await?;
    let bytes = (many - few) / 100;
    let encoded = 2 * encode_gossip(&Gossip::default()).len() as u64;
    Ok(Framing {
        bytes_per_exchange: bytes - encoded,
    })
}

/// Bytes and exchanges a node and second.
fn rates(network: &Network, framing: &Framing, span: Duration) -> (f64, f64) {
    let exchanges: u64 = network.nodes.iter().map(|node| node.exchanges).sum();
    let encoded: u64 = network.nodes.iter().map(|node| node.bytes).sum();
    let bytes = encoded + exchanges * framing.bytes_per_exchange;
    let node_seconds = to_float(network.nodes.len()) * span.as_secs_f64();
    (
        to_float(bytes) / node_seconds,
        to_float(exchanges) / node_seconds,
    )
}

fn to_float(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}

fn measure_leave(network: &mut Network) -> Option<f64> {
    let member = network.nodes[1].member.clone();
    let actions = network.nodes[1].membership.leave(network.now);
    network.perform(1, actions);
    let known = |network: &Network| network.all_see(0, &member, MemberState::Draining);
    let time = network.run_until(LIMIT, known);
    time.map(|time| time.as_secs_f64())
}

fn measure_log(network: &mut Network) -> Option<f64> {
    let now = network.now;
    network.nodes[0]
        .membership
        .set_log_knowledge(new_log(7), now);
    let known = |network: &Network| {
        let mut nodes = network.nodes.iter();
        nodes.all(|node| node.membership.log_knowledge(network.now).offset == 7)
    };
    let time = network.run_until(LIMIT, known);
    time.map(|time| time.as_secs_f64())
}

fn measure_crash(network: &mut Network) -> Option<f64> {
    network.nodes[2].running = false;
    let member = network.nodes[2].member.clone();
    let known = |network: &Network| network.all_see(0, &member, MemberState::Dead);
    let time = network.run_until(LIMIT, known);
    time.map(|time| time.as_secs_f64())
}

fn measure(size: usize, framing: &Framing) -> Figures {
    let (mut network, common_start) = Network::start_all_at_once(size);
    network.run(Duration::from_secs(10));
    network.forget();
    let started = Instant::now();
    network.run(QUIET_TIME);
    let cpu = started.elapsed().as_secs_f64() * 1e6;
    let (quiet_bytes, quiet_exchanges) = rates(&network, framing, QUIET_TIME);
    network.forget();
    for index in 0..RESTARTS {
        network.restart(index % (size - 3) + 3);
        network.run(RESTART_PERIOD);
    }
    let span = RESTART_PERIOD * u32::try_from(RESTARTS).expect("a small number");
    let (restarts_bytes, _) = rates(&network, framing, span);
    Figures {
        nodes: size,
        common_start_seconds: common_start.as_secs_f64(),
        quiet_bytes_per_second: quiet_bytes,
        quiet_exchanges_per_second: quiet_exchanges,
        restarts_bytes_per_second: restarts_bytes,
        log_offset_known_to_all_seconds: measure_log(&mut network),
        leave_known_to_all_seconds: measure_leave(&mut network),
        crash_known_to_all_seconds: measure_crash(&mut network),
        cpu_micros_per_node_and_second: cpu / (to_float(size) * QUIET_TIME.as_secs_f64()),
    }
}

fn print<T: Serialize>(figures: &T, json: bool) -> io::Result<()> {
    let text = if json {
        serde_json::to_string(figures)?
    } else {
        serde_json::to_string_pretty(figures)?
    };
    println!("{text}");
    Ok(())
}

fn main() -> io::Result<()> {
    let json = std::env::args().any(|arg| arg == "--json");
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let framing = LocalSet::new().block_on(&runtime, measure_framing())?;
    print(&framing, json)?;
    for size in SIZES {
        print(&measure(size, &framing), json)?;
    }
    Ok(())
}
