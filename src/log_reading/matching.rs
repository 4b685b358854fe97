//! Which line at the node beside an upstream belongs to which line at the entry node.

use crate::{
    log_reading::{
        incarnations::NodeIncarnation,
        line::{EndField, LogLine, event_numbers},
    },
    state::names::NodeName,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// Place of a line: its run, and its position there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinePosition {
    /// Position of the run.
    pub run: usize,
    /// Position in the run.
    pub line: usize,
}

/// An attempt as both nodes saw it. Spans are in milliseconds on the clock of each run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MatchedAttempt {
    /// The line of the entry node.
    pub returned: LinePosition,
    /// The line of the node beside the upstream.
    pub executed: LinePosition,
    /// When the entry node sent it and had its answer.
    pub asked: (f64, f64),
    /// When the other node got it and answered.
    pub served: (f64, f64),
}

/// Addresses where nodes take messages from nodes, as their lines tell.
#[must_use]
pub fn find_addresses(runs: &[NodeIncarnation]) -> HashMap<SocketAddr, NodeName> {
    let mut addresses = HashMap::new();
    let lines = runs.iter().flat_map(|run| &run.lines);
    for line in lines {
        let node = match line.number {
            event_numbers::NODE_STARTED => line.node.clone(),
            event_numbers::NODE_KNOWN => line.text("known").into(),
            _ => continue,
        };
        if let Some(address) = line.address("address") {
            addresses.insert(address, node);
        }
    }
    addresses
}

/// Key of an attempt: request, entry node, node beside the upstream.
type AttemptKey<'a> = (&'a str, SocketAddr, SocketAddr);

/// Finds the attempts that both nodes tell of.
///
/// A request may be sent to one node more than once. Such attempts follow each other, so they are matched
/// in their order, and only if both sides tell of equally many.
#[must_use]
pub fn match_attempts(runs: &[NodeIncarnation]) -> Vec<MatchedAttempt> {
    let addresses = find_addresses(runs);
    let own: HashMap<&NodeName, SocketAddr> =
        addresses.iter().map(|(at, node)| (node, *at)).collect();
    let mut asked: BTreeMap<AttemptKey<'_>, Vec<LinePosition>> = BTreeMap::new();
    let mut served: BTreeMap<AttemptKey<'_>, Vec<LinePosition>> = BTreeMap::new();
    for (run, lines) in runs.iter().enumerate() {
        let Some(here) = own.get(&lines.node).copied() else {
            continue;
        };
        for (line, text) in lines.lines.iter().enumerate() {
            let Some(request) = text.request() else {
                continue;
            };
            if is_cut_short(text) {
                continue;
            }
            let place = LinePosition { run, line };
            match text.number {
                event_numbers::ATTEMPT_RETURNED => {
                    if let Some(to) = text.address("to") {
                        asked.entry((request, here, to)).or_default().push(place);
                    }
                }
                event_numbers::ATTEMPT_EXECUTED => {
                    if let Some(from) = text.address("from") {
                        served.entry((request, from, here)).or_default().push(place);
                    }
                }
                _ => {}
            }
        }
    }
    let pairs = asked.into_iter().filter_map(|(key, mut asked)| {
        let served = served
            .get(&key)
            .filter(|served| served.len() == asked.len())?;
        asked.sort_by_key(|place| get_line(runs, *place).number("sent_ms"));
        Some(asked.into_iter().zip(served.clone()))
    });
    pairs
        .flatten()
        .filter_map(|(returned, executed)| measure(runs, returned, executed))
        .collect()
}

/// Whether an attempt was given up at the entry node. That node's line ends before the other one's, which says
/// nothing of their clocks.
fn is_cut_short(line: &LogLine) -> bool {
    let end = line.end();
    end == EndField::ABANDONED || end == EndField::CLIENT_LEFT
}

/// The line at a place.
#[must_use]
pub fn get_line(runs: &[NodeIncarnation], place: LinePosition) -> &LogLine {
    &runs[place.run].lines[place.line]
}

/// An attempt's line is written when its request has ended; the line of that tells when it came.
fn measure(
    runs: &[NodeIncarnation],
    returned: LinePosition,
    executed: LinePosition,
) -> Option<MatchedAttempt> {
    let line = get_line(runs, returned);
    let later = runs[returned.run].lines[returned.line..].iter();
    let mut ends = later.filter(|other| {
        other.number == event_numbers::REQUEST_ENDED && other.request() == line.request()
    });
    let end = ends.next()?;
    let came = as_float(end.up_ms) - as_float(end.number("took_ms"));
    let sent = came + as_float(line.number("sent_ms"));
    let other = get_line(runs, executed);
    let answered = as_float(other.up_ms);
    Some(MatchedAttempt {
        returned,
        executed,
        asked: (sent, sent + as_float(line.number("took_ms"))),
        served: (answered - as_float(other.number("took_ms")), answered),
    })
}

/// Milliseconds of a run stay far below what a float holds exactly.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) const fn as_float(millis: u64) -> f64 {
    millis as f64
}
