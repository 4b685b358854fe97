//! What a whole log says: ends, refusals, repeats, changes of belief, the slowest requests.

use crate::{
    log_reading::{
        incarnations::NodeIncarnation,
        line::{EndField, LogLine, event_numbers},
        order::TimedLine,
    },
    state::names::NodeName,
};
use serde::Serialize;
use std::{cmp::Reverse, collections::BTreeMap, fmt};

/// Slowest requests that are listed.
const SLOWEST: usize = 10;

/// A request that took long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SlowRequest {
    /// Its identity.
    pub request: String,
    /// Its class.
    pub class: String,
    /// How long it took.
    pub took_ms: u64,
    /// How it ended.
    pub end: String,
}

/// Counts over all lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogSummary {
    /// Nodes that wrote lines, with their runs.
    pub nodes: BTreeMap<NodeName, usize>,
    /// Numbered lines.
    pub lines: usize,
    /// Lines that were left out by nodes to keep to their bounds.
    pub dropped: u64,
    /// Time from the first line to the last, in seconds.
    pub seconds: f64,
    /// Ends of requests that lines tell of. NB: of requests that go as they should only a sample.
    pub ends: BTreeMap<String, u64>,
    /// Answered, but after the target.
    pub late: u64,
    /// Ends of attempts at other nodes.
    pub attempts: BTreeMap<String, u64>,
    /// Requests that reached more than one upstream.
    pub repeated: u64,
    /// Repeats that were withheld for lack of budget.
    pub withheld: u64,
    /// Changes of belief by name of the event.
    pub beliefs: BTreeMap<String, u64>,
    /// The slowest requests, the slowest first.
    pub slowest: Vec<SlowRequest>,
}

/// Sums up lines in their order.
#[must_use]
pub fn summarize_lines(incarnations: &[NodeIncarnation], ordered: &[TimedLine]) -> LogSummary {
    let mut summary = LogSummary {
        lines: ordered.len(),
        ..LogSummary::default()
    };
    for incarnation in incarnations {
        *summary.nodes.entry(incarnation.node.clone()).or_default() += 1;
    }
    if let (Some(first), Some(last)) = (ordered.first(), ordered.last()) {
        summary.seconds = (last.at_ms - first.at_ms) / 1_000.0;
    }
    for timed in ordered {
        summary.add(&timed.line);
    }
    summary.slowest.sort_by_key(|slow| Reverse(slow.took_ms));
    summary.slowest.truncate(SLOWEST);
    summary
}

impl LogSummary {
    fn add(&mut self, line: &LogLine) {
        match line.number {
            event_numbers::REQUEST_ENDED => self.add_request(line),
            event_numbers::ATTEMPT_RETURNED => {
                *self.attempts.entry(line.end().describe()).or_default() += 1;
            }
            event_numbers::RETRY_SUPPRESSED => self.withheld += 1,
            event_numbers::LINES_DROPPED => {
                self.dropped = self.dropped.saturating_add(line.number("lines"));
            }
            number if number >= event_numbers::FIRST_STATE_CHANGE => {
                *self.beliefs.entry(line.name.clone()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn add_request(&mut self, line: &LogLine) {
        let end = line.end();
        let took_ms = line.number("took_ms");
        *self.ends.entry(end.describe()).or_default() += 1;
        let answered = matches!(end, EndField::Answered(_));
        self.late += u64::from(answered && took_ms > line.number("target_ms"));
        self.repeated += u64::from(line.number("arrivals") > 1);
        self.slowest.push(SlowRequest {
            request: line.text("request").to_owned(),
            class: line.text("class").to_owned(),
            took_ms,
            end: end.describe(),
        });
        if self.slowest.len() > SLOWEST * 100 {
            self.slowest.sort_by_key(|slow| Reverse(slow.took_ms));
            self.slowest.truncate(SLOWEST);
        }
    }
}

impl fmt::Display for LogSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let incarnations: usize = self.nodes.values().sum();
        writeln!(
            f,
            "{} lines of {} nodes ({incarnations} runs) over {:.1} s; {} more were left out by their nodes",
            self.lines,
            self.nodes.len(),
            self.seconds,
            self.dropped
        )?;
        write_counts(f, "requests told of, by end", &self.ends)?;
        writeln!(
            f,
            "  {} answered after their target, {} reached more than one upstream, {} repeats withheld",
            self.late, self.repeated, self.withheld
        )?;
        write_counts(f, "attempts, by end", &self.attempts)?;
        write_counts(f, "changes of belief", &self.beliefs)?;
        writeln!(f, "slowest requests:")?;
        for slow in &self.slowest {
            let SlowRequest {
                request,
                class,
                took_ms,
                end,
            } = slow;
            writeln!(f, "  {took_ms:>6} ms  {class:<20} {end:<28} {request}")?;
        }
        Ok(())
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &BTreeMap<String, u64>,
) -> fmt::Result {
    writeln!(f, "{title}:")?;
    let mut sorted: Vec<(&String, &u64)> = counts.iter().collect();
    sorted.sort_by_key(|(name, count)| (Reverse(**count), *name));
    for (name, count) in sorted {
        writeln!(f, "  {count:>7}  {name}")?;
    }
    Ok(())
}
