//! Summary of a whole log: outcomes of requests and attempts, retries, state changes, the slowest requests.

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

/// Number of slowest requests that are listed.
const MAX_SLOWEST: usize = 10;

/// One of the slowest requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SlowRequest {
    /// Id of the request.
    pub request: String,
    /// Class of the request; empty without a route.
    pub class: String,
    /// Duration in milliseconds.
    pub took_ms: u64,
    /// Outcome in words.
    pub end: String,
}

/// Counts over all lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogSummary {
    /// Nodes that wrote lines, each with its number of incarnations.
    pub nodes: BTreeMap<NodeName, usize>,
    /// Number of log lines.
    pub lines: usize,
    /// Number of lines that nodes dropped because of their rate limits.
    pub dropped: u64,
    /// Time from the first line to the last, in seconds.
    pub seconds: f64,
    /// Logged requests by outcome. Of requests that ended normally only a sample is logged.
    pub ends: BTreeMap<String, u64>,
    /// Requests that were answered after their latency target.
    pub late: u64,
    /// Attempts by outcome, as the entry nodes logged them.
    pub attempts: BTreeMap<String, u64>,
    /// Requests that reached more than one upstream.
    #[serde(rename = "repeated")]
    pub retried: u64,
    /// Retries that were not made because the retry budget was exhausted.
    #[serde(rename = "withheld")]
    pub suppressed_retries: u64,
    /// State changes of nodes by name of the event.
    #[serde(rename = "beliefs")]
    pub state_changes: BTreeMap<String, u64>,
    /// The slowest requests, the slowest first.
    pub slowest: Vec<SlowRequest>,
}

/// Summarizes lines, which must be sorted by [`order_lines`](super::order::order_lines).
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
    summary.slowest.truncate(MAX_SLOWEST);
    summary
}

impl LogSummary {
    fn add(&mut self, line: &LogLine) {
        match line.number {
            event_numbers::REQUEST_ENDED => self.add_request(line),
            event_numbers::ATTEMPT_RETURNED => {
                *self.attempts.entry(line.end().describe()).or_default() += 1;
            }
            event_numbers::RETRY_SUPPRESSED => self.suppressed_retries += 1,
            event_numbers::LINES_DROPPED => {
                self.dropped = self.dropped.saturating_add(line.number("lines"));
            }
            number if number >= event_numbers::FIRST_STATE_CHANGE => {
                *self.state_changes.entry(line.name.clone()).or_default() += 1;
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
        self.retried += u64::from(line.number("arrivals") > 1);
        self.slowest.push(SlowRequest {
            request: line.text("request").to_owned(),
            class: line.text("class").to_owned(),
            took_ms,
            end: end.describe(),
        });
        if self.slowest.len() > MAX_SLOWEST * 100 {
            self.slowest.sort_by_key(|slow| Reverse(slow.took_ms));
            self.slowest.truncate(MAX_SLOWEST);
        }
    }
}

impl fmt::Display for LogSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let incarnations: usize = self.nodes.values().sum();
        writeln!(
            f,
            "{} lines of {} nodes ({incarnations} incarnations) over {:.1} s; {} more were dropped by their nodes",
            self.lines,
            self.nodes.len(),
            self.seconds,
            self.dropped
        )?;
        write_counts(f, "logged requests, by outcome", &self.ends)?;
        writeln!(
            f,
            "  {} answered after their target, {} reached more than one upstream, {} retries suppressed",
            self.late, self.retried, self.suppressed_retries
        )?;
        write_counts(f, "attempts, by outcome", &self.attempts)?;
        write_counts(f, "state changes", &self.state_changes)?;
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
