//! Where the lines come from that a command reads: files, standard input, or nodes that run.

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

/// Arguments of every command that reads lines.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct SourceArguments {
    /// How to reach nodes; without one, files or standard input are read.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Files with the lines of nodes; without any, and without --node, standard input
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// The lines can't be read.
#[derive(Debug, Error)]
pub enum SourceError {
    /// A file can't be read.
    #[error("can't read {path}: {error}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// Standard input can't be read.
    #[error("can't read standard input: {0}")]
    Input(io::Error),
    /// The arguments don't say how to reach nodes.
    #[error(transparent)]
    Access(#[from] AccessError),
}

/// Lines, and what is missing from them.
#[derive(Clone, Debug, Default)]
pub struct CollectedLines {
    /// The lines by run.
    pub read: ParsedLog,
    /// Nodes that could not be asked, with the reason.
    pub unreached: Vec<String>,
    /// Lines that nodes no longer hold.
    pub dropped: u64,
    /// Lines that no node numbered, with their places.
    pub passed_over: Vec<UnrecognizedLine>,
}

/// A line that no node numbered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnrecognizedLine {
    /// The file, `standard input`, or the address of the node.
    pub source: String,
    /// Number of the line there, from 1.
    pub line: usize,
    /// The line.
    pub text: String,
}

/// What one file, standard input or one node gave.
struct SourceLines<'a> {
    source: String,
    lines: Vec<&'a str>,
}

impl SourceArguments {
    /// Whether lines come from nodes that run.
    #[must_use]
    pub fn reads_from_nodes(&self) -> bool {
        !self.access.nodes.is_empty()
    }

    /// Reads all lines there are, and tells the user what could not be read; none if nothing could.
    ///
    /// # Errors
    /// If that can't be written.
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

    /// Reads all lines there are.
    ///
    /// # Errors
    /// If a file can't be read, or the arguments don't say how to reach nodes.
    pub fn collect(&self) -> Result<CollectedLines, SourceError> {
        if self.reads_from_nodes() {
            return Ok(NodeLines::new(&self.access)?.collect());
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
    /// Says what is missing, apart from the lines, so that programs can read these.
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
        if self.read.unrecognized_lines > 0 {
            let other = self.read.unrecognized_lines;
            writeln!(err, "passed over {other} lines that no node numbered")?;
        }
        Ok(())
    }

    fn read_all(&mut self, sources: &[SourceLines<'_>]) {
        let lines = sources.iter().flat_map(|source| &source.lines);
        self.read = split_incarnations(lines.copied());
        let places = self.read.unrecognized_positions.iter();
        self.passed_over = places
            .filter_map(|place| find_line(sources, *place))
            .collect();
    }
}

/// The line at a position in all sources together.
fn find_line(sources: &[SourceLines<'_>], mut place: usize) -> Option<UnrecognizedLine> {
    for source in sources {
        if let Some(text) = source.lines.get(place) {
            return Some(UnrecognizedLine {
                source: source.source.clone(),
                line: place + 1,
                text: (*text).to_owned(),
            });
        }
        place -= source.lines.len();
    }
    None
}

fn read_lossy(path: &Path) -> Result<String, SourceError> {
    // A process that was killed may have left half a character.
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

/// Reads the lines that nodes keep, and remembers how far each was read.
pub struct NodeLines {
    client: OperatorClient,
    seeds: Vec<SocketAddr>,
    next: HashMap<SocketAddr, u64>,
}

impl NodeLines {
    /// A reader that has read nothing yet.
    ///
    /// # Errors
    /// If the arguments don't say how to reach nodes.
    pub fn new(access: &AccessArguments) -> Result<Self, AccessError> {
        let access = access.resolve()?;
        Ok(Self {
            client: OperatorClient::new(&access),
            seeds: access.nodes,
            next: HashMap::new(),
        })
    }

    /// The lines since the last look.
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
                    self.next.insert(address, page.next);
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
        let from = self.next.get(&address).copied().unwrap_or_default();
        let page = self.client.fetch_log_lines(address, from)?;
        if page.next < from {
            // Another run of the node counts from the beginning.
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
