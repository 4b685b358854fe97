//! The command line of the operators' tool.

use crate::{
    commands::{
        check::{CheckArguments, check_arguments},
        dev::{DevArguments, dev_arguments},
        drain::{DrainArguments, drain_arguments},
        evacuate::{EvacuateArguments, evacuate_arguments},
        explain::{ExplainArguments, explain_arguments},
        history::{HistoryArguments, history_arguments},
        logs::{LogsArguments, logs_arguments},
        misses::{MissesArguments, misses_arguments},
        publish::{PublishArguments, publish_arguments},
        status::{StatusArguments, status_arguments},
        timeline::{TimelineArguments, timeline_arguments},
    },
    options::exit_code::ExitCode,
};
use bpaf::{Bpaf, ParseFailure};

/// The operators' tool of camphorturn.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("camphorturn"), version)]
pub enum Command {
    /// Check configurations without publishing them
    #[bpaf(command)]
    Check(#[bpaf(external(check_arguments))] CheckArguments),
    /// Put a configuration in force
    #[bpaf(command)]
    Publish(#[bpaf(external(publish_arguments))] PublishArguments),
    /// Show who published what, when and why
    #[bpaf(command)]
    History(#[bpaf(external(history_arguments))] HistoryArguments),
    /// Show all nodes, classes against their targets, and what is wrong
    #[bpaf(command)]
    Status(#[bpaf(external(status_arguments))] StatusArguments),
    /// Show the log lines of all nodes in causal order
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_arguments))] TimelineArguments),
    /// Explain the outcome of one request
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_arguments))] ExplainArguments),
    /// Summarize the log lines of all nodes
    #[bpaf(command)]
    Logs(#[bpaf(external(logs_arguments))] LogsArguments),
    /// Show which requests were not served on time, when and why
    #[bpaf(command)]
    Misses(#[bpaf(external(misses_arguments))] MissesArguments),
    /// Stop new requests to an upstream and let it finish those in progress
    #[bpaf(command)]
    Drain(#[bpaf(external(drain_arguments))] DrainArguments),
    /// Send no requests to the upstreams of an availability zone until it is restored
    #[bpaf(command)]
    Evacuate(#[bpaf(external(evacuate_arguments))] EvacuateArguments),
    /// Run a whole mesh in this process, with stand-ins for upstreams and the store
    #[bpaf(command)]
    Dev(#[bpaf(external(dev_arguments))] DevArguments),
}

impl Command {
    /// Parses the arguments of this process.
    ///
    /// # Errors
    /// The exit code of the process, after the help, the version or a message about wrong arguments was printed.
    pub fn from_process() -> Result<Self, ExitCode> {
        let parsed = command().run_inner(bpaf::Args::current_args());
        parsed.map_err(|failure| report_parse_failure(&failure))
    }
}

/// Prints the help, the version or a message about wrong arguments. Returns the exit code of the process.
fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(TERMINAL_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::Success,
        ParseFailure::Stderr(_) => ExitCode::BadInput,
    }
}

/// Help texts are wrapped at this width, in characters.
const TERMINAL_WIDTH: usize = 80;
