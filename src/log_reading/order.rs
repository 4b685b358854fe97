//! All lines in one order in which causes stand before their effects.

use crate::log_reading::{
    clocks::align_clocks,
    incarnations::NodeIncarnation,
    line::LogLine,
    matching::{LinePosition, as_float, get_line, match_attempts},
};
use std::collections::HashMap;

/// A line with its time on the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedLine {
    /// Milliseconds since the Unix epoch, as well as the clocks allow.
    pub at_ms: f64,
    /// The line.
    pub line: LogLine,
}

/// Puts the lines of all runs in causal order: those of one run as written, and an attempt's line at the
/// node beside the upstream before the one at the entry node. Else the common clock decides.
#[must_use]
pub fn order_lines(runs: &[NodeIncarnation]) -> Vec<TimedLine> {
    let attempts = match_attempts(runs);
    let begins = align_clocks(runs, &attempts);
    let causes: HashMap<LinePosition, LinePosition> = attempts
        .iter()
        .map(|attempt| (attempt.returned, attempt.executed))
        .collect();
    let mut next = vec![0; runs.len()];
    let mut ordered = Vec::new();
    while let Some(run) = pick_run(runs, &begins, &next, &causes) {
        let place = LinePosition {
            run,
            line: next[run],
        };
        next[run] += 1;
        let line = get_line(runs, place).clone();
        ordered.push(TimedLine {
            at_ms: begins[run] + as_float(line.up_ms),
            line,
        });
    }
    ordered
}

/// The run whose next line comes first. A line that waits for its cause goes only if all others wait too,
/// which lines that contradict each other would lead to.
fn pick_run(
    runs: &[NodeIncarnation],
    begins: &[f64],
    next: &[usize],
    causes: &HashMap<LinePosition, LinePosition>,
) -> Option<usize> {
    let heads = (0..runs.len()).filter(|run| next[*run] < runs[*run].lines.len());
    heads.min_by(|one, other| {
        let rank = |run: usize| {
            let line = next[run];
            let cause = causes.get(&LinePosition { run, line });
            let waits =
                cause.is_some_and(|cause| cause.run != run && next[cause.run] <= cause.line);
            let at = begins[run] + as_float(runs[run].lines[line].up_ms);
            (waits, at)
        };
        let ((one_waits, one_at), (other_waits, other_at)) = (rank(*one), rank(*other));
        one_waits
            .cmp(&other_waits)
            .then(one_at.total_cmp(&other_at))
    })
}
