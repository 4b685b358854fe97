//! Measures the routing policies against each other: real nodes on loopback, stand-in upstreams.
//!
//! Every policy has a mesh of its own. All meshes run at once, but only one is loaded at a time;
//! the policies take turns in short blocks, and in each block all get the same seeded schedule of
//! calls and of events, so that what else the machine does hits all of them alike.

mod decisions {
    pub mod arguments;
    pub mod blocks;
    pub mod deployment;
    pub mod figures;
    pub mod plots;
    pub mod report;
    pub mod scenario;
    pub mod schedule;
}

use decisions::{
    arguments::{Arguments, read_arguments},
    blocks::run_scenario,
    plots::draw_plots,
    report::{Report, print_table},
};
use std::{error::Error, process::ExitCode};

fn main() -> ExitCode {
    let arguments = read_arguments();
    match measure(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("decisions: {e}");
            ExitCode::FAILURE
        }
    }
}

fn measure(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let mut report = Report::new(arguments);
    for scenario in arguments.scenarios() {
        eprintln!("decisions: {scenario}");
        let figures = run_scenario(scenario, arguments)?;
        if !arguments.json {
            print_table(&figures);
        }
        report.scenarios.push(figures);
    }
    if let Some(directory) = &arguments.plots {
        draw_plots(&report, directory)?;
    }
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    Ok(())
}
