//! The command line of `publish`, from its arguments to its exit code.

use crate::{
    commands::publish::{PublishOptions, WaitOptions, run_publish},
    coordination::publishing::PublishRequest,
    options::{
        access::{AccessArguments, AccessError, LogArguments, access_arguments, log_arguments},
        checked_file::check_configuration,
        exit_code::ExitCode,
        findings::Findings,
        node_arguments::read_file,
        node_settings::PlatformLogSettings,
    },
    state::{
        configuration::{Configuration, ConfigurationVersion},
        log_record::RecordId,
    },
    timers::TimerService,
    transport::platform::LogClient,
};
use bpaf::Bpaf;
use std::{
    io::{self, Write},
    path::{Path, PathBuf},
    time::Duration,
};
use thiserror::Error;
use uuid::Uuid;

/// Arguments of `publish`.
#[derive(Clone, Debug, Bpaf)]
pub struct PublishArguments {
    /// How to reach the nodes, for `--wait`.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// How to reach the log.
    #[bpaf(external(log_arguments))]
    pub log: LogArguments,
    /// Who publishes, as the history is to show it
    #[bpaf(long, env("CAMPHORTURN_AUTHOR"), argument("NAME"))]
    pub author: String,
    /// Why, as the history is to show it
    #[bpaf(long, argument("TEXT"))]
    pub note: String,
    /// Version that the file was made from; without it, the one in force now
    #[bpaf(long, argument("VERSION"), optional)]
    pub based_on: Option<u64>,
    /// Identity of the record, to find out what became of it
    #[bpaf(long, argument("UUID"), optional)]
    pub id: Option<Uuid>,
    /// Give up on the log after so many seconds
    #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
    pub limit: u32,
    /// Wait so many seconds until all nodes have the version
    #[bpaf(long, argument("SECONDS"), optional)]
    pub wait: Option<u32>,
    /// Print one JSON object in place of lines
    pub json: bool,
    /// The whole configuration, JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Why nothing was tried.
#[derive(Debug, Error)]
enum UnusableArguments {
    #[error(transparent)]
    Access(#[from] AccessError),
    #[error(transparent)]
    Findings(#[from] Findings),
}

/// Checks the file, publishes it and tells how that ended.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_publish_command(
    arguments: &PublishArguments,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let (options, log) = match prepare(arguments) {
        Ok(prepared) => prepared,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::BadInput);
        }
    };
    let log = LogClient::for_settings(&log);
    let report = run_publish(&options, &log, timers);
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(report.exit_code())
}

/// Everything that can be wrong before the log is asked anything.
fn prepare(
    arguments: &PublishArguments,
) -> Result<(PublishOptions, PlatformLogSettings), UnusableArguments> {
    let content = load_configuration(&arguments.file)?;
    let settings = arguments.access.load_settings()?;
    let log = arguments.log.resolve(settings.as_ref())?;
    let wait = arguments.wait.map(|seconds| {
        let token = arguments.access.resolve_token(settings.as_ref())?;
        Ok::<_, AccessError>(WaitOptions {
            operators: arguments.access.nodes.clone(),
            token: Some(token.expose().to_owned()),
            limit: Duration::from_secs(seconds.into()),
        })
    });
    let options = PublishOptions {
        request: PublishRequest {
            id: arguments.id.map(RecordId),
            author: arguments.author.clone(),
            note: arguments.note.clone(),
            based_on: arguments.based_on.map(ConfigurationVersion),
            content,
        },
        limit: Duration::from_secs(arguments.limit.into()),
        wait: wait.transpose()?,
    };
    Ok((options, log))
}

/// Only content without findings goes into the log: every node takes what is accepted there.
fn load_configuration(path: &Path) -> Result<Configuration, Findings> {
    let text = read_file(path)?;
    check_configuration(&path.display().to_string(), &text)
}
