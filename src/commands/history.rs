//! `camphorturn history`: lists who published which configuration, when and why.

use crate::{
    commands::publish::query_first,
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        exit_code::ExitCode,
    },
    protocol::operator_views::HistoryView,
    transport::operators::client::OperatorClient,
};
use bpaf::Bpaf;
use std::{
    io::{self, Write},
    time::{Duration, UNIX_EPOCH},
};

/// Arguments of `history`.
#[derive(Clone, Debug, Bpaf)]
pub struct HistoryArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Print one JSON object instead of text
    pub json: bool,
}

/// Lists the publications that nodes remember.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_history(
    arguments: &HistoryArguments,
    access: &OperatorAccess,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let client = OperatorClient::new(access);
    let history = match query_first(access, |node| client.fetch_history(node)) {
        Ok(history) => history,
        Err(problem) => {
            eprintln!("no history: {problem}");
            return Ok(ExitCode::Unreachable);
        }
    };
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &history)?;
        writeln!(out)?;
    } else {
        write_history(&history, out)?;
    }
    Ok(ExitCode::Success)
}

fn write_history(history: &HistoryView, out: &mut dyn Write) -> io::Result<()> {
    writeln!(out, "version {} is in force", history.in_force.0)?;
    for entry in &history.publications {
        let time = UNIX_EPOCH + Duration::from_millis(entry.published_ms);
        writeln!(
            out,
            "version {}  {}  {}: {}",
            entry.version.0,
            humantime::format_rfc3339_seconds(time),
            entry.author,
            entry.note
        )?;
        for change in &entry.changes {
            writeln!(out, "    {change}")?;
        }
    }
    Ok(())
}
