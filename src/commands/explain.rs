//! `camphorturn explain`: what became of one request and why, from the lines of all nodes.

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
    /// Print one JSON object in place of sentences
    pub json: bool,
    /// Write a page with a lane for each node to this file as well
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
    /// Identity of the request, as its client sent it or its answer bears it
    #[bpaf(positional("REQUEST"))]
    pub request: String,
    /// Files with the lines of nodes; without any, and without --node, standard input
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Tells what became of a request.
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
    let trace = trace_request(&collected.read.incarnations, &arguments.request);
    if let Some(path) = &arguments.html {
        write_story_page(path, &collected.read.incarnations, &arguments.request)?;
    }
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &trace)?;
        writeln!(out)?;
    } else {
        write_story(&trace, out)?;
    }
    Ok(if trace.steps.is_empty() {
        ExitCode::Failed
    } else {
        ExitCode::Success
    })
}

fn write_story(trace: &RequestTrace, out: &mut dyn Write) -> io::Result<()> {
    if trace.steps.is_empty() {
        writeln!(out, "No line tells of request {}.", trace.request)?;
        return writeln!(
            out,
            "Of requests that go as they should only a sample is written, and nodes leave out lines above \
             their bounds."
        );
    }
    let end = if trace.end.is_empty() {
        "end not told"
    } else {
        &trace.end
    };
    writeln!(out, "Request {}: {end}", trace.request)?;
    for cause in &trace.causes {
        writeln!(out, "  {cause}")?;
    }
    writeln!(out, "\nSteps, in milliseconds since it came:")?;
    write_steps(&trace.steps, out)?;
    if !trace.state_changes.is_empty() {
        writeln!(out, "\nWhat the nodes told of themselves at that time:")?;
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

fn write_story_page(
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
