//! The run of one seed: starts the mesh and its callers, injects the faults, stops everything and runs the checks.

use crate::{
    callers::{CALLERS_PER_VM, call_node, send_repeatedly},
    checks::find_violations,
    fault_plan::{Fault, LinkFault, PlannedFault, draw_faults},
    history::{Disturbance, UpstreamPeriod, Violation},
    link::Link,
    mesh::SoakMesh,
    report::SeedReport,
    vm::{CRASHING_PREFIX, Vm},
};
use camphorturn_stand_ins::{store::StoreCondition, upstream::UpstreamAction};
use nix::sys::signal::Signal;
use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{sleep, sleep_until},
};

/// Longest wait until all nodes are ready, at the start and after the faults. Nodes that take longer have failed.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long callers continue after the faults have ended.
const CALM_PERIOD: Duration = Duration::from_secs(2);
/// Time within which a stopping process must end. It exceeds the stop time of the settings, since the host may be busy.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// How long after a kill its effects may still be visible to callers.
const KILL_AFTEREFFECT: Duration = Duration::from_secs(3);
/// Shortest downtime of an upstream that a request has crashed.
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);
/// Downtime of a store before it is restored from a backup.
const STORE_DOWNTIME: Duration = Duration::from_millis(400);
/// Interval at which an operator retries while the store is unavailable.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between an upstream's announcement that it drains and its replacement.
const LEAVE_DURATION: Duration = Duration::from_millis(2_600);

/// Options of a seed's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedOptions {
    /// Time for which faults are injected, in seconds.
    pub seconds: u64,
    /// Number of nodes.
    pub nodes: usize,
}

/// Runs one seed and returns its report. The folder with settings and logs stays if there is a violation.
///
/// # Errors
/// If the store, the upstreams or the nodes can't be started.
pub async fn run_seed(seed: u64, options: SeedOptions) -> io::Result<SeedReport> {
    let span = Duration::from_secs(options.seconds);
    let faults = draw_faults(seed, span, options.nodes);
    let mesh = SoakMesh::start(options.nodes, Some(seed)).await?;
    let mut violations = Vec::new();
    if !mesh.wait_until_ready(READY_TIMEOUT).await {
        violations.push(Violation {
            promise: "nodes become ready",
            observed: "not at the start".to_owned(),
        });
    }
    let callers = start_callers(&mesh, seed);
    inject_faults(&mesh, &faults).await;
    violations.extend(check_ready_after_faults(&mesh).await);
    sleep(CALM_PERIOD).await;
    mesh.finish();
    for caller in callers {
        // A task that panicked has already printed its message.
        let _ = caller.await;
    }
    violations.extend(stop_all_nodes(&mesh).await);
    let history = mesh.history.borrow();
    let executions = mesh.list_executions();
    violations.extend(find_violations(&history, &executions));
    let report = SeedReport::build(seed, &faults, &history, executions.len(), violations);
    if report.is_clean() {
        mesh.remove_folder();
    } else {
        eprintln!("logs of the nodes: {}", mesh.folder.display());
    }
    Ok(report)
}

fn start_callers(mesh: &Rc<SoakMesh>, seed: u64) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for node in 0..mesh.vms.len() {
        for caller in 0..CALLERS_PER_VM {
            callers.push(spawn_local(call_node(Rc::clone(mesh), node, caller, seed)));
        }
    }
    callers
}

/// Injects the faults at their times, waits for their ends and then removes what is left of them.
async fn inject_faults(mesh: &Rc<SoakMesh>, faults: &[PlannedFault]) {
    let began = tokio::time::Instant::now();
    let mut injections = Vec::new();
    for fault in faults {
        sleep_until(began + fault.start).await;
        injections.push(spawn_local(inject_fault(Rc::clone(mesh), *fault)));
    }
    for fault in injections {
        // A task that panicked has already printed its message.
        let _ = fault.await;
    }
    mesh.store.set_condition(StoreCondition::Healthy);
    for vm in &mesh.vms {
        vm.signal(Signal::SIGCONT);
        Vm::set_link_fault(&vm.store_link, None);
        Vm::set_link_fault(&vm.upstream_link, None);
        vm.upstream.clear_planned_actions();
    }
}

async fn inject_fault(mesh: Rc<SoakMesh>, planned: PlannedFault) {
    let (duration, from) = (planned.duration, Instant::now());
    let vm = |node: usize| &mesh.vms[node];
    match planned.fault {
        Fault::Stop(node) => {
            record_disturbance(&mesh, node, STOP_TIMEOUT, true);
            vm(node).signal(Signal::SIGTERM);
        }
        Fault::Kill(node) => kill_node(&mesh, node),
        Fault::KillAll => (0..mesh.vms.len()).for_each(|node| kill_node(&mesh, node)),
        Fault::Freeze(node) => {
            record_disturbance(&mesh, node, duration + KILL_AFTEREFFECT, false);
            vm(node).signal(Signal::SIGSTOP);
            sleep(duration).await;
            vm(node).signal(Signal::SIGCONT);
            mesh.record_update_outage(Some(node), from);
        }
        Fault::Reload { node, told } => {
            if let Err(error) = vm(node).change_settings() {
                eprintln!("could not change the settings of node {node}: {error}");
            }
            if told {
                vm(node).signal(Signal::SIGHUP);
            }
        }
        Fault::Store(condition) => {
            mesh.store.set_condition(condition);
            sleep(duration).await;
            mesh.store.set_condition(StoreCondition::Healthy);
            mesh.record_update_outage(None, from);
        }
        Fault::StoreReturns(condition) => restore_store(&mesh, condition, duration).await,
        Fault::StoreForgets => mesh.store.compact_history(),
        Fault::StoreLink { node, ill } => {
            apply_link_fault(&vm(node).store_link, ill, duration).await;
            mesh.record_update_outage(Some(node), from);
        }
        Fault::UpstreamLink { node, ill } => {
            apply_link_fault(&vm(node).upstream_link, ill, duration).await;
            let to = Instant::now();
            let delay = UpstreamPeriod { node, from, to };
            mesh.history.borrow_mut().delayed_links.push(delay);
        }
        Fault::Evacuate(zone) => {
            if mesh.store.condition() == StoreCondition::Healthy {
                mesh.evacuate(zone);
                sleep(duration).await;
                while mesh.store.condition() != StoreCondition::Healthy {
                    sleep(STORE_POLL_INTERVAL).await;
                }
                mesh.restore_zone(zone);
            }
        }
        Fault::TurnCold(node) => {
            vm(node).upstream.start_warmup(duration);
            let to = from + duration;
            let warmup = UpstreamPeriod { node, from, to };
            mesh.history.borrow_mut().warmups.push(warmup);
        }
        Fault::Act { node, act, times } => vm(node).upstream.plan_actions(&vec![act; times]),
        Fault::Partition => {
            set_partition(&mesh, Some(LinkFault::Silent));
            sleep(duration).await;
            set_partition(&mesh, None);
            mesh.record_update_outage(None, from);
        }
        Fault::Fail { node, act, percent } => {
            vm(node).upstream.set_usual_action(act, percent);
            sleep(duration).await;
            vm(node)
                .upstream
                .set_usual_action(UpstreamAction::Answer, 100);
            vm(node).upstream.release();
        }
        Fault::Leave(node) => {
            vm(node).is_leaving.set(true);
            vm(node).upstream.set_leaving(true);
            sleep(LEAVE_DURATION).await;
            vm(node).replace_upstream();
        }
        Fault::Replace(node) => vm(node).replace_upstream(),
        Fault::Crash(node) => {
            vm(node).upstream.crash();
            sleep(duration).await;
            vm(node).restart_upstream();
        }
        Fault::CrashingRequest(requests) => {
            let target = format!("{CRASHING_PREFIX}{}", planned.start.as_millis());
            let restart_task = spawn_local(restart_crashed_upstreams(Rc::clone(&mesh)));
            send_repeatedly(&mesh, &target, requests, duration).await;
            sleep(CRASH_DOWNTIME).await;
            restart_task.abort();
            mesh.vms.iter().for_each(restart_if_crashed);
        }
        Fault::Configure => publish(&mesh, 1),
        Fault::Grow(routes) => publish(&mesh, routes),
        Fault::Foreign(node, target, kind) => mesh.write_corrupted(node, target, kind).await,
    }
}

/// Restarts crashed upstreams after a downtime, until the task is aborted.
async fn restart_crashed_upstreams(mesh: Rc<SoakMesh>) {
    loop {
        let crashed = mesh.vms.iter().filter(|vm| vm.upstream.is_crashed());
        let crashed: Vec<usize> = crashed.map(|vm| vm.plan.number).collect();
        sleep(CRASH_DOWNTIME).await;
        for number in crashed {
            restart_if_crashed(&mesh.vms[number]);
        }
    }
}

fn restart_if_crashed(vm: &Vm) {
    if vm.upstream.is_crashed() {
        vm.restart_upstream();
    }
}

/// Restores the store from a backup that is `age` old, unless another fault of the store is in progress. `condition` is
/// the store's condition during the downtime before.
async fn restore_store(mesh: &SoakMesh, condition: StoreCondition, age: Duration) {
    let backup = mesh.store.take_backup();
    sleep(age).await;
    if mesh.store.condition() != StoreCondition::Healthy {
        return;
    }
    let from = Instant::now();
    mesh.store.set_condition(condition);
    sleep(STORE_DOWNTIME).await;
    let lost = mesh.store.restore_backup(backup);
    mesh.rewrite_lost(&lost);
    mesh.store.set_condition(StoreCondition::Healthy);
    mesh.record_update_outage(None, from);
}

/// Publishes a configuration, unless a fault of the store is in progress: an operator's write would fail.
fn publish(mesh: &SoakMesh, routes: usize) {
    if mesh.store.condition() == StoreCondition::Healthy {
        mesh.publish(routes);
    }
}

async fn apply_link_fault(link: &Link, ill: LinkFault, duration: Duration) {
    Vm::set_link_fault(link, Some(ill));
    sleep(duration).await;
    Vm::set_link_fault(link, None);
}

fn set_partition(mesh: &SoakMesh, fault: Option<LinkFault>) {
    let links = mesh.vms.iter().filter_map(|vm| vm.peers_link.as_ref());
    links.for_each(|link| Vm::set_link_fault(link, fault));
}

fn kill_node(mesh: &SoakMesh, node: usize) {
    record_disturbance(mesh, node, KILL_AFTEREFFECT, false);
    mesh.vms[node].signal(Signal::SIGKILL);
}

/// Records that a fault of a node may be visible from now on, for `duration`.
fn record_disturbance(mesh: &SoakMesh, node: usize, duration: Duration, planned: bool) {
    let from = Instant::now();
    mesh.history.borrow_mut().disturbances.push(Disturbance {
        node,
        from,
        to: from + duration,
        planned,
    });
}

/// Checks that all nodes become ready after the faults.
async fn check_ready_after_faults(mesh: &SoakMesh) -> Option<Violation> {
    if mesh.wait_until_ready(READY_TIMEOUT).await {
        return None;
    }
    Some(Violation {
        promise: "nodes become ready",
        observed: "not after the faults".to_owned(),
    })
}

/// Stops all nodes, and checks that their processes end in time.
async fn stop_all_nodes(mesh: &SoakMesh) -> Vec<Violation> {
    for vm in &mesh.vms {
        vm.signal(Signal::SIGTERM);
    }
    let began = Instant::now();
    let mut violations = Vec::new();
    for vm in &mesh.vms {
        while !vm.has_ended() && began.elapsed() < STOP_TIMEOUT {
            sleep(Duration::from_millis(20)).await;
        }
        if !vm.has_ended() {
            violations.push(Violation {
                promise: "a planned stop ends",
                observed: format!("node {} is still running", vm.plan.number),
            });
        }
    }
    violations
}
