//! Plays faults on real camphorturn processes, and checks what callers and upstreams see.
//!
//! Nodes are processes of their own, started by this tool with the platform's settings file; store and
//! upstreams are stand-ins in this process, reached over links that can be delayed, cut and silenced.
//! Everything that is drawn at random comes from one seed.

pub mod arguments;
pub mod callers;
pub mod checks;
pub mod configurations;
pub mod foreign;
mod heartbeats;
pub mod history;
pub mod link;
pub mod machine;
pub mod plan;
pub mod play;
pub mod report;
mod serve;
mod world;

use arguments::{Command, command};
use camphorturn_platform::{
    arguments::Arguments,
    daemon::{run_daemon, run_daemon_with_listeners},
    node::PlatformListeners,
};
use play::{PlayOptions, play_seed};
use report::write_report;
use serve::serve;
use std::{io, process::ExitCode};
use tokio::{runtime::Builder, task::LocalSet};

/// Runs the tool with the arguments of this process.
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
            PlayOptions { seconds, nodes },
            json,
        )),
    }
}

/// Runs a node until it has stopped. Behind a link it listens at another port than it tells others: theirs is the link's.
fn run_node(behind_link: Option<u16>) -> ExitCode {
    let arguments = Arguments { check: false };
    let Some(port) = behind_link else {
        return run_daemon(arguments);
    };
    run_daemon_with_listeners(arguments, async move |settings| {
        let mut behind = settings.clone();
        behind.proxy.peer_address.set_port(port);
        PlatformListeners::bind(&behind).await
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

/// Plays one seed after the other; true if none broke a promise.
fn run_seeds(seeds: std::ops::Range<u64>, options: PlayOptions, json: bool) -> io::Result<bool> {
    let mut clean = true;
    for seed in seeds {
        let report = block_on(play_seed(seed, options))?;
        clean &= report.is_clean();
        write_report(&report, json, &mut io::stdout().lock())?;
    }
    Ok(clean)
}

fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}
