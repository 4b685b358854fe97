//! Checks of the promises against what callers and upstreams observed. The names of promises are written out in reports.

use crate::{
    history::{Acknowledged, CallerRecord, History, IN_FORCE_LIMIT, UpstreamPeriod, Violation},
    organisations::check_organisations,
    vm::{CRASHING_PREFIX, get_zone_number},
};
use camphorturn::local_mesh::client::CallFailure;
use camphorturn_stand_ins::upstream::ExecutedRequest;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Time after an acknowledged drain from which the draining incarnation of the upstream may receive no request.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after SIGTERM in which a node must still serve new requests of its clients.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_secs(3);

/// Crashes after which a request is quarantined, and how many more upstreams may execute it once all nodes know of that.
const CRASHES_TO_QUARANTINE: usize = 3;
const MAX_LATE_EXECUTIONS: usize = 3;
/// Time without outages and faults after which a node is taken to be up to date with the others.
const CONNECTED_AFTER: Duration = Duration::from_secs(3);

/// Time after an acknowledged evacuation from which the zone may receive no request.
pub const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Most requests that an upstream in warm-up may receive within a second, by the configuration (`warmup_per_s`) and the
/// nodes' settings (`warmup_overage`, `warmup_slack`).
pub const WARMUP_REQUESTS_PER_SECOND: usize = 23;
/// Time within which a node learns that its upstream is in warm-up.
const WARMUP_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Runs all checks and returns the violations.
#[must_use]
pub fn find_violations(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let mut by_target: HashMap<&str, Vec<&ExecutedRequest>> = HashMap::new();
    for execution in executions {
        by_target
            .entry(&execution.target)
            .or_default()
            .push(execution);
    }
    let none = Vec::new();
    let changes = index_changes(history);
    let mut found = Vec::new();
    for request in &history.requests {
        let request_executions = by_target.get(request.target.as_str()).unwrap_or(&none);
        found.extend(check_request(request, request_executions));
        found.extend(check_planned_stop(request, request_executions, history));
        found.extend(check_change_in_force(request, &changes, history));
    }
    found.extend(check_unrequested(history, executions));
    found.extend(check_drains(history, executions));
    found.extend(check_crashing(&by_target, history));
    found.extend(check_versions(history));
    found.extend(check_evacuations(history, executions));
    found.extend(check_warmups(history, executions));
    found.extend(check_organisations(history, executions));
    found
}

fn build_violation(
    promise: &'static str,
    request: &CallerRecord,
    request_executions: &[&ExecutedRequest],
) -> Violation {
    let by: Vec<&str> = request_executions
        .iter()
        .map(|execution| execution.instance.as_str())
        .collect();
    let took = request.ended.duration_since(request.sent);
    Violation {
        promise,
        observed: format!(
            "{} at node {}: {:?} after {} ms, executed by {by:?}",
            request.target,
            request.node,
            request.answer,
            took.as_millis()
        ),
    }
}

/// Checks a request by itself: its answer and how often upstreams executed it.
fn check_request(
    request: &CallerRecord,
    request_executions: &[&ExecutedRequest],
) -> Option<Violation> {
    let promise = match &request.answer {
        _ if !request.idempotent && request_executions.len() > 1 => {
            "a request that is not idempotent is executed at most once"
        }
        Ok((503 | 429, _)) if !request.idempotent && !request_executions.is_empty() => {
            "a refused request is not executed"
        }
        Ok((200, _)) if request_executions.is_empty() => {
            "an answer comes from an upstream that executed the request"
        }
        Ok((200, body)) if !body.contains(&request.target) => "an answer is the one to its request",
        Ok((404, _)) if request.route_version == 0 => "a route that is in force is never denied",
        Ok((200 | 401 | 404 | 429 | 500 | 502 | 503 | 504, _)) | Err(_) => return None,
        Ok(_) => "an answer has an expected status",
    };
    Some(build_violation(promise, request, request_executions))
}

/// Maps each configuration's version to the time of its acknowledgement.
fn index_changes(history: &History) -> HashMap<u64, Instant> {
    let changes = history.acknowledged.iter();
    changes
        .filter_map(|acknowledged| match acknowledged {
            Acknowledged::Change { route_version, at } => Some((*route_version, *at)),
            Acknowledged::Leaving { .. } => None,
        })
        .collect()
}

/// Checks that a node doesn't answer 404 for a route of an acknowledged change once the change must be in force.
fn check_change_in_force(
    request: &CallerRecord,
    changes: &HashMap<u64, Instant>,
    history: &History,
) -> Option<Violation> {
    let acknowledged = *changes.get(&request.route_version)?;
    let due = acknowledged + IN_FORCE_LIMIT;
    if !matches!(request.answer, Ok((404, _))) || request.sent < due {
        return None;
    }
    if history.delays_updates(request, IN_FORCE_LIMIT) {
        return None;
    }
    let promise = "an acknowledged change is in force in time";
    let found = build_violation(promise, request, &[]);
    let since = request.sent.duration_since(acknowledged).as_millis();
    Some(Violation {
        observed: format!("{}, sent {since} ms after the change", found.observed),
        ..found
    })
}

/// Checks that a request which an upstream has executed is answered, also by a node that stops as planned.
fn check_planned_stop(
    request: &CallerRecord,
    request_executions: &[&ExecutedRequest],
    history: &History,
) -> Option<Violation> {
    if request.answer != Err(CallFailure::Disconnected) || request_executions.is_empty() {
        return None;
    }
    let of_node = history
        .disturbances
        .iter()
        .filter(|disturbance| disturbance.node == request.node)
        .filter(|disturbance| disturbance.from <= request.ended && request.sent <= disturbance.to);
    let mut stopped = false;
    for disturbance in of_node {
        if !disturbance.planned || request.sent > disturbance.from + STOP_ACCEPT_PERIOD {
            return None;
        }
        stopped = true;
    }
    // A lost answer without any fault of the node is a violation in any case.
    let promise = if stopped {
        "a planned stop aborts no request"
    } else {
        "a request is answered"
    };
    Some(build_violation(promise, request, request_executions))
}

/// Checks that upstreams execute only requests that callers have sent.
fn check_unrequested(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let sent: HashMap<&str, &CallerRecord> = history
        .requests
        .iter()
        .map(|request| (request.target.as_str(), request))
        .collect();
    executions
        .iter()
        .filter(|execution| !sent.contains_key(execution.target.as_str()))
        .map(|execution| Violation {
            promise: "upstreams execute only requests that callers sent",
            observed: format!("{} at {}", execution.target, execution.instance),
        })
        .collect()
}

/// Checks that a draining upstream receives no requests.
fn check_drains(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found = Vec::new();
    for acknowledged in &history.acknowledged {
        let Acknowledged::Leaving {
            instance,
            incarnation_started_ms,
            at,
        } = acknowledged
        else {
            continue;
        };
        let late = executions.iter().filter(|execution| {
            execution.instance == *instance
                && execution.incarnation_started_ms == *incarnation_started_ms
                && execution.executed_at > *at + DRAIN_LIMIT
        });
        found.extend(late.map(|execution| Violation {
            promise: "a draining upstream gets no requests",
            observed: format!(
                "{} at {instance}, {} ms after",
                execution.target,
                execution.executed_at.duration_since(*at).as_millis()
            ),
        }));
    }
    found
}

/// Number of the VM whose upstream executed a request; none if the instance id has another form.
fn find_vm(execution: &ExecutedRequest) -> Option<usize> {
    let (number, _) = execution.instance.strip_prefix('u')?.split_once('-')?;
    number.parse().ok()
}

/// Checks that an evacuated zone receives no requests from nodes that are up to date.
fn check_evacuations(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found = Vec::new();
    for evacuation in &history.evacuations {
        let due = evacuation.from + EVACUATION_LIMIT;
        let late = executions.iter().filter(|execution| {
            let is_in_zone = find_vm(execution).map(get_zone_number) == Some(evacuation.zone);
            let is_before_end = evacuation.to.is_none_or(|to| execution.executed_at < to);
            is_in_zone
                && execution.executed_at > due
                && is_before_end
                && was_connected(history, execution)
        });
        found.extend(late.map(|execution| Violation {
            promise: "an evacuated zone gets no work",
            observed: format!(
                "{} at {}, {} ms after",
                execution.target,
                execution.instance,
                execution.executed_at.duration_since(evacuation.from).as_millis()
            ),
        }));
    }
    found
}

/// Checks that an upstream in warm-up, which has reported this, receives no more requests in any second than its service
/// tolerates. Warm-ups during a fault of the link are skipped: delayed requests arrive together.
fn check_warmups(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found = Vec::new();
    for warmup in &history.warmups {
        let is_delayed = |delay: &UpstreamPeriod| {
            delay.node == warmup.node && delay.from <= warmup.to && warmup.from <= delay.to
        };
        if history.delayed_links.iter().any(is_delayed) {
            continue;
        }
        let reported = warmup.from + WARMUP_REPORT_DELAY;
        let of_upstream = executions
            .iter()
            .filter(|execution| find_vm(execution) == Some(warmup.node));
        let during_warmup = of_upstream.filter(|execution| {
            reported <= execution.executed_at && execution.executed_at < warmup.to
        });
        let mut during_warmup: Vec<&ExecutedRequest> = during_warmup.collect();
        during_warmup.sort_by_key(|execution| execution.executed_at);
        let second = Duration::from_secs(1);
        let excess = during_warmup
            .windows(WARMUP_REQUESTS_PER_SECOND + 1)
            .find(|window| {
                let (first, last) = (window[0], window[WARMUP_REQUESTS_PER_SECOND]);
                last.executed_at.duration_since(first.executed_at) < second
            });
        if let Some(window) = excess {
            found.push(Violation {
                promise: "an upstream gets no more requests than it tolerates during its warm-up",
                observed: format!(
                    "more than {WARMUP_REQUESTS_PER_SECOND} requests in a second at node {}: {}",
                    warmup.node,
                    list_executions(window, warmup.from)
                ),
            });
        }
    }
    found
}

/// Lists executions with their times in milliseconds since `from`.
fn list_executions(executions: &[&ExecutedRequest], from: Instant) -> String {
    let listed = executions.iter().map(|execution| {
        let since = execution.executed_at.duration_since(from).as_millis();
        format!("{} at {since}", execution.target)
    });
    listed.collect::<Vec<_>>().join(", ")
}

/// Checks that a request which has crashed three upstreams crashes only few more once all nodes know of that.
fn check_crashing(
    by_target: &HashMap<&str, Vec<&ExecutedRequest>>,
    history: &History,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for (target, request_executions) in by_target {
        if !target.starts_with(CRASHING_PREFIX) {
            continue;
        }
        let mut request_executions = request_executions.clone();
        request_executions.sort_by_key(|execution| execution.executed_at);
        let Some(third) = request_executions.get(CRASHES_TO_QUARANTINE - 1) else {
            continue;
        };
        let known = third.executed_at + CONNECTED_AFTER;
        let late = request_executions
            .iter()
            .filter(|execution| execution.executed_at > known);
        let late = late
            .filter(|execution| was_connected(history, execution))
            .count();
        if late > MAX_LATE_EXECUTIONS {
            found.push(Violation {
                promise: "a request that crashes upstreams is quarantined",
                observed: format!(
                    "{target}: {late} late executions of {}",
                    request_executions.len()
                ),
            });
        }
    }
    found
}

/// Whether the upstream's node had no outage and no fault for [`CONNECTED_AFTER`] before it executed a request.
fn was_connected(history: &History, execution: &ExecutedRequest) -> bool {
    let begin = execution
        .executed_at
        .checked_sub(CONNECTED_AFTER)
        .unwrap_or(execution.executed_at);
    let overlaps = |from: Instant, to: Instant| from <= execution.executed_at && begin <= to;
    let is_of_node = |node: usize| execution.instance.starts_with(&format!("u{node}-"));
    let mut update_outages = history.update_outages.iter();
    let mut disturbances = history.disturbances.iter();
    !update_outages
        .any(|outage| outage.node.is_none_or(is_of_node) && overlaps(outage.from, outage.to))
        && !disturbances.any(|disturbance| {
            is_of_node(disturbance.node) && overlaps(disturbance.from, disturbance.to)
        })
}

/// Checks that a node's process which has served a route never answers 404 later for a route of the same or an earlier
/// version.
fn check_versions(history: &History) -> Vec<Violation> {
    let mut served: BTreeMap<(usize, u64), (u64, &CallerRecord)> = BTreeMap::new();
    let mut requests: Vec<&CallerRecord> = history.requests.iter().collect();
    requests.sort_by_key(|request| request.sent);
    let mut found = Vec::new();
    for request in requests {
        let key = (request.node, request.node_incarnation);
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
                    found.push(build_violation(
                        "a configuration never reverts",
                        request,
                        &[],
                    ));
                }
            }
            _ => {}
        }
    }
    found
}
