//! Each check finds its violation, and accepts what is allowed.

use camphorturn::local_mesh::client::CallFailure;
use camphorturn_soak::{
    checks::{EVACUATION_LIMIT, WARMUP_REQUESTS_PER_SECOND, find_violations},
    history::{
        Acknowledged, CallerRecord, Disturbance, Evacuation, History, IN_FORCE_LIMIT, UpdateOutage,
        UpstreamPeriod,
    },
    organisations::check_organisations,
};
use camphorturn_stand_ins::upstream::ExecutedRequest;
use std::time::{Duration, Instant};

const MILLISECOND: Duration = Duration::from_millis(1);

fn request(
    target: &str,
    answer: Result<(u16, String), CallFailure>,
    sent: Instant,
) -> CallerRecord {
    CallerRecord {
        node: 1,
        node_incarnation: 1,
        target: target.to_owned(),
        idempotent: !target.starts_with("/book/"),
        route_version: 0,
        sent,
        ended: sent + 50 * MILLISECOND,
        answer,
    }
}

fn executed(target: &str, executed_at: Instant) -> ExecutedRequest {
    ExecutedRequest {
        target: target.to_owned(),
        instance: "u1-1".to_owned(),
        incarnation_started_ms: 1,
        executed_at,
        organisation: target.rsplit_once('~').map(|(_, name)| name.to_owned()),
        has_key: false,
    }
}

fn check(history: &History, executions: &[ExecutedRequest]) -> Vec<&'static str> {
    let found = find_violations(history, executions);
    found.iter().map(|violation| violation.promise).collect()
}

/// Checks the history of one request that upstreams executed `times` times.
fn check_one(
    target: &str,
    answer: Result<(u16, &str), CallFailure>,
    times: usize,
) -> Vec<&'static str> {
    let now = Instant::now();
    let answer = answer.map(|(status, body)| (status, body.to_owned()));
    let history = History {
        requests: vec![request(target, answer, now)],
        ..History::default()
    };
    check(&history, &vec![executed(target, now); times])
}

#[test]
fn check_request_allowed() {
    assert_eq!(check_one("/look/1", Ok((200, "GET /look/1\n")), 2), [""; 0]);
    assert_eq!(check_one("/book/1", Ok((503, "")), 0), [""; 0]);
    assert_eq!(check_one("/book/1", Ok((502, "")), 1), [""; 0]);
    assert_eq!(
        check_one("/book/1", Err(CallFailure::Disconnected), 0),
        [""; 0]
    );
}

#[test]
fn check_request_broken() {
    let whole = Ok((200, "POST /book/1\n"));
    assert_eq!(
        check_one("/book/1", whole, 2),
        ["a request that is not idempotent is executed at most once"]
    );
    assert_eq!(
        check_one("/book/1", Ok((503, "")), 1),
        ["a refused request is not executed"]
    );
    let other = Ok((200, "GET /look/2\n"));
    assert_eq!(
        check_one("/look/1", other, 1),
        ["an answer is the one to its request"]
    );
    let invented = Ok((200, "GET /look/1\n"));
    assert_eq!(
        check_one("/look/1", invented, 0),
        ["an answer comes from an upstream that executed the request"]
    );
    assert_eq!(
        check_one("/look/1", Ok((404, "")), 0),
        ["a route that is in force is never denied"]
    );
    assert_eq!(
        check_one("/look/1", Err(CallFailure::Disconnected), 1),
        ["a request is answered"]
    );
    assert_eq!(
        check_one("/look/1", Ok((418, "")), 0),
        ["an answer has an expected status"]
    );
}

#[test]
fn check_unrequested() {
    let now = Instant::now();
    let found = check(&History::default(), &[executed("/look/9", now)]);
    assert_eq!(found, ["upstreams execute only requests that callers sent"]);
}

fn check_aborted_at_stop(planned: bool) -> Vec<&'static str> {
    let began = Instant::now();
    let now = began + 100 * MILLISECOND;
    let history = History {
        requests: vec![request("/look/1", Err(CallFailure::Disconnected), now)],
        disturbances: vec![Disturbance {
            node: 1,
            from: began,
            to: now + 100 * MILLISECOND,
            planned,
        }],
        ..History::default()
    };
    check(&history, &[executed("/look/1", now)])
}

#[test]
fn check_aborted_by_planned_stop() {
    assert_eq!(
        check_aborted_at_stop(true),
        ["a planned stop aborts no request"]
    );
    assert_eq!(check_aborted_at_stop(false), [""; 0]);
}

#[test]
fn check_work_after_leaving() {
    let now = Instant::now();
    let late = now + Duration::from_secs(3);
    let history = History {
        requests: vec![request(
            "/look/1",
            Ok((200, "GET /look/1\n".to_owned())),
            late,
        )],
        acknowledged: vec![Acknowledged::Leaving {
            instance: "u1-1".to_owned(),
            incarnation_started_ms: 1,
            at: now,
        }],
        ..History::default()
    };
    let found = check(&history, &[executed("/look/1", late)]);
    assert_eq!(found, ["a draining upstream gets no requests"]);
    assert_eq!(
        check(&history, &[executed("/look/1", now + MILLISECOND)]),
        [""; 0]
    );
    let after_restart = ExecutedRequest {
        incarnation_started_ms: 2,
        ..executed("/look/1", late)
    };
    assert_eq!(check(&history, &[after_restart]), [""; 0]);
}

#[test]
fn check_configuration_that_reverts() {
    let now = Instant::now();
    let served = CallerRecord {
        route_version: 2,
        ..request("/v2/1", Ok((200, "GET /v2/1\n".to_owned())), now)
    };
    let denied = CallerRecord {
        route_version: 1,
        ..request("/v1/2", Ok((404, String::new())), now + 100 * MILLISECOND)
    };
    let history = |denied| History {
        requests: vec![served.clone(), denied],
        ..History::default()
    };
    let executions = [executed("/v2/1", now)];
    assert_eq!(
        check(&history(denied.clone()), &executions),
        ["a configuration never reverts"]
    );
    let after_restart = CallerRecord {
        node_incarnation: 2,
        ..denied
    };
    assert_eq!(check(&history(after_restart), &executions), [""; 0]);
}

/// Checks a node that answers 404 for a route `after` the change that added the route.
fn check_denied(after: Duration, update_outages: &[UpdateOutage]) -> Vec<&'static str> {
    let at = Instant::now();
    let answer = Ok((404, String::new()));
    let denied = CallerRecord {
        route_version: 1,
        ..request("/v1-0/1", answer, at + after)
    };
    let history = History {
        requests: vec![denied],
        acknowledged: vec![Acknowledged::Change {
            route_version: 1,
            at,
        }],
        update_outages: update_outages.to_vec(),
        ..History::default()
    };
    check(&history, &[])
}

#[test]
fn check_change_denied_too_long() {
    let violation = ["an acknowledged change is in force in time"];
    assert_eq!(check_denied(IN_FORCE_LIMIT / 2, &[]), [""; 0]);
    assert_eq!(check_denied(IN_FORCE_LIMIT + MILLISECOND, &[]), violation);
    // An outage until twice the limit excuses the node itself (`None`: every node), but no other node.
    let from = Instant::now();
    let to = from + 2 * IN_FORCE_LIMIT;
    for (node, shortly_after) in [(None, &[][..]), (Some(1), &[]), (Some(2), &violation)] {
        let outages = [UpdateOutage { node, from, to }];
        assert_eq!(check_denied(2 * IN_FORCE_LIMIT, &outages), shortly_after);
        assert_eq!(check_denied(4 * IN_FORCE_LIMIT, &outages), violation);
    }
}

/// Checks a request that is executed in a zone `after` the start of the zone's evacuation, which lasts for 8 s.
fn check_evacuated(after: Duration, outage: Option<UpdateOutage>) -> Vec<&'static str> {
    let from = Instant::now();
    let target = "/look/1";
    let history = History {
        requests: vec![request(target, Ok((200, target.to_owned())), from)],
        update_outages: outage.into_iter().collect(),
        evacuations: vec![Evacuation {
            zone: 0,
            from,
            to: Some(from + Duration::from_secs(8)),
        }],
        ..History::default()
    };
    check(&history, &[executed(target, from + after)])
}

#[test]
fn check_evacuated_zone() {
    let violation = ["an evacuated zone gets no work"];
    assert!(check_evacuated(EVACUATION_LIMIT, None).is_empty());
    let late = EVACUATION_LIMIT + MILLISECOND;
    assert_eq!(check_evacuated(late, None), violation);
    assert!(check_evacuated(Duration::from_secs(9), None).is_empty());
    let now = Instant::now();
    let outage = |node| UpdateOutage {
        node,
        from: now,
        to: now + late,
    };
    assert!(check_evacuated(late, Some(outage(Some(1)))).is_empty());
    assert_eq!(check_evacuated(late, Some(outage(Some(2)))), violation);
}

/// Checks an upstream that executes this number of requests in the last second of its warm-up.
fn check_warmup(executions: usize, delayed_links: Vec<UpstreamPeriod>) -> Vec<&'static str> {
    let from = Instant::now();
    let target = "/look/1";
    let history = History {
        requests: vec![request(target, Ok((200, target.to_owned())), from)],
        warmups: vec![UpstreamPeriod {
            node: 1,
            from,
            to: from + Duration::from_secs(3),
        }],
        delayed_links,
        ..History::default()
    };
    let at = from + Duration::from_millis(2_500);
    check(&history, &vec![executed(target, at); executions])
}

#[test]
fn check_warmup_limit() {
    assert!(check_warmup(WARMUP_REQUESTS_PER_SECOND, Vec::new()).is_empty());
    let violation = ["an upstream gets no more requests than it tolerates during its warm-up"];
    assert_eq!(
        check_warmup(WARMUP_REQUESTS_PER_SECOND + 1, Vec::new()),
        violation
    );
    let from = Instant::now();
    let delay = |node| UpstreamPeriod {
        node,
        from,
        to: from + Duration::from_secs(1),
    };
    assert!(check_warmup(WARMUP_REQUESTS_PER_SECOND + 1, vec![delay(1)]).is_empty());
    assert_eq!(
        check_warmup(WARMUP_REQUESTS_PER_SECOND + 1, vec![delay(2)]),
        violation
    );
}

/// Checks a request that crashes one upstream every half second, `executions` times, while the node may have an outage.
fn check_crashing(executions: u32, outage: Option<UpdateOutage>) -> Vec<&'static str> {
    let began = Instant::now();
    let target = "/look/crash-1";
    let at = |number: u32| began + Duration::from_millis(500) * number;
    let history = History {
        requests: vec![request(target, Ok((502, String::new())), began)],
        update_outages: outage.into_iter().collect(),
        ..History::default()
    };
    let executions: Vec<ExecutedRequest> = (0..executions)
        .map(|number| executed(target, at(number)))
        .collect();
    check(&history, &executions)
}

#[test]
fn check_crashing_request_allowed() {
    // The third execution is at 1 s. Until 4 s not every node need know of the crashes, and three later executions are allowed.
    assert!(check_crashing(12, None).is_empty());
}

#[test]
fn check_crashing_request_broken() {
    assert_eq!(
        check_crashing(13, None),
        ["a request that crashes upstreams is quarantined"]
    );
}

#[test]
fn check_crashing_request_disconnected() {
    let now = Instant::now();
    let outage = |node| UpdateOutage {
        node,
        from: now,
        to: now + Duration::from_secs(20),
    };
    assert!(check_crashing(30, Some(outage(None))).is_empty());
    assert!(check_crashing(30, Some(outage(Some(1)))).is_empty());
    assert_eq!(check_crashing(30, Some(outage(Some(2)))).len(), 1);
}

#[test]
fn check_organisations_of_executions() {
    let now = Instant::now();
    let history = History::default();
    let valid = executed("/look/1~unlimited", now);
    assert_eq!(
        check_organisations(&history, std::slice::from_ref(&valid)).len(),
        0
    );
    let with_key = ExecutedRequest {
        has_key: true,
        ..valid.clone()
    };
    let foreign = ExecutedRequest {
        organisation: Some("limited".to_owned()),
        ..valid.clone()
    };
    let nameless = ExecutedRequest {
        organisation: None,
        ..valid
    };
    for broken in [
        with_key,
        foreign,
        nameless,
        executed("/look/1~unknown", now),
    ] {
        assert_eq!(check_organisations(&history, &[broken]).len(), 1);
    }
}

#[test]
fn check_organisations_quota() {
    let now = Instant::now();
    let history = History::default();
    let execute = |count: u64, pause_ms: u64| -> Vec<ExecutedRequest> {
        (0..count)
            .map(|number| now + Duration::from_millis(number * pause_ms))
            .map(|at| executed("/look/1~limited", at))
            .collect()
    };
    assert_eq!(check_organisations(&history, &execute(152, 1)).len(), 0);
    assert_eq!(check_organisations(&history, &execute(153, 1)).len(), 1);
    assert_eq!(check_organisations(&history, &execute(400, 34)).len(), 0);
}
