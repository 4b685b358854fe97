//! Sources of log lines for commands: files, standard input, or running nodes.

use crate::{
    commands::mesh::{MeshSurvey, query_all, survey_nodes},
    log_reading::incarnations::{ParsedLog, split_incarnations},
    options::access::{AccessArguments, AccessError, access_arguments},
    protocol::operator_views::LogPage,
    transport::operators::client::{OperatorClient, OperatorClientError},
};
use bpaf::Bpaf;
use serde::Serialize;
use std::{
    collections::HashMap,
    fs,
    io::{self, Read, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
};
use thiserror::Error;

/// Arguments of every command that reads log lines.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct SourceArguments {
    /// How to reach nodes; without one, files or standard input are read.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Log files of nodes; without any, and without --node, standard input is read
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Reasons why lines can't be read.
#[derive(Debug, Error)]
pub enum SourceError {
    /// A file can't be read.
    #[error("can't read {path}: {error}", path = .path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// Standard input can't be read.
    #[error("can't read standard input: {0}")]
    Input(io::Error),
    /// The arguments don't say how to reach nodes.
    #[error(transparent)]
    Access(#[from] AccessError),
}

/// Log lines that were read, and what is missing from them.
#[derive(Clone, Debug, Default)]
pub struct CollectedLines {
    /// Lines by incarnation.
    pub log: ParsedLog,
    /// Nodes that could not be reached, each with its address and the reason.
    pub unreached: Vec<String>,
    /// Number of lines that nodes no longer hold in memory.
    pub dropped: u64,
    /// Lines that are not log lines of a node, with their positions.
    pub unrecognized: Vec<UnrecognizedLine>,
}

/// A line that is not a log line of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnrecognizedLine {
    /// Path of the file, `standard input`, or the address of the node.
    pub source: String,
    /// Line number in the source, from 1.
    pub line: usize,
    /// Text of the line.
    pub text: String,
}

/// Lines of one file, of standard input or of one node.
struct SourceLines<'a> {
    source: String,
    lines: Vec<&'a str>,
}

impl SourceArguments {
    /// Whether lines are read from running nodes.
    #[must_use]
    pub fn reads_from_nodes(&self) -> bool {
        !self.access.nodes.is_empty()
    }

    /// Reads all lines and reports on standard error what is missing. Returns none, after reporting the error, if the
    /// source can't be read.
    ///
    /// # Errors
    /// If standard error can't be written to.
    pub fn collect_or_report(&self) -> io::Result<Option<CollectedLines>> {
        match self.collect() {
            Ok(collected) => {
                collected.report_missing()?;
                Ok(Some(collected))
            }
            Err(error) => {
                eprintln!("{error}");
                Ok(None)
            }
        }
    }

    /// Reads all lines from the source.
    ///
    /// # Errors
    /// If a file can't be read, or the arguments don't say how to reach nodes.
    pub fn collect(&self) -> Result<CollectedLines, SourceError> {
        if self.reads_from_nodes() {
            return Ok(NodeLogReader::new(&self.access)?.collect());
        }
        let texts = match self.files.as_slice() {
            [] => vec![("standard input".to_owned(), read_input()?)],
            files => {
                let read = files
                    .iter()
                    .map(|path| Ok((path.display().to_string(), read_lossy(path)?)));
                read.collect::<Result<_, SourceError>>()?
            }
        };
        let sources = texts.iter().map(|(source, text)| SourceLines {
            source: source.clone(),
            lines: text.lines().collect(),
        });
        let mut collected = CollectedLines::default();
        collected.read_all(&sources.collect::<Vec<_>>());
        Ok(collected)
    }
}

impl CollectedLines {
    /// Reports on standard error what is missing, so that standard output holds only what programs read.
    ///
    /// # Errors
    /// If standard error can't be written to.
    pub fn report_missing(&self) -> io::Result<()> {
        let mut err = io::stderr().lock();
        for node in &self.unreached {
            writeln!(err, "not reached: {node}")?;
        }
        if self.dropped > 0 {
            let dropped = self.dropped;
            writeln!(err, "nodes no longer hold {dropped} older lines")?;
        }
        if self.log.unrecognized_lines > 0 {
            let other = self.log.unrecognized_lines;
            writeln!(
                err,
                "skipped {other} lines that are not log lines of a node"
            )?;
        }
        Ok(())
    }

    fn read_all(&mut self, sources: &[SourceLines<'_>]) {
        let lines = sources.iter().flat_map(|source| &source.lines);
        self.log = split_incarnations(lines.copied());
        let positions = self.log.unrecognized_positions.iter();
        self.unrecognized = positions
            .filter_map(|position| find_line(sources, *position))
            .collect();
    }
}

/// Finds a line by its position in the concatenation of all sources.
fn find_line(sources: &[SourceLines<'_>], mut position: usize) -> Option<UnrecognizedLine> {
    for source in sources {
        if let Some(text) = source.lines.get(position) {
            return Some(UnrecognizedLine {
                source: source.source.clone(),
                line: position + 1,
                text: (*text).to_owned(),
            });
        }
        position -= source.lines.len();
    }
    None
}

fn read_lossy(path: &Path) -> Result<String, SourceError> {
    // A process that was killed may have written only a part of a multi-byte character.
    let bytes = fs::read(path).map_err(|error| SourceError::File {
        path: path.to_owned(),
        error,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn read_input() -> Result<String, SourceError> {
    let mut bytes = Vec::new();
    io::stdin()
        .read_to_end(&mut bytes)
        .map_err(SourceError::Input)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads the lines that nodes hold in memory, and remembers how far it has read each node.
pub struct NodeLogReader {
    client: OperatorClient,
    seeds: Vec<SocketAddr>,
    next_sequence: HashMap<SocketAddr, u64>,
}

impl NodeLogReader {
    /// Creates a reader that has read nothing yet.
    ///
    /// # Errors
    /// If the arguments don't say how to reach nodes.
    pub fn new(access: &AccessArguments) -> Result<Self, AccessError> {
        let access = access.resolve()?;
        Ok(Self {
            client: OperatorClient::new(&access),
            seeds: access.nodes,
            next_sequence: HashMap::new(),
        })
    }

    /// Reads the lines that were written since the last call.
    pub fn collect(&mut self) -> CollectedLines {
        let survey = survey_nodes(&self.client, &self.seeds);
        let mut collected = CollectedLines {
            unreached: describe_unreached(&survey),
            ..CollectedLines::default()
        };
        let addresses: Vec<SocketAddr> = survey.reached.iter().map(|node| node.address).collect();
        let mut texts = Vec::new();
        for (address, answer) in query_all(&addresses, |address| self.read_node(address)) {
            match answer {
                Ok(page) => {
                    self.next_sequence.insert(address, page.next);
                    collected.dropped += page.dropped;
                    texts.push((address.to_string(), page.lines));
                }
                Err(problem) => collected.unreached.push(format!("{address}: {problem}")),
            }
        }
        let sources = texts.iter().map(|(source, lines)| SourceLines {
            source: source.clone(),
            lines: lines.iter().map(String::as_str).collect(),
        });
        collected.read_all(&sources.collect::<Vec<_>>());
        collected
    }

    fn read_node(&self, address: SocketAddr) -> Result<LogPage, OperatorClientError> {
        let from = self
            .next_sequence
            .get(&address)
            .copied()
            .unwrap_or_default();
        let page = self.client.fetch_log_lines(address, from)?;
        if page.next < from {
            // The node was restarted and numbers its lines from the beginning.
            return self.client.fetch_log_lines(address, 0);
        }
        Ok(page)
    }
}

fn describe_unreached(survey: &MeshSurvey) -> Vec<String> {
    let unreached = survey.unreached.iter();
    unreached
        .map(|node| format!("{}: {}", node.label(), node.problem))
        .collect()
}
