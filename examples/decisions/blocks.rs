//! Runs the blocks of a scenario, the policies in turn.

use super::{
    arguments::Arguments,
    deployment::{SLOTS, call_kinds, plan_mesh},
    figures::{BlockResult, ScenarioFigures, summarise},
    scenario::Scenario,
    schedule::{end_events, plan_events, run_events},
};
use camphorturn::{
    local_mesh::{
        LocalMesh,
        load::{LoadPlan, run_load},
        ready::wait_until_ready,
    },
    state::configuration::PolicyName,
};
use camphorturn_stand_ins::upstream::{Run, RunEnd};
use std::{error::Error, thread, time::Duration};

/// How long a mesh may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Load by which service times are measured and connections opened, in calls a second.
const WARM_UP_RATE: f64 = 300.0;
/// Length of that load.
const WARM_UP_SPAN: Duration = Duration::from_secs(2);
/// Time after a block in which late calls end and knowledge ages.
const PAUSE: Duration = Duration::from_millis(1_500);

/// One policy with its mesh and what its blocks gave.
struct Contestant {
    policy: PolicyName,
    mesh: LocalMesh,
    results: Vec<BlockResult>,
}

/// Runs a scenario with all policies.
///
/// # Errors
/// If a mesh can't be started.
pub fn run_scenario(
    scenario: Scenario,
    arguments: &Arguments,
) -> Result<ScenarioFigures, Box<dyn Error>> {
    let mut contestants = Vec::new();
    for policy in arguments.policies() {
        contestants.push(start_contestant(scenario, policy, arguments.seed)?);
    }
    let mean = contestants
        .iter()
        .map(|contestant| warm_up(scenario, contestant))
        .fold(f64::INFINITY, f64::min);
    let slots = usize::from(SLOTS) * scenario.upstreams();
    #[expect(clippy::cast_precision_loss, reason = "a few dozen slots")]
    let capacity = slots as f64 / mean;
    let span = Duration::from_secs(arguments.seconds);
    for block in 0..arguments.blocks {
        let seed = arguments.seed.wrapping_mul(1_000).wrapping_add(block);
        for contestant in &mut contestants {
            let rate = capacity * scenario.load_share();
            let result = run_block(scenario, contestant, rate, span, seed);
            contestant.results.push(result);
            thread::sleep(PAUSE);
        }
    }
    let results = contestants
        .into_iter()
        .map(|contestant| (contestant.policy, contestant.results))
        .collect::<Vec<_>>();
    Ok(summarise(scenario, capacity, span, &results))
}

fn start_contestant(
    scenario: Scenario,
    policy: PolicyName,
    seed: u64,
) -> Result<Contestant, Box<dyn Error>> {
    let mesh = LocalMesh::start(&plan_mesh(scenario, policy, seed))?;
    if !wait_until_ready(&mesh, READY_TIMEOUT) {
        return Err("a mesh was not ready in time".into());
    }
    Ok(Contestant {
        policy,
        mesh,
        results: Vec::new(),
    })
}

/// Opens connections and returns the mean time of a run at a healthy upstream, in seconds.
fn warm_up(scenario: Scenario, contestant: &Contestant) -> f64 {
    let load = plan_load(scenario, contestant, WARM_UP_RATE, WARM_UP_SPAN, 0);
    let _ = run_load(&load);
    let runs = all_runs(&contestant.mesh);
    mean_run_seconds(&runs)
}

fn run_block(
    scenario: Scenario,
    contestant: &Contestant,
    rate: f64,
    span: Duration,
    seed: u64,
) -> BlockResult {
    let mesh = &contestant.mesh;
    let events = plan_events(scenario, span, seed);
    let load = plan_load(scenario, contestant, rate, span, seed);
    let measured_before = mesh.measuring_totals();
    let runs_before = count_runs(mesh);
    let records = thread::scope(|scope| {
        scope.spawn(|| run_events(mesh, &events));
        run_load(&load)
    });
    end_events(mesh);
    let measured = mesh.measuring_totals();
    BlockResult {
        kinds: load.kinds,
        runs: count_runs(mesh) - runs_before,
        probes: measured.probes - measured_before.probes,
        probe_bytes: measured.bytes - measured_before.bytes,
        records,
    }
}

fn plan_load(
    scenario: Scenario,
    contestant: &Contestant,
    rate: f64,
    span: Duration,
    seed: u64,
) -> LoadPlan {
    LoadPlan {
        kinds: call_kinds(scenario),
        entries: contestant.mesh.caller_addresses(),
        rate,
        span,
        seed,
    }
}

fn all_runs(mesh: &LocalMesh) -> Vec<Run> {
    mesh.nodes
        .iter()
        .flat_map(|local| local.upstream.runs())
        .collect()
}

fn count_runs(mesh: &LocalMesh) -> u64 {
    mesh.nodes
        .iter()
        .map(|local| local.upstream.run_count())
        .sum()
}

fn mean_run_seconds(runs: &[Run]) -> f64 {
    let finished = runs
        .iter()
        .filter(|run| run.end == RunEnd::Finished)
        .filter_map(|run| Some(run.ended_micros? - run.started_micros))
        .collect::<Vec<_>>();
    #[expect(clippy::cast_precision_loss, reason = "microseconds of a few seconds")]
    let mean = finished.iter().sum::<u64>() as f64 / finished.len().max(1) as f64;
    mean / 1e6
}
