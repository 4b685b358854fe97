//! The node's daemon.

use camphorturn::{
    node::run_node,
    options::{exit_code::ExitCode, node_arguments::NodeArguments},
    transport::logging::start_logging,
};
use std::process;

fn main() -> process::ExitCode {
    let code = NodeArguments::from_process().map_or_else(|code| code, |arguments| run(&arguments));
    code.into()
}

fn run(arguments: &NodeArguments) -> ExitCode {
    let settings = match arguments.load_settings() {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::BadInput;
        }
    };
    let _log = start_logging(&settings.logging);
    match run_node(settings) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            eprintln!("camphorturnd: {error}");
            ExitCode::Failed
        }
    }
}
