//! Injects random faults into real camphorturn processes, and checks what callers and upstreams observe.
//!
//! Each node is a process that this tool starts with a settings file of the platform. The store and the upstreams are
//! stand-ins in this tool's process. Nodes reach them over links that can be slow, reset connections or drop bytes.
//! One seed determines the faults and the requests. Service times have a fixed seed for each VM.

pub mod arguments;
pub mod callers;
pub mod checks;
pub mod configurations;
pub mod corruption;
pub mod fault_plan;
mod heartbeats;
pub mod history;
pub mod link;
mod mesh;
pub mod organisations;
pub mod report;
pub mod seed_run;
mod serve;
pub mod vm;

use arguments::{Command, command};
use camphorturn_platform::{
    arguments::Arguments,
    daemon::{run_daemon, run_daemon_with_listeners},
    node::PlatformListeners,
};
use report::write_report;
use seed_run::{SeedOptions, run_seed};
use serve::serve;
use std::{io, process::ExitCode};
use tokio::{runtime::Builder, task::LocalSet};

/// Parses the arguments of this process and runs the command that they name.
#[must_use]
pub fn run_tool() -> ExitCode {
    match command().run() {
        Command::Node { behind_link } => run_node(behind_link),
        Command::Serve { nodes } => finish(block_on(serve(nodes)).map(|()| true)),
        Command::Run {
            seed,
            count,
            seconds,
            nodes,
            json,
        } => finish(run_seeds(
            seed..seed + count,
            SeedOptions { seconds, nodes },
            json,
        )),
    }
}

/// Runs a node until it has stopped. With `behind_link` the node listens for other nodes on that port, and announces the
/// port of the link in front of it.
fn run_node(behind_link: Option<u16>) -> ExitCode {
    let arguments = Arguments { check: false };
    let Some(port) = behind_link else {
        return run_daemon(arguments);
    };
    run_daemon_with_listeners(arguments, async move |settings| {
        let mut settings_behind_link = settings.clone();
        settings_behind_link.proxy.peer_address.set_port(port);
        PlatformListeners::bind(&settings_behind_link).await
    })
}

fn finish(result: io::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("camphorturn-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the seeds one after the other. Returns true if no check found a violation.
fn run_seeds(seeds: std::ops::Range<u64>, options: SeedOptions, json: bool) -> io::Result<bool> {
    let mut clean = true;
    for seed in seeds {
        let report = block_on(run_seed(seed, options))?;
        clean &= report.is_clean();
        write_report(&report, json, &mut io::stdout().lock())?;
    }
    Ok(clean)
}

fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}
