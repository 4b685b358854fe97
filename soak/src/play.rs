//! Plays the faults of a seed, and checks.

use crate::{
    callers::{CALLERS, call_again, call_node},
    checks::find_violations,
    history::{ColdTime, Disturbance, Violation},
    link::Link,
    machine::{CRASHING_PREFIX, Machine},
    plan::{Fault, IllLink, PlannedFault, draw_faults},
    report::PlayReport,
    world::World,
};
use camphorturn_stand_ins::store::StoreCondition;
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

/// Longest wait until all nodes are ready, at the start and after the faults. Reached only by a failure.
pub const READY_PATIENCE: Duration = Duration::from_secs(30);
/// How long callers go on after the faults.
const CALM: Duration = Duration::from_secs(2);
/// Time in which a stopping process has to end, with a margin over its settings for a busy machine.
const STOP_PATIENCE: Duration = Duration::from_secs(15);
/// How long after a kill its callers may still notice.
const KILL_ECHO: Duration = Duration::from_secs(3);
/// How long an upstream is away that a request has crashed, at the least.
const CRASHED_LASTS: Duration = Duration::from_millis(300);
/// How long a store is away that comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(400);
/// How often the store is looked at by an operator whose word it can't take.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// How long a leaving upstream stays.
const LEAVE_LASTS: Duration = Duration::from_millis(2_600);

/// How a seed is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlayOptions {
    /// Length of the faults.
    pub seconds: u64,
    /// Nodes.
    pub nodes: usize,
}

/// Plays one seed.
///
/// # Errors
/// If the nodes can't be started.
pub async fn play_seed(seed: u64, options: PlayOptions) -> io::Result<PlayReport> {
    let span = Duration::from_secs(options.seconds);
    let faults = draw_faults(seed, span, options.nodes);
    let world = World::start(options.nodes, Some(seed)).await?;
    let mut violations = Vec::new();
    if !world.wait_ready(READY_PATIENCE).await {
        violations.push(Violation {
            promise: "nodes become ready",
            seen: "not at the start".to_owned(),
        });
    }
    let callers = start_callers(&world, seed);
    play_faults(&world, &faults).await;
    violations.extend(find_late_nodes(&world).await);
    sleep(CALM).await;
    world.finish();
    for caller in callers {
        // One that panicked has told so itself.
        let _ = caller.await;
    }
    violations.extend(stop_all(&world).await);
    let history = world.history.borrow();
    let runs = world.list_runs();
    violations.extend(find_violations(&history, &runs));
    let report = PlayReport::build(seed, &faults, &history, runs.len(), violations);
    if report.is_clean() {
        world.remove_folder();
    } else {
        eprintln!("lines of the nodes: {}", world.folder.display());
    }
    Ok(report)
}

fn start_callers(world: &Rc<World>, seed: u64) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for node in 0..world.machines.len() {
        for caller in 0..CALLERS {
            callers.push(spawn_local(call_node(Rc::clone(world), node, caller, seed)));
        }
    }
    callers
}

async fn play_faults(world: &Rc<World>, faults: &[PlannedFault]) {
    let began = tokio::time::Instant::now();
    let mut playing = Vec::new();
    for fault in faults {
        sleep_until(began + fault.at).await;
        playing.push(spawn_local(play_fault(Rc::clone(world), *fault)));
    }
    for fault in playing {
        // One that panicked has told so itself.
        let _ = fault.await;
    }
    world.store.set_condition(StoreCondition::Healthy);
    for machine in &world.machines {
        machine.signal(Signal::SIGCONT);
        Machine::set_link(&machine.store_link, None);
        Machine::set_link(&machine.upstream_link, None);
        machine.upstream.clear_planned_actions();
    }
}

async fn play_fault(world: Rc<World>, planned: PlannedFault) {
    let (lasts, from) = (planned.lasts, Instant::now());
    let machine = |node: usize| &world.machines[node];
    match planned.fault {
        Fault::Stop(node) => {
            note(&world, node, STOP_PATIENCE, true);
            machine(node).signal(Signal::SIGTERM);
        }
        Fault::Kill(node) => kill(&world, node),
        Fault::KillAll => (0..world.machines.len()).for_each(|node| kill(&world, node)),
        Fault::Freeze(node) => {
            note(&world, node, lasts + KILL_ECHO, false);
            machine(node).signal(Signal::SIGSTOP);
            sleep(lasts).await;
            machine(node).signal(Signal::SIGCONT);
            world.note_hindrance(Some(node), from);
        }
        Fault::Reload { node, told } => {
            if let Err(error) = machine(node).change_settings() {
                eprintln!("settings of node {node} not changed: {error}");
            }
            if told {
                machine(node).signal(Signal::SIGHUP);
            }
        }
        Fault::Store(condition) => {
            world.store.set_condition(condition);
            sleep(lasts).await;
            world.store.set_condition(StoreCondition::Healthy);
            world.note_hindrance(None, from);
        }
        Fault::StoreReturns(away) => return_store(&world, away, lasts).await,
        Fault::StoreForgets => world.store.compact_history(),
        Fault::StoreLink { node, ill } => {
            harm(&machine(node).store_link, ill, lasts).await;
            world.note_hindrance(Some(node), from);
        }
        Fault::UpstreamLink { node, ill } => {
            harm(&machine(node).upstream_link, ill, lasts).await;
            let to = Instant::now();
            let held_up = ColdTime { node, from, to };
            world.history.borrow_mut().held_up.push(held_up);
        }
        Fault::Evacuate(zone) => {
            if world.store.condition() == StoreCondition::Healthy {
                world.evacuate(zone);
                sleep(lasts).await;
                while world.store.condition() != StoreCondition::Healthy {
                    sleep(LOOK_PAUSE).await;
                }
                world.take_back(zone);
            }
        }
        Fault::TurnCold(node) => {
            machine(node).upstream.start_warmup(lasts);
            let to = from + lasts;
            let cold = ColdTime { node, from, to };
            world.history.borrow_mut().cold_times.push(cold);
        }
        Fault::Act { node, act, times } => machine(node).upstream.plan_actions(&vec![act; times]),
        Fault::Leave(node) => {
            machine(node).leaving.set(true);
            machine(node).upstream.set_leaving(true);
            sleep(LEAVE_LASTS).await;
            machine(node).replace_upstream();
        }
        Fault::Replace(node) => machine(node).replace_upstream(),
        Fault::Crash(node) => {
            machine(node).upstream.crash();
            sleep(lasts).await;
            machine(node).restart_upstream();
        }
        Fault::CrashingRequest(calls) => {
            let target = format!("{CRASHING_PREFIX}{}", planned.at.as_millis());
            let restarts = spawn_local(restart_crashed(Rc::clone(&world)));
            call_again(&world, &target, calls, lasts).await;
            sleep(CRASHED_LASTS).await;
            restarts.abort();
            world.machines.iter().for_each(restart_if_crashed);
        }
        Fault::Configure => publish(&world, 1),
        Fault::Grow(routes) => publish(&world, routes),
        Fault::Foreign(node, place, damage) => world.put_foreign(node, place, damage).await,
    }
}

/// Starts upstreams again some time after they have crashed, until dropped.
async fn restart_crashed(world: Rc<World>) {
    loop {
        let crashed = world
            .machines
            .iter()
            .filter(|machine| machine.upstream.is_crashed());
        let crashed: Vec<usize> = crashed.map(|machine| machine.plan.number).collect();
        sleep(CRASHED_LASTS).await;
        for number in crashed {
            restart_if_crashed(&world.machines[number]);
        }
    }
}

fn restart_if_crashed(machine: &Machine) {
    if machine.upstream.is_crashed() {
        machine.restart_upstream();
    }
}

/// Has the store come back from a copy that is as old as `age`, unless another fault of the store is under way.
async fn return_store(world: &World, away: StoreCondition, age: Duration) {
    let copy = world.store.take_snapshot();
    sleep(age).await;
    if world.store.condition() != StoreCondition::Healthy {
        return;
    }
    let from = Instant::now();
    world.store.set_condition(away);
    sleep(STORE_AWAY).await;
    let lost = world.store.restore_snapshot(copy);
    world.write_again(&lost);
    world.store.set_condition(StoreCondition::Healthy);
    world.note_hindrance(None, from);
}

/// Operators' writes fail while the store is ill.
fn publish(world: &World, routes: usize) {
    if world.store.condition() == StoreCondition::Healthy {
        world.publish(routes);
    }
}

async fn harm(link: &Link, ill: IllLink, lasts: Duration) {
    Machine::set_link(link, Some(ill));
    sleep(lasts).await;
    Machine::set_link(link, None);
}

fn kill(world: &World, node: usize) {
    note(world, node, KILL_ECHO, false);
    world.machines[node].signal(Signal::SIGKILL);
}

/// Notes that something is done to a node from now on.
fn note(world: &World, node: usize, lasts: Duration, planned: bool) {
    let from = Instant::now();
    world.history.borrow_mut().disturbances.push(Disturbance {
        node,
        from,
        to: from + lasts,
        planned,
    });
}

/// After the faults all nodes are ready again.
async fn find_late_nodes(world: &World) -> Option<Violation> {
    if world.wait_ready(READY_PATIENCE).await {
        return None;
    }
    Some(Violation {
        promise: "nodes become ready",
        seen: "not after the faults".to_owned(),
    })
}

/// A process that is told to stop ends.
async fn stop_all(world: &World) -> Vec<Violation> {
    for machine in &world.machines {
        machine.signal(Signal::SIGTERM);
    }
    let began = Instant::now();
    let mut violations = Vec::new();
    for machine in &world.machines {
        while !machine.has_ended() && began.elapsed() < STOP_PATIENCE {
            sleep(Duration::from_millis(20)).await;
        }
        if !machine.has_ended() {
            violations.push(Violation {
                promise: "a planned stop ends",
                seen: format!("node {} goes on", machine.plan.number),
            });
        }
    }
    violations
}
