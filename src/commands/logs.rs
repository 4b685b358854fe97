//! `camphorturn logs`: summarizes a whole log.

use crate::{
    commands::log_source::{SourceArguments, source_arguments},
    log_reading::{order::order_lines, summary::summarize_lines},
    options::exit_code::ExitCode,
};
use bpaf::Bpaf;
use std::io::{self, Write};

/// Arguments of `logs`.
#[derive(Clone, Debug, Bpaf)]
pub struct LogsArguments {
    /// Print one JSON object instead of text
    pub json: bool,
    /// Source of the log lines.
    #[bpaf(external(source_arguments))]
    pub source: SourceArguments,
}

/// Writes a summary of all lines. The exit code is `Failed` if there are none.
///
/// # Errors
/// If `out` can't be written to.
pub fn run_logs(arguments: &LogsArguments, out: &mut dyn Write) -> io::Result<ExitCode> {
    let Some(collected) = arguments.source.collect_or_report()? else {
        return Ok(ExitCode::BadInput);
    };
    let incarnations = &collected.log.incarnations;
    let summary = summarize_lines(incarnations, &order_lines(incarnations));
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &summary)?;
        writeln!(out)?;
    } else {
        write!(out, "{summary}")?;
    }
    Ok(if summary.lines == 0 {
        ExitCode::Failed
    } else {
        ExitCode::Success
    })
}
