//! Merges the lines of all incarnations into one causal order: a cause comes before its effect.

use crate::log_reading::{
    clocks::align_clocks,
    incarnations::NodeIncarnation,
    line::LogLine,
    matching::{LinePosition, as_float, get_line, match_attempts},
};
use std::collections::HashMap;

/// A log line with its time on the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedLine {
    /// Estimated time in milliseconds since the Unix epoch.
    pub at_ms: f64,
    /// The log line.
    pub line: LogLine,
}

/// Sorts the lines of all incarnations causally. Lines of one incarnation stay in the order in which they were
/// written, and the executing node's line on an attempt precedes that of the entry node. Otherwise the common
/// clock decides.
#[must_use]
pub fn order_lines(incarnations: &[NodeIncarnation]) -> Vec<TimedLine> {
    let attempts = match_attempts(incarnations);
    let starts = align_clocks(incarnations, &attempts);
    let causes: HashMap<LinePosition, LinePosition> = attempts
        .iter()
        .map(|attempt| (attempt.returned, attempt.executed))
        .collect();
    let mut next_lines = vec![0; incarnations.len()];
    let mut ordered = Vec::new();
    while let Some(incarnation) = pick_incarnation(incarnations, &starts, &next_lines, &causes) {
        let position = LinePosition {
            incarnation,
            line: next_lines[incarnation],
        };
        next_lines[incarnation] += 1;
        let line = get_line(incarnations, position).clone();
        ordered.push(TimedLine {
            at_ms: starts[incarnation] + as_float(line.up_ms),
            line,
        });
    }
    ordered
}

/// Picks the incarnation whose next line comes first. A line whose cause has not been output yet is picked only
/// if that holds for all incarnations, which happens when lines contradict each other.
fn pick_incarnation(
    incarnations: &[NodeIncarnation],
    starts: &[f64],
    next_lines: &[usize],
    causes: &HashMap<LinePosition, LinePosition>,
) -> Option<usize> {
    let candidates = (0..incarnations.len())
        .filter(|incarnation| next_lines[*incarnation] < incarnations[*incarnation].lines.len());
    candidates.min_by(|one, other| {
        let rank = |incarnation: usize| {
            let line = next_lines[incarnation];
            let cause = causes.get(&LinePosition { incarnation, line });
            let waits = cause.is_some_and(|cause| {
                cause.incarnation != incarnation && next_lines[cause.incarnation] <= cause.line
            });
            let at = starts[incarnation] + as_float(incarnations[incarnation].lines[line].up_ms);
            (waits, at)
        };
        let ((one_waits, one_at), (other_waits, other_at)) = (rank(*one), rank(*other));
        one_waits
            .cmp(&other_waits)
            .then(one_at.total_cmp(&other_at))
    })
}
