//! How operators' tools find the nodes and the platform's log, and what they prove themselves with.

use crate::options::{
    checked_file::check_node_settings,
    findings::Findings,
    node_arguments::read_file,
    node_settings::{NodeSettings, PlatformLogSettings},
    secret::Secret,
};
use bpaf::{Bpaf, Parser, long};
use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;

/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "CAMPHORTURN_TOKEN";

/// Arguments of every command that talks to nodes.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct AccessArguments {
    /// Operator address of a node; may be repeated. Other nodes are learned from it
    #[bpaf(long("node"), argument("IP:PORT"))]
    pub nodes: Vec<SocketAddr>,
    /// The operators' token.
    #[bpaf(external(token_argument))]
    pub token: Option<String>,
    /// File with the operators' token
    #[bpaf(long, env("CAMPHORTURN_TOKEN_FILE"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Settings file of a node, for what isn't given by other arguments
    #[bpaf(long, env("CAMPHORTURN_SETTINGS"), argument("FILE"), optional)]
    pub settings: Option<PathBuf>,
}

/// The token, from the argument or else the environment.
///
/// The parser's own support for environment variables isn't used: it prints their values with the
/// help, and a token would stand in whatever log or screen the help goes to.
fn token_argument() -> impl Parser<Option<String>> {
    long("token")
        .help(
            "The operators' token; without it, the variable CAMPHORTURN_TOKEN is read. \
             Other users of this VM can see arguments: prefer the file",
        )
        .argument::<String>("TOKEN")
        .optional()
        .map(|given| given.or_else(|| env::var(TOKEN_VARIABLE).ok()))
}

/// Arguments of commands that use the platform's log.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct LogArguments {
    /// Address of the platform's log
    #[bpaf(long, argument("IP:PORT"), optional)]
    pub log: Option<SocketAddr>,
    /// Stream of the mesh in the log
    #[bpaf(long, argument("NAME"), optional)]
    pub stream: Option<String>,
}

/// Where the nodes are and what to prove oneself with.
#[derive(Clone, Debug)]
pub struct OperatorAccess {
    /// Operator addresses to begin with; at least one.
    pub nodes: Vec<SocketAddr>,
    /// Sent as a bearer token.
    pub token: Secret,
}

/// The arguments don't say how to reach something.
#[derive(Debug, Error)]
pub enum AccessError {
    /// No address of a node.
    #[error("no node is named; give --node IP:PORT, or --settings FILE")]
    NoNode,
    /// No token.
    #[error(
        "no token is given; set CAMPHORTURN_TOKEN, or give --token-file FILE or --settings FILE"
    )]
    NoToken,
    /// No address of the log.
    #[error("the platform's log is not named; give --log IP:PORT, or --settings FILE")]
    NoLog,
    /// The token's file can't be read.
    #[error("can't read the token from {path}: {error}", path = .path.display())]
    TokenFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// The settings file has findings.
    #[error(transparent)]
    Settings(#[from] Findings),
}

impl AccessArguments {
    /// Puts the arguments over the settings file.
    ///
    /// # Errors
    /// Something is missing or a file can't be used.
    pub fn resolve(&self) -> Result<OperatorAccess, AccessError> {
        let settings = self.load_settings()?;
        let mut nodes = self.nodes.clone();
        if nodes.is_empty() {
            nodes.extend(settings.as_ref().map(NodeSettings::operator_address));
        }
        if nodes.is_empty() {
            return Err(AccessError::NoNode);
        }
        let token = self.resolve_token(settings.as_ref())?;
        Ok(OperatorAccess { nodes, token })
    }

    /// The operators' token; `settings` are the ones of [`Self::load_settings`].
    ///
    /// # Errors
    /// There is none, or its file can't be read.
    pub fn resolve_token(&self, settings: Option<&NodeSettings>) -> Result<Secret, AccessError> {
        match (&self.token, &self.token_file) {
            (Some(token), _) => Ok(Secret::from(token.as_str())),
            (None, Some(path)) => read_token(path),
            (None, None) => settings
                .map(|settings| settings.operators.token.clone())
                .ok_or(AccessError::NoToken),
        }
    }

    /// The settings file that the arguments name, if they name one.
    ///
    /// # Errors
    /// Every finding about the file.
    pub fn load_settings(&self) -> Result<Option<NodeSettings>, Findings> {
        let Some(path) = &self.settings else {
            return Ok(None);
        };
        let text = read_file(path)?;
        check_node_settings(&path.to_string_lossy(), &text).map(Some)
    }
}

impl LogArguments {
    /// Puts the arguments over the settings of a node.
    ///
    /// # Errors
    /// Neither names the log.
    pub fn resolve(
        &self,
        settings: Option<&NodeSettings>,
    ) -> Result<PlatformLogSettings, AccessError> {
        let from_file = settings.map(|settings| settings.platform_log.clone());
        let given = self.log.map(PlatformLogSettings::at);
        let mut log = from_file.or(given).ok_or(AccessError::NoLog)?;
        log.address = self.log.unwrap_or(log.address);
        if let Some(stream) = &self.stream {
            log.stream.clone_from(stream);
        }
        Ok(log)
    }
}

/// A token file ends with a line break where an editor wrote it: that isn't part of the token.
fn read_token(path: &Path) -> Result<Secret, AccessError> {
    let text = fs::read_to_string(path).map_err(|error| AccessError::TokenFile {
        path: path.to_owned(),
        error,
    })?;
    Ok(Secret::from(text.trim()))
}
