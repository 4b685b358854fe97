//! Groups log lines by the process that wrote them: each restart of a node begins a new incarnation.

use crate::{log_reading::line::LogLine, state::names::NodeName};
use std::collections::BTreeMap;

/// One incarnation of a node: its process from one start to the next.
#[derive(Clone, Debug)]
pub struct NodeIncarnation {
    /// Name of the node.
    pub node: NodeName,
    /// Lines of the process, in the order in which it wrote them.
    pub lines: Vec<LogLine>,
}

/// All parsed lines of an input.
#[derive(Clone, Debug, Default)]
pub struct ParsedLog {
    /// Incarnations, sorted by node and then by start.
    pub incarnations: Vec<NodeIncarnation>,
    /// Number of lines that are not log lines of a node.
    pub unrecognized_lines: usize,
    /// Positions of those lines in the input, from 0; empty lines count.
    pub unrecognized_positions: Vec<usize>,
}

/// Parses lines and splits them into incarnations. The lines of one process must be in their original order;
/// those of several processes may be interleaved.
///
/// A restarted process numbers its lines from the beginning again. A sequence number that doesn't rise
/// therefore marks a new incarnation; wall-clock time can't, since it may jump in either direction.
pub fn split_incarnations<'a>(texts: impl Iterator<Item = &'a str>) -> ParsedLog {
    let mut log = ParsedLog::default();
    let mut by_node: BTreeMap<NodeName, Vec<NodeIncarnation>> = BTreeMap::new();
    let non_empty = texts
        .enumerate()
        .filter(|(_, text)| !text.trim().is_empty());
    for (position, text) in non_empty {
        let Some(line) = LogLine::parse(text) else {
            log.unrecognized_lines += 1;
            log.unrecognized_positions.push(position);
            continue;
        };
        let incarnations = by_node.entry(line.node.clone()).or_default();
        let is_same_process = incarnations
            .last()
            .and_then(|incarnation| incarnation.lines.last())
            .is_some_and(|last| last.seq < line.seq);
        if is_same_process && let Some(incarnation) = incarnations.last_mut() {
            incarnation.lines.push(line);
        } else {
            incarnations.push(NodeIncarnation {
                node: line.node.clone(),
                lines: vec![line],
            });
        }
    }
    log.incarnations = by_node.into_values().flatten().collect();
    log
}
