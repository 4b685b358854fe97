//! Why a request ended as it did, from its lines and from what its nodes believed at that time.

use crate::{
    log_reading::{
        description::NodeNames,
        line::{EndField, LogLine, event_numbers},
        outcome::RequestOutcome,
        request_lines::RequestLines,
    },
    state::names::NodeName,
};

/// Pace from which a VM counts as slow, in percent of the usual time.
const SLOW_PACE: u64 = 150;
/// Times the expected time from which an upstream counts as slow by itself.
const SLOW_FACTOR: u64 = 2;

/// Sentences on the cause; none if the lines don't show it.
#[must_use]
pub fn find_causes(lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let Some(end) = lines.end else {
        return find_causes_without_end(lines);
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
        RequestOutcome::OnTime => vec!["It was answered within its target.".to_owned()],
        RequestOutcome::ClientLeft => explain_client_left(end, lines, names),
        RequestOutcome::NoRoute => vec![format!(
            "Configuration {} has no route for its host and path.",
            end.number("version")
        )],
        RequestOutcome::Other(_) => Vec::new(),
    }
}

fn find_causes_without_end(lines: &RequestLines<'_>) -> Vec<String> {
    if lines.executed.is_empty() {
        return Vec::new();
    }
    vec![
        "The node that took it did not tell of its end: it was killed before, or its line was left out."
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
        "draining" if has_belief(lines, event_numbers::STOP_REQUESTED, &end.node) => vec![format!(
            "{} was stopping and took no further requests.",
            end.node
        )],
        "draining" => vec!["The upstreams that were asked were leaving.".to_owned()],
        "evacuated" => vec![
            "All upstreams of the service that the node knew were in evacuated availability zones."
                .to_owned(),
        ],
        "no_upstream" if end.number("version") == 0 => {
            vec![format!("{} knew no configuration yet.", end.node)]
        }
        "configuration_behind" => vec![format!(
            "{} had no route for it and had heard of a newer configuration, which it did not have yet.",
            end.node
        )],
        "configuration_overdue" => vec![format!(
            "{} had been told of a newer configuration long before and could not fetch it.",
            end.node
        )],
        "no_upstream" => vec![format!(
            "{} knew no node of the service that it could ask.",
            end.node
        )],
        "upstream_down" => vec![
            "The nodes that were asked knew no upstream beside them, or could not connect to it."
                .to_owned(),
        ],
        "upstream_shed" => {
            vec![
                "The upstream said that it had not run it, and no other was left to ask."
                    .to_owned(),
            ]
        }
        "repeats_spent" => vec![
            "It was to be repeated, and the calls that its run makes again were not within the budget \
             of repeats."
                .to_owned(),
        ],
        "quarantined" => vec![
            "Upstreams that ran a request for the same thing have crashed, so it is kept from all of them for a \
             while."
                .to_owned(),
        ],
        "not_sent" => {
            vec!["No connection to the nodes that were asked could be opened.".to_owned()]
        }
        _ => Vec::new(),
    };
    causes.extend(list_unreachable(lines, names));
    causes.extend(list_beliefs(lines));
    causes.extend(list_places(lines));
    causes
}

/// The service was short of slots: where, and why.
fn explain_no_slot(end: &LogLine, lines: &RequestLines<'_>) -> Vec<String> {
    let soonest = find_soonest(lines);
    let mut causes = vec![match soonest {
        Some(soonest) => format!(
            "None of the {} nodes asked had a slot in time: the soonest end was {soonest} ms away, the \
             target {} ms.",
            end.number("asked"),
            end.number("target_ms")
        ),
        None => format!(
            "None of the {} nodes asked had a slot.",
            end.number("asked")
        ),
    }];
    causes.extend(lines.executed.iter().filter_map(|line| describe_slow(line)));
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
                "The upstream beside {node} closed the connection without an answer{}.",
                name_instance(line, lines)
            )),
            EndField::Unknown("upstream_crashed") => causes.push(format!(
                "The upstream beside {node} ended while it ran it{}.",
                name_instance(line, lines)
            )),
            EndField::Unknown("bad_answer") => causes.push(format!(
                "The answer of the upstream beside {node} was malformed, cut short, unsigned or another \
                 request's{}.",
                name_instance(line, lines)
            )),
            _ => {}
        }
    }
    if cause == "deadline_passed" {
        causes.push(format!(
            "No answer came within the {} ms that the client left.",
            end.number("time_left_ms")
        ));
        causes.extend(explain_slowest(lines, names));
    }
    causes.extend(list_unreachable(lines, names));
    causes.extend(list_beliefs(lines));
    causes
}

fn explain_lost_node(node: &str, lines: &RequestLines<'_>) -> String {
    let ended = lines
        .beliefs
        .iter()
        .find(|belief| belief.line.node.as_str() == node && tells_of_end(&belief.line));
    match ended {
        Some(belief) if belief.line.number == event_numbers::NODE_STARTED => format!(
            "{node} was started anew at that time: its former process was killed or lost power with the \
             request under way."
        ),
        Some(_) => format!("{node} was stopping at that time."),
        None => format!(
            "The connection to {node} broke after the request was sent; its own lines tell of no end of \
             its process."
        ),
    }
}

fn tells_of_end(line: &LogLine) -> bool {
    matches!(
        line.number,
        event_numbers::NODE_STARTED | event_numbers::STOP_REQUESTED | event_numbers::NODE_STOPPED
    )
}

/// The run of the upstream, if the node beside it told of the attempt.
fn name_instance(returned: &LogLine, lines: &RequestLines<'_>) -> String {
    let executed = lines
        .executed
        .iter()
        .find(|executed| executed.end() == returned.end());
    executed
        .map(|executed| format!(" (run {})", executed.text("instance")))
        .unwrap_or_default()
}

fn explain_late(end: &LogLine, lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let mut causes = vec![format!(
        "It was answered {} ms after its target.",
        end.number("took_ms")
            .saturating_sub(end.number("target_ms"))
    )];
    causes.extend(explain_slowest(lines, names));
    if end.number("arrivals") > 1 {
        causes.push(format!("{} upstreams were tried.", end.number("arrivals")));
    }
    causes.extend(list_unreachable(lines, names));
    causes.extend(list_places(lines));
    causes
}

/// Where the time of the slowest attempt went.
fn explain_slowest(lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let Some(slowest) = lines.find_slowest(names) else {
        return Vec::new();
    };
    let (node, took) = (slowest.node, slowest.took_ms);
    let mut causes = vec![if slowest.is_abandoned() && slowest.executed.is_none() {
        format!("{node} had not answered {took} ms after it was asked, and tells nothing of it.")
    } else {
        format!(
            "At {node} it waited {} ms for a slot and ran for {} ms.",
            slowest.waited_ms,
            slowest.ran_ms()
        )
    }];
    let pace = slowest.returned.number("pace_percent");
    if let Some(executed) = slowest.executed {
        causes.extend(describe_slow(executed));
    } else if pace >= SLOW_PACE {
        causes.push(format!(
            "The VM of {node} worked at {pace}% of the usual time."
        ));
    }
    causes.extend(explain_shortage(lines));
    causes
}

/// Nodes that had no slot in time before one was found to wait at.
fn explain_shortage(lines: &RequestLines<'_>) -> Option<String> {
    let soonest = find_soonest(lines)?;
    let refused = lines.end?.number("asked").saturating_sub(1);
    Some(format!(
        "{refused} questions for a slot were refused before; the soonest end told was {soonest} ms away."
    ))
}

/// The soonest end that a node told which had no slot in time.
fn find_soonest(lines: &RequestLines<'_>) -> Option<u64> {
    let finishes = lines.returned.iter().map(|line| line.number("finish_ms"));
    let summed = lines.end.map(|end| end.number("soonest_ms"));
    finishes.chain(summed).filter(|finish| *finish > 0).min()
}

fn explain_client_left(end: &LogLine, lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
    let mut causes = vec![format!(
        "The client closed its connection after {} ms, with {} ms given and a target of {} ms.",
        end.number("took_ms"),
        end.number("time_left_ms"),
        end.number("target_ms")
    )];
    causes.extend(explain_slowest(lines, names));
    causes.extend(list_unreachable(lines, names));
    causes
}

fn describe_slow(line: &LogLine) -> Option<String> {
    let pace = line.number("pace_percent");
    if pace >= SLOW_PACE {
        return Some(format!(
            "The VM of {} worked at {pace}% of the usual time.",
            line.node
        ));
    }
    let ran = line
        .number("took_ms")
        .saturating_sub(line.number("waited_ms"));
    let expected = line.number("expected_ms");
    (expected > 0 && ran > expected * SLOW_FACTOR).then(|| {
        format!(
            "The upstream beside {} took {ran} ms for what takes {expected} ms usually.",
            line.node
        )
    })
}

fn has_belief(lines: &RequestLines<'_>, number: u16, node: &NodeName) -> bool {
    lines
        .beliefs
        .iter()
        .any(|belief| belief.line.number == number && belief.line.node == *node)
}

fn list_unreachable(lines: &RequestLines<'_>, names: &NodeNames) -> Vec<String> {
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

/// Cold upstreams and evacuated zones, which leave less room for requests.
fn list_places(lines: &RequestLines<'_>) -> Vec<String> {
    let told = lines.beliefs.iter().filter_map(|belief| {
        let line = &belief.line;
        match line.number {
            event_numbers::UPSTREAM_WARMING_UP => Some(format!(
                "The upstream beside {} was cold and was given at most {} requests a second.",
                line.node,
                line.number("limit")
            )),
            event_numbers::ZONE_EVACUATED => Some(format!(
                "The availability zone {} was evacuated at that time.",
                line.text("zone")
            )),
            event_numbers::ZONE_RESTORED => Some(format!(
                "The availability zone {} was taken back at that time.",
                line.text("zone")
            )),
            _ => None,
        }
    });
    let mut told: Vec<String> = told.collect();
    told.sort();
    told.dedup();
    told
}

/// Changes at the upstreams and the store that a refusal may come from.
fn list_beliefs(lines: &RequestLines<'_>) -> Vec<String> {
    let told = lines.beliefs.iter().filter_map(|belief| {
        let line = &belief.line;
        let what = match line.name.as_str() {
            "upstream_announced" if line.is_set("leaving") => "was told that its upstream leaves",
            "upstream_departed" => "was told that its upstream is gone",
            "upstream_replaced" => "found another run in place of its upstream",
            "upstream_announced" => "was told of a new run of its upstream",
            "store_lost" => "lost the store",
            _ => return None,
        };
        Some(format!("{} {what} at that time.", line.node))
    });
    let mut told: Vec<String> = told.collect();
    told.sort();
    told.dedup();
    told
}
