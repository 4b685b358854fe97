//! Collects the logged requests and determines the kind of each.

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

/// A request whose end is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRequest {
    /// Arrival time on the common clock, in milliseconds since the Unix epoch.
    pub arrived_ms: f64,
    /// Class of the request; empty without a route.
    pub class: String,
    /// Outcome and cause.
    pub kind: MissKind,
}

/// All requests that the lines mention.
#[derive(Clone, Debug, Default)]
pub struct LoggedRequests {
    /// Requests whose end is logged.
    pub ended: Vec<EndedRequest>,
    /// Number of other requests, for which only executing nodes logged attempts.
    pub without_end: usize,
}

/// Lines by request id, for lookups.
#[derive(Default)]
struct RequestIndex<'a> {
    executed: HashMap<&'a str, Vec<&'a LogLine>>,
    /// Duration of the slowest call that was made for a request, in milliseconds.
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
        let executed = self.executed.keys();
        executed
            .filter(|request| !self.ended.contains(*request))
            .count()
    }
}

/// Collects all requests from lines in causal order.
#[must_use]
pub fn collect_requests(ordered: &[TimedLine], names: &NodeNames) -> LoggedRequests {
    let index = RequestIndex::build(ordered);
    // A client may use an id twice: the lines on attempts belong to the next end of that id at the same node.
    let mut returned: HashMap<(&NodeName, &str), Vec<&LogLine>> = HashMap::new();
    let mut ended = Vec::new();
    for timed in ordered {
        let line = &timed.line;
        let key = (&line.node, line.text("request"));
        match line.number {
            event_numbers::ATTEMPT_RETURNED => returned.entry(key).or_default().push(line),
            event_numbers::REQUEST_ENDED => {
                let attempts = returned.remove(&key).unwrap_or_default();
                ended.push(classify_request(timed, attempts, &index, names));
            }
            _ => {}
        }
    }
    LoggedRequests {
        ended,
        without_end: index.count_without_end(),
    }
}

fn classify_request(
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
        state_changes: Vec::new(),
    };
    let call_ms = index.calls.get(request).copied();
    EndedRequest {
        arrived_ms: timed.at_ms - as_float(end.number("took_ms")),
        class: end.text("class").to_owned(),
        kind: MissKind::determine(end, &lines, names, call_ms),
    }
}
