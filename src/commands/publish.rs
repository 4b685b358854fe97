//! `camphorturn publish`: puts a configuration into force and tells whether that worked.

mod command;
mod in_force;

pub use command::{PublishArguments, publish_arguments, run_publish_command};
pub use in_force::{InForceReport, NodeAnswer, WaitOptions, wait_in_force};

use crate::{
    commands::log_session::LogSession,
    coordination::publishing::{
        PublishOutcome, PublishPlan, PublishRequest, find_outcome, plan_publication,
    },
    options::exit_code::ExitCode,
    protocol::platform_log::{AppendError, PlatformLog},
    state::log_record::{LogRecord, RecordId, encode_record},
    timers::TimerService,
};
use serde::Serialize;
use std::{fmt, time::Duration};

/// Looks for an own record before it is appended once more.
const LOOKS: u32 = 4;

/// What the command is told.
#[derive(Clone, Debug)]
pub struct PublishOptions {
    /// What to publish.
    pub request: PublishRequest,
    /// Time for the log, all reads and appends together.
    pub limit: Duration,
    /// Wait until nodes have the version, if wanted.
    pub wait: Option<WaitOptions>,
}

/// What the command did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PublishReport {
    /// How the publication ended.
    #[serde(flatten)]
    pub outcome: PublishOutcome,
    /// Where it is in force, if that was asked for and it was accepted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nodes: Option<InForceReport>,
}

impl PublishReport {
    /// Exit code of the command.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match &self.outcome {
            PublishOutcome::Conflict { .. } => ExitCode::Conflict,
            PublishOutcome::NotStarted { .. } => ExitCode::Unreachable,
            PublishOutcome::Refused { .. } | PublishOutcome::Unknown { .. } => ExitCode::Failed,
            PublishOutcome::Accepted { .. } | PublishOutcome::AlreadyInForce { .. } => {
                let everywhere = self.nodes.as_ref().is_none_or(InForceReport::is_everywhere);
                if everywhere {
                    ExitCode::Success
                } else {
                    ExitCode::Partial
                }
            }
        }
    }
}

impl fmt::Display for PublishReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.outcome {
            PublishOutcome::Accepted {
                id,
                version,
                in_force,
            } => {
                writeln!(f, "accepted as version {} (record {id})", version.0)?;
                if in_force > version {
                    writeln!(
                        f,
                        "version {} has replaced it since; to publish it again, give --based-on {0}",
                        in_force.0
                    )?;
                }
            }
            PublishOutcome::AlreadyInForce { version } => {
                writeln!(f, "already in force as version {}", version.0)?;
            }
            PublishOutcome::Conflict {
                based_on,
                in_force,
                meanwhile,
            } => {
                writeln!(
                    f,
                    "conflict: based on version {}, but version {} is in force",
                    based_on.0, in_force.0
                )?;
                for entry in meanwhile {
                    writeln!(f, "  {} published: {}", entry.author, entry.note)?;
                    for change in &entry.changes {
                        writeln!(f, "    {change}")?;
                    }
                }
                writeln!(
                    f,
                    "merge these changes and publish with --based-on {}",
                    in_force.0
                )?;
            }
            PublishOutcome::Refused { reason } => {
                writeln!(f, "the log refused the record, nothing changed: {reason}")?;
            }
            PublishOutcome::NotStarted { reason } => {
                writeln!(f, "nothing was published: {reason}")?;
            }
            PublishOutcome::Unknown { id, reason } => {
                writeln!(f, "unknown whether record {id} was stored: {reason}")?;
                writeln!(
                    f,
                    "run the same command again, or with --id {id}: it tells, and never publishes twice"
                )?;
            }
        }
        match &self.nodes {
            Some(nodes) => nodes.fmt(f),
            None => Ok(()),
        }
    }
}

/// Publishes, and waits for the nodes if asked to.
pub fn run_publish(
    options: &PublishOptions,
    log: &impl PlatformLog,
    timers: &TimerService,
) -> PublishReport {
    let mut session = LogSession::new(log, timers, options.limit);
    let outcome = publish(&options.request, &mut session);
    let version = match outcome {
        PublishOutcome::Accepted { version, .. } | PublishOutcome::AlreadyInForce { version } => {
            Some(version)
        }
        _ => None,
    };
    let nodes = options.wait.as_ref().zip(version).map(|(wait, version)| {
        let members = session.state().members();
        wait_in_force(wait, members, version, timers)
    });
    PublishReport { outcome, nodes }
}

fn publish<L: PlatformLog>(
    request: &PublishRequest,
    session: &mut LogSession<'_, L>,
) -> PublishOutcome {
    if let Err(error) = session.read_to_end() {
        let reason = error.to_string();
        return PublishOutcome::NotStarted { reason };
    }
    match plan_publication(session.state(), request) {
        PublishPlan::Done(outcome) => outcome,
        PublishPlan::Append(record) => append_until_seen(&record, session),
    }
}

/// Appends and looks for the record until its fate is known or the time is up.
///
/// An answer proves nothing: it may be lost after the write, or belong to another append. Only the
/// record in the log does. It is appended again only after looking for it, with the same id, which
/// the fold takes once however many copies arrive, and in whatever order.
fn append_until_seen<L: PlatformLog>(
    record: &LogRecord,
    session: &mut LogSession<'_, L>,
) -> PublishOutcome {
    let text = match encode_record(record) {
        Ok(text) => text,
        Err(error) => return refused(error.to_string()),
    };
    let mut may_be_stored = false;
    let mut reason = "the record is not in the log yet".to_owned();
    while !session.is_over() {
        match session.log().append(&text) {
            Ok(_) => may_be_stored = true,
            Err(AppendError::Refused(reason)) if !may_be_stored => return refused(reason),
            Err(error) => {
                may_be_stored = true;
                reason = error.to_string();
            }
        }
        match look_for(record.id, session) {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(unreadable) => reason = unreadable,
        }
    }
    let id = record.id;
    PublishOutcome::Unknown { id, reason }
}

fn look_for<L: PlatformLog>(
    id: RecordId,
    session: &mut LogSession<'_, L>,
) -> Result<Option<PublishOutcome>, String> {
    for _ in 0..LOOKS {
        session.read_to_end().map_err(|e| e.to_string())?;
        if let Some(outcome) = find_outcome(session.state(), id) {
            return Ok(Some(outcome));
        }
        if session.is_over() {
            break;
        }
        session.pause();
    }
    Ok(None)
}

fn refused(reason: String) -> PublishOutcome {
    PublishOutcome::Refused { reason }
}
