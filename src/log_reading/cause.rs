//! Explains why a request ended as it did, from its log lines and from state changes of the involved nodes at that
//! time.

use crate::{
    log_reading::{
        description::NodeNames,
        line::{EndField, LogLine, event_numbers},
        outcome::RequestOutcome,
        request_lines::RequestLines,
    },
    state::names::NodeName,
};

/// Slowdown from which a VM counts as slow: duration of its work in percent of the usual duration.
const SLOW_VM_PERCENT: u64 = 150;
/// An upstream counts as slow if it takes more than this many times the expected duration on a VM that is not slow.
const SLOW_FACTOR: u64 = 2;

/// Returns sentences that explain the outcome; empty if the lines don't show a cause.
#[must_use]
pub fn explain_outcome(lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let Some(end) = lines.end else {
        return explain_missing_end(lines);
    };
    match RequestOutcome::classify(end) {
        RequestOutcome::Refused(reason) => explain_refusal(reason, end, lines, names),
        RequestOutcome::Unknown(cause) => explain_unknown(cause, end, lines, names),
        RequestOutcome::UpstreamFailed(status) => {
            let mut causes = vec![format!(
                "The upstream itself answered {status}; {} upstreams were tried.",
                end.number("arrivals")
            )];
            causes.extend(explain_slowest(lines, names));
            causes
        }
        RequestOutcome::Late => explain_late(end, lines, names),
        RequestOutcome::OnTime => vec!["The request was answered within its target.".to_owned()],
        RequestOutcome::ClientLeft => explain_client_left(end, lines, names),
        RequestOutcome::NoRoute => vec![format!(
            "Configuration version {} has no route for the host and path of the request.",
            end.number("version")
        )],
        RequestOutcome::Unauthorized => vec![format!(
            "The class needs an API key, and the request had none, several, or one that no organisation held in \
             configuration version {}.",
            end.number("version")
        )],
        RequestOutcome::Other(_) => Vec::new(),
    }
}

fn explain_missing_end(lines: &RequestLines<'_>) -> Vec<String> {
    if lines.executed.is_empty() {
        return Vec::new();
    }
    vec![
        "The entry node did not log the end of the request: the node was killed before, or dropped the line."
            .to_owned(),
    ]
}

fn explain_refusal(
    reason: &str,
    end: &LogLine,
    lines: &RequestLines<'_>,
    names: &NodeNames,
) -> Vec<String> {
    let mut causes = match reason {
        "queue_full" | "deadline_too_short" | "deadline_passed" => explain_no_slot(end, lines),
        "draining" if has_state_change(lines, event_numbers::STOP_REQUESTED, &end.node) => vec![format!(
            "{} was stopping and accepted no further requests.",
            end.node
        )],
        "draining" => vec!["The upstreams that were asked were leaving.".to_owned()],
        "evacuated" => vec![
            "All upstreams of the service that the node knew were in evacuated availability zones."
                .to_owned(),
        ],
        "no_upstream" if end.number("version") == 0 => {
            vec![format!("{} had no configuration yet.", end.node)]
        }
        "configuration_behind" => vec![format!(
            "{} had no route for the request and had learned of a newer configuration, which it had not received yet.",
            end.node
        )],
        "configuration_overdue" => vec![format!(
            "{} had learned of a newer configuration long before and could not fetch it.",
            end.node
        )],
        "no_upstream" => vec![format!(
            "{} knew no node of the service that it could ask.",
            end.node
        )],
        "upstream_down" => vec![
            "The nodes that were asked had no local upstream, or could not connect to it."
                .to_owned(),
        ],
        "upstream_failing" => vec![
            "The upstreams that were asked were ejected because they failed requests, and no other was left to ask."
                .to_owned(),
        ],
        "upstream_shed" => {
            vec![
                "The upstream reported that it had not executed the request, and no other was left to ask."
                    .to_owned(),
            ]
        }
        "repeats_spent" => vec![
            "A retry was needed, but the calls that it would have made again were not within the retry \
             budget."
                .to_owned(),
        ],
        "calls_rejected" => vec![
            "The upstreams had more requests than they could execute, and other services rejected most calls that \
             requests of this class make."
                .to_owned(),
        ],
        "quarantined" => vec![
            "Upstreams crashed while they executed a request with the same fingerprint, so such requests are \
             quarantined."
                .to_owned(),
        ],
        "quota_exceeded" => explain_quota(end, names),
        "keys_expired" => vec![format!(
            "It was not known whether the API key was still valid: {} had been cut off for too long, or a key of the \
             organisation was withdrawn while the request waited.",
            end.node
        )],
        "not_sent" => {
            vec!["No connection to the nodes that were asked could be opened.".to_owned()]
        }
        _ => Vec::new(),
    };
    causes.extend(explain_unreachable(lines, names));
    causes.extend(list_state_changes(lines));
    causes.extend(list_capacity_changes(lines));
    causes
}

/// Explains a refusal because the organisation was over its quota: by whose count.
fn explain_quota(end: &LogLine, names: &NodeNames) -> Vec<String> {
    let organisation = end.text("organisation");
    vec![match end.text("keeper") {
        "" => format!(
            "{organisation} was over its quota: its keepers had refused credit less than 250 ms before, or no keeper \
             could be reached and the share of this node was used up."
        ),
        keeper => format!(
            "{organisation} was over its quota, as counted by {}.",
            names.find(keeper)
        ),
    }]
}

/// Explains a refusal because no slot was free in time: the nodes asked, and which of them were slow.
fn explain_no_slot(end: &LogLine, lines: &RequestLines<'_>) -> Vec<String> {
    let earliest = find_earliest_completion(lines);
    let mut causes = vec![match earliest {
        Some(earliest) => format!(
            "None of the {} nodes asked had a slot in time: the earliest predicted completion was \
             {earliest} ms away, the target {} ms.",
            end.number("asked"),
            end.number("target_ms")
        ),
        None => format!(
            "None of the {} nodes asked had a slot.",
            end.number("asked")
        ),
    }];
    causes.extend(
        lines
            .executed
            .iter()
            .filter_map(|line| explain_slow_execution(line)),
    );
    causes
}

fn explain_unknown(
    cause: &str,
    end: &LogLine,
    lines: &RequestLines<'_>,
    names: &NodeNames,
) -> Vec<String> {
    let mut causes = Vec::new();
    for line in &lines.returned {
        let node = names.find(line.text("to"));
        match line.end() {
            EndField::Unknown("node_lost") => causes.push(explain_lost_node(node, lines)),
            EndField::Unknown("upstream_cut") => causes.push(format!(
                "The local upstream of {node} closed the connection without an answer{}.",
                format_incarnation(line, lines)
            )),
            EndField::Unknown("upstream_crashed") => causes.push(format!(
                "The local upstream of {node} crashed while it executed the request{}.",
                format_incarnation(line, lines)
            )),
            EndField::Unknown("bad_answer") => causes.push(format!(
                "The answer of the local upstream of {node} was malformed, truncated, unsigned or for another \
                 request{}.",
                format_incarnation(line, lines)
            )),
            _ => {}
        }
    }
    if cause == "node_stopping" {
        causes.push(
            "The node that the client had sent the request to was stopped, and its grace period ended before the answer."
                .to_owned(),
        );
        causes.extend(explain_slowest(lines, names));
    }
    if cause == "deadline_passed" {
        causes.push(format!(
            "No answer arrived within the {} ms that the client allowed.",
            end.number("time_left_ms")
        ));
        causes.extend(explain_slowest(lines, names));
    }
    causes.extend(explain_unreachable(lines, names));
    causes.extend(list_state_changes(lines));
    causes
}

fn explain_lost_node(node: &str, lines: &RequestLines<'_>) -> String {
    let ended = lines
        .state_changes
        .iter()
        .find(|change| change.line.node.as_str() == node && reports_process_end(&change.line));
    match ended {
        Some(change) if change.line.number == event_numbers::NODE_STARTED => format!(
            "{node} was restarted at that time: its previous process was killed or lost power while the \
             request was in progress."
        ),
        Some(_) => format!("{node} was stopping at that time."),
        None => format!(
            "The connection to {node} broke after the request was sent; its own log shows no end of \
             its process."
        ),
    }
}

fn reports_process_end(line: &LogLine) -> bool {
    matches!(
        line.number,
        event_numbers::NODE_STARTED | event_numbers::STOP_REQUESTED | event_numbers::NODE_STOPPED
    )
}

/// Returns the id of the upstream's incarnation in parentheses; empty if the executing node didn't log the attempt.
fn format_incarnation(returned: &LogLine, lines: &RequestLines<'_>) -> String {
    let executed = lines
        .executed
        .iter()
        .find(|executed| executed.end() == returned.end());
    executed
        .map(|executed| format!(" (incarnation {})", executed.text("instance")))
        .unwrap_or_default()
}

fn explain_late(end: &LogLine, lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let mut causes = vec![format!(
        "The request was answered {} ms after its target.",
        end.number("took_ms")
            .saturating_sub(end.number("target_ms"))
    )];
    causes.extend(explain_slowest(lines, names));
    if end.number("arrivals") > 1 {
        causes.push(format!("{} upstreams were tried.", end.number("arrivals")));
    }
    causes.extend(explain_unreachable(lines, names));
    causes.extend(list_capacity_changes(lines));
    causes
}

/// Explains what the slowest attempt spent its time on.
fn explain_slowest(lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let Some(slowest) = lines.find_slowest(names) else {
        return Vec::new();
    };
    let (node, took) = (slowest.node, slowest.took_ms);
    let mut causes = vec![if slowest.is_abandoned() && slowest.executed.is_none() {
        format!(
            "{node} had not answered {took} ms after the request was sent to it, and did not log the attempt."
        )
    } else {
        format!(
            "At {node} the request waited {} ms for a slot and ran for {} ms.",
            slowest.waited_ms,
            slowest.ran_ms()
        )
    }];
    let slowdown = slowest.returned.number("pace_percent");
    if let Some(executed) = slowest.executed {
        causes.extend(explain_slow_execution(executed));
    } else if slowdown >= SLOW_VM_PERCENT {
        causes.push(format!(
            "The VM of {node} was slow: work took {slowdown}% of its usual time."
        ));
    }
    causes.extend(explain_shortage(lines));
    causes
}

/// Reports how many slot requests were refused before a node accepted one.
fn explain_shortage(lines: &RequestLines<'_>) -> Option<String> {
    let earliest = find_earliest_completion(lines)?;
    let refused = lines.end?.number("asked").saturating_sub(1);
    Some(format!(
        "{refused} slot requests were refused before; the earliest predicted completion was {earliest} ms away."
    ))
}

/// Returns the earliest completion that a node without a slot in time predicted, in milliseconds from its refusal.
fn find_earliest_completion(lines: &RequestLines<'_>) -> Option<u64> {
    let predictions = lines.returned.iter().map(|line| line.number("finish_ms"));
    let logged_minimum = lines.end.map(|end| end.number("soonest_ms"));
    predictions
        .chain(logged_minimum)
        .filter(|finish| *finish > 0)
        .min()
}

fn explain_client_left(end: &LogLine, lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let mut causes = vec![format!(
        "The client closed its connection after {} ms; it had allowed {} ms, and the target was {} ms.",
        end.number("took_ms"),
        end.number("time_left_ms"),
        end.number("target_ms")
    )];
    causes.extend(explain_slowest(lines, names));
    causes.extend(explain_unreachable(lines, names));
    causes
}

fn explain_slow_execution(line: &LogLine) -> Option<String> {
    let slowdown = line.number("pace_percent");
    if slowdown >= SLOW_VM_PERCENT {
        return Some(format!(
            "The VM of {} was slow: work took {slowdown}% of its usual time.",
            line.node
        ));
    }
    let ran = line
        .number("took_ms")
        .saturating_sub(line.number("waited_ms"));
    let expected = line.number("expected_ms");
    (expected > 0 && ran > expected * SLOW_FACTOR).then(|| {
        format!(
            "The local upstream of {} took {ran} ms for work that usually takes {expected} ms.",
            line.node
        )
    })
}

fn has_state_change(lines: &RequestLines<'_>, number: u16, node: &NodeName) -> bool {
    lines
        .state_changes
        .iter()
        .any(|change| change.line.number == number && change.line.node == *node)
}

fn explain_unreachable(lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let unsent = lines
        .returned
        .iter()
        .filter(|line| line.end() == EndField::Other("not_sent"));
    let mut nodes: Vec<&str> = unsent.map(|line| names.find(line.text("to"))).collect();
    nodes.sort_unstable();
    nodes.dedup();
    if nodes.is_empty() {
        return Vec::new();
    }
    vec![format!(
        "No connection to {} could be opened.",
        nodes.join(", ")
    )]
}

/// Lists upstreams that were warming up and zones that were evacuated or restored: these change the capacity of the
/// service.
fn list_capacity_changes(lines: &RequestLines<'_>) -> Vec<String> {
    let sentences = lines.state_changes.iter().filter_map(|change| {
        let line = &change.line;
        match line.number {
            event_numbers::UPSTREAM_WARMING_UP => Some(format!(
                "The local upstream of {} was warming up and received at most {} requests a second.",
                line.node,
                line.number("limit")
            )),
            event_numbers::ZONE_EVACUATED => Some(format!(
                "The availability zone {} was evacuated at that time.",
                line.text("zone")
            )),
            event_numbers::ZONE_RESTORED => Some(format!(
                "The availability zone {} was restored at that time.",
                line.text("zone")
            )),
            _ => None,
        }
    });
    let mut sentences: Vec<String> = sentences.collect();
    sentences.sort();
    sentences.dedup();
    sentences
}

/// Lists changes of local upstreams and of the connection to the store that may have led to a refusal.
fn list_state_changes(lines: &RequestLines<'_>) -> Vec<String> {
    let sentences = lines.state_changes.iter().filter_map(|change| {
        let line = &change.line;
        let what = match line.name.as_str() {
            "upstream_announced" if line.is_set("leaving") => {
                "learned that its upstream was leaving"
            }
            "upstream_departed" => "learned that its upstream had departed",
            "upstream_replaced" => "found another incarnation in place of its upstream",
            "upstream_announced" => {
                "learned of a new incarnation of its upstream, or of another number of slots"
            }
            "store_lost" => "lost its connection to the store",
            _ => return None,
        };
        Some(format!("{} {what} at that time.", line.node))
    });
    let mut sentences: Vec<String> = sentences.collect();
    sentences.sort();
    sentences.dedup();
    sentences
}
