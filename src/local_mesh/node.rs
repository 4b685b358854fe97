//! A node with its upstream, both on one thread of their own.

use crate::{
    coordination::{
        local_upstream::Announcement, quota_shares::QuotaSettings,
        retry_budget::RetryBudgetSettings, slow_start::SlowStartSettings,
    },
    local_mesh::{LOCAL_TOKEN, LocalMeshError, plan::NodePlan, store::LocalStore},
    options::proxy_settings::{
        DEFAULT_CONFIGURATION_APPLY_TIMEOUT, DEFAULT_MEMORY_BYTES, HeaderNames, LogSettings,
        NodeLimits, OverloadSettings, ProxySettings,
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
/// Time allowed for a graceful stop, within which clients of a local mesh end their requests.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);
/// Number of log lines that a node keeps in memory for operators' tools.
const KEPT_LOG_LINES: usize = 5_000;
/// Retry budget as in the users' deployments: a fifth of the requests, and 64 more for all nodes together.
const RETRY_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 64.0,
    window: Duration::from_secs(10),
};
/// Maximum number of load probes to an upstream per second.
const PROBES_PER_SECOND: f64 = 60.0;

/// Header names of the stand-in upstreams of a local mesh. They must equal [`HeaderNames::default_names`].
const UPSTREAM_HEADER_NAMES: UpstreamHeaderNames = UpstreamHeaderNames {
    request_id: "x-request-id",
    target_instance: "x-target-instance",
    instance: "x-instance",
    load: "x-load",
    signature: "x-upstream-signature",
    not_executed: "x-not-executed",
    warmup_left: "x-warmup-ms",
    organisation: "x-organisation",
    api_key: "x-api-key",
};

/// A running node with its upstream. Dropping it ends both at once.
pub struct LocalNode {
    /// Plan that the node was started from.
    pub plan: NodePlan,
    /// Address of the node for callers.
    pub client_address: SocketAddr,
    /// Address of the node for operators' tools.
    pub operator_address: SocketAddr,
    /// Address of the upstream.
    pub upstream_address: SocketAddr,
    /// Requests that the upstream has run.
    pub executions: ExecutionLog,
    stop: Sender<StopMode>,
    server: Option<OperatorServer>,
    thread: Option<JoinHandle<()>>,
}

/// How a node ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopMode {
    /// The node completes the requests in progress first.
    Graceful,
    /// The node ends at once, as in a crash.
    Immediate,
}

impl LocalNode {
    /// Returns the name of the node.
    #[must_use]
    pub fn name(&self) -> &NodeName {
        &self.plan.name
    }

    /// Stops the node gracefully and waits until it has ended.
    pub fn stop(&mut self) {
        self.end(StopMode::Graceful);
    }

    /// Ends the node and its upstream at once, as in a crash, and waits until they have ended.
    pub fn kill(&mut self) {
        self.end(StopMode::Immediate);
    }

    /// Requests the server for operators' tools to stop, without waiting for its end.
    pub fn request_server_stop(&self) {
        if let Some(server) = &self.server {
            server.request_stop();
        }
    }

    fn end(&mut self, mode: StopMode) {
        // Sending fails if the thread has already ended.
        let _ = self.stop.send(mode);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        drop(self.server.take());
    }
}

impl Drop for LocalNode {
    fn drop(&mut self) {
        self.end(StopMode::Immediate);
    }
}

/// Addresses and server that the thread of a node reports once the node is listening.
struct StartedNode {
    client_address: SocketAddr,
    operator_address: SocketAddr,
    upstream_address: SocketAddr,
    server: OperatorServer,
}

/// Starts a node and its upstream on a new thread and waits until both are listening.
///
/// # Errors
/// See [`LocalMeshError`].
pub fn start_node(plan: &NodePlan, store: &LocalStore) -> Result<LocalNode, LocalMeshError> {
    let (stop, stop_requests) = flume::unbounded();
    let (tx, started) = flume::bounded(1);
    let executions = ExecutionLog::default();
    let setup = NodeSetup {
        plan: plan.clone(),
        store: store.clone(),
        executions: ExecutionLog::clone(&executions),
    };
    let name = plan.name.to_string();
    let thread = thread::Builder::new()
        .name(name)
        .spawn(move || run_thread(setup, &tx, &stop_requests))?;
    let started = started.recv().map_err(|_| LocalMeshError::Ended)??;
    Ok(LocalNode {
        plan: plan.clone(),
        client_address: started.client_address,
        operator_address: started.operator_address,
        upstream_address: started.upstream_address,
        executions,
        stop,
        server: Some(started.server),
        thread: Some(thread),
    })
}

/// Data that the thread of a node starts from.
struct NodeSetup {
    plan: NodePlan,
    store: LocalStore,
    executions: ExecutionLog,
}

type StartResult = Result<StartedNode, LocalMeshError>;

fn run_thread(setup: NodeSetup, started: &Sender<StartResult>, stop_requests: &Receiver<StopMode>) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            // The thread in `start_node` waits for this result.
            let _ = started.send(Err(error.into()));
            return;
        }
    };
    LocalSet::new().block_on(&runtime, run_node(setup, started, stop_requests));
}

async fn run_node(
    setup: NodeSetup,
    started: &Sender<StartResult>,
    stop_requests: &Receiver<StopMode>,
) {
    let (stop, stopped) = flume::bounded(1);
    let timers = TimerService::system();
    // Without the guard, the timer thread would keep running after an immediate end of the node.
    let _timers_guard = TimersGuard(timers.clone());
    let proxy_task = match start_proxy(setup, stopped, &timers).await {
        Ok((proxy_task, result)) => {
            let _ = started.send(Ok(result));
            proxy_task
        }
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    // `LocalNode` always sends a mode before it drops the sender.
    if stop_requests.recv_async().await == Ok(StopMode::Graceful) {
        let _ = stop.send(());
        let kill_requested =
            async { while stop_requests.recv_async().await == Ok(StopMode::Graceful) {} };
        tokio::select! {
            _ = proxy_task => {}
            () = kill_requested => {}
        }
    }
}

/// Stops the timer thread when dropped.
struct TimersGuard(TimerService);

impl Drop for TimersGuard {
    fn drop(&mut self) {
        self.0.stop();
    }
}

/// Starts the upstream, the server for operators' tools and the node. Returns the task that ends with the node.
async fn start_proxy(
    setup: NodeSetup,
    stopped: Receiver<()>,
    timers: &TimerService,
) -> Result<(tokio::task::JoinHandle<()>, StartedNode), LocalMeshError> {
    let NodeSetup {
        plan,
        store,
        executions,
    } = setup;
    let upstream = StandInUpstream::start_with(build_upstream_settings(&plan, executions)).await?;
    let listeners = ProxyListeners {
        clients: TcpListener::bind(ANY_PORT).await?,
        peers: TcpListener::bind(ANY_PORT).await?,
    };
    let (requests_tx, requests) = flume::unbounded();
    let server = serve_operators(ANY_PORT.into(), LOCAL_TOKEN, requests_tx)?;
    let settings = build_proxy_settings(&plan, &listeners, &upstream, server.address)?;
    let (client_address, upstream_address) = (settings.client_address, settings.upstream_address);
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
    let announcing_core = core.clone();
    spawn_local(async move { apply_announcement(&announcing_core, announcement, &records).await });
    let operator_address = server.address;
    let proxy_task = spawn_local(async move {
        run_proxy(&core, listeners, &stopped).await;
        // The upstream must keep running as long as its node.
        drop(upstream);
    });
    let started = StartedNode {
        client_address,
        operator_address,
        upstream_address,
        server,
    };
    Ok((proxy_task, started))
}

fn build_upstream_settings(plan: &NodePlan, executions: ExecutionLog) -> UpstreamSettings {
    UpstreamSettings {
        instance: plan.name.to_string(),
        names: UPSTREAM_HEADER_NAMES,
        slots: plan.slots,
        service_times: plan.service_times.clone(),
        seed: plan.seed,
        echoes_request: true,
        executions,
        crash_prefixes: Vec::new(),
    }
}

fn build_proxy_settings(
    plan: &NodePlan,
    listeners: &ProxyListeners,
    upstream: &StandInUpstream,
    operator_address: SocketAddr,
) -> io::Result<ProxySettings> {
    Ok(ProxySettings {
        name: plan.name.clone(),
        availability_zone: plan.availability_zone.clone(),
        client_address: listeners.clients.local_addr()?,
        peer_address: listeners.peers.local_addr()?,
        upstream_address: upstream.address,
        service: plan.service.clone(),
        limits: NodeLimits {
            retry_budget: RETRY_BUDGET,
            probes_per_second: PROBES_PER_SECOND,
            shutdown_grace: SHUTDOWN_GRACE,
            configuration_apply_timeout: DEFAULT_CONFIGURATION_APPLY_TIMEOUT,
            slow_start: SlowStartSettings::default(),
            quota: QuotaSettings::default(),
            key_expiry: None,
            upstream_health: None,
            node_checks: false,
            overload: OverloadSettings::default(),
            memory_bytes: DEFAULT_MEMORY_BYTES,
        },
        log: LogSettings {
            ordinary_one_in: 1,
            kept_lines: KEPT_LOG_LINES,
        },
        operator_address: Some(operator_address),
        first_start: true,
        headers: HeaderNames::default_names(),
    })
}
