//! One node with its upstream, on a thread of its own.

use crate::{
    coordination::{
        local_upstream::Announcement, retry_budget::RetryBudgetSettings,
        slow_start::SlowStartSettings,
    },
    local_mesh::{LOCAL_TOKEN, LocalMeshError, plan::NodePlan, store::LocalStore},
    options::proxy_settings::{
        DEFAULT_CONFIGURATION_APPLY_TIMEOUT, HeaderNames, LogSettings, NodeLimits, ProxySettings,
    },
    proxy::{
        ProxyListeners, core::ProxyCore, operator_requests::answer_operators, run_proxy,
        start_store_sync, upstream_announcements::apply_announcement,
    },
    state::{incarnation_id::IncarnationId, names::NodeName},
    timers::TimerService,
    transport::operators::server::{OperatorServer, serve_operators},
};
use camphorturn_stand_ins::upstream::{
    ExecutionLog, StandInUpstream, UpstreamHeaderNames, UpstreamSettings,
};
use flume::{Receiver, Sender};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    task::{LocalSet, spawn_local},
};

/// Any free port of the loopback address.
const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// Time for a planned stop. Clients of a local mesh end their requests within it.
const GRACE: Duration = Duration::from_secs(6);
/// Lines that a node keeps for operators' tools.
const KEPT_LINES: usize = 5_000;
/// Bounds on repeats as the users have them: a fifth of the requests, and 64 for all nodes together.
const REPEATS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 64.0,
    window: Duration::from_secs(10),
};
/// Questions a second to an upstream for its load, at the most.
const PROBES_PER_SECOND: f64 = 60.0;

/// What stand-in upstreams of a local mesh call their headers: as [`HeaderNames::product`].
const UPSTREAM_NAMES: UpstreamHeaderNames = UpstreamHeaderNames {
    request_id: "x-request-id",
    target_instance: "x-target-instance",
    instance: "x-instance",
    load: "x-load",
    signature: "x-upstream-signature",
    not_executed: "x-not-executed",
    warmup_left: "x-warmup-ms",
};

/// A running node with its upstream. Dropping it ends both at once.
pub struct LocalNode {
    /// What it was started from.
    pub plan: NodePlan,
    /// Where callers connect.
    pub client_address: SocketAddr,
    /// Where operators' tools connect.
    pub operator_address: SocketAddr,
    /// Where the upstream listens.
    pub upstream_address: SocketAddr,
    /// What the upstream ran.
    pub executions: ExecutionLog,
    stop: Sender<Order>,
    server: Option<OperatorServer>,
    thread: Option<JoinHandle<()>>,
}

/// What a node's thread is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    /// End as planned.
    Stop,
    /// End at once.
    Kill,
}

impl LocalNode {
    /// Its name.
    #[must_use]
    pub fn name(&self) -> &NodeName {
        &self.plan.name
    }

    /// Stops it as planned and waits for its end.
    pub fn stop(&mut self) {
        self.end(Order::Stop);
    }

    /// Ends it as a crash would.
    pub fn kill(&mut self) {
        self.end(Order::Kill);
    }

    /// Tells the operators' server to end, without waiting for it.
    pub fn request_server_stop(&self) {
        if let Some(server) = &self.server {
            server.request_stop();
        }
    }

    fn end(&mut self, order: Order) {
        // The thread may have ended by itself; then there is nobody to tell.
        let _ = self.stop.send(order);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        drop(self.server.take());
    }
}

impl Drop for LocalNode {
    fn drop(&mut self) {
        self.end(Order::Kill);
    }
}

/// What a node's thread tells once it listens.
struct Started {
    clients: SocketAddr,
    operators: SocketAddr,
    upstream: SocketAddr,
    server: OperatorServer,
}

/// Starts a node and its upstream.
///
/// # Errors
/// If a port can't be bound or a thread not be started.
pub fn start_node(plan: &NodePlan, store: &LocalStore) -> Result<LocalNode, LocalMeshError> {
    let (stop, orders) = flume::unbounded();
    let (tx, started) = flume::bounded(1);
    let runs = ExecutionLog::default();
    let setup = NodeSetup {
        plan: plan.clone(),
        store: store.clone(),
        runs: ExecutionLog::clone(&runs),
    };
    let name = plan.name.to_string();
    let thread = thread::Builder::new()
        .name(name)
        .spawn(move || run_thread(setup, &tx, &orders))?;
    let started = started.recv().map_err(|_| LocalMeshError::Ended)??;
    Ok(LocalNode {
        plan: plan.clone(),
        client_address: started.clients,
        operator_address: started.operators,
        upstream_address: started.upstream,
        executions: runs,
        stop,
        server: Some(started.server),
        thread: Some(thread),
    })
}

/// What a node's thread starts from.
struct NodeSetup {
    plan: NodePlan,
    store: LocalStore,
    runs: ExecutionLog,
}

type StartResult = Result<Started, LocalMeshError>;

fn run_thread(setup: NodeSetup, started: &Sender<StartResult>, orders: &Receiver<Order>) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            // Whoever starts the node waits for this.
            let _ = started.send(Err(error.into()));
            return;
        }
    };
    LocalSet::new().block_on(&runtime, run_node(setup, started, orders));
}

async fn run_node(setup: NodeSetup, started: &Sender<StartResult>, orders: &Receiver<Order>) {
    let (stop, stopped) = flume::bounded(1);
    let timers = TimerService::system();
    // NB: the thread of the timers would outlive a node that is killed.
    let _ended = StopTimers(timers.clone());
    let running = match launch(setup, stopped, &timers).await {
        Ok((running, result)) => {
            let _ = started.send(Ok(result));
            running
        }
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    // The sender goes only with the handle, which sends an order before.
    if orders.recv_async().await == Ok(Order::Stop) {
        let _ = stop.send(());
        let killed = async { while orders.recv_async().await == Ok(Order::Stop) {} };
        tokio::select! {
            _ = running => {}
            () = killed => {}
        }
    }
}

/// Ends the thread of the timers when dropped.
struct StopTimers(TimerService);

impl Drop for StopTimers {
    fn drop(&mut self) {
        self.0.stop();
    }
}

async fn launch(
    setup: NodeSetup,
    stopped: Receiver<()>,
    timers: &TimerService,
) -> Result<(tokio::task::JoinHandle<()>, Started), LocalMeshError> {
    let NodeSetup { plan, store, runs } = setup;
    let upstream = StandInUpstream::start_with(describe_upstream(&plan, runs)).await?;
    let listeners = ProxyListeners {
        clients: TcpListener::bind(ANY_PORT).await?,
        peers: TcpListener::bind(ANY_PORT).await?,
    };
    let (requests_tx, requests) = flume::unbounded();
    let server = serve_operators(ANY_PORT.into(), LOCAL_TOKEN, requests_tx)?;
    let settings = describe_node(&plan, &listeners, &upstream, server.address)?;
    let (clients, upstream_address) = (settings.client_address, settings.upstream_address);
    let core = ProxyCore::new(settings, timers.clone());
    let records = start_store_sync(&core, store.clone());
    spawn_local(answer_operators(
        core.clone(),
        store,
        records.clone(),
        requests,
    ));
    let announcement = Announcement {
        incarnation: IncarnationId {
            instance: plan.name.to_string(),
            started_ms: None,
        },
        service: plan.service.clone(),
        slots: plan.slots,
        leaving: false,
        warmup_left: Duration::ZERO,
        sequence: 1,
    };
    let announced = core.clone();
    spawn_local(async move { apply_announcement(&announced, announcement, &records).await });
    let operators = server.address;
    let running = spawn_local(async move {
        run_proxy(&core, listeners, &stopped).await;
        // The upstream ends with its node.
        drop(upstream);
    });
    let started = Started {
        clients,
        operators,
        upstream: upstream_address,
        server,
    };
    Ok((running, started))
}

fn describe_upstream(plan: &NodePlan, executions: ExecutionLog) -> UpstreamSettings {
    UpstreamSettings {
        instance: plan.name.to_string(),
        names: UPSTREAM_NAMES,
        slots: plan.slots,
        service_times: plan.service_times.clone(),
        seed: plan.seed,
        echoes_request: true,
        executions,
        crash_prefixes: Vec::new(),
    }
}

fn describe_node(
    plan: &NodePlan,
    listeners: &ProxyListeners,
    upstream: &StandInUpstream,
    operators: SocketAddr,
) -> io::Result<ProxySettings> {
    Ok(ProxySettings {
        name: plan.name.clone(),
        availability_zone: plan.availability_zone.clone(),
        client_address: listeners.clients.local_addr()?,
        peer_address: listeners.peers.local_addr()?,
        upstream_address: upstream.address,
        service: plan.service.clone(),
        limits: NodeLimits {
            retry_budget: REPEATS,
            probes_per_second: PROBES_PER_SECOND,
            shutdown_grace: GRACE,
            configuration_apply_timeout: DEFAULT_CONFIGURATION_APPLY_TIMEOUT,
            slow_start: SlowStartSettings::default(),
        },
        log: LogSettings {
            ordinary_one_in: 1,
            kept_lines: KEPT_LINES,
        },
        operator_address: Some(operators),
        first_start: false,
        headers: HeaderNames::default_names(),
    })
}
