//! Lines by the run of the process that wrote them.

use crate::{log_reading::line::LogLine, state::names::NodeName};
use std::collections::BTreeMap;

/// One run of a node's process.
#[derive(Clone, Debug)]
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeName,
    /// Its lines, as written.
    pub lines: Vec<LogLine>,
}

/// Parsed input.
#[derive(Clone, Debug, Default)]
pub struct ParsedLog {
    /// Runs, by node and then as they followed each other.
    pub runs: Vec<NodeIncarnation>,
    /// Lines that are no numbered lines of a node.
    pub other_lines: usize,
    /// Their positions in the input, from 0 and with empty lines counted.
    pub other_places: Vec<usize>,
}

/// Splits texts into runs. The lines of one process must stand in their order; those of several may be
/// mixed.
///
/// A restarted process counts its lines from the beginning: that is how its run is told from the one
/// before, since the time of day may jump in either direction.
pub fn split_incarnations<'a>(texts: impl Iterator<Item = &'a str>) -> ParsedLog {
    let mut read = ParsedLog::default();
    let mut by_node: BTreeMap<NodeName, Vec<NodeIncarnation>> = BTreeMap::new();
    let filled = texts
        .enumerate()
        .filter(|(_, text)| !text.trim().is_empty());
    for (place, text) in filled {
        let Some(line) = LogLine::parse(text) else {
            read.other_lines += 1;
            read.other_places.push(place);
            continue;
        };
        let runs = by_node.entry(line.node.clone()).or_default();
        let goes_on = runs
            .last()
            .and_then(|run| run.lines.last())
            .is_some_and(|last| last.seq < line.seq);
        if goes_on && let Some(run) = runs.last_mut() {
            run.lines.push(line);
        } else {
            runs.push(NodeIncarnation {
                node: line.node.clone(),
                lines: vec![line],
            });
        }
    }
    read.runs = by_node.into_values().flatten().collect();
    read
}
