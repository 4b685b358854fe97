//! Describes a log line in one sentence.

use crate::log_reading::{
    incarnations::NodeIncarnation,
    line::{LogLine, event_numbers},
    matching::find_addresses,
};
use serde_json::Value;
use std::{collections::HashMap, fmt::Write};

/// Names of nodes by address, for use in sentences.
#[derive(Clone, Debug, Default)]
pub struct NodeNames(HashMap<String, String>);

impl NodeNames {
    /// Collects the names and addresses that appear in the lines.
    #[must_use]
    pub fn collect(incarnations: &[NodeIncarnation]) -> Self {
        let addresses = find_addresses(incarnations).into_iter();
        Self(
            addresses
                .map(|(address, node)| (address.to_string(), node.to_string()))
                .collect(),
        )
    }

    /// Returns the name of the node at an address, or the address itself if the name is not known.
    #[must_use]
    pub fn find<'a>(&'a self, address: &'a str) -> &'a str {
        self.0.get(address).map_or(address, String::as_str)
    }
}

/// Describes a line in one sentence.
#[must_use]
pub fn describe_line(line: &LogLine, names: &NodeNames) -> String {
    match line.number {
        event_numbers::REQUEST_ENDED => describe_request(line),
        event_numbers::ATTEMPT_RETURNED => describe_returned(line, names),
        event_numbers::ATTEMPT_EXECUTED => describe_executed(line, names),
        event_numbers::NODE_UNREACHABLE => format!(
            "could not reach {}, {} times in a row; retries after {} ms",
            names.find(line.text("to")),
            line.number("failures"),
            line.number("pause_ms")
        ),
        event_numbers::NODE_KNOWN => format!(
            "learned of {} at {}: upstream {} of {}{}",
            line.text("known"),
            line.text("address"),
            line.text("instance"),
            line.text("service"),
            if line.is_set("leaving") {
                ", leaving"
            } else {
                ""
            }
        ),
        _ => describe_other(line),
    }
}

fn describe_request(line: &LogLine) -> String {
    format!(
        "request of class {} ended after {} ms (target {} ms, {} ms allowed): {}; {} nodes asked, {} \
         upstreams reached, configuration version {}",
        or_none(line.text("class")),
        line.number("took_ms"),
        line.number("target_ms"),
        line.number("time_left_ms"),
        line.end().describe(),
        line.number("asked"),
        line.number("arrivals"),
        line.number("version"),
    )
}

fn describe_returned(line: &LogLine, names: &NodeNames) -> String {
    let within = match line.number("within_ms") {
        0 => "a slot at once".to_owned(),
        within => format!("completion within {within} ms"),
    };
    let load = match line.find_number("known_age_ms") {
        Some(age) => format!("its load reported {age} ms ago"),
        None => "its load unknown".to_owned(),
    };
    let mut text = format!(
        "asked {} for {within} ({load}), after {} ms: {}",
        names.find(line.text("to")),
        line.number("took_ms"),
        line.end().describe()
    );
    let waited = line.number("waited_ms");
    if waited > 0 {
        // Writing to a string never fails.
        let _ = write!(text, "; {waited} ms of that waiting for a slot");
    }
    let finish = line.number("finish_ms");
    if finish > 0 {
        // Writing to a string never fails.
        let _ = write!(text, "; completion there predicted after {finish} ms");
    }
    text
}

fn describe_executed(line: &LogLine, names: &NodeNames) -> String {
    let slowdown = match line.find_number("pace_age_ms") {
        Some(age) => format!(
            "slowdown {}% reported {age} ms ago",
            line.number("pace_percent")
        ),
        None => "slowdown unknown".to_owned(),
    };
    format!(
        "attempt from {}: {} of {} slots in use, {} queued, {slowdown}; waited {} ms, ran {} ms ({} ms expected) \
         at upstream {}: {}",
        names.find(line.text("from")),
        line.number("running"),
        line.number("limit"),
        line.number("queued"),
        line.number("waited_ms"),
        line.number("took_ms")
            .saturating_sub(line.number("waited_ms")),
        line.number("expected_ms"),
        or_none(line.text("instance")),
        line.end().describe(),
    )
}

/// Lists the name of the event and its fields.
fn describe_other(line: &LogLine) -> String {
    let mut text = line.name.replace('_', " ");
    for (name, value) in &line.fields {
        let value = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        // Writing to a string never fails.
        let _ = write!(text, ", {} {value}", name.replace('_', " "));
    }
    text
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}
