//! Matches the two log lines on an attempt: that of the entry node, which sent it, and that of the executing
//! node, which ran it on its local upstream.

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

/// Position of a line in a list of incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinePosition {
    /// Index of the incarnation.
    pub incarnation: usize,
    /// Index of the line within the incarnation.
    pub line: usize,
}

/// An attempt that both nodes logged. Start and end are in milliseconds since the start of the process that
/// wrote the line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MatchedAttempt {
    /// Line of the entry node.
    pub returned: LinePosition,
    /// Line of the executing node.
    pub executed: LinePosition,
    /// When the entry node sent the attempt and when it received the answer.
    pub sent_span: (f64, f64),
    /// When the executing node received the attempt and when it answered.
    pub served_span: (f64, f64),
}

/// Collects the addresses at which nodes accept messages from other nodes, with the name of each node.
#[must_use]
pub fn find_addresses(incarnations: &[NodeIncarnation]) -> HashMap<SocketAddr, NodeName> {
    let mut addresses = HashMap::new();
    let lines = incarnations
        .iter()
        .flat_map(|incarnation| &incarnation.lines);
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

/// Identifies the attempts of a request at a node: request id, address of the entry node, address of the
/// executing node.
type AttemptKey<'a> = (&'a str, SocketAddr, SocketAddr);

/// Finds the attempts that both nodes logged.
///
/// A request may be sent to one node more than once. Such attempts follow each other, so they are matched in
/// order, and only if both nodes logged equally many.
#[must_use]
pub fn match_attempts(incarnations: &[NodeIncarnation]) -> Vec<MatchedAttempt> {
    let addresses = find_addresses(incarnations);
    let address_of_node: HashMap<&NodeName, SocketAddr> =
        addresses.iter().map(|(at, node)| (node, *at)).collect();
    let mut sent: BTreeMap<AttemptKey<'_>, Vec<LinePosition>> = BTreeMap::new();
    let mut served: BTreeMap<AttemptKey<'_>, Vec<LinePosition>> = BTreeMap::new();
    for (incarnation, process) in incarnations.iter().enumerate() {
        let Some(own_address) = address_of_node.get(&process.node).copied() else {
            continue;
        };
        for (line, log_line) in process.lines.iter().enumerate() {
            let Some(request) = log_line.request() else {
                continue;
            };
            if is_abandoned(log_line) {
                continue;
            }
            let position = LinePosition { incarnation, line };
            match log_line.number {
                event_numbers::ATTEMPT_RETURNED => {
                    if let Some(to) = log_line.address("to") {
                        sent.entry((request, own_address, to))
                            .or_default()
                            .push(position);
                    }
                }
                event_numbers::ATTEMPT_EXECUTED => {
                    if let Some(from) = log_line.address("from") {
                        served
                            .entry((request, from, own_address))
                            .or_default()
                            .push(position);
                    }
                }
                _ => {}
            }
        }
    }
    let pairs = sent.into_iter().filter_map(|(key, mut sent)| {
        let served = served
            .get(&key)
            .filter(|served| served.len() == sent.len())?;
        sent.sort_by_key(|position| get_line(incarnations, *position).number("sent_ms"));
        Some(sent.into_iter().zip(served.clone()))
    });
    pairs
        .flatten()
        .filter_map(|(returned, executed)| measure_attempt(incarnations, returned, executed))
        .collect()
}

/// Whether the entry node gave the attempt up. Its line then records an end before that of the executing node,
/// which says nothing about the difference between their clocks.
fn is_abandoned(line: &LogLine) -> bool {
    let end = line.end();
    end == EndField::ABANDONED || end == EndField::CLIENT_LEFT
}

/// Returns the line at a position.
///
/// # Panics
/// If the position is not within `incarnations`.
#[must_use]
pub fn get_line(incarnations: &[NodeIncarnation], position: LinePosition) -> &LogLine {
    &incarnations[position.incarnation].lines[position.line]
}

/// Computes when each node started and finished the attempt.
///
/// The entry node writes the lines on attempts only when their request has ended. The line on that end, which
/// follows, gives the time at which the request arrived.
fn measure_attempt(
    incarnations: &[NodeIncarnation],
    returned: LinePosition,
    executed: LinePosition,
) -> Option<MatchedAttempt> {
    let line = get_line(incarnations, returned);
    let later = incarnations[returned.incarnation].lines[returned.line..].iter();
    let mut ends = later.filter(|other| {
        other.number == event_numbers::REQUEST_ENDED && other.request() == line.request()
    });
    let end = ends.next()?;
    let arrived = as_float(end.up_ms) - as_float(end.number("took_ms"));
    let sent = arrived + as_float(line.number("sent_ms"));
    let other = get_line(incarnations, executed);
    let answered = as_float(other.up_ms);
    Some(MatchedAttempt {
        returned,
        executed,
        sent_span: (sent, sent + as_float(line.number("took_ms"))),
        served_span: (answered - as_float(other.number("took_ms")), answered),
    })
}

/// Converts milliseconds, which stay far below the limit up to which a float is exact.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) const fn as_float(millis: u64) -> f64 {
    millis as f64
}
