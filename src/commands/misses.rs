//! `camphorturn misses`: which requests were not served on time, when and why.

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

/// A window long enough for some lines of a sample, and short enough to tell an outage from the time around it.
const DEFAULT_WINDOW: Duration = Duration::from_secs(2);
/// Times in lines are whole milliseconds.
const LEAST_WINDOW: Duration = Duration::from_millis(1);
/// What nodes on the platform write, unless they were told otherwise.
const DEFAULT_ONE_IN: u64 = 16;
/// Lines without a number that are shown one by one. A file that is no log at all would fill the terminal.
const SHOWN_PASSED: usize = 20;
/// Characters of such a line that are shown.
const SHOWN_TEXT: usize = 100;

/// Arguments of `misses`.
#[derive(Clone, Debug, Bpaf)]
pub struct MissesArguments {
    /// Length of a window, such as 500ms, 2s or 1m (2s)
    #[bpaf(
        argument::<humantime::Duration>("TIME"),
        map(Duration::from),
        guard(is_window, "must be at least 1ms"),
        fallback(DEFAULT_WINDOW)
    )]
    pub window: Duration,
    /// Of how many requests that go as they should nodes write one (16)
    #[bpaf(
        argument("N"),
        guard(is_divisor, "must be at least 1"),
        fallback(DEFAULT_ONE_IN)
    )]
    pub one_in: u64,
    /// Print one JSON object in place of text
    pub json: bool,
    /// Where lines come from.
    #[bpaf(external(source_arguments))]
    pub source: SourceArguments,
}

/// What `--json` prints.
#[derive(Serialize)]
struct MissesView<'a> {
    #[serde(flatten)]
    report: &'a MissReport,
    /// Nodes that could not be asked.
    unreached: &'a [String],
    /// Lines that nodes no longer hold.
    forgotten_lines: u64,
    /// Lines that no node numbered.
    passed_over: &'a [UnrecognizedLine],
}

/// Shows which requests were not served on time.
///
/// # Errors
/// If `out` can't be written to.
pub fn run_misses(arguments: &MissesArguments, out: &mut dyn Write) -> io::Result<ExitCode> {
    let Some(collected) = arguments.source.collect_or_report()? else {
        return Ok(ExitCode::BadInput);
    };
    write_passed(&collected.passed_over)?;
    let sampling = read_sampling(arguments.one_in);
    let report = report_misses(&collected.read.incarnations, arguments.window, sampling);
    if arguments.json {
        let view = MissesView {
            report: &report,
            unreached: &collected.unreached,
            forgotten_lines: collected.dropped,
            passed_over: &collected.passed_over,
        };
        serde_json::to_writer_pretty(&mut *out, &view)?;
        writeln!(out)?;
    } else {
        write_report(&report, out)?;
    }
    Ok(judge(&collected, &report))
}

fn judge(collected: &CollectedLines, report: &MissReport) -> ExitCode {
    match (collected.unreached.is_empty(), report.total.lines) {
        (true, 0) => ExitCode::Failed,
        (true, _) => ExitCode::Success,
        (false, _) if collected.read.incarnations.is_empty() => ExitCode::Unreachable,
        (false, _) => ExitCode::Partial,
    }
}

fn read_sampling(one_in: u64) -> Sampling {
    let rules = LogSettings {
        ordinary_one_in: one_in,
        kept_lines: 0,
    };
    Sampling {
        ordinary_one_in: one_in,
        late_one_in: rules.late_one_in(),
    }
}

/// Names the places of lines that were passed over, so that a damaged one can be looked up.
fn write_passed(passed: &[UnrecognizedLine]) -> io::Result<()> {
    let mut err = io::stderr().lock();
    for UnrecognizedLine { source, line, text } in passed.iter().take(SHOWN_PASSED) {
        let start = text.chars().take(SHOWN_TEXT).map(show_character);
        let start: String = start.collect();
        writeln!(err, "  {source}:{line}: {start}")?;
    }
    if passed.len() > SHOWN_PASSED {
        let more = passed.len() - SHOWN_PASSED;
        writeln!(err, "  and {more} more; --json lists all")?;
    }
    Ok(())
}

/// A damaged line may hold what would change the colours of a terminal or clear it.
fn show_character(character: char) -> char {
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
const fn is_divisor(one_in: &u64) -> bool {
    *one_in > 0
}

fn is_window(window: &Duration) -> bool {
    *window >= LEAST_WINDOW
}
