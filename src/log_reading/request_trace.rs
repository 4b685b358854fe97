//! What became of one request: its lines at all nodes in causal order, and the cause of its end.

use crate::{
    log_reading::{
        cause::find_causes,
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

/// How long before a request a change of belief may have led to its end, in milliseconds: what a node
/// knows of another is a few seconds old at most.
const BELIEFS_BEFORE_MS: f64 = 3_000.0;
/// How long after its end a node may tell of what led to it, such as its own restart.
const BELIEFS_AFTER_MS: f64 = 3_000.0;

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceStep {
    /// Milliseconds since the request came.
    pub at_ms: f64,
    /// The node that tells of it.
    pub node: NodeName,
    /// Number of the event.
    pub event: u16,
    /// What happened.
    pub text: String,
}

/// A request's story.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Its identity.
    pub request: String,
    /// How it ended; empty if no line tells.
    pub end: String,
    /// Why.
    pub causes: Vec<String>,
    /// Its steps, in causal order.
    pub steps: Vec<TraceStep>,
    /// Changes of belief of the nodes that had to do with it, shortly before and during it.
    pub beliefs: Vec<TraceStep>,
    /// Calls that its upstream made, in the order of their ends.
    pub calls: Vec<TracedCall>,
}

/// A call that was made for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TracedCall {
    /// Its identity.
    pub request: String,
    /// Its class.
    pub class: String,
    /// How it ended.
    pub end: String,
    /// How long it took.
    pub took_ms: u64,
}

/// Tells the story of a request.
#[must_use]
pub fn trace_request(incarnations: &[NodeIncarnation], request: &str) -> RequestTrace {
    let names = NodeNames::collect(incarnations);
    let ordered = order_lines(incarnations);
    let own: Vec<&TimedLine> = ordered
        .iter()
        .filter(|timed| timed.line.request() == Some(request))
        .collect();
    let (began, ended) = find_span(&own);
    let involved = list_involved(&own, &names);
    let beliefs: Vec<&TimedLine> = ordered
        .iter()
        .filter(|timed| may_have_led_to_end(&timed.line))
        .filter(|timed| involved.contains(&timed.line.node))
        .filter(|timed| timed.at_ms > began - BELIEFS_BEFORE_MS)
        .filter(|timed| timed.at_ms < ended + BELIEFS_AFTER_MS)
        .collect();
    let calls = list_calls(&ordered, request);
    let lines = sort_lines(&own, beliefs.clone());
    let step = |timed: &&TimedLine| TraceStep {
        at_ms: (find_start(timed, began) - began).round(),
        node: timed.line.node.clone(),
        event: timed.line.number,
        text: describe_line(&timed.line, &names),
    };
    let mut causes = find_causes(&lines, &names);
    causes.extend(find_slowest_call(&lines, &calls));
    let mut steps: Vec<TraceStep> = own.iter().map(step).collect();
    steps.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    RequestTrace {
        request: request.to_owned(),
        end: lines
            .end
            .map(|line| line.end().describe())
            .unwrap_or_default(),
        causes,
        steps,
        beliefs: beliefs.iter().map(step).collect(),
        calls,
    }
}

fn sort_lines<'a>(own: &[&'a TimedLine], beliefs: Vec<&'a TimedLine>) -> RequestLines<'a> {
    let of = |number| {
        let lines = own.iter().filter(move |timed| timed.line.number == number);
        lines.map(|timed| &timed.line)
    };
    RequestLines {
        end: of(event_numbers::REQUEST_ENDED).next_back(),
        returned: of(event_numbers::ATTEMPT_RETURNED).collect(),
        executed: of(event_numbers::ATTEMPT_EXECUTED).collect(),
        beliefs,
    }
}

/// News of other nodes come all the time; only what a node does or can't do any more leads to an end.
fn may_have_led_to_end(line: &LogLine) -> bool {
    match line.number {
        event_numbers::NODE_KNOWN => line.is_set("leaving"),
        event_numbers::STATE_FETCHED | event_numbers::ZONE_NOTIFIED => false,
        number => number >= event_numbers::FIRST_STATE_CHANGE,
    }
}

/// When what a line tells of began: an attempt when it was sent or came.
fn find_start(timed: &TimedLine, began: f64) -> f64 {
    let line = &timed.line;
    match line.number {
        event_numbers::ATTEMPT_RETURNED => began + as_float(line.number("sent_ms")),
        event_numbers::ATTEMPT_EXECUTED => timed.at_ms - as_float(line.number("took_ms")),
        _ => timed.at_ms,
    }
}

/// A request that was late or not answered may have waited for a call of its upstream.
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

/// When the request came and when its last line was written.
fn find_span(own: &[&TimedLine]) -> (f64, f64) {
    let began = own
        .iter()
        .map(|timed| timed.at_ms - as_float(timed.line.number("took_ms")))
        .min_by(f64::total_cmp);
    let ended = own.iter().map(|timed| timed.at_ms).max_by(f64::total_cmp);
    (began.unwrap_or_default(), ended.unwrap_or_default())
}

/// The nodes that tell of the request, and those that were asked.
fn list_involved(own: &[&TimedLine], names: &NodeNames) -> BTreeSet<NodeName> {
    let asked = own.iter().map(|timed| names.find(timed.line.text("to")));
    let asked = asked.filter(|name| !name.is_empty()).map(NodeName::from);
    let told = own.iter().map(|timed| timed.line.node.clone());
    asked.chain(told).collect()
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
