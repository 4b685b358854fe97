//! The operators' command line.

use camphorturn::{
    commands::check::run_check,
    options::{arguments::Command, exit_code::ExitCode},
};
use std::{io, process};

fn main() -> process::ExitCode {
    let code = Command::from_process().map_or_else(|code| code, |command| run(&command));
    code.into()
}

fn run(command: &Command) -> ExitCode {
    let mut out = io::stdout().lock();
    let done = match command {
        Command::Check(arguments) => run_check(arguments, &mut out),
    };
    done.unwrap_or_else(|error| {
        eprintln!("can't write the result: {error}");
        ExitCode::Failed
    })
}
