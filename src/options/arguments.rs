//! The command line of the operators' tool.

use crate::{
    commands::check::{CheckArguments, check_arguments},
    options::{exit_code::ExitCode, node_arguments::report_parse_failure},
};
use bpaf::Bpaf;

/// The operators' tool of camphorturn.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("camphorturn"), version)]
pub enum Command {
    /// Check settings files and configurations without using them
    #[bpaf(command)]
    Check(#[bpaf(external(check_arguments))] CheckArguments),
}

impl Command {
    /// Reads the arguments of this process.
    ///
    /// # Errors
    /// The code to exit with, after help, version or a complaint was printed.
    pub fn from_process() -> Result<Self, ExitCode> {
        let parsed = command().run_inner(bpaf::Args::current_args());
        parsed.map_err(|failure| report_parse_failure(&failure))
    }
}
