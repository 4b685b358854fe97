//! `camphorturn explain`: shows the outcome of one request and its cause, from the log lines of all nodes.

use crate::{
    commands::{log_source::SourceArguments, timeline::page::write_page},
    log_reading::{
        description::NodeNames,
        incarnations::NodeIncarnation,
        order::{TimedLine, order_lines},
        request_trace::{RequestTrace, TraceStep, trace_request},
    },
    options::{
        access::{AccessArguments, access_arguments},
        exit_code::ExitCode,
    },
};
use bpaf::Bpaf;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainArguments {
    /// How to reach nodes; without one, files or standard input are read.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Print one JSON object instead of text
    pub json: bool,
    /// Also write an HTML page with a lane for each node to this file
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
    /// Id of the request, as sent by its client or returned in its answer
    #[bpaf(positional("REQUEST"))]
    pub request: String,
    /// Log files of nodes; without any, and without --node, standard input is read
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Explains the outcome of a request. The exit code is `Failed` if no line mentions it.
///
/// # Errors
/// If `out` or the page can't be written to.
pub fn run_explain(arguments: &ExplainArguments, out: &mut dyn Write) -> io::Result<ExitCode> {
    let source = SourceArguments {
        access: arguments.access.clone(),
        files: arguments.files.clone(),
    };
    let Some(collected) = source.collect_or_report()? else {
        return Ok(ExitCode::BadInput);
    };
    let trace = trace_request(&collected.log.incarnations, &arguments.request);
    if let Some(path) = &arguments.html {
        write_trace_page(path, &collected.log.incarnations, &arguments.request)?;
    }
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &trace)?;
        writeln!(out)?;
    } else {
        write_trace(&trace, out)?;
    }
    Ok(if trace.steps.is_empty() {
        ExitCode::Failed
    } else {
        ExitCode::Success
    })
}

fn write_trace(trace: &RequestTrace, out: &mut dyn Write) -> io::Result<()> {
    if trace.steps.is_empty() {
        writeln!(out, "No log line mentions request {}.", trace.request)?;
        return writeln!(
            out,
            "Nodes log only a sample of the requests that end normally, and drop lines above their rate \
             limits."
        );
    }
    let end = if trace.end.is_empty() {
        "end not logged"
    } else {
        &trace.end
    };
    writeln!(out, "Request {}: {end}", trace.request)?;
    for cause in &trace.causes {
        writeln!(out, "  {cause}")?;
    }
    writeln!(out, "\nSteps, in milliseconds since its arrival:")?;
    write_steps(&trace.steps, out)?;
    if !trace.state_changes.is_empty() {
        writeln!(out, "\nState changes of the involved nodes at that time:")?;
        write_steps(&trace.state_changes, out)?;
    }
    if !trace.calls.is_empty() {
        writeln!(out, "\nCalls made for it:")?;
    }
    for call in &trace.calls {
        writeln!(
            out,
            "  {} ms  {}  {}: {}",
            call.took_ms, call.request, call.class, call.end
        )?;
    }
    Ok(())
}

fn write_steps(steps: &[TraceStep], out: &mut dyn Write) -> io::Result<()> {
    for step in steps {
        writeln!(
            out,
            "  {:>7} {:<18} {} {}",
            step.at_ms,
            step.node.as_str(),
            step.event,
            step.text
        )?;
    }
    Ok(())
}

fn write_trace_page(
    path: &Path,
    incarnations: &[NodeIncarnation],
    request: &str,
) -> io::Result<()> {
    let lines: Vec<TimedLine> = order_lines(incarnations)
        .into_iter()
        .filter(|timed| timed.line.request() == Some(request))
        .collect();
    let mut file = BufWriter::new(File::create(path)?);
    write_page(&lines, &NodeNames::collect(incarnations), &[], &mut file)?;
    file.flush()
}
