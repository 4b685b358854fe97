//! `camphorturn status`: shows the state of all reachable nodes, problems first.

pub mod report;
pub mod text;

use crate::{
    commands::{
        mesh::{MeshSurvey, survey_nodes},
        status::{
            report::{StatusReport, summarize},
            text::write_status,
        },
    },
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        exit_code::ExitCode,
    },
    timers::TimerService,
    transport::operators::client::OperatorClient,
};
use bpaf::Bpaf;
use std::{
    io::{self, Write},
    time::Duration,
};

/// Escape sequences that clear a terminal and move the cursor to the upper left corner.
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
pub struct StatusArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Print one JSON object instead of text
    pub json: bool,
    /// Refresh every two seconds until interrupted
    pub watch: bool,
}

/// Time between two refreshes with `--watch`.
const WATCH_PERIOD: Duration = Duration::from_secs(2);

/// Shows the status once, or repeatedly with `--watch`.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_status(
    arguments: &StatusArguments,
    access: &OperatorAccess,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let code = show_once(arguments, access, out)?;
    if !arguments.watch {
        return Ok(code);
    }
    for _ in timers.every(WATCH_PERIOD) {
        show_once(arguments, access, out)?;
    }
    Ok(code)
}

fn show_once(
    arguments: &StatusArguments,
    access: &OperatorAccess,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let client = OperatorClient::new(access);
    let survey = survey_nodes(&client, &access.nodes);
    let report = summarize(&survey);
    if arguments.json {
        write_json(&report, &survey, out)?;
    } else {
        if arguments.watch {
            out.write_all(CLEAR_SCREEN.as_bytes())?;
        }
        write_status(&report, &survey, out)?;
    }
    out.flush()?;
    Ok(choose_exit_code(&survey))
}

/// Returns the exit code for a survey. Nodes that are leaving needn't answer.
#[must_use]
pub fn choose_exit_code(survey: &MeshSurvey) -> ExitCode {
    if survey.reached.is_empty() {
        ExitCode::Unreachable
    } else if survey.unreached.iter().all(|node| node.leaving) {
        ExitCode::Success
    } else {
        ExitCode::Partial
    }
}

/// What `status --json` prints.
#[derive(serde::Serialize)]
struct StatusDocument<'a> {
    #[serde(flatten)]
    report: &'a StatusReport,
    nodes: &'a MeshSurvey,
}

fn write_json(report: &StatusReport, nodes: &MeshSurvey, out: &mut dyn Write) -> io::Result<()> {
    serde_json::to_writer(&mut *out, &StatusDocument { report, nodes })?;
    writeln!(out)
}
