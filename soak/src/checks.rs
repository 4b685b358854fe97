//! The promises, checked against what callers and upstreams saw.

use crate::{
    history::{Acknowledged, CallerRecord, ColdTime, Hindrance, History, Violation},
    machine::{CRASHING_PREFIX, choose_zone},
};
use camphorturn::local_mesh::client::CallFailure;
use camphorturn_stand_ins::upstream::ExecutedRequest;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Time after an acknowledged leaving from which no request may reach that run of the upstream.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time after the order to stop in which clients may still bring requests.
const STOP_TAKES: Duration = Duration::from_secs(3);

/// Upstreams that one request crashes until it is known, and what more of them it may reach after that.
const CRASHES_KNOWN_AFTER: usize = 3;
const CRASHES_ALLOWED: usize = 3;
/// Time without hindrance after which a node counts as in touch with the others.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

/// Time after an acknowledged change from which each node has it in force that nothing keeps from learning of it, and in
/// which a node that something kept from it, or that has started, makes up for that. The platform's users count on it.
pub const IN_FORCE_BOUND: Duration = Duration::from_millis(2_500);

/// Time after an acknowledged evacuation from which no request may reach the zone.
pub const EVACUATED_BOUND: Duration = Duration::from_secs(5);
/// Most requests within a second for a cold upstream, by the configuration and the settings of the nodes.
pub const COLD_LIMIT: usize = 23;
/// Time in which a node learns that its upstream has become cold.
const COLD_TOLD_AFTER: Duration = Duration::from_millis(500);

/// Every promise that was broken.
#[must_use]
pub fn find_violations(history: &History, runs: &[ExecutedRequest]) -> Vec<Violation> {
    let mut by_target: HashMap<&str, Vec<&ExecutedRequest>> = HashMap::new();
    for run in runs {
        by_target.entry(&run.target).or_default().push(run);
    }
    let none = Vec::new();
    let changes = index_changes(history);
    let mut found = Vec::new();
    for request in &history.requests {
        let ran = by_target.get(request.target.as_str()).unwrap_or(&none);
        found.extend(check_request(request, ran));
        found.extend(check_planned_stop(request, ran, history));
        found.extend(check_in_force(request, &changes, &history.hindrances));
    }
    found.extend(check_unasked(history, runs));
    found.extend(check_drains(history, runs));
    found.extend(check_crashing(&by_target, history));
    found.extend(check_versions(history));
    found.extend(check_evacuations(history, runs));
    found.extend(check_cold_upstreams(history, runs));
    found
}

fn violation(promise: &'static str, request: &CallerRecord, ran: &[&ExecutedRequest]) -> Violation {
    let by: Vec<&str> = ran.iter().map(|run| run.instance.as_str()).collect();
    let took = request.ended.duration_since(request.sent);
    Violation {
        promise,
        seen: format!(
            "{} at node {}: {:?} after {} ms, run by {by:?}",
            request.target,
            request.node,
            request.answer,
            took.as_millis()
        ),
    }
}

fn check_request(request: &CallerRecord, ran: &[&ExecutedRequest]) -> Option<Violation> {
    let promise = match &request.answer {
        _ if !request.idempotent && ran.len() > 1 => "what must not run twice runs once",
        Ok((503 | 429, _)) if !request.idempotent && !ran.is_empty() => "refused means not run",
        Ok((200, _)) if ran.is_empty() => "an answer comes from an upstream that ran it",
        Ok((200, body)) if !body.contains(&request.target) => "an answer is the one to its request",
        Ok((404, _)) if request.route_version == 0 => "a route that is in force is never denied",
        Ok((200 | 404 | 429 | 500 | 502 | 503 | 504, _)) | Err(_) => return None,
        Ok(_) => "no status that nobody gave",
    };
    Some(violation(promise, request, ran))
}

/// When each configuration was acknowledged.
fn index_changes(history: &History) -> HashMap<u64, Instant> {
    let changes = history.acknowledged.iter();
    changes
        .filter_map(|acknowledged| match acknowledged {
            Acknowledged::Change { route_version, at } => Some((*route_version, *at)),
            Acknowledged::Leaving { .. } => None,
        })
        .collect()
}

/// A route of an acknowledged change is no longer denied once the change is to be in force.
fn check_in_force(
    request: &CallerRecord,
    changes: &HashMap<u64, Instant>,
    hindrances: &[Hindrance],
) -> Option<Violation> {
    let acknowledged = *changes.get(&request.route_version)?;
    let owed = acknowledged + IN_FORCE_BOUND;
    if !matches!(request.answer, Ok((404, _))) || request.sent < owed {
        return None;
    }
    let hinders = |hindrance: &Hindrance| {
        hindrance.node.is_none_or(|node| node == request.node)
            && hindrance.from <= request.ended
            && hindrance.to + IN_FORCE_BOUND > request.sent
    };
    if hindrances.iter().any(hinders) {
        return None;
    }
    let promise = "an acknowledged change is in force in time";
    let found = violation(promise, request, &[]);
    let since = request.sent.duration_since(acknowledged).as_millis();
    Some(Violation {
        seen: format!("{}, sent {since} ms after the change", found.seen),
        ..found
    })
}

/// A request that was read and run is answered by a node that stops as planned.
fn check_planned_stop(
    request: &CallerRecord,
    ran: &[&ExecutedRequest],
    history: &History,
) -> Option<Violation> {
    if request.answer != Err(CallFailure::Disconnected) || ran.is_empty() {
        return None;
    }
    let of_node = history
        .disturbances
        .iter()
        .filter(|disturbance| disturbance.node == request.node)
        .filter(|disturbance| disturbance.from <= request.ended && request.sent <= disturbance.to);
    let mut stopped = false;
    for disturbance in of_node {
        if !disturbance.planned || request.sent > disturbance.from + STOP_TAKES {
            return None;
        }
        stopped = true;
    }
    // Without any disturbance a cut has no excuse at all.
    let promise = if stopped {
        "a planned stop cuts nothing off"
    } else {
        "a request is answered"
    };
    Some(violation(promise, request, ran))
}

fn check_unasked(history: &History, runs: &[ExecutedRequest]) -> Vec<Violation> {
    let asked: HashMap<&str, &CallerRecord> = history
        .requests
        .iter()
        .map(|request| (request.target.as_str(), request))
        .collect();
    runs.iter()
        .filter(|run| !asked.contains_key(run.target.as_str()))
        .map(|run| Violation {
            promise: "upstreams run what callers asked",
            seen: format!("{} at {}", run.target, run.instance),
        })
        .collect()
}

fn check_drains(history: &History, runs: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found = Vec::new();
    for acknowledged in &history.acknowledged {
        let Acknowledged::Leaving { instance, born, at } = acknowledged else {
            continue;
        };
        let late = runs.iter().filter(|run| {
            run.instance == *instance
                && run.incarnation_started_ms == *born
                && run.executed_at > *at + DRAIN_BOUND
        });
        found.extend(late.map(|run| Violation {
            promise: "a leaving upstream gets no work",
            seen: format!(
                "{} at {instance}, {} ms after",
                run.target,
                run.executed_at.duration_since(*at).as_millis()
            ),
        }));
    }
    found
}

/// Number of the VM whose upstream ran a request.
fn find_machine(run: &ExecutedRequest) -> Option<usize> {
    let (number, _) = run.instance.strip_prefix('u')?.split_once('-')?;
    number.parse().ok()
}

fn check_evacuations(history: &History, runs: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found = Vec::new();
    for evacuation in &history.evacuations {
        let owed = evacuation.from + EVACUATED_BOUND;
        let late = runs.iter().filter(|run| {
            let is_in_zone = find_machine(run).map(choose_zone) == Some(evacuation.zone);
            let is_before_end = evacuation.to.is_none_or(|to| run.executed_at < to);
            is_in_zone && run.executed_at > owed && is_before_end && is_in_touch(history, run)
        });
        found.extend(late.map(|run| Violation {
            promise: "an evacuated zone gets no work",
            seen: format!(
                "{} at {}, {} ms after",
                run.target,
                run.instance,
                run.executed_at.duration_since(evacuation.from).as_millis()
            ),
        }));
    }
    found
}

/// In no second in which it is cold, and has said so, an upstream gets more than its service tolerates.
fn check_cold_upstreams(history: &History, runs: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found = Vec::new();
    for cold in &history.cold_times {
        let is_held_up = |held_up: &ColdTime| {
            held_up.node == cold.node && held_up.from <= cold.to && cold.from <= held_up.to
        };
        if history.held_up.iter().any(is_held_up) {
            continue;
        }
        let told = cold.from + COLD_TOLD_AFTER;
        let of_upstream = runs
            .iter()
            .filter(|run| find_machine(run) == Some(cold.node));
        let while_cold =
            of_upstream.filter(|run| told <= run.executed_at && run.executed_at < cold.to);
        let mut times: Vec<Instant> = while_cold.map(|run| run.executed_at).collect();
        times.sort();
        let second = Duration::from_secs(1);
        let broken = times
            .windows(COLD_LIMIT + 1)
            .any(|window| window[COLD_LIMIT].duration_since(window[0]) < second);
        if broken {
            found.push(Violation {
                promise: "a cold upstream gets what it tolerates",
                seen: format!(
                    "more than {COLD_LIMIT} requests in a second at node {}",
                    cold.node
                ),
            });
        }
    }
    found
}

/// A request that has crashed three upstreams reaches hardly any more, once all nodes have heard of it.
fn check_crashing(
    by_target: &HashMap<&str, Vec<&ExecutedRequest>>,
    history: &History,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for (target, ran) in by_target {
        if !target.starts_with(CRASHING_PREFIX) {
            continue;
        }
        let mut ran = ran.clone();
        ran.sort_by_key(|run| run.executed_at);
        let Some(third) = ran.get(CRASHES_KNOWN_AFTER - 1) else {
            continue;
        };
        let known = third.executed_at + IN_TOUCH_AFTER;
        let late = ran.iter().filter(|run| run.executed_at > known);
        let late = late.filter(|run| is_in_touch(history, run)).count();
        if late > CRASHES_ALLOWED {
            found.push(Violation {
                promise: "what crashes upstreams is kept from them",
                seen: format!("{target}: {late} late ones of {}", ran.len()),
            });
        }
    }
    found
}

/// Whether nothing has kept the node beside the upstream from hearing of the others for so long before a run.
fn is_in_touch(history: &History, run: &ExecutedRequest) -> bool {
    let begin = run
        .executed_at
        .checked_sub(IN_TOUCH_AFTER)
        .unwrap_or(run.executed_at);
    let overlaps = |from: Instant, to: Instant| from <= run.executed_at && begin <= to;
    let is_of_node = |node: usize| run.instance.starts_with(&format!("u{node}-"));
    let mut hindrances = history.hindrances.iter();
    let mut disturbances = history.disturbances.iter();
    !hindrances.any(|hindrance| {
        hindrance.node.is_none_or(is_of_node) && overlaps(hindrance.from, hindrance.to)
    }) && !disturbances.any(|disturbance| {
        is_of_node(disturbance.node) && overlaps(disturbance.from, disturbance.to)
    })
}

/// Within one run of a node's process, a route that it has served is never denied afterwards, nor one of an
/// earlier version.
fn check_versions(history: &History) -> Vec<Violation> {
    let mut served: BTreeMap<(usize, u64), (u64, &CallerRecord)> = BTreeMap::new();
    let mut requests: Vec<&CallerRecord> = history.requests.iter().collect();
    requests.sort_by_key(|request| request.sent);
    let mut found = Vec::new();
    for request in requests {
        let key = (request.node, request.node_run);
        match &request.answer {
            Ok((200, _)) => {
                let known = served.entry(key).or_insert((0, request));
                if request.route_version > known.0 {
                    *known = (request.route_version, request);
                }
            }
            Ok((404, _)) => {
                let known = served.get(&key);
                let regressed = known.is_some_and(|(version, since)| {
                    *version >= request.route_version && since.ended < request.sent
                });
                if regressed {
                    found.push(violation("a configuration never reverts", request, &[]));
                }
            }
            _ => {}
        }
    }
    found
}
