//! `camphorturn misses`: shows which requests were not served on time, when and why.

mod text;

use crate::{
    commands::{
        log_source::{CollectedLines, SourceArguments, UnrecognizedLine, source_arguments},
        misses::text::write_report,
    },
    log_reading::misses::{MissReport, breakdown::Sampling, report_misses},
    options::{exit_code::ExitCode, proxy_settings::LogSettings},
};
use bpaf::Bpaf;
use serde::Serialize;
use std::{
    io::{self, Write},
    time::Duration,
};

/// Long enough to hold several lines of a sample, and short enough to separate an outage from the time around it.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);
/// Times in log lines are whole milliseconds.
const MIN_WINDOW: Duration = Duration::from_millis(1);
/// Default sampling rate of nodes on the platform.
const DEFAULT_ONE_IN: u64 = 16;
/// Maximum number of unrecognized lines that are shown. A file that isn't a log would fill the terminal.
const MAX_SHOWN_LINES: usize = 20;
/// Maximum number of characters that are shown of an unrecognized line.
const MAX_SHOWN_CHARACTERS: usize = 100;

/// Arguments of `misses`.
#[derive(Clone, Debug, Bpaf)]
pub struct MissesArguments {
    /// Length of a time window, such as 500ms, 2s or 1m (default 2s)
    #[bpaf(
        argument::<humantime::Duration>("TIME"),
        map(Duration::from),
        guard(is_valid_window, "must be at least 1ms"),
        fallback(DEFAULT_WINDOW)
    )]
    pub window: Duration,
    /// Sampling rate of the nodes: they log one in N requests that end normally (default 16)
    #[bpaf(
        argument("N"),
        guard(is_positive, "must be at least 1"),
        fallback(DEFAULT_ONE_IN)
    )]
    pub one_in: u64,
    /// Print one JSON object instead of text
    pub json: bool,
    /// Source of the log lines.
    #[bpaf(external(source_arguments))]
    pub source: SourceArguments,
}

/// What `--json` prints.
#[derive(Serialize)]
struct MissesView<'a> {
    #[serde(flatten)]
    report: &'a MissReport,
    /// Nodes that could not be reached, each with its address and the reason.
    unreached: &'a [String],
    /// Number of lines that nodes no longer hold in memory.
    forgotten_lines: u64,
    /// Lines that are not log lines of a node.
    #[serde(rename = "passed_over")]
    unrecognized: &'a [UnrecognizedLine],
}

/// Writes a report on the requests that were not served on time.
///
/// # Errors
/// If `out` can't be written to.
pub fn run_misses(arguments: &MissesArguments, out: &mut dyn Write) -> io::Result<ExitCode> {
    let Some(collected) = arguments.source.collect_or_report()? else {
        return Ok(ExitCode::BadInput);
    };
    write_unrecognized(&collected.unrecognized)?;
    let sampling = compute_sampling(arguments.one_in);
    let report = report_misses(&collected.log.incarnations, arguments.window, sampling);
    if arguments.json {
        let view = MissesView {
            report: &report,
            unreached: &collected.unreached,
            forgotten_lines: collected.dropped,
            unrecognized: &collected.unrecognized,
        };
        serde_json::to_writer_pretty(&mut *out, &view)?;
        writeln!(out)?;
    } else {
        write_report(&report, out)?;
    }
    Ok(choose_exit_code(&collected, &report))
}

fn choose_exit_code(collected: &CollectedLines, report: &MissReport) -> ExitCode {
    match (collected.unreached.is_empty(), report.total.lines) {
        (true, 0) => ExitCode::Failed,
        (true, _) => ExitCode::Success,
        (false, _) if collected.log.incarnations.is_empty() => ExitCode::Unreachable,
        (false, _) => ExitCode::Partial,
    }
}

fn compute_sampling(one_in: u64) -> Sampling {
    let rules = LogSettings {
        ordinary_one_in: one_in,
        kept_lines: 0,
    };
    Sampling {
        ordinary_one_in: one_in,
        late_one_in: rules.late_one_in(),
    }
}

/// Lists unrecognized lines with their positions, so that a damaged line can be looked up.
fn write_unrecognized(lines: &[UnrecognizedLine]) -> io::Result<()> {
    let mut err = io::stderr().lock();
    for UnrecognizedLine { source, line, text } in lines.iter().take(MAX_SHOWN_LINES) {
        let start = text
            .chars()
            .take(MAX_SHOWN_CHARACTERS)
            .map(replace_control_character);
        let start: String = start.collect();
        writeln!(err, "  {source}:{line}: {start}")?;
    }
    if lines.len() > MAX_SHOWN_LINES {
        let more = lines.len() - MAX_SHOWN_LINES;
        writeln!(err, "  and {more} more; --json lists all")?;
    }
    Ok(())
}

/// Replaces control characters: a damaged line may hold sequences that change the colours of a terminal or clear it.
fn replace_control_character(character: char) -> char {
    if character.is_control() {
        char::REPLACEMENT_CHARACTER
    } else {
        character
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the parser passes a reference"
)]
const fn is_positive(one_in: &u64) -> bool {
    *one_in > 0
}

fn is_valid_window(window: &Duration) -> bool {
    *window >= MIN_WINDOW
}
