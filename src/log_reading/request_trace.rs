//! The trace of one request: the log lines of all nodes on it in causal order, its outcome and the cause.

use crate::{
    log_reading::{
        cause::explain_outcome,
        description::{NodeNames, describe_line},
        incarnations::NodeIncarnation,
        late_cause::took_most_of_time,
        line::{LogLine, event_numbers},
        matching::as_float,
        order::{TimedLine, order_lines},
        request_lines::{RequestLines, find_parent_request},
    },
    state::names::NodeName,
};
use serde::Serialize;
use std::collections::BTreeSet;

/// How long before a request a state change may have influenced its outcome, in milliseconds: what a node knows of
/// another node is at most a few seconds old.
const STATE_CHANGES_BEFORE_MS: f64 = 3_000.0;
/// How long after the end of a request a node may log what influenced it, such as its own restart, in milliseconds.
const STATE_CHANGES_AFTER_MS: f64 = 3_000.0;

/// One step of a request, taken from one log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceStep {
    /// Milliseconds from the arrival of the request at the entry node to the beginning of this step.
    pub at_ms: f64,
    /// Node that logged the step.
    pub node: NodeName,
    /// Number of the event.
    pub event: u16,
    /// Sentence for people.
    pub text: String,
}

/// Everything that the logs show of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Id of the request.
    pub request: String,
    /// Outcome in words; empty if no line reports the end of the request.
    pub end: String,
    /// Sentences for people that explain the outcome.
    pub causes: Vec<String>,
    /// Steps of the request, by time.
    pub steps: Vec<TraceStep>,
    /// State changes that the involved nodes logged during the request, shortly before or shortly after it.
    #[serde(rename = "beliefs")]
    pub state_changes: Vec<TraceStep>,
    /// Calls that upstreams made for the request, in the order of their ends.
    pub calls: Vec<TracedCall>,
}

/// A call that was made for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TracedCall {
    /// Id of the call.
    pub request: String,
    /// Class of the call.
    pub class: String,
    /// Outcome in words.
    pub end: String,
    /// Duration in milliseconds.
    pub took_ms: u64,
}

/// Collects the trace of the request with this id.
#[must_use]
pub fn trace_request(incarnations: &[NodeIncarnation], request: &str) -> RequestTrace {
    let names = NodeNames::collect(incarnations);
    let ordered = order_lines(incarnations);
    let own_lines: Vec<&TimedLine> = ordered
        .iter()
        .filter(|timed| timed.line.request() == Some(request))
        .collect();
    let (arrived, ended) = find_span(&own_lines);
    let involved = list_involved_nodes(&own_lines, &names);
    let state_changes: Vec<&TimedLine> = ordered
        .iter()
        .filter(|timed| may_influence_request(&timed.line))
        .filter(|timed| involved.contains(&timed.line.node))
        .filter(|timed| timed.at_ms > arrived - STATE_CHANGES_BEFORE_MS)
        .filter(|timed| timed.at_ms < ended + STATE_CHANGES_AFTER_MS)
        .collect();
    let calls = list_calls(&ordered, request);
    let lines = group_lines(&own_lines, state_changes.clone());
    let step = |timed: &&TimedLine| TraceStep {
        at_ms: (estimate_start(timed, arrived) - arrived).round(),
        node: timed.line.node.clone(),
        event: timed.line.number,
        text: describe_line(&timed.line, &names),
    };
    let mut causes = explain_outcome(&lines, &names);
    causes.extend(find_slowest_call(&lines, &calls));
    let mut steps: Vec<TraceStep> = own_lines.iter().map(step).collect();
    steps.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    RequestTrace {
        request: request.to_owned(),
        end: lines
            .end
            .map(|line| line.end().describe())
            .unwrap_or_default(),
        causes,
        steps,
        state_changes: state_changes.iter().map(step).collect(),
        calls,
    }
}

fn group_lines<'a>(
    own_lines: &[&'a TimedLine],
    state_changes: Vec<&'a TimedLine>,
) -> RequestLines<'a> {
    let lines_with = |number| {
        let lines = own_lines
            .iter()
            .filter(move |timed| timed.line.number == number);
        lines.map(|timed| &timed.line)
    };
    RequestLines {
        end: lines_with(event_numbers::REQUEST_ENDED).next_back(),
        returned: lines_with(event_numbers::ATTEMPT_RETURNED).collect(),
        executed: lines_with(event_numbers::ATTEMPT_EXECUTED).collect(),
        state_changes,
    }
}

/// Whether a line reports a state change that may have influenced a request. Records of other nodes arrive all the
/// time; only those that report a node as leaving count.
fn may_influence_request(line: &LogLine) -> bool {
    match line.number {
        event_numbers::NODE_KNOWN => line.is_set("leaving"),
        event_numbers::STATE_FETCHED | event_numbers::ZONE_NOTIFIED => false,
        number => number >= event_numbers::FIRST_STATE_CHANGE,
    }
}

/// Returns when the step that a line reports began. For an attempt this is when it was sent or received.
fn estimate_start(timed: &TimedLine, arrived: f64) -> f64 {
    let line = &timed.line;
    match line.number {
        event_numbers::ATTEMPT_RETURNED => arrived + as_float(line.number("sent_ms")),
        event_numbers::ATTEMPT_EXECUTED => timed.at_ms - as_float(line.number("took_ms")),
        _ => timed.at_ms,
    }
}

/// Reports the slowest call of the upstream if the request spent most of its time waiting for it.
fn find_slowest_call(lines: &RequestLines<'_>, calls: &[TracedCall]) -> Option<String> {
    let end = lines.end?;
    let slowest = calls.iter().max_by_key(|call| call.took_ms)?;
    took_most_of_time(slowest.took_ms, end).then(|| {
        format!(
            "Most of its time went into a call that its upstream made: {} of class {}, {} ms, {}.",
            slowest.request, slowest.class, slowest.took_ms, slowest.end
        )
    })
}

/// Returns when the request arrived and when its last line was written.
fn find_span(own_lines: &[&TimedLine]) -> (f64, f64) {
    let arrived = own_lines
        .iter()
        .map(|timed| timed.at_ms - as_float(timed.line.number("took_ms")))
        .min_by(f64::total_cmp);
    let ended = own_lines
        .iter()
        .map(|timed| timed.at_ms)
        .max_by(f64::total_cmp);
    (arrived.unwrap_or_default(), ended.unwrap_or_default())
}

/// Lists the nodes that logged the request, and those that attempts were sent to.
fn list_involved_nodes(own_lines: &[&TimedLine], names: &NodeNames) -> BTreeSet<NodeName> {
    let sent_to = own_lines
        .iter()
        .map(|timed| names.find(timed.line.text("to")));
    let sent_to = sent_to.filter(|name| !name.is_empty()).map(NodeName::from);
    let logged_by = own_lines.iter().map(|timed| timed.line.node.clone());
    sent_to.chain(logged_by).collect()
}

fn list_calls(ordered: &[TimedLine], request: &str) -> Vec<TracedCall> {
    let ends = ordered.iter().map(|timed| &timed.line);
    let ends = ends.filter(|line| line.number == event_numbers::REQUEST_ENDED);
    let calls = ends.filter_map(|line| {
        let id = line.request()?;
        (find_parent_request(id) == Some(request)).then(|| TracedCall {
            request: id.to_owned(),
            class: line.text("class").to_owned(),
            end: line.end().describe(),
            took_ms: line.number("took_ms"),
        })
    });
    calls.collect()
}
