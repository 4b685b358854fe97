//! Runs real nodes with callers and seeded faults, and checks what was recorded.

use super::{
    attribution::Attribution,
    callers::{AnswerNames, CallersPlan, ToldRecord, named_group, start_callers},
    checker::{Violation, check_history},
    event::{CallNumber, Event, Happening, KeyNumber},
    faults::{FaultCounts, FaultRunner, plan_steps},
    recorder::Recorder,
    version_watch::VersionWatch,
};
use camphorturn::{
    commands::dev::deployments::{booking_deployments, call_kinds},
    local_mesh::{LocalMesh, LocalMeshError, ready::wait_until_ready},
    timers::TimerService,
};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};
use thiserror::Error;

/// Longest wait until all nodes know each other.
const READY_LIMIT: Duration = Duration::from_mins(1);

/// A run could not be done, so that there is no verdict.
#[derive(Debug, Error)]
pub enum RunError {
    /// A node or stand-in could not be started.
    #[error(transparent)]
    Mesh(#[from] LocalMeshError),
    /// The nodes did not find each other.
    #[error("the mesh was not ready after {READY_LIMIT:?}")]
    NotReady,
    /// A thread of the run panicked.
    #[error("a thread of the run ended early")]
    Panicked,
    /// An upstream dropped records of runs.
    #[error("an upstream has dropped records of runs: use fewer calls")]
    RunsDropped,
}

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// Seed of the calls and of the faults.
    pub seed: u64,
    /// How long calls are started and faults happen.
    pub span: Duration,
    /// Calls with new keys, or without any, a second.
    pub rate: f64,
}

/// The verdict of a run, and figures that tell how much it saw.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The seed.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: f64,
    /// Calls made, repeated ones too.
    pub calls: usize,
    /// Keys that more than one call had.
    pub repeated_keys: usize,
    /// Runs at the upstreams.
    pub runs: usize,
    /// Highest version that a node had in force.
    pub highest_version: u64,
    /// Faults and publications.
    #[serde(flatten)]
    pub faults: FaultCounts,
    /// What callers were told.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Reasons given for calls not answered.
    pub reasons: BTreeMap<String, u64>,
    /// What must never happen, and did.
    pub violations: Vec<Violation>,
}

/// A run's report and everything it recorded.
pub struct FinishedRun {
    /// The report.
    pub report: RunReport,
    /// The recording.
    pub events: Vec<Event>,
}

/// Does a whole run.
///
/// # Errors
/// If the run could not be done; that is no verdict on the nodes.
pub fn run_history(plan: RunPlan) -> Result<FinishedRun, RunError> {
    let mesh_plan = booking_deployments(plan.seed);
    let mut mesh = LocalMesh::start(&mesh_plan)?;
    if !wait_until_ready(&mesh, READY_LIMIT) {
        return Err(RunError::NotReady);
    }
    let (recorder, events) = Recorder::start();
    let timers = TimerService::system();
    let watch = VersionWatch::start(mesh.operator_addresses(), recorder.clone());
    let callers_plan = CallersPlan {
        kinds: call_kinds(&mesh_plan.configuration),
        entries: mesh.caller_addresses(),
        rate: plan.rate,
        span: plan.span,
        seed: plan.seed,
    };
    let callers = start_callers(callers_plan, recorder.clone());
    let steps = plan_steps(plan.seed, plan.span, mesh.nodes.len());
    let mut runner = FaultRunner {
        mesh: &mut mesh,
        recorder: &recorder,
        timers: &timers,
        counts: FaultCounts::default(),
    };
    runner.run(&steps)?;
    let faults = runner.counts;
    let told = callers.join().map_err(|_| RunError::Panicked)?;
    timers.stop();
    if !watch.end() {
        return Err(RunError::Panicked);
    }
    let attribution = Attribution::new(&told);
    record_runs(&mesh, &attribution, &recorder)?;
    let mut events: Vec<Event> = events.drain().collect();
    attribution.assign_answers(&mut events);
    let report = build_report(plan, &events, &told, faults);
    Ok(FinishedRun { report, events })
}

fn record_runs(
    mesh: &LocalMesh,
    attribution: &Attribution<'_>,
    recorder: &Recorder,
) -> Result<(), RunError> {
    for local in &mesh.nodes {
        let runs = local.upstream.runs();
        if local.upstream.run_count() != runs.len() as u64 {
            return Err(RunError::RunsDropped);
        }
        for run in runs {
            let Some(group) = named_group(&run.path) else {
                continue;
            };
            let id = run.call;
            let call = attribution.find_call(&AnswerNames { group, id });
            let happening = Happening::Ran {
                call,
                upstream: local.upstream.name().to_owned(),
                sequence: run.sequence,
            };
            recorder.record_upstream(local.upstream.started(), run.started_micros, happening);
        }
    }
    Ok(())
}

fn keys_of_calls(events: &[Event]) -> BTreeMap<CallNumber, KeyNumber> {
    let keyed = events.iter().filter_map(|event| match event.happening {
        Happening::Started { call, key, .. } => Some((call, key?)),
        _ => None,
    });
    keyed.collect()
}

fn build_report(
    plan: RunPlan,
    events: &[Event],
    told: &[ToldRecord],
    faults: FaultCounts,
) -> RunReport {
    let mut uses: BTreeMap<KeyNumber, u64> = BTreeMap::new();
    for key in keys_of_calls(events).into_values() {
        *uses.entry(key).or_default() += 1;
    }
    let mut outcomes = BTreeMap::new();
    let mut reasons = BTreeMap::new();
    for one in told {
        *outcomes.entry(one.outcome).or_default() += 1;
        if let Some(reason) = &one.reason {
            *reasons.entry(reason.clone()).or_default() += 1;
        }
    }
    let is_run = |event: &&Event| matches!(event.happening, Happening::Ran { .. });
    let versions = events.iter().filter_map(|event| match event.happening {
        Happening::Version { version, .. } => Some(version),
        _ => None,
    });
    RunReport {
        seed: plan.seed,
        seconds: plan.span.as_secs_f64(),
        calls: told.len(),
        repeated_keys: uses.values().filter(|count| **count > 1).count(),
        runs: events.iter().filter(is_run).count(),
        highest_version: versions.max().unwrap_or(0),
        faults,
        outcomes,
        reasons,
        violations: check_history(events),
    }
}
