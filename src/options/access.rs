//! How operators' tools find the nodes, and what they prove themselves with.

use crate::options::secret::Secret;
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
    #[error("no node is named; give --node IP:PORT")]
    NoNode,
    /// No token.
    #[error("no token is given; set CAMPHORTURN_TOKEN, or give --token-file FILE")]
    NoToken,
    /// The token's file can't be read.
    #[error("can't read the token from {path}: {error}", path = .path.display())]
    TokenFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
}

impl AccessArguments {
    /// Checks that the arguments say where nodes are and what to prove oneself with.
    ///
    /// # Errors
    /// Something is missing, or the token's file can't be read.
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

/// A token file ends with a line break where an editor wrote it: that isn't part of the token.
fn read_token(path: &Path) -> Result<Secret, AccessError> {
    let text = fs::read_to_string(path).map_err(|error| AccessError::TokenFile {
        path: path.to_owned(),
        error,
    })?;
    Ok(Secret::from(text.trim()))
}
