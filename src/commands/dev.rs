//! `camphorturn dev`: runs a whole mesh in one process, to try it out or to put load on it.

pub mod deployments;
pub mod report;

use crate::{
    local_mesh::{
        LOCAL_TOKEN, LocalMesh, LocalMeshError,
        audit::{audit_calls, count_executions},
        load::{LoadPlan, run_load},
        plan::MeshPlan,
        ready::wait_until_ready,
    },
    options::exit_code::ExitCode,
};
use bpaf::Bpaf;
use deployments::{LIMITED_PARTNER, ORDINARY_PARTNER, build_booking_mesh_plan, build_call_kinds};
use report::DevReport;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{
    env,
    io::{self, Write},
    time::{Duration, Instant},
};
use thiserror::Error;

/// Time limit for every node to learn of every other node and of the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Load in calls per second if none is given.
const DEFAULT_CALLS_PER_SECOND: f64 = 200.0;
/// Duration of the load in seconds if none is given.
const DEFAULT_LOAD_SECONDS: u64 = 10;

/// Arguments of `dev`.
#[derive(Clone, Debug, Bpaf)]
pub struct DevArguments {
    /// Run for this many seconds with a load, then print a report, instead of running until Ctrl-C
    #[bpaf(long("for"), argument("SECONDS"), optional)]
    pub seconds: Option<u64>,
    /// Load in calls per second
    #[bpaf(argument("CALLS_PER_SECOND"), optional)]
    pub load: Option<f64>,
    /// Seed for the random numbers of the load and of the upstreams' service times
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Print the report as JSON
    pub json: bool,
}

/// Reasons why `dev` failed.
#[derive(Debug, Error)]
pub enum DevError {
    /// The mesh could not be started.
    #[error(transparent)]
    Start(#[from] LocalMeshError),
    /// The nodes did not learn of each other and of the configuration in time.
    #[error("the mesh was not ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// Waiting for signals failed.
    #[error("failed to wait for signals: {0}")]
    Signals(#[from] io::Error),
}

/// Runs the mesh with a load for the given time and writes a report to `out`; with neither `--load` nor `--for`, runs it
/// until Ctrl-C and writes no report. The exit code is `Failed` if the mesh could not be started or the report shows a
/// fault.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_dev(arguments: &DevArguments, out: &mut dyn Write) -> io::Result<ExitCode> {
    let report = match run_mesh(arguments, out)? {
        Ok(Some(report)) => report,
        Ok(None) => return Ok(ExitCode::Success),
        Err(error) => {
            eprintln!("camphorturn dev: {error}");
            return Ok(ExitCode::Failed);
        }
    };
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(if report.is_clean() {
        ExitCode::Success
    } else {
        ExitCode::Failed
    })
}

fn run_mesh(
    arguments: &DevArguments,
    out: &mut dyn Write,
) -> io::Result<Result<Option<DevReport>, DevError>> {
    let plan = build_booking_mesh_plan(arguments.seed);
    let mesh = match start_ready(&plan) {
        Ok(mesh) => mesh,
        Err(error) => return Ok(Err(error)),
    };
    if !arguments.json {
        write_instructions(&mesh, out)?;
    }
    if arguments.load.is_none() && arguments.seconds.is_none() {
        return Ok(wait_for_signal().map(|()| None));
    }
    let load = LoadPlan {
        kinds: build_call_kinds(&plan.configuration),
        node_addresses: mesh.caller_addresses(),
        calls_per_second: arguments.load.unwrap_or(DEFAULT_CALLS_PER_SECOND),
        duration: Duration::from_secs(arguments.seconds.unwrap_or(DEFAULT_LOAD_SECONDS)),
        seed: arguments.seed,
    };
    Ok(Ok(Some(run_dev_load(&mesh, &load))))
}

fn start_ready(plan: &MeshPlan) -> Result<LocalMesh, DevError> {
    let mesh = LocalMesh::start(plan)?;
    if wait_until_ready(&mesh, READY_TIMEOUT) {
        Ok(mesh)
    } else {
        Err(DevError::NotReady)
    }
}

fn run_dev_load(mesh: &LocalMesh, load: &LoadPlan) -> DevReport {
    let began = Instant::now();
    let records = run_load(load);
    let took = began.elapsed();
    let audit = audit_calls(&load.kinds, &records, &count_executions(mesh));
    DevReport::build(&load.kinds, &records, audit, took, mesh)
}

fn wait_for_signal() -> Result<(), DevError> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    // Blocks until one signal arrives.
    let _ = signals.forever().next();
    Ok(())
}

fn write_instructions(mesh: &LocalMesh, out: &mut dyn Write) -> io::Result<()> {
    let nodes = mesh.nodes.len();
    writeln!(
        out,
        "camphorturn dev: {nodes} nodes on loopback, Ctrl-C stops them"
    )?;
    for node in &mesh.nodes {
        writeln!(
            out,
            "  {:<13} {:<10} callers {}  operators {}",
            node.name(),
            node.plan.availability_zone,
            node.client_address,
            node.operator_address
        )?;
    }
    let Some(first) = mesh.nodes.first() else {
        return Ok(());
    };
    let (callers, operators) = (first.client_address, first.operator_address);
    writeln!(
        out,
        "\nTo send a lookup:\n  curl -i -H 'Host: frontdesk.example' 'http://{callers}/slots/?day=tuesday'"
    )?;
    writeln!(
        out,
        "To send a booking, which is retried at another upstream only if the first one certainly did not execute it:"
    )?;
    writeln!(
        out,
        "  curl -i -H 'Host: frontdesk.example' -d '{{\"slot\":7}}' http://{callers}/bookings/"
    )?;
    writeln!(
        out,
        "To send a lookup of an organisation, and one of an organisation whose quota a single request uses up:"
    )?;
    for partner in [&ORDINARY_PARTNER, &LIMITED_PARTNER] {
        writeln!(
            out,
            "  curl -i -H 'Host: frontdesk.example' -H 'X-Api-Key: {}' http://{callers}/slots/partners/",
            partner.api_key
        )?;
    }
    let program = find_program_path();
    let access = format!("--node {operators} --token {LOCAL_TOKEN}");
    writeln!(out, "To inspect the nodes:")?;
    writeln!(out, "  {program} status {access}")?;
    writeln!(out, "  {program} timeline {access}")?;
    writeln!(out, "  {program} explain {access} REQUEST\n")
}

/// Returns the path by which this program was started, since it need not be on the search path.
fn find_program_path() -> String {
    let path = env::args().next();
    path.unwrap_or_else(|| "camphorturn".to_owned())
}
