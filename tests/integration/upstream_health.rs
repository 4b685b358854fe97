//! Ejection, trials and return of an upstream that fails while its health check passes.

mod fixture;

use bolero::check;
use camphorturn::{
    coordination::upstream_health::{
        Admission, EVIDENCE_AGE, EndEffect, EvidenceKind, ExecutionEnd, FIRST_TRIAL_DELAY,
        HealthChange, HealthState, MAX_TRIAL_DELAY, PeerReport, UpstreamHealth, find_baseline,
    },
    state::timestamp::Timestamp,
};
use fixture::{Fixture, IDLE, TARGET, build_start, report};
use std::time::Duration;

/// Failure: an upstream fails most of its requests, its peers don't, and it keeps getting them.
#[test]
fn judge_failing_upstream() {
    for kind in [
        EvidenceKind::Failed,
        EvidenceKind::Reset,
        EvidenceKind::NoAnswer,
        EvidenceKind::Slow,
    ] {
        let mut fixture = Fixture::with_peers(0);
        fixture.send_many(100, EvidenceKind::Answered);
        let executed = fixture.send_many(20, kind);
        assert!((4..=7).contains(&executed), "{executed} executions");
        assert!(matches!(
            fixture.changes[..],
            [HealthChange::Ejected { failures: 4.., .. }]
        ));
    }
}

/// Failure: the failures of an upstream that fails 70% of its requests come too far apart for an ejection.
#[test]
fn judge_partly_failing_upstream() {
    let mut fixture = Fixture::with_peers(1);
    let pattern = [
        true, true, false, true, false, true, true, true, false, true,
    ];
    let mut executed = 0;
    for failed in pattern {
        let kind = if failed {
            EvidenceKind::Failed
        } else {
            EvidenceKind::Answered
        };
        executed += usize::from(fixture.send("look", true, kind));
    }
    assert!((5..=8).contains(&executed), "{executed} executions");
}

/// Failure: isolated failures in quiet times, or three in a row, eject an upstream.
#[test]
fn judge_isolated_failures() {
    let mut fixture = Fixture::with_peers(0);
    for _ in 0..50 {
        fixture.send_many(3, EvidenceKind::Failed);
        fixture.send_many(10, EvidenceKind::Answered);
    }
    assert_eq!(fixture.changes, []);
}

/// Failure: all upstreams fail alike, for instance because a service that they call fails or rejects the calls, and are ejected.
#[test]
fn judge_failures_everywhere() {
    for percent in [70, 45] {
        let mut fixture = Fixture::with_peers(percent);
        let executed = fixture.send_many(10, EvidenceKind::Failed);
        assert_eq!((executed, fixture.changes.len()), (10, 0));
    }
}

/// Failure: all upstreams begin to fail at once, the peers' reports are from before, and every upstream is ejected.
#[test]
fn judge_with_reports_from_before_failures() {
    let mut fixture = Fixture::with_peers(0);
    fixture.are_peers_silent = true;
    for _ in 0..20 {
        assert!(fixture.send("look", true, EvidenceKind::Failed));
    }
    // The peers' moving averages follow only slowly.
    fixture.report_peers(&[60, 52, 41, 70]);
    assert!(fixture.send("look", true, EvidenceKind::Failed));
    assert_eq!(fixture.changes, []);
}

/// Failure: half of the upstreams fail, and those that are left can't take all the work.
#[test]
fn find_baseline_with_many_failing_peers() {
    let now = Timestamp(20_000_000);
    let since = Timestamp(19_000_000);
    let baseline = |percents: &[u8], running| {
        let reports: Vec<PeerReport> = percents
            .iter()
            .map(|percent| report(*percent, running, now))
            .collect();
        find_baseline(&reports, 0.4, since, now).map(|found| found.failed_share)
    };
    assert_eq!(baseline(&[0, 0, 0, 70, 70, 70], 2), Some(0.7));
    assert_eq!(baseline(&[0, 0, 0, 0, 70, 70], 2), Some(0.0));
    // Without spare capacity only a tenth may be ejected.
    assert_eq!(baseline(&[0, 0, 0, 0, 70, 70], 14), Some(0.7));
    assert_eq!(baseline(&[0, 0], 2), None);
}

/// Failure: one recent report of a failing peer is outweighed by old ones, or old ones count like recent ones.
#[test]
fn find_baseline_by_age() {
    let now = Timestamp(100_000_000);
    let at = |age_s: u64| now - Duration::from_secs(age_s);
    let reports = [
        report(0, 1, at(9)),
        report(0, 1, at(9)),
        report(50, 1, at(0)),
    ];
    let find = |since| find_baseline(&reports, 0.4, since, now).map(|found| found.failed_share);
    assert_eq!(find(at(10)), Some(0.5));
    assert_eq!(find(at(5)), None);
}

/// Failure: more upstreams are ejected than the others can replace.
#[test]
fn judge_with_ejected_peers() {
    for (ejected, state) in [(2, HealthState::Ejected), (3, HealthState::Serving)] {
        let mut fixture = Fixture::with_peers(0);
        fixture.report_peers(&[0; 7]);
        for peer in &mut fixture.peers[..ejected] {
            peer.is_ejected = true;
        }
        for _ in 0..8 {
            fixture.send("look", true, EvidenceKind::Failed);
        }
        assert_eq!(fixture.state(), state, "{ejected} of 7 peers are ejected");
    }
}

/// Failure: one class fails, for instance by an error in its code, and the upstream gets no requests of the others.
#[test]
fn judge_failures_of_one_class() {
    for answered in [1, 2] {
        for failed in [1, 2] {
            let mut fixture = Fixture::with_peers(0);
            for _ in 0..40 {
                for _ in 0..failed {
                    assert!(fixture.send("book", true, EvidenceKind::Failed));
                }
                for _ in 0..answered {
                    assert!(fixture.send("look", true, EvidenceKind::Answered));
                }
            }
            assert_eq!(fixture.changes, []);
        }
    }
}

/// Failure: old failures count together with new ones.
#[test]
fn judge_expired_evidence() {
    let mut fixture = Fixture::with_peers(0);
    for _ in 0..5 {
        fixture.send_many(3, EvidenceKind::Failed);
        fixture.pass(EVIDENCE_AGE);
    }
    assert_eq!(fixture.changes, []);
}

/// Failure: executions at an upstream that doesn't answer count only at their deadline, or twice, or without regard to a slow VM.
#[test]
fn count_overdue_once() {
    let mut health = UpstreamHealth::default();
    let now = Timestamp(1_000_000);
    let first = health.begin_execution(build_start("look", None), now);
    let second = health.begin_execution(build_start("look", None), now);
    assert_eq!(health.next_overdue(100), Some(now + TARGET));
    assert_eq!(health.next_overdue(300), Some(now + TARGET * 3));
    assert_eq!(health.count_overdue(300, now + TARGET * 2), 0);
    assert_eq!(health.count_overdue(100, now + TARGET * 2), 2);
    assert_eq!(health.count_overdue(100, now + TARGET * 2), 0);
    assert_eq!(health.next_overdue(100), None);
    let later = now + TARGET * 3;
    let slow = ExecutionEnd::Ended(EvidenceKind::Slow);
    for (number, end) in [(first, slow), (second, ExecutionEnd::Abandoned)] {
        let effect = health.end_execution(number, end, 100, later);
        assert_eq!(effect, EndEffect::CountedBefore);
    }
}

/// Failure: hedged requests at an upstream that doesn't answer leave no evidence, as the entry node drops them before the target.
#[test]
fn end_execution_abandoned() {
    let mut health = UpstreamHealth::default();
    let now = Timestamp(1_000_000);
    let early = health.begin_execution(build_start("look", None), now);
    let late = health.begin_execution(build_start("look", None), now);
    let end = ExecutionEnd::Abandoned;
    let effect = health.end_execution(early, end, 100, now + TARGET.mul_f64(0.4));
    assert_eq!(effect, EndEffect::None);
    let effect = health.end_execution(late, end, 100, now + TARGET.mul_f64(0.6));
    assert_eq!(effect, EndEffect::Evidence { failed: true });
}

/// Failure: an ejected upstream gets more than trials, or non-idempotent requests as trials, or trials at a constant rate.
#[test]
fn admit_trials_only() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    let mut delay = FIRST_TRIAL_DELAY;
    for _ in 0..8 {
        let Admission::Refuse { wait } = fixture.health.admit(true, IDLE, fixture.now) else {
            panic!("only trials are admitted");
        };
        assert!(wait <= MAX_TRIAL_DELAY + Duration::from_secs(1), "{wait:?}");
        let to_trial = fixture.health.time_to_trial(fixture.now).expect("ejected");
        fixture.pass(to_trial);
        let refused = fixture.health.admit(false, IDLE, fixture.now);
        assert!(matches!(refused, Admission::Refuse { .. }));
        let Admission::Trial(trial) = fixture.health.admit(true, IDLE, fixture.now) else {
            panic!("a trial is due");
        };
        let second = fixture.health.admit(true, IDLE, fixture.now);
        assert!(matches!(second, Admission::Refuse { .. }));
        assert_eq!(fixture.health.recheck(Some(trial), fixture.now), None);
        assert!(fixture.health.recheck(None, fixture.now).is_some());
        fixture.execute("look", Some(trial), EvidenceKind::Failed);
        delay = (delay * 2).min(MAX_TRIAL_DELAY);
        assert_eq!(fixture.health.time_to_trial(fixture.now), Some(delay));
    }
}

/// Failure: a trial that could not be executed blocks all later ones.
#[test]
fn cancel_trial_not_executed() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    fixture.pass(FIRST_TRIAL_DELAY);
    for _ in 0..3 {
        let Admission::Trial(trial) = fixture.health.admit(true, IDLE, fixture.now) else {
            panic!("a trial is due");
        };
        fixture.health.cancel_trial(trial);
    }
}

/// Failure: an upstream that works again gets no requests, or all of them at once.
#[test]
fn admit_gradually_after_trials() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    for _ in 0..3 {
        assert_eq!(fixture.state(), HealthState::Ejected);
        fixture.run_trial(EvidenceKind::Answered);
    }
    assert_eq!(fixture.state(), HealthState::Returning);
    let is_admitted = |fixture: &mut Fixture, idempotent, used| {
        let admission = fixture.health.admit(idempotent, (used, 12), fixture.now);
        admission == Admission::Admit
    };
    for limit in [3, 6, 12] {
        assert!(is_admitted(&mut fixture, true, limit - 1));
        assert!(!is_admitted(&mut fixture, true, limit));
        assert!(!is_admitted(&mut fixture, false, 0));
        fixture.pass(Duration::from_secs(1));
    }
    assert_eq!(fixture.state(), HealthState::Serving);
    assert!(is_admitted(&mut fixture, false, 12));
}

/// Failure: an upstream that flaps gets many requests between its ejections.
#[test]
fn judge_relapse() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    let mut delays = Vec::new();
    for _ in 0..6 {
        for _ in 0..3 {
            fixture.run_trial(EvidenceKind::Answered);
        }
        fixture.pass(Duration::from_secs(4));
        fixture.changes.clear();
        fixture.eject();
        let [HealthChange::Ejected { first_trial, .. }] = fixture.changes[..] else {
            panic!("one ejection: {:?}", fixture.changes);
        };
        delays.push(first_trial.as_millis());
    }
    assert_eq!(delays, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
    for _ in 0..3 {
        fixture.run_trial(EvidenceKind::Answered);
    }
    fixture.pass(Duration::from_secs(40));
    fixture.changes.clear();
    fixture.eject();
    assert!(matches!(
        fixture.changes[..],
        [HealthChange::Ejected { first_trial, .. }] if first_trial == FIRST_TRIAL_DELAY
    ));
}

/// Failure: an upstream was ejected before reports showed that its peers fail as well, and stays ejected.
#[test]
fn judge_ejected_while_peers_fail() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    fixture.report_peers(&[80; 4]);
    fixture.pass(FIRST_TRIAL_DELAY);
    fixture.judge();
    assert!(matches!(
        fixture.changes[..],
        [HealthChange::Ejected { .. }, HealthChange::Withdrawn { .. }]
    ));
    assert!(fixture.send("book", false, EvidenceKind::Answered));
}

/// Failure: a service gets only non-idempotent requests, and an ejected upstream never gets one again.
#[test]
fn admit_without_idempotent_requests() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    let mut refused = 0;
    while !fixture.send("book", false, EvidenceKind::Answered) {
        refused += 1;
        assert!(refused < 300, "no request for 30 s");
    }
    assert!(refused > 100, "admitted after {refused} requests");
}

/// Failure: a new incarnation of the upstream, or an upstream whose node was restarted, is judged by what was before.
#[test]
fn begin_incarnation_without_evidence() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    let running = fixture
        .health
        .begin_execution(build_start("look", None), fixture.now);
    fixture.health.begin_incarnation();
    assert_eq!(fixture.state(), HealthState::Serving);
    let failed = ExecutionEnd::Ended(EvidenceKind::Failed);
    fixture
        .health
        .end_execution(running, failed, 100, fixture.now);
    assert_eq!(fixture.health.needs_reports_since(fixture.now), None);
    assert_eq!(fixture.send_many(3, EvidenceKind::Failed), 3);
    assert_eq!(fixture.state(), HealthState::Serving);
}

/// Failure: the node of a failing upstream restarts, and the upstream gets many requests because the verdict is lost.
#[test]
fn judge_after_node_restart() {
    let mut fixture = Fixture::with_peers(0);
    fixture.eject();
    let mut restarted = Fixture::with_peers(0);
    let executed = restarted.send_many(20, EvidenceKind::Failed);
    assert!(executed <= 7, "{executed} executions");
    assert_eq!(restarted.state(), HealthState::Ejected);
}

/// Failure: some order of events leaves an upstream without requests although it answers all of them and its peers are well.
#[test]
fn admit_after_any_events() {
    check!()
        .with_type::<Vec<(u8, bool, u8)>>()
        .with_iterations(500)
        .for_each(|events| {
            let mut fixture = Fixture::with_peers(0);
            for (kind, idempotent, pause) in events {
                let kind = match kind % 4 {
                    0 => EvidenceKind::Answered,
                    1 => EvidenceKind::NoAnswer,
                    _ => EvidenceKind::Failed,
                };
                fixture.pass(Duration::from_millis(u64::from(*pause) * 10));
                fixture.send("look", *idempotent, kind);
            }
            fixture.send_many(200, EvidenceKind::Answered);
            assert_eq!(fixture.state(), HealthState::Serving);
        });
}
