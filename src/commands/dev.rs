//! `camphorturn dev`: a whole mesh in one process, to look at and to load.

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
use deployments::{build_booking_mesh_plan, build_call_kinds};
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

/// How long the mesh may take until every node knows every other one and the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Calls a second if none are given.
const DEFAULT_LOAD: f64 = 200.0;
/// Length of a load if none is given, in seconds.
const DEFAULT_SECONDS: u64 = 10;

/// Arguments of `dev`.
#[derive(Clone, Debug, Bpaf)]
pub struct DevArguments {
    /// Run for this many seconds in place of until Ctrl-C, with a load and a report at the end
    #[bpaf(long("for"), argument("SECONDS"), optional)]
    pub seconds: Option<u64>,
    /// Calls a second of the load
    #[bpaf(argument("CALLS_PER_SECOND"), optional)]
    pub load: Option<f64>,
    /// Seed of the load and of the upstreams' service times
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Print the report as JSON
    pub json: bool,
}

/// `dev` could not do its work.
#[derive(Debug, Error)]
pub enum DevError {
    /// The mesh could not be started.
    #[error(transparent)]
    Start(#[from] LocalMeshError),
    /// The nodes did not find each other.
    #[error("the mesh was not ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// Signals can't be waited for.
    #[error("can't wait for signals: {0}")]
    Signals(#[from] io::Error),
}

/// Runs the mesh until the time is over or Ctrl-C is pressed, and reports on the load to `out`.
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
        write_directions(&mesh, out)?;
    }
    if arguments.load.is_none() && arguments.seconds.is_none() {
        return Ok(wait_for_signal().map(|()| None));
    }
    let load = LoadPlan {
        kinds: build_call_kinds(&plan.configuration),
        node_addresses: mesh.caller_addresses(),
        calls_per_second: arguments.load.unwrap_or(DEFAULT_LOAD),
        duration: Duration::from_secs(arguments.seconds.unwrap_or(DEFAULT_SECONDS)),
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
    // One signal is enough; the iterator blocks until it comes.
    let _ = signals.forever().next();
    Ok(())
}

fn write_directions(mesh: &LocalMesh, out: &mut dyn Write) -> io::Result<()> {
    let nodes = mesh.nodes.len();
    writeln!(
        out,
        "camphorturn dev: {nodes} nodes on loopback, Ctrl-C ends them"
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
        "\nA lookup:\n  curl -i -H 'Host: frontdesk.example' 'http://{callers}/slots/?day=tuesday'"
    )?;
    writeln!(
        out,
        "A booking, sent to a second upstream only on proof that the first did not run it:"
    )?;
    writeln!(
        out,
        "  curl -i -H 'Host: frontdesk.example' -d '{{\"slot\":7}}' http://{callers}/bookings/"
    )?;
    let program = find_program();
    let access = format!("--node {operators} --token {LOCAL_TOKEN}");
    writeln!(out, "What the nodes say:")?;
    writeln!(out, "  {program} status {access}")?;
    writeln!(out, "  {program} timeline {access}")?;
    writeln!(out, "  {program} explain {access} REQUEST\n")
}

/// The path by which this program was started: it need not be on the search path.
fn find_program() -> String {
    let path = env::args().next();
    path.unwrap_or_else(|| "camphorturn".to_owned())
}
