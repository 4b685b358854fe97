//! `camphorturn history`: who published what, when, and how it ended.

use crate::{
    commands::log_session::{LogSession, LogSessionError},
    options::{
        access::{AccessArguments, AccessError, LogArguments, log_arguments},
        exit_code::ExitCode,
        node_settings::PlatformLogSettings,
    },
    protocol::platform_log::PlatformLog,
    state::{
        configuration::ConfigurationVersion,
        published::{PublicationEntry, Verdict},
    },
    timers::TimerService,
    transport::platform::LogClient,
};
use bpaf::Bpaf;
use serde::Serialize;
use std::{
    fmt,
    io::{self, Write},
    path::PathBuf,
    time::Duration,
};

/// What the command is told.
#[derive(Clone, Copy, Debug)]
pub struct HistoryOptions {
    /// Time for reading the log.
    pub limit: Duration,
}

/// The remembered publications.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HistoryReport {
    /// The version in force.
    pub in_force: ConfigurationVersion,
    /// Accepted ones and conflicts, oldest first.
    pub publications: Vec<PublicationEntry>,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version {} is in force", self.in_force.0)?;
        for entry in self.publications.iter().rev() {
            let seconds = entry.time_ms / 1_000;
            match entry.verdict {
                Verdict::Accepted(version) => write!(f, "version {}", version.0)?,
                Verdict::Conflict(version) => write!(f, "conflict with version {}", version.0)?,
            }
            writeln!(f, "  {seconds} s  {}: {}", entry.author, entry.note)?;
            for change in &entry.changes {
                writeln!(f, "    {change}")?;
            }
        }
        Ok(())
    }
}

/// Reads the log to its end and lists the publications.
///
/// # Errors
/// The log can't be read, or holds no usable state.
pub fn run_history(
    options: HistoryOptions,
    log: &impl PlatformLog,
    timers: &TimerService,
) -> Result<HistoryReport, LogSessionError> {
    let mut session = LogSession::new(log, timers, options.limit);
    session.read_to_end()?;
    let state = session.state();
    Ok(HistoryReport {
        in_force: state.version(),
        publications: state.publications().recent().cloned().collect(),
    })
}

/// Arguments of `history`.
#[derive(Clone, Debug, Bpaf)]
pub struct HistoryArguments {
    /// How to reach the log.
    #[bpaf(external(log_arguments))]
    pub log: LogArguments,
    /// Settings file of a node, for what isn't given by other arguments
    #[bpaf(long, env("CAMPHORTURN_SETTINGS"), argument("FILE"), optional)]
    pub settings: Option<PathBuf>,
    /// Give up on the log after so many seconds
    #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
    pub limit: u32,
    /// Print one JSON object in place of lines
    pub json: bool,
}

/// Reads the log and writes the publications to `out`.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_history_command(
    arguments: &HistoryArguments,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let log = match resolve_log(arguments) {
        Ok(log) => LogClient::for_settings(&log),
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::BadInput);
        }
    };
    let limit = Duration::from_secs(arguments.limit.into());
    match run_history(HistoryOptions { limit }, &log, timers) {
        Ok(report) if arguments.json => {
            serde_json::to_writer_pretty(&mut *out, &report)?;
            writeln!(out)?;
            Ok(ExitCode::Success)
        }
        Ok(report) => {
            write!(out, "{report}")?;
            Ok(ExitCode::Success)
        }
        Err(error) => {
            eprintln!("no history: {error}");
            Ok(exit_code_of(&error))
        }
    }
}

fn resolve_log(arguments: &HistoryArguments) -> Result<PlatformLogSettings, AccessError> {
    let access = AccessArguments {
        settings: arguments.settings.clone(),
        ..AccessArguments::default()
    };
    let settings = access.load_settings()?;
    arguments.log.resolve(settings.as_ref())
}

fn exit_code_of(error: &LogSessionError) -> ExitCode {
    match error {
        LogSessionError::Unreadable(_) | LogSessionError::TooSlow => ExitCode::Unreachable,
        LogSessionError::NoBase | LogSessionError::WentBackwards => ExitCode::Failed,
    }
}
