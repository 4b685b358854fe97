//! `camphorturn publish`: publishes a configuration and reports whether that succeeded.

mod in_force;

pub use in_force::{InForceReport, NodeAnswer, wait_until_in_force};

use crate::{
    coordination::publishing::{PublicationOutcome, PublicationRequest},
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        checked_file::{check_configuration, read_file},
        exit_code::ExitCode,
    },
    state::configuration::ConfigurationVersion,
    timers::TimerService,
    transport::operators::client::{OperatorClient, OperatorClientError},
};
use bpaf::Bpaf;
use serde::Serialize;
use std::{
    fmt,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    time::Duration,
};
use uuid::Uuid;

/// Arguments of `publish`.
#[derive(Clone, Debug, Bpaf)]
pub struct PublishArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Author to show in the history
    #[bpaf(long, env("CAMPHORTURN_AUTHOR"), argument("NAME"))]
    pub author: String,
    /// Reason for the change to show in the history
    #[bpaf(long, argument("TEXT"))]
    pub note: String,
    /// Version that the file is based on; if another one is in force, nothing is published
    #[bpaf(long, argument("VERSION"), optional)]
    pub based_on: Option<u64>,
    /// Id of an earlier attempt, to find out its outcome and to publish at most once
    #[bpaf(long, argument("UUID"), optional)]
    pub id: Option<Uuid>,
    /// Wait up to this many seconds until all nodes have the version
    #[bpaf(long, argument("SECONDS"), optional)]
    pub wait: Option<u32>,
    /// Print one JSON object instead of text
    pub json: bool,
    /// The whole configuration, JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Result of the command.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PublishReport {
    /// Id of the publication.
    pub id: Uuid,
    /// Outcome of the publication.
    #[serde(flatten)]
    pub outcome: PublicationOutcome,
    /// Nodes at which the version is in force, if `--wait` was given and the version is published.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nodes: Option<InForceReport>,
}

impl PublishReport {
    /// Exit code of the command.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match &self.outcome {
            PublicationOutcome::Conflict { .. } => ExitCode::Conflict,
            PublicationOutcome::NotStored { .. } => ExitCode::Unreachable,
            PublicationOutcome::Unknown { .. } => ExitCode::Failed,
            PublicationOutcome::Accepted { .. } | PublicationOutcome::AlreadyInForce { .. } => {
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
        let id = self.id;
        match &self.outcome {
            PublicationOutcome::Accepted { version, in_force } => {
                writeln!(f, "accepted as version {}", version.0)?;
                if in_force > version {
                    writeln!(f, "version {} has replaced it since", in_force.0)?;
                }
            }
            PublicationOutcome::AlreadyInForce { version } => {
                writeln!(f, "already in force as version {}", version.0)?;
            }
            PublicationOutcome::Conflict {
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
            PublicationOutcome::NotStored { reason } => {
                writeln!(f, "nothing was published: {reason}")?;
            }
            PublicationOutcome::Unknown { reason } => {
                writeln!(f, "unknown whether it was published: {reason}")?;
                writeln!(
                    f,
                    "run the same command with --id {id}: it reports the outcome and never publishes twice"
                )?;
            }
        }
        match &self.nodes {
            Some(nodes) => nodes.fmt(f),
            None => Ok(()),
        }
    }
}

/// Checks the file, publishes it and writes the outcome to `out`.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_publish(
    arguments: &PublishArguments,
    access: &OperatorAccess,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let name = arguments.file.display().to_string();
    let checked = read_file(&arguments.file).and_then(|text| check_configuration(&name, &text));
    let configuration = match checked {
        Ok(configuration) => configuration,
        Err(findings) => {
            eprintln!("{findings}");
            return Ok(ExitCode::BadInput);
        }
    };
    let request = PublicationRequest {
        id: arguments.id.unwrap_or_else(Uuid::new_v4),
        author: arguments.author.clone(),
        note: arguments.note.clone(),
        based_on: arguments.based_on.map(ConfigurationVersion),
        configuration,
    };
    let report = publish(arguments, access, &request, timers);
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(report.exit_code())
}

fn publish(
    arguments: &PublishArguments,
    access: &OperatorAccess,
    request: &PublicationRequest,
    timers: &TimerService,
) -> PublishReport {
    let client = OperatorClient::new(access);
    let outcome = query_first(access, |node| client.publish(node, request));
    let outcome = outcome.unwrap_or_else(|problem| build_failure_outcome(&problem));
    let version = match outcome {
        PublicationOutcome::Accepted { version, .. }
        | PublicationOutcome::AlreadyInForce { version } => Some(version),
        _ => None,
    };
    let nodes = arguments.wait.zip(version).map(|(seconds, version)| {
        let limit = Duration::from_secs(seconds.into());
        wait_until_in_force(&client, &access.nodes, version, limit, timers)
    });
    PublishReport {
        id: request.id,
        outcome,
        nodes,
    }
}

/// Status of a node whose event loop did not answer the operators' interface in time. It may publish the configuration afterwards.
const NODE_TIMEOUT_STATUS: u16 = 504;

/// Converts an error to an outcome. A node that was reached but did not answer may have published the configuration.
#[must_use]
pub fn build_failure_outcome(problem: &OperatorClientError) -> PublicationOutcome {
    let reason = problem.to_string();
    match problem {
        OperatorClientError::Refused {
            status: NODE_TIMEOUT_STATUS,
            ..
        } => PublicationOutcome::Unknown { reason },
        OperatorClientError::Refused { .. } | OperatorClientError::NotSent(_) => {
            PublicationOutcome::NotStored { reason }
        }
        OperatorClientError::NoAnswer(_) | OperatorClientError::InvalidAnswer(_) => {
            PublicationOutcome::Unknown { reason }
        }
    }
}

/// Queries the given nodes in turn until one can be reached.
///
/// # Errors
/// The error of the first node that was reached, or of the last node if none was.
pub fn query_first<T>(
    access: &OperatorAccess,
    query: impl Fn(SocketAddr) -> Result<T, OperatorClientError>,
) -> Result<T, OperatorClientError> {
    let mut problem = OperatorClientError::NotSent("no node is given".to_owned());
    for node in &access.nodes {
        match query(*node) {
            Err(OperatorClientError::NotSent(cause)) => {
                problem = OperatorClientError::NotSent(format!("{node}: {cause}"));
            }
            answer => return answer,
        }
    }
    Err(problem)
}
