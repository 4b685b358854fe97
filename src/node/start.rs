//! Starts a node: binds its addresses, then runs the event loop on a thread of its own.

use crate::{
    events::{
        event::Event,
        recorder::{EventRecorder, RingSizes},
    },
    node::{
        caller_edge::CallerEdge,
        configuring::seed_of,
        core::NodeCore,
        keyed_calls::run_ownership,
        log_following::follow_log,
        log_threads::LogThreads,
        mesh::run_mesh,
        metrics::send_metrics,
        operator_edge::answer_operators,
        peer_edge::PeerEdge,
        probing::run_probes,
        stop::{StopKind, stop_gracefully},
        upstream_watch::watch_upstream,
    },
    options::node_settings::NodeSettings,
    state::{
        member::{Incarnation, Member},
        names::NodeName,
    },
    timers::TimerService,
    transport::{
        callers::{CallerLimits, serve_callers},
        operators::{
            request::OperatorRequest,
            server::{OperatorServer, OperatorServerError, serve_operators},
        },
        peers::{MeshKey, PeerConnections, PeerIdentity, serve_peers},
    },
};
use flume::{Receiver, Sender};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};
use thiserror::Error;
use tokio::task::{LocalSet, spawn_local};

/// Requests of operators that wait for the event loop.
const OPERATOR_QUEUE: usize = 64;

/// A node could not be started.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address of the settings can't be bound.
    #[error("can't listen for {side} on {address}: {cause}")]
    Listen {
        /// Which side of the node.
        side: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: io::Error,
    },
    /// The operators' server could not be started.
    #[error(transparent)]
    Operators(#[from] OperatorServerError),
    /// The system gave no thread or event queue.
    #[error("can't start the event loop: {0}")]
    EventLoop(#[from] io::Error),
}

/// A node that runs in this process.
pub struct NodeHandle {
    /// What it tells others of itself.
    pub member: Member,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    tx: Sender<StopKind>,
    thread: Option<JoinHandle<()>>,
}

impl NodeHandle {
    /// The node's name.
    #[must_use]
    pub fn name(&self) -> &NodeName {
        &self.member.name
    }

    /// Asks for a planned stop and returns at once.
    pub fn request_stop(&self) {
        // A node that has ended already needs no telling.
        let _ = self.tx.send(StopKind::Graceful);
    }

    /// Ends the node at once, as a crash would: connections break, nobody is told.
    pub fn kill(mut self) {
        let _ = self.tx.send(StopKind::Abrupt);
        self.wait();
    }

    /// Waits until the node has ended.
    pub fn join(mut self) {
        self.wait();
    }

    /// Whether the node has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the node's thread was printed already; there is nothing to add to it.
            let _ = thread.join();
        }
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        let _ = self.tx.send(StopKind::Abrupt);
        self.wait();
    }
}

/// Runs a node until SIGTERM or SIGINT, then stops it as planned.
///
/// # Errors
/// If the node can't be started.
pub fn run_node(settings: NodeSettings) -> Result<(), NodeError> {
    let node = start_node(settings)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let tx = node.tx.clone();
    thread::spawn(move || {
        for _ in &mut signals {
            let _ = tx.send(StopKind::Graceful);
        }
    });
    node.join();
    Ok(())
}

/// What is bound before the event loop starts, so that failures reach the caller.
struct BoundSides {
    callers: TcpListener,
    peers: TcpListener,
    operators: OperatorServer,
    operator_rx: Receiver<OperatorRequest>,
}

/// Starts a node on threads of this process.
///
/// # Errors
/// If an address can't be bound or the system gives no thread.
pub fn start_node(settings: NodeSettings) -> Result<NodeHandle, NodeError> {
    start_node_by(settings, TimerService::system())
}

/// Starts a node that takes its time from `timers`, and stops them at its end.
///
/// # Errors
/// If an address can't be bound or the system gives no thread.
pub fn start_node_by(
    settings: NodeSettings,
    timers: TimerService,
) -> Result<NodeHandle, NodeError> {
    let sides = bind_sides(&settings)?;
    let member = describe_member(&settings, &sides)?;
    let caller_address = sides.callers.local_addr()?;
    let (tx, rx) = flume::unbounded();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let me = member.clone();
    let stop = (tx.clone(), rx);
    let thread = thread::Builder::new()
        .name(format!("node-{}", member.name))
        .spawn(move || {
            LocalSet::new().block_on(&runtime, run_event_loop(settings, me, timers, sides, stop));
        })?;
    Ok(NodeHandle {
        member,
        caller_address,
        tx,
        thread: Some(thread),
    })
}

fn bind_sides(settings: &NodeSettings) -> Result<BoundSides, NodeError> {
    let callers = bind("callers", settings.callers.listen)?;
    let peers = bind("nodes", settings.peers.listen)?;
    let (operator_tx, operator_rx) = flume::bounded(OPERATOR_QUEUE);
    let token = settings.operators.token.expose();
    let operators = serve_operators(settings.operators.listen, token, operator_tx)?;
    Ok(BoundSides {
        callers,
        peers,
        operators,
        operator_rx,
    })
}

fn bind(side: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|cause| NodeError::Listen {
        side,
        address,
        cause,
    })
}

fn describe_member(settings: &NodeSettings, sides: &BoundSides) -> Result<Member, NodeError> {
    Ok(Member {
        name: settings.node.name.clone(),
        incarnation: new_incarnation(),
        service: settings.upstream.service.clone(),
        region: settings.node.region.clone(),
        availability_zone: settings.node.availability_zone.clone(),
        peer_address: settings
            .peers
            .advertise
            .unwrap_or(sides.peers.local_addr()?),
        operator_address: settings
            .operators
            .advertise
            .unwrap_or(sides.operators.address),
        slots: settings.upstream.slots,
    })
}

/// Wall-clock microseconds: a later run has a higher number without anything kept between runs.
fn new_incarnation() -> Incarnation {
    let since_1970 = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX))
}

async fn run_event_loop(
    settings: NodeSettings,
    me: Member,
    timers: TimerService,
    sides: BoundSides,
    stop: (Sender<StopKind>, Receiver<StopKind>),
) {
    let (stop_tx, stop_rx) = stop;
    let recorder = EventRecorder::new(
        me.name.clone(),
        me.incarnation,
        timers.clone(),
        RingSizes::default(),
    );
    let seed = seed_of(&me.name, me.incarnation.0);
    let (log, updates) = match LogThreads::start(&settings, &timers, seed) {
        Ok(started) => started,
        Err(error) => {
            tracing::error!(%error, "can't start the threads of the log");
            return;
        }
    };
    let core = NodeCore::new(settings, me, timers.clone(), recorder, log, stop_tx);
    let started = Event::NodeStarted {
        upstream_slots: core.me.slots,
    };
    core.recorder.record(started, None);
    let peers = connect_peers(&core);
    if let (Ok(callers), Ok(listener)) = (
        tokio::net::TcpListener::from_std(sides.callers),
        tokio::net::TcpListener::from_std(sides.peers),
    ) {
        spawn_local(serve_peers(listener, peers));
        spawn_local(serve_callers(
            callers,
            caller_limits(&core),
            timers.clone(),
            Rc::new(CallerEdge::new(Rc::clone(&core))),
        ));
    }
    spawn_local(answer_operators(Rc::clone(&core), sides.operator_rx));
    spawn_local(watch_upstream(Rc::clone(&core)));
    spawn_local(run_mesh(Rc::clone(&core)));
    spawn_local(run_ownership(Rc::clone(&core)));
    spawn_local(run_probes(Rc::clone(&core)));
    spawn_local(send_metrics(Rc::clone(&core)));
    spawn_local(follow_log(Rc::clone(&core), updates));
    if let Ok(StopKind::Graceful) = stop_rx.recv_async().await {
        tokio::select! {
            () = stop_gracefully(&core) => {}
            () = wait_for_abrupt(&stop_rx) => {}
        }
    }
    timers.stop();
    sides.operators.stop();
}

async fn wait_for_abrupt(stop_rx: &Receiver<StopKind>) {
    while let Ok(kind) = stop_rx.recv_async().await {
        if kind == StopKind::Abrupt {
            return;
        }
    }
}

fn connect_peers(core: &Rc<NodeCore>) -> PeerConnections {
    let identity = PeerIdentity {
        member: core.me.clone(),
        key: MeshKey::new(core.settings.peers.shared_key.expose().as_bytes()),
        body_limit: core.settings.callers.body_limit_bytes,
    };
    let handler = Rc::new(PeerEdge::new(Rc::clone(core)));
    let peers = PeerConnections::new(identity, handler, core.timers.clone());
    // Set once, right here; a second value can't come.
    let _ = core.peers.set(peers.clone());
    peers
}

fn caller_limits(core: &NodeCore) -> CallerLimits {
    let cfg = &core.settings.callers;
    CallerLimits {
        connections: cfg.max_connections,
        head_timeout: cfg.head_timeout,
        body_timeout: cfg.body_timeout,
        head: crate::constants::HEAD_LIMIT,
        body: cfg.body_limit_bytes,
    }
}
