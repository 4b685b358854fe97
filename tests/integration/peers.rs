//! RPC between nodes, over loopback.

use bytes::Bytes;
use camphorturn::{
    constants::DEFAULT_BODY_LIMIT,
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    protocol::{
        attempt::{AttemptId, CallId},
        call::{CallAttempt, IdempotencyKey},
        gossip::{DeclaredState, Gossip, Health, Revision, Rumour, StateShare},
        load_report::LoadReport,
        outcome::{AttemptResult, Outcome, Settlement, UpstreamAnswer},
    },
    state::member::{Incarnation, Member},
    timers::TimerService,
    transport::peers::{
        HelloRefusal, MeshKey, NotSentReason, PeerConnections, PeerError, PeerHandler,
        PeerIdentity, codec, serve_peers,
    },
};
use futures::{FutureExt, future::LocalBoxFuture};
use http::{HeaderMap, Method, StatusCode};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::Notify,
    task::{JoinHandle, LocalSet, spawn_local},
};
use uuid::Uuid;

const NO_ADDRESS: &str = "127.0.0.1:1";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn new_member(name: &str, incarnation: u64, address: SocketAddr) -> Member {
    Member {
        name: name.into(),
        incarnation: Incarnation(incarnation),
        service: "frontdesk".into(),
        region: "prairie-west".into(),
        availability_zone: "yxe-a".into(),
        peer_address: address,
        operator_address: NO_ADDRESS.parse().expect("an address"),
        slots: 6,
    }
}

fn new_attempt(body: Bytes) -> CallAttempt {
    let mut headers = HeaderMap::new();
    headers.append("accept", "text/plain".parse().expect("a value"));
    headers.append("accept", "text/html".parse().expect("a value"));
    CallAttempt {
        id: AttemptId {
            call: CallId(Uuid::from_u128(7)),
            number: 1,
        },
        service: "frontdesk".into(),
        class: "lookup".into(),
        method: Method::POST,
        target: "/slots?day=monday".into(),
        headers,
        body,
        time_left: Duration::from_secs(5),
        key: Some(IdempotencyKey(Uuid::from_u128(9))),
        depth: 2,
    }
}

/// Counts what reaches it; answers with the request's own body.
#[derive(Default)]
struct Echo {
    executed: Cell<u32>,
    /// Executions that were given up before their end.
    dropped: Rc<Cell<u32>>,
    /// Executions wait for ever.
    stuck: Cell<bool>,
    arrived: Rc<Notify>,
    last: RefCell<Option<CallAttempt>>,
}

struct CountDrop(Rc<Cell<u32>>);

impl Drop for CountDrop {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl PeerHandler for Echo {
    fn execute(
        &self,
        _from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        self.executed.set(self.executed.get() + 1);
        self.arrived.notify_one();
        *self.last.borrow_mut() = Some(attempt.clone());
        let stuck = self.stuck.get();
        let dropped = Rc::clone(&self.dropped);
        async move {
            if stuck {
                let _guard = CountDrop(dropped);
                std::future::pending::<()>().await;
            }
            AttemptResult {
                outcome: Outcome::Answered(UpstreamAnswer {
                    status: StatusCode::CREATED,
                    headers: attempt.headers,
                    body: attempt.body,
                }),
                load: LoadReport::default(),
            }
        }
        .boxed_local()
    }

    fn execute_keyed(
        &self,
        from: &Member,
        attempt: CallAttempt,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        self.execute(from, attempt)
    }

    fn cancel(&self, _attempt: AttemptId) -> LocalBoxFuture<'static, Settlement> {
        async { Settlement::NeverRuns }.boxed_local()
    }

    fn settle(&self, _attempt: AttemptId) -> Settlement {
        Settlement::Ran
    }

    fn probe(&self) -> LoadReport {
        LoadReport {
            running: 3,
            ..LoadReport::default()
        }
    }

    fn hand_over(&self, _: &Member, _: SlotHandover<HeldAnswer>) -> HandoverAnswer {
        HandoverAnswer::Stale
    }

    fn gossip(&self, from: &Member, gossip: Gossip) -> Gossip {
        Gossip {
            incarnation: from.incarnation,
            ..gossip
        }
    }
}

struct Node {
    member: Member,
    connections: PeerConnections,
    handler: Rc<Echo>,
    server: JoinHandle<()>,
}

impl Node {
    async fn start(name: &str, incarnation: u64, key: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::start_on(listener, name, incarnation, key)
    }

    fn start_on(listener: TcpListener, name: &str, incarnation: u64, key: &str) -> Self {
        let address = listener.local_addr().expect("an address");
        let member = new_member(name, incarnation, address);
        let identity = PeerIdentity {
            member: member.clone(),
            key: MeshKey::new(key),
            body_limit: DEFAULT_BODY_LIMIT,
        };
        let handler = Rc::new(Echo::default());
        let connections = PeerConnections::new(identity, handler.clone(), TimerService::system());
        let server = spawn_local(serve_peers(listener, connections.clone()));
        Self {
            member,
            connections,
            handler,
            server,
        }
    }

    fn stop(&self) {
        self.server.abort();
        self.connections.close_all();
    }
}

fn body_of(result: AttemptResult) -> Bytes {
    match result.outcome {
        Outcome::Answered(answer) => answer.body,
        other => panic!("answered expected, got {other:?}"),
    }
}

#[test]
fn execute_carries_all_fields() {
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        let attempt = new_attempt(Bytes::from_static(b"booking"));
        let result = a.connections.execute(&b.member, &attempt).await;
        assert_eq!(body_of(result.expect("a result")), "booking");
        let seen = b.handler.last.take().expect("an attempt");
        assert_eq!(seen.id, attempt.id);
        assert_eq!(seen.service, attempt.service);
        assert_eq!(seen.class, attempt.class);
        assert_eq!(seen.method, attempt.method);
        assert_eq!(seen.target, attempt.target);
        assert_eq!(seen.headers, attempt.headers);
        assert_eq!(seen.key, attempt.key);
        assert_eq!(seen.depth, attempt.depth);
        assert!(seen.time_left <= attempt.time_left);
    });
}

#[test]
fn requests_share_one_connection_both_ways() {
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        let probes = (0..10).map(|_| a.connections.probe(&b.member));
        for load in futures::future::join_all(probes).await {
            assert_eq!(load.expect("a load").running, 3);
        }
        let settled = b
            .connections
            .settle(&a.member, new_attempt(Bytes::new()).id);
        assert_eq!(settled.await, Ok(Settlement::Ran));
        let cancelled = b
            .connections
            .cancel(&a.member, new_attempt(Bytes::new()).id);
        assert_eq!(cancelled.await, Ok(Settlement::NeverRuns));
        assert_eq!(a.connections.counters().dialled.get(), 1);
        assert_eq!(b.connections.counters().dialled.get(), 0);
        assert_eq!(b.connections.counters().accepted.get(), 1);
    });
}

#[test]
fn execute_largest_body() {
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        let body = Bytes::from(vec![7; DEFAULT_BODY_LIMIT]);
        let attempt = new_attempt(body.clone());
        let result = a.connections.execute(&b.member, &attempt);
        assert_eq!(body_of(result.await.expect("a result")), body);
        let larger = Bytes::from(vec![7; DEFAULT_BODY_LIMIT + 1]);
        let result = a.connections.execute(&b.member, &new_attempt(larger)).await;
        let refused = PeerError::NotSent(NotSentReason::TooLarge);
        assert_eq!(result.expect_err("too large"), refused);
    });
}

#[test]
fn hello_wrong_key() {
    // Symptom: a process without the mesh's key could send calls to upstreams.
    // Sequence: it connects and says hello; its proof is made with another key.
    // Cause: a port that anyone in the network can reach.
    run(async {
        let a = Node::start("a", 1, "wrong").await;
        let b = Node::start("b", 1, "key").await;
        let result = a.connections.probe(&b.member).await;
        assert_eq!(result, Err(PeerError::Refused(HelloRefusal::WrongKey)));
        assert_eq!(a.connections.counters().refused_key.get(), 1);
        assert_eq!(b.connections.counters().accepted.get(), 0);
    });
}

#[test]
fn execute_refused_connection() {
    // Symptom: a call that surely did not run is reported as unknown.
    // Sequence: the node's port is closed; the call is sent; a second one follows at once.
    // Cause: a failed connect and a lost connection taken for the same.
    run(async {
        let a = Node::start("a", 1, "key").await;
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = gone.local_addr().expect("an address");
        drop(gone);
        let to = new_member("gone", 1, address);
        let attempt = new_attempt(Bytes::new());
        let first = a.connections.execute(&to, &attempt).await;
        let refused = NotSentReason::Connect(std::io::ErrorKind::ConnectionRefused);
        assert_eq!(first.expect_err("refused"), PeerError::NotSent(refused));
        let second = a.connections.execute(&to, &attempt).await;
        let waiting = PeerError::NotSent(NotSentReason::BackingOff);
        assert_eq!(second.expect_err("waiting"), waiting);
        assert_eq!(a.connections.counters().connect_failures.get(), 1);
    });
}

#[test]
fn execute_connection_lost() {
    // Symptom: a booking that ran is reported as not run, and is run again elsewhere.
    // Sequence: the attempt reaches the node; the node dies before it answers.
    // Cause: a request that was handed to a connection may have arrived.
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        b.handler.stuck.set(true);
        let attempt = new_attempt(Bytes::new());
        let call = a.connections.execute(&b.member, &attempt);
        let kill = async {
            b.handler.arrived.notified().await;
            b.stop();
        };
        let (result, ()) = futures::join!(call, kill);
        assert!(matches!(result, Err(PeerError::Lost(_))), "{result:?}");
        assert_eq!(b.handler.executed.get(), 1);
    });
}

#[test]
fn execute_after_close_dials_again() {
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        a.connections.probe(&b.member).await.expect("a load");
        a.connections.close(&b.member.name);
        a.connections.probe(&b.member).await.expect("a load");
        assert_eq!(a.connections.counters().dialled.get(), 2);
    });
}

#[test]
fn execute_other_incarnation() {
    // Symptom: a settle or attempt meant for one run of a node is answered by the next, which
    // knows nothing of the first's calls.
    // Sequence: the node restarts at the same address between two requests.
    // Cause: a request addressed by name or address instead of by incarnation.
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 2, "key").await;
        let former = new_member("b", 1, b.member.peer_address);
        let attempt = new_attempt(Bytes::new());
        let found = PeerError::WrongIncarnation {
            found: Incarnation(2),
        };
        for _ in 0..2 {
            let result = a.connections.execute(&former, &attempt).await;
            assert_eq!(result.expect_err("another run"), found);
        }
        assert_eq!(b.handler.executed.get(), 0);
        a.connections.probe(&b.member).await.expect("a load");
        assert_eq!(a.connections.counters().dialled.get(), 1);
    });
}

#[test]
fn execute_other_node_at_address() {
    // Symptom: calls for a replaced VM reach the VM that got its address.
    // Sequence: VM b goes; VM c starts with b's address; a call for b is sent.
    // Cause: an address says nothing of who answers there.
    run(async {
        let a = Node::start("a", 1, "key").await;
        let c = Node::start("c", 1, "key").await;
        let gone = new_member("b", 1, c.member.peer_address);
        let attempt = new_attempt(Bytes::new());
        let result = a.connections.execute(&gone, &attempt);
        let other = PeerError::NotSent(NotSentReason::OtherNode);
        assert_eq!(result.await.expect_err("another node"), other);
        assert_eq!(c.handler.executed.get(), 0);
    });
}

#[test]
fn execute_dropped_by_caller() {
    // Symptom: upstream slots are held by calls whose callers went away.
    // Sequence: the attempt runs at the other node; the caller disconnects.
    // Cause: a dropped request that is not told to the executing node.
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        b.handler.stuck.set(true);
        let attempt = new_attempt(Bytes::new());
        let call = a.connections.execute(&b.member, &attempt).boxed_local();
        let arrived = b.handler.arrived.notified().boxed_local();
        let pending = futures::future::select(call, arrived).await;
        drop(pending);
        // Requests of one connection are handled in order, so this one comes after the drop.
        a.connections.probe(&b.member).await.expect("a load");
        assert_eq!(b.handler.dropped.get(), 1);
    });
}

#[test]
fn serve_garbage() {
    // Symptom: a port scan ends a node or disturbs its other connections.
    // Sequence: bytes that are no message arrive; a proper node connects.
    // Cause: what arrives is trusted before it is checked.
    run(async {
        let b = Node::start("b", 1, "key").await;
        let mut stream = tokio::net::TcpStream::connect(b.member.peer_address)
            .await
            .expect("a connection");
        stream.write_all(&[0xff; 64]).await.expect("a write");
        let mut rest = Vec::new();
        // The node closes; whether as an end or a reset does not matter.
        let _ = stream.read_to_end(&mut rest).await;
        let a = Node::start("a", 1, "key").await;
        a.connections.probe(&b.member).await.expect("a load");
    });
}

#[test]
fn introduce_learns_member() {
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 4, "key").await;
        let member = a.connections.introduce(b.member.peer_address).await;
        assert_eq!(member, Ok(b.member.clone()));
        assert_eq!(a.connections.connected(), vec![b.member.clone()]);
    });
}

fn new_gossip() -> Gossip {
    let member = new_member("b", 3, NO_ADDRESS.parse().expect("an address"));
    Gossip {
        incarnation: Incarnation(1),
        revision: Revision(2),
        declared: DeclaredState::Serving,
        digest: 4,
        rumours: vec![Rumour {
            name: member.name.clone(),
            incarnation: member.incarnation,
            revision: Revision(5),
            declared: DeclaredState::Draining,
            health: Health::Suspected,
            suspected_by: Some("c".into()),
            description: Some(member),
        }],
        buckets: vec![1, 2],
        wanted_buckets: vec![3],
        wanted_descriptions: vec!["d".into()],
        wants_state_after: Some(6),
        state: StateShare::Records {
            offset: 7,
            records: vec![Bytes::from_static(b"r")],
        },
        ..Gossip::default()
    }
}

#[test]
fn gossip_carries_all_fields() {
    run(async {
        let a = Node::start("a", 1, "key").await;
        let b = Node::start("b", 1, "key").await;
        let gossip = new_gossip();
        let answer = a.connections.gossip(&b.member, &gossip).await;
        assert_eq!(answer, Ok(gossip));
    });
}

#[test]
fn decode_any_bytes() {
    // Symptom: a node dies of a message of another release or of a broken one.
    // Sequence: a valid message arrives with some bytes changed.
    // Cause: decoding that panics instead of returning an error.
    let messages = [
        codec::encode_attempt(&new_attempt(Bytes::from_static(b"body"))),
        codec::encode_gossip(&new_gossip()),
    ];
    bolero::check!()
        .with_iterations(5_000)
        .with_type::<(Vec<(u16, u8)>, u16)>()
        .for_each(|(changes, cut)| {
            for message in &messages {
                let mut bytes = message.clone();
                for (place, value) in changes {
                    let place = usize::from(*place) % bytes.len();
                    bytes[place] = *value;
                }
                let _ = codec::decode_attempt(&bytes, 1024);
                let _ = codec::decode_gossip(&bytes);
                let _ = codec::decode_result(&bytes, 1024);
                let kept = usize::from(*cut) % bytes.len();
                let _ = codec::decode_attempt(&bytes[..kept], 1024);
                let _ = codec::decode_gossip(&bytes[..kept]);
            }
        });
}
