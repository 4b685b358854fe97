//! Each check finds what it is there for, and lets pass what is allowed.

use camphorturn::local_mesh::client::CallFailure;
use camphorturn_soak::{
    checks::{COLD_LIMIT, EVACUATED_BOUND, IN_FORCE_BOUND, find_violations},
    history::{Acknowledged, CallerRecord, ColdTime, Disturbance, Evacuation, Hindrance, History},
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
        node_run: 1,
        target: target.to_owned(),
        idempotent: !target.starts_with("/book/"),
        route_version: 0,
        sent,
        ended: sent + 50 * MILLISECOND,
        answer,
    }
}

fn ran(target: &str, executed_at: Instant) -> ExecutedRequest {
    ExecutedRequest {
        target: target.to_owned(),
        instance: "u1-1".to_owned(),
        incarnation_started_ms: 1,
        executed_at,
    }
}

fn check(history: &History, runs: &[ExecutedRequest]) -> Vec<&'static str> {
    let found = find_violations(history, runs);
    found.iter().map(|violation| violation.promise).collect()
}

/// Checks one request that ran `times` times.
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
    check(&history, &vec![ran(target, now); times])
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
        ["what must not run twice runs once"]
    );
    assert_eq!(
        check_one("/book/1", Ok((503, "")), 1),
        ["refused means not run"]
    );
    let foreign = Ok((200, "GET /look/2\n"));
    assert_eq!(
        check_one("/look/1", foreign, 1),
        ["an answer is the one to its request"]
    );
    let invented = Ok((200, "GET /look/1\n"));
    assert_eq!(
        check_one("/look/1", invented, 0),
        ["an answer comes from an upstream that ran it"]
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
        ["no status that nobody gave"]
    );
}

#[test]
fn check_unasked() {
    let now = Instant::now();
    let found = check(&History::default(), &[ran("/look/9", now)]);
    assert_eq!(found, ["upstreams run what callers asked"]);
}

fn check_cut_at_stop(planned: bool) -> Vec<&'static str> {
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
    check(&history, &[ran("/look/1", now)])
}

#[test]
fn check_cut_by_planned_stop() {
    assert_eq!(check_cut_at_stop(true), ["a planned stop cuts nothing off"]);
    assert_eq!(check_cut_at_stop(false), [""; 0]);
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
            born: 1,
            at: now,
        }],
        ..History::default()
    };
    let found = check(&history, &[ran("/look/1", late)]);
    assert_eq!(found, ["a leaving upstream gets no work"]);
    assert_eq!(
        check(&history, &[ran("/look/1", now + MILLISECOND)]),
        [""; 0]
    );
    let started_again = ExecutedRequest {
        incarnation_started_ms: 2,
        ..ran("/look/1", late)
    };
    assert_eq!(check(&history, &[started_again]), [""; 0]);
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
    let runs = [ran("/v2/1", now)];
    assert_eq!(
        check(&history(denied.clone()), &runs),
        ["a configuration never reverts"]
    );
    let after_restart = CallerRecord {
        node_run: 2,
        ..denied
    };
    assert_eq!(check(&history(after_restart), &runs), [""; 0]);
}

/// A node denies a route of a change so long after it.
fn check_denied(after: Duration, hindrances: &[Hindrance]) -> Vec<&'static str> {
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
        hindrances: hindrances.to_vec(),
        ..History::default()
    };
    check(&history, &[])
}

#[test]
fn check_change_denied_too_long() {
    let broken = ["an acknowledged change is in force in time"];
    assert_eq!(check_denied(IN_FORCE_BOUND / 2, &[]), [""; 0]);
    assert_eq!(check_denied(IN_FORCE_BOUND + MILLISECOND, &[]), broken);
    // The same for a node that was hindered until twice the bound, and for one that was not.
    let from = Instant::now();
    let to = from + 2 * IN_FORCE_BOUND;
    for (node, shortly_after) in [(None, &[][..]), (Some(1), &[]), (Some(2), &broken)] {
        let hindered = [Hindrance { node, from, to }];
        assert_eq!(check_denied(2 * IN_FORCE_BOUND, &hindered), shortly_after);
        assert_eq!(check_denied(4 * IN_FORCE_BOUND, &hindered), broken);
    }
}

/// The promise, when a request runs in the zone so long after it was evacuated, which lasts for 8 s.
fn check_evacuated(after: Duration, hinders: Option<Hindrance>) -> Vec<&'static str> {
    let from = Instant::now();
    let target = "/look/1";
    let history = History {
        requests: vec![request(target, Ok((200, target.to_owned())), from)],
        hindrances: hinders.into_iter().collect(),
        evacuations: vec![Evacuation {
            zone: 0,
            from,
            to: Some(from + Duration::from_secs(8)),
        }],
        ..History::default()
    };
    check(&history, &[ran(target, from + after)])
}

#[test]
fn check_evacuated_zone() {
    let broken = ["an evacuated zone gets no work"];
    assert!(check_evacuated(EVACUATED_BOUND, None).is_empty());
    let late = EVACUATED_BOUND + MILLISECOND;
    assert_eq!(check_evacuated(late, None), broken);
    assert!(check_evacuated(Duration::from_secs(9), None).is_empty());
    let now = Instant::now();
    let hindrance = |node| Hindrance {
        node,
        from: now,
        to: now + late,
    };
    assert!(check_evacuated(late, Some(hindrance(Some(1)))).is_empty());
    assert_eq!(check_evacuated(late, Some(hindrance(Some(2)))), broken);
}

/// The promise, when so many requests run in the last second in which an upstream is cold.
fn check_cold(runs: usize, held_up: Vec<ColdTime>) -> Vec<&'static str> {
    let from = Instant::now();
    let target = "/look/1";
    let history = History {
        requests: vec![request(target, Ok((200, target.to_owned())), from)],
        cold_times: vec![ColdTime {
            node: 1,
            from,
            to: from + Duration::from_secs(3),
        }],
        held_up,
        ..History::default()
    };
    let at = from + Duration::from_millis(2_500);
    check(&history, &vec![ran(target, at); runs])
}

#[test]
fn check_cold_upstream() {
    assert!(check_cold(COLD_LIMIT, Vec::new()).is_empty());
    let broken = ["a cold upstream gets what it tolerates"];
    assert_eq!(check_cold(COLD_LIMIT + 1, Vec::new()), broken);
    let from = Instant::now();
    let held_up = |node| ColdTime {
        node,
        from,
        to: from + Duration::from_secs(1),
    };
    assert!(check_cold(COLD_LIMIT + 1, vec![held_up(1)]).is_empty());
    assert_eq!(check_cold(COLD_LIMIT + 1, vec![held_up(2)]), broken);
}

/// The promise, when a request crashes one upstream every half second, `hinders` keeps the node from hearing of it, and it runs
/// `runs` times.
fn check_crashing(runs: u32, hinders: Option<Hindrance>) -> Vec<&'static str> {
    let began = Instant::now();
    let target = "/look/crash-1";
    let at = |number: u32| began + Duration::from_millis(500) * number;
    let history = History {
        requests: vec![request(target, Ok((502, String::new())), began)],
        hindrances: hinders.into_iter().collect(),
        ..History::default()
    };
    let runs: Vec<ExecutedRequest> = (0..runs).map(|number| ran(target, at(number))).collect();
    check(&history, &runs)
}

#[test]
fn check_crashing_request_allowed() {
    // The third runs at 1 s, those until 4 s are before every node has heard of it, and three more are allowed.
    assert!(check_crashing(12, None).is_empty());
}

#[test]
fn check_crashing_request_found() {
    assert_eq!(
        check_crashing(13, None),
        ["what crashes upstreams is kept from them"]
    );
}

#[test]
fn check_crashing_request_out_of_touch() {
    let now = Instant::now();
    let hindrance = |node| Hindrance {
        node,
        from: now,
        to: now + Duration::from_secs(20),
    };
    assert!(check_crashing(30, Some(hindrance(None))).is_empty());
    assert!(check_crashing(30, Some(hindrance(Some(1)))).is_empty());
    assert_eq!(check_crashing(30, Some(hindrance(Some(2)))).len(), 1);
}
