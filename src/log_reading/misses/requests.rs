//! The requests that lines tell of, each with its kind.

use crate::{
    log_reading::{
        description::NodeNames,
        line::{LogLine, event_numbers},
        matching::as_float,
        misses::kind::MissKind,
        order::TimedLine,
        request_lines::{RequestLines, find_parent_request},
    },
    state::names::NodeName,
};
use std::collections::{HashMap, HashSet};

/// A request whose end is told.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRequest {
    /// When it came, on the common clock.
    pub came_ms: f64,
    /// Its class; empty without a route.
    pub class: String,
    /// How it ended and why.
    pub kind: MissKind,
}

/// All requests.
#[derive(Clone, Debug, Default)]
pub struct LoggedRequests {
    /// Those whose end is told.
    pub ended: Vec<EndedRequest>,
    /// How many others the nodes beside upstreams tell of.
    pub without_end: usize,
}

/// Lines by request, for all that are looked up.
#[derive(Default)]
struct RequestIndex<'a> {
    executed: HashMap<&'a str, Vec<&'a LogLine>>,
    /// The time of the slowest call that was made for a request.
    calls: HashMap<&'a str, u64>,
    ended: HashSet<&'a str>,
}

impl<'a> RequestIndex<'a> {
    fn build(ordered: &'a [TimedLine]) -> Self {
        let mut index = Self::default();
        for line in ordered.iter().map(|timed| &timed.line) {
            let Some(request) = line.request() else {
                continue;
            };
            match line.number {
                event_numbers::ATTEMPT_EXECUTED => {
                    index.executed.entry(request).or_default().push(line);
                }
                event_numbers::REQUEST_ENDED => index.add_end(request, line),
                _ => {}
            }
        }
        index
    }

    fn add_end(&mut self, request: &'a str, line: &LogLine) {
        self.ended.insert(request);
        if let Some(caller) = find_parent_request(request) {
            let slowest = self.calls.entry(caller).or_default();
            *slowest = (*slowest).max(line.number("took_ms"));
        }
    }

    fn count_without_end(&self) -> usize {
        let told = self.executed.keys();
        told.filter(|request| !self.ended.contains(*request))
            .count()
    }
}

/// Collects all requests from lines in their order.
#[must_use]
pub fn collect_requests(ordered: &[TimedLine], names: &NodeNames) -> LoggedRequests {
    let index = RequestIndex::build(ordered);
    // A client may use an identity again: what is returned belongs to the next end at the same node.
    let mut returned: HashMap<(&NodeName, &str), Vec<&LogLine>> = HashMap::new();
    let mut ended = Vec::new();
    for timed in ordered {
        let line = &timed.line;
        let key = (&line.node, line.text("request"));
        match line.number {
            event_numbers::ATTEMPT_RETURNED => returned.entry(key).or_default().push(line),
            event_numbers::REQUEST_ENDED => {
                let own = returned.remove(&key).unwrap_or_default();
                ended.push(judge_request(timed, own, &index, names));
            }
            _ => {}
        }
    }
    LoggedRequests {
        ended,
        without_end: index.count_without_end(),
    }
}

fn judge_request(
    timed: &TimedLine,
    returned: Vec<&LogLine>,
    index: &RequestIndex<'_>,
    names: &NodeNames,
) -> EndedRequest {
    let end = &timed.line;
    let request = end.text("request");
    let lines = RequestLines {
        end: Some(end),
        returned,
        executed: index.executed.get(request).cloned().unwrap_or_default(),
        beliefs: Vec::new(),
    };
    let call_ms = index.calls.get(request).copied();
    EndedRequest {
        came_ms: timed.at_ms - as_float(end.number("took_ms")),
        class: end.text("class").to_owned(),
        kind: MissKind::find(end, &lines, names, call_ms),
    }
}
