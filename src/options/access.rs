//! Node addresses and the bearer token that operators' tools use.

use crate::options::secret::Secret;
use bpaf::{Bpaf, Parser, long};
use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;

/// Environment variable that holds the operators' token.
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
}

/// Parses the token from the argument, or reads it from the environment if the argument is missing.
///
/// This does not use bpaf's support for environment variables: bpaf prints their values in the help text, which
/// would show the token in logs and on screens.
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

/// Addresses and credentials for requests to the operators' interface of the nodes.
#[derive(Clone, Debug)]
pub struct OperatorAccess {
    /// Operator addresses to contact first; at least one.
    pub nodes: Vec<SocketAddr>,
    /// Token that is sent in the `Authorization` header.
    pub token: Secret,
}

/// The arguments hold too little to contact a node.
#[derive(Debug, Error)]
pub enum AccessError {
    /// No node address was given.
    #[error("no node address given; use --node IP:PORT")]
    NoNode,
    /// Neither the arguments nor the environment hold a token.
    #[error("no token given; set CAMPHORTURN_TOKEN or use --token-file FILE")]
    NoToken,
    /// The token file can't be read.
    #[error("can't read the token from {path}: {error}", path = .path.display())]
    TokenFile {
        /// Path of the token file.
        path: PathBuf,
        /// Why reading failed.
        error: io::Error,
    },
}

impl AccessArguments {
    /// Checks that the arguments hold a node address and a token, and reads the token file if there is one.
    ///
    /// A token from `--token` or the environment takes precedence over the file.
    ///
    /// # Errors
    /// An address or the token is missing, or the token file can't be read.
    pub fn resolve(&self) -> Result<OperatorAccess, AccessError> {
        if self.nodes.is_empty() {
            return Err(AccessError::NoNode);
        }
        let token = match (&self.token, &self.token_file) {
            (Some(token), _) => Secret::from(token.as_str()),
            (None, Some(path)) => read_token(path)?,
            (None, None) => return Err(AccessError::NoToken),
        };
        Ok(OperatorAccess {
            nodes: self.nodes.clone(),
            token,
        })
    }
}

/// Reads the token from a file. Surrounding white space, such as the line break that editors add, is removed.
fn read_token(path: &Path) -> Result<Secret, AccessError> {
    let text = fs::read_to_string(path).map_err(|error| AccessError::TokenFile {
        path: path.to_owned(),
        error,
    })?;
    Ok(Secret::from(text.trim()))
}
