//! The command line of the node's daemon.

use crate::options::{
    checked_file::check_node_settings,
    exit_code::ExitCode,
    findings::{Finding, Findings, Place, Problem},
    node_settings::{LogFormat, LogLevel, NodeSettings},
};
use bpaf::{Bpaf, ParseFailure};
use std::{
    fs,
    path::{Path, PathBuf},
    str::FromStr,
};

/// One node of camphorturn: the process beside an upstream.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("camphorturnd"), version)]
pub struct NodeArguments {
    /// Settings file, JSON with comments
    #[bpaf(long, env("CAMPHORTURN_SETTINGS"), argument("FILE"))]
    pub settings: PathBuf,
    /// Form of the log's lines, json or text, in place of the file's `logging.format`
    #[bpaf(long, env("CAMPHORTURN_LOG_FORMAT"), argument::<LogFormat>("FORMAT"), optional)]
    pub log_format: Option<LogFormat>,
    /// Least severity that is logged, in place of the file's `logging.level`
    #[bpaf(long, env("CAMPHORTURN_LOG_LEVEL"), argument::<LogLevel>("LEVEL"), optional)]
    pub log_level: Option<LogLevel>,
}

impl NodeArguments {
    /// Reads the arguments of this process.
    ///
    /// # Errors
    /// The code to exit with, after help, version or a complaint was printed.
    pub fn from_process() -> Result<Self, ExitCode> {
        let parsed = node_arguments().run_inner(bpaf::Args::current_args());
        parsed.map_err(|failure| report_parse_failure(&failure))
    }

    /// Reads and checks the settings file and puts these arguments over it.
    ///
    /// # Errors
    /// Every finding about the file.
    pub fn load_settings(&self) -> Result<NodeSettings, Findings> {
        let text = read_file(&self.settings)?;
        let mut settings = check_node_settings(&self.settings.to_string_lossy(), &text)?;
        let logging = &mut settings.logging;
        logging.format = self.log_format.unwrap_or(logging.format);
        logging.level = self.log_level.unwrap_or(logging.level);
        Ok(settings)
    }
}

/// Reads a file that is to be checked.
///
/// # Errors
/// One finding that says why it can't be read.
pub fn read_file(path: &Path) -> Result<String, Findings> {
    fs::read_to_string(path).map_err(|error| {
        Findings(vec![Finding {
            file: path.display().to_string(),
            place: Place::START,
            path: "$".to_owned(),
            problem: Problem::Unreadable(error.to_string()),
            suggestion: "check the file's name and access rights".to_owned(),
        }])
    })
}

/// Prints help, version or a complaint about the arguments; the process then exits with the code.
#[must_use]
pub fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(TERMINAL_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::Success,
        ParseFailure::Stderr(_) => ExitCode::BadInput,
    }
}

/// Width that help texts are wrapped at, in characters.
const TERMINAL_WIDTH: usize = 80;

/// A word that is none of the known ones.
#[derive(Clone, Debug, thiserror::Error)]
#[error("`{given}` is none of {known}")]
pub struct UnknownWord {
    given: String,
    known: &'static str,
}

impl FromStr for LogFormat {
    type Err = UnknownWord;

    fn from_str(text: &str) -> Result<Self, UnknownWord> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(UnknownWord {
                given: text.to_owned(),
                known: "json, text",
            }),
        }
    }
}

impl FromStr for LogLevel {
    type Err = UnknownWord;

    fn from_str(text: &str) -> Result<Self, UnknownWord> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(UnknownWord {
                given: text.to_owned(),
                known: "error, warn, info, debug, trace",
            }),
        }
    }
}
