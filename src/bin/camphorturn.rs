//! Entry point of `camphorturn`, the command-line tool for operators.

use camphorturn::{
    commands::{
        check::run_check, dev::run_dev, drain::run_drain, evacuate::run_evacuate,
        explain::run_explain, history::run_history, logs::run_logs, misses::run_misses,
        publish::run_publish, status::run_status, timeline::run_timeline,
    },
    options::{
        access::{AccessArguments, OperatorAccess},
        arguments::Command,
        exit_code::ExitCode,
    },
    timers::TimerService,
};
use std::{io, process};

fn main() -> process::ExitCode {
    let code = Command::from_process().map_or_else(|code| code, |command| run(&command));
    code.into()
}

fn run(command: &Command) -> ExitCode {
    let mut out = io::stdout().lock();
    let out = &mut out;
    let result = match command {
        Command::Check(arguments) => run_check(arguments, out),
        Command::Dev(arguments) => run_dev(arguments, out),
        Command::Publish(arguments) => run_with_access(&arguments.access, |access| {
            run_publish(arguments, access, &TimerService::system(), out)
        }),
        Command::History(arguments) => run_with_access(&arguments.access, |access| {
            run_history(arguments, access, out)
        }),
        Command::Status(arguments) => run_with_access(&arguments.access, |access| {
            run_status(arguments, access, &TimerService::system(), out)
        }),
        Command::Timeline(arguments) => run_timeline(arguments, &TimerService::system(), out),
        Command::Explain(arguments) => run_explain(arguments, out),
        Command::Logs(arguments) => run_logs(arguments, out),
        Command::Misses(arguments) => run_misses(arguments, out),
        Command::Drain(arguments) => run_with_access(&arguments.access, |access| {
            run_drain(arguments, access, out)
        }),
        Command::Evacuate(arguments) => run_with_access(&arguments.access, |access| {
            run_evacuate(arguments, access, out)
        }),
    };
    result.unwrap_or_else(|error| {
        eprintln!("can't write the result: {error}");
        ExitCode::Failed
    })
}

/// Runs a command with the node addresses and the token from its arguments. Prints an error if one is missing.
fn run_with_access(
    arguments: &AccessArguments,
    run: impl FnOnce(&OperatorAccess) -> io::Result<ExitCode>,
) -> io::Result<ExitCode> {
    match arguments.resolve() {
        Ok(access) => run(&access),
        Err(error) => {
            eprintln!("{error}");
            Ok(ExitCode::BadInput)
        }
    }
}
