//! `camphorturn history`: who published what, when, and how it ended.

use crate::{
    commands::log_session::{LogSession, LogSessionError},
    protocol::platform_log::PlatformLog,
    state::{
        configuration::ConfigurationVersion,
        published::{PublicationEntry, Verdict},
    },
    timers::TimerService,
};
use serde::Serialize;
use std::{fmt, time::Duration};

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
