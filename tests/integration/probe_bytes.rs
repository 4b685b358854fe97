//! What a probe costs on the wire between two nodes.

use camphorturn::{
    constants::DEFAULT_BODY_LIMIT,
    coordination::{
        keyed_calls::HeldAnswer,
        measuring::PROBE_BYTES_LIMIT,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    events::stamp::CausalStamp,
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        gossip::Gossip,
        load_report::{LoadReport, UpstreamCondition},
        outcome::{AttemptResult, Outcome, Settlement, UnknownCause},
    },
    state::member::{Incarnation, Member},
    timers::TimerService,
    transport::peers::{MeshKey, PeerConnections, PeerHandler, PeerIdentity, serve_peers},
};
use futures::{FutureExt, future::LocalBoxFuture};
use std::{net::SocketAddr, rc::Rc};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

/// Headers of a segment: IPv4 20, TCP 20, its time stamps 12.
const SEGMENT_HEADERS: u64 = 52;
/// Request, answer and the release of the answer, each with an acknowledgement of its own at worst.
const SEGMENTS: u64 = 6;

/// A node with the largest load report there is.
struct Loaded;

impl PeerHandler for Loaded {
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
        LoadReport {
            running: u16::MAX,
            queued: u16::MAX,
            limit: u16::MAX,
            latency_micros: u32::MAX,
            errors_permille: 1_000,
            condition: UpstreamCondition::Serving,
        }
    }

    fn hand_over(&self, _: &Member, _: SlotHandover<HeldAnswer>) -> HandoverAnswer {
        HandoverAnswer::Stale
    }

    fn gossip(&self, _: &Member, gossip: Gossip) -> Gossip {
        gossip
    }

    fn stamp(&self) -> CausalStamp {
        CausalStamp(u64::MAX)
    }
}

fn new_connections(name: &str, peer_address: SocketAddr) -> PeerConnections {
    let member = Member {
        name: name.into(),
        incarnation: Incarnation(1),
        service: "dock".into(),
        region: "qc-east".into(),
        availability_zone: "qc-east-a".into(),
        peer_address,
        operator_address: peer_address,
        slots: 6,
    };
    let identity = PeerIdentity {
        member,
        key: MeshKey::new("a key of the mesh"),
        body_limit: DEFAULT_BODY_LIMIT,
    };
    PeerConnections::new(identity, Rc::new(Loaded), TimerService::system())
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Bytes on one connection, both ways, that carries the hello and `count` probes.
async fn count_connection_bytes(count: u32) -> u64 {
    let (listener, target) = listen().await;
    let (counting, address) = listen().await;
    let server = new_connections("a", address);
    let serving = spawn_local(serve_peers(listener, server.clone()));
    let bytes = spawn_local(async move {
        let (mut client, _) = counting.accept().await.expect("a connection");
        let mut server = TcpStream::connect(target).await.expect("the server");
        let copied = tokio::io::copy_bidirectional(&mut client, &mut server).await;
        copied.expect("both directions end")
    });
    let client = new_connections("b", target);
    let member = client.introduce(address).await.expect("the server");
    for _ in 0..count {
        client.probe(&member).await.expect("a load");
    }
    client.close_all();
    server.close_all();
    serving.abort();
    let (there, back) = bytes.await.expect("counted");
    there + back
}

#[test]
fn probe_stays_within_what_is_paid_for_it() {
    // Symptom: measuring took more of the network than its budget, and the status did not show it.
    // Sequence: two nodes probe each other over a kept connection.
    // Cause: probes were paid for at less than they take with the headers of their segments.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    let few = LocalSet::new().block_on(&runtime, count_connection_bytes(10));
    let many = LocalSet::new().block_on(&runtime, count_connection_bytes(110));
    let payload = (many - few) / 100;
    let worst = payload + SEGMENTS * SEGMENT_HEADERS;
    println!("{payload} bytes of payload, {worst} with headers");
    assert!(payload > 0);
    assert!(worst <= u64::from(PROBE_BYTES_LIMIT), "{worst} bytes");
}
