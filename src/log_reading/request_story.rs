//! What became of one request: its lines at all nodes in causal order, and the cause of its end.

use crate::{
    log_reading::{
        cause::{RequestLines, find_causes},
        line::numbers,
        matching::as_float,
        order::{TimedLine, order_lines},
        runs::NodeRun,
        sentence::{NodeNames, describe_line},
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
/// What stands between the id of a request and the own part of the id of a call that it made.
const CALL_SEPARATOR: char = '.';

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoryStep {
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
pub struct RequestStory {
    /// Its identity.
    pub request: String,
    /// How it ended; empty if no line tells.
    pub end: String,
    /// Why.
    pub causes: Vec<String>,
    /// Its steps, in causal order.
    pub steps: Vec<StoryStep>,
    /// Changes of belief of the nodes that had to do with it, shortly before and during it.
    pub beliefs: Vec<StoryStep>,
    /// Calls that its upstream made, by their identity.
    pub calls: Vec<String>,
}

/// Tells the story of a request.
#[must_use]
pub fn tell_request(runs: &[NodeRun], request: &str) -> RequestStory {
    let names = NodeNames::collect(runs);
    let ordered = order_lines(runs);
    let own: Vec<&TimedLine> = ordered
        .iter()
        .filter(|timed| timed.line.request() == Some(request))
        .collect();
    let (began, ended) = find_span(&own);
    let involved = list_involved(&own, &names);
    let beliefs: Vec<&TimedLine> = ordered
        .iter()
        .filter(|timed| timed.line.number >= numbers::FIRST_BELIEF)
        .filter(|timed| involved.contains(&timed.line.node))
        .filter(|timed| timed.at_ms > began - BELIEFS_BEFORE_MS)
        .filter(|timed| timed.at_ms < ended + BELIEFS_AFTER_MS)
        .collect();
    let lines = sort_lines(&own, beliefs.clone());
    let step = |timed: &&TimedLine| StoryStep {
        at_ms: (timed.at_ms - began).round(),
        node: timed.line.node.clone(),
        event: timed.line.number,
        text: describe_line(&timed.line, &names),
    };
    RequestStory {
        request: request.to_owned(),
        end: lines
            .end
            .map(|line| line.end().describe())
            .unwrap_or_default(),
        causes: find_causes(&lines, &names),
        steps: own.iter().map(step).collect(),
        beliefs: beliefs.iter().map(step).collect(),
        calls: list_calls(&ordered, request),
    }
}

fn sort_lines<'a>(own: &[&'a TimedLine], beliefs: Vec<&'a TimedLine>) -> RequestLines<'a> {
    let of = |number| {
        let lines = own.iter().filter(move |timed| timed.line.number == number);
        lines.map(|timed| &timed.line)
    };
    RequestLines {
        end: of(numbers::REQUEST_ENDED).next_back(),
        returned: of(numbers::ATTEMPT_RETURNED).collect(),
        executed: of(numbers::ATTEMPT_EXECUTED).collect(),
        beliefs,
    }
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

/// A call made for a request has an identity that begins with that of the request and a dot.
fn list_calls(ordered: &[TimedLine], request: &str) -> Vec<String> {
    let calls = ordered.iter().filter_map(|timed| {
        let id = timed.line.request()?;
        let own = id.strip_prefix(request)?.strip_prefix(CALL_SEPARATOR)?;
        (!own.contains(CALL_SEPARATOR)).then(|| id.to_owned())
    });
    let calls: BTreeSet<String> = calls.collect();
    calls.into_iter().collect()
}
