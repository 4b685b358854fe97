//! `camphorturn timeline`: shows the log lines of all nodes in causal order.

pub mod page;
pub mod selection;
pub mod text;

use crate::{
    commands::{
        log_source::{CollectedLines, NodeLogReader, SourceArguments, source_arguments},
        timeline::{
            page::write_page,
            selection::{LineSelection, line_selection},
            text::{write_line_json, write_line_text},
        },
    },
    log_reading::{
        description::NodeNames,
        order::{TimedLine, order_lines},
    },
    options::exit_code::ExitCode,
    timers::TimerService,
};
use bpaf::Bpaf;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
    time::Duration,
};

/// Time between two queries of the nodes with `--follow`.
const FOLLOW_PERIOD: Duration = Duration::from_millis(500);

/// Arguments of `timeline`.
#[derive(Clone, Debug, Bpaf)]
pub struct TimelineArguments {
    /// Filters for lines.
    #[bpaf(external(line_selection))]
    pub selection: LineSelection,
    /// Show new lines of running nodes until interrupted
    pub follow: bool,
    /// Print one JSON object per line instead of text
    pub json: bool,
    /// Write an HTML page with a lane for each node to this file
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
    /// Source of the log lines.
    #[bpaf(external(source_arguments))]
    pub source: SourceArguments,
}

/// Shows the timeline.
///
/// # Errors
/// If `out` or the page can't be written to.
pub fn run_timeline(
    arguments: &TimelineArguments,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    if arguments.follow {
        return follow(arguments, timers, out);
    }
    let Some(collected) = arguments.source.collect_or_report()? else {
        return Ok(ExitCode::BadInput);
    };
    show(arguments, &collected, out)?;
    Ok(choose_exit_code(&collected))
}

/// Shows new lines of running nodes until interrupted.
fn follow(
    arguments: &TimelineArguments,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let mut nodes = match NodeLogReader::new(&arguments.source.access) {
        Ok(nodes) => nodes,
        Err(error) => {
            eprintln!("--follow reads from running nodes: {error}");
            return Ok(ExitCode::BadInput);
        }
    };
    for _ in timers.every(FOLLOW_PERIOD) {
        let collected = nodes.collect();
        collected.report_missing()?;
        show(arguments, &collected, out)?;
    }
    Ok(ExitCode::Success)
}

fn show(
    arguments: &TimelineArguments,
    collected: &CollectedLines,
    out: &mut dyn Write,
) -> io::Result<()> {
    let incarnations = &collected.log.incarnations;
    let names = NodeNames::collect(incarnations);
    let lines = arguments.selection.select(order_lines(incarnations));
    match &arguments.html {
        Some(path) => write_page_file(path, &lines, &names, &collected.unreached),
        None => write_lines(&lines, &names, arguments.json, out),
    }
}

fn choose_exit_code(collected: &CollectedLines) -> ExitCode {
    match (
        collected.log.incarnations.is_empty(),
        collected.unreached.is_empty(),
    ) {
        (_, true) => ExitCode::Success,
        (true, false) => ExitCode::Unreachable,
        (false, false) => ExitCode::Partial,
    }
}

fn write_lines(
    lines: &[TimedLine],
    names: &NodeNames,
    json: bool,
    out: &mut dyn Write,
) -> io::Result<()> {
    for line in lines {
        if json {
            write_line_json(line, out)?;
        } else {
            write_line_text(line, names, out)?;
        }
    }
    out.flush()
}

fn write_page_file(
    path: &Path,
    lines: &[TimedLine],
    names: &NodeNames,
    unreached: &[String],
) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    write_page(lines, names, unreached, &mut file)?;
    file.flush()
}
