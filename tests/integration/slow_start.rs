//! What a cold upstream is given within any second.

use camphorturn::{
    coordination::slow_start::{SlowStart, SlowStartRules, WarmupReport},
    state::timestamp::Timestamp,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const LASTS: Duration = Duration::from_secs(3);
const LIMIT: usize = 5;

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn told(left: Duration) -> WarmupReport {
    WarmupReport {
        remaining: left,
        total: LASTS,
        limit: LIMIT,
    }
}

/// Starts as many as are let at one moment, up to a few more than the limit.
fn start_all(slow_start: &mut SlowStart, now: Timestamp) -> usize {
    let mut started = 0;
    while started < 2 * LIMIT && slow_start.wait(0, now).is_zero() {
        slow_start.record_start(now);
        started += 1;
    }
    started
}

#[test]
fn limit_by_rate_and_slack() {
    let rules = SlowStartRules {
        overage: 1.5,
        slack: 8.0,
    };
    assert_eq!(rules.limit(600), 23);
    assert_eq!(SlowStartRules::default().limit(30), 1);
}

#[test]
fn wait_warm_upstream() {
    let mut slow_start = SlowStart::new(at(0));
    assert_eq!(start_all(&mut slow_start, at(0)), 2 * LIMIT);
    slow_start.record_report(told(Duration::ZERO), at(10));
    assert!(slow_start.wait(0, at(10)).is_zero());
}

/// Guards against requests of an earlier process that don't count: its upstream was cold already, and became cold again just as
/// the node was started anew.
#[test]
fn wait_run_of_earlier_process_cold_again() {
    let mut slow_start = SlowStart::new(at(10_000));
    let cold_again = told(Duration::from_millis(2_902));
    slow_start.record_report(cold_again, at(10_010));
    slow_start.mark_incarnation_inherited();
    slow_start.record_report(cold_again, at(10_010));
    let wait = slow_start.wait(0, at(10_010));
    assert!(wait >= Duration::from_millis(990), "{wait:?}");
    assert!(start_all(&mut slow_start, at(10_010) + wait) > 0);
    slow_start.begin_incarnation();
    slow_start.record_report(cold_again, at(12_000));
    assert!(slow_start.wait(0, at(13_100)).is_zero());
}

/// Failure: a node that was started anew gives a cold upstream what its earlier process has given it within the same second.
#[test]
fn wait_upstream_older_than_node() {
    let mut slow_start = SlowStart::new(at(10_000));
    slow_start.record_report(told(Duration::from_secs(2)), at(10_050));
    let wait = slow_start.wait(0, at(10_050));
    assert!(wait >= Duration::from_millis(950), "{wait:?}");
    assert!(start_all(&mut slow_start, at(10_050) + wait) > 0);
}

#[test]
fn wait_upstream_started_with_node() {
    let mut slow_start = SlowStart::new(at(10_000));
    slow_start.record_report(told(LASTS), at(10_050));
    assert_eq!(start_all(&mut slow_start, at(10_050)), LIMIT);
    assert!(slow_start.wait(0, at(10_060)) >= Duration::from_millis(950));
    assert!(slow_start.wait(LIMIT, at(10_060)) >= Duration::from_millis(1_950));
}

/// Failure: what an upstream got while it was still warm is not counted once it is cold.
#[test]
fn wait_counts_starts_before() {
    let mut slow_start = SlowStart::new(at(0));
    for millis in [5_000, 5_100, 5_200, 5_300] {
        slow_start.record_start(at(millis));
    }
    slow_start.record_report(told(LASTS), at(5_400));
    assert_eq!(start_all(&mut slow_start, at(5_400)), 1);
    assert_eq!(start_all(&mut slow_start, at(5_900)), 0);
    assert_eq!(start_all(&mut slow_start, at(6_025)), 1);
}

/// Failure: an upstream that crashed and started again under the identity that it had gets twice its limit within a second.
#[test]
fn wait_counts_starts_of_run_before() {
    let mut slow_start = SlowStart::new(at(0));
    slow_start.record_report(told(LASTS), at(5_000));
    assert_eq!(start_all(&mut slow_start, at(5_000)), LIMIT);
    slow_start.begin_incarnation();
    slow_start.record_report(told(LASTS), at(5_400));
    assert_eq!(start_all(&mut slow_start, at(5_400)), 0);
    assert_eq!(start_all(&mut slow_start, at(6_025)), LIMIT);
}

#[test]
fn wait_ends_when_warm() {
    let mut slow_start = SlowStart::new(at(0));
    slow_start.record_report(told(Duration::from_millis(300)), at(5_000));
    start_all(&mut slow_start, at(5_000));
    assert_eq!(slow_start.wait(0, at(5_000)), Duration::from_millis(300));
    assert_eq!(slow_start.wait(9, at(5_300)), Duration::ZERO);
}

/// Failure: over drawn arrivals, restarts of the node, runs of the upstream and times at which it becomes cold, a run that is cold and
/// has said so gets more than its limit in some second.
#[test]
fn wait_keeps_bound_over_drawn_events() {
    bolero::check!()
        .with_type::<Vec<(u8, u16)>>()
        .for_each(|events| play(events));
}

fn play(events: &[(u8, u16)]) {
    let mut now = at(60_000);
    let mut slow_start = SlowStart::new(now);
    let mut cold_since = now;
    slow_start.record_report(told(LASTS), now);
    let mut starts: Vec<Timestamp> = Vec::new();
    for (event, pause) in events {
        now = now + Duration::from_millis(1 + u64::from(*pause % 700));
        let left = LASTS.saturating_sub(now.since(cold_since));
        match event % 8 {
            // The node's process ended a while ago, and starts anew.
            0 => {
                now = now + Duration::from_millis(150);
                slow_start = SlowStart::new(now);
                let left = LASTS.saturating_sub(now.since(cold_since));
                slow_start.record_report(told(left), now);
            }
            1 => {
                cold_since = now;
                slow_start.begin_incarnation();
                slow_start.record_report(told(LASTS), now);
            }
            2 => {
                cold_since = now;
                slow_start.record_report(told(LASTS), now);
            }
            3 => slow_start.record_report(told(left), now),
            _ => {
                for _ in 0..start_all(&mut slow_start, now) {
                    starts.push(now);
                }
            }
        }
        check(&starts, cold_since);
    }
}

/// No second of the cold time has more starts than the limit.
fn check(starts: &[Timestamp], cold_since: Timestamp) {
    let cold = cold_since..cold_since + LASTS;
    let within = starts.iter().filter(|start| cold.contains(start));
    let within: Vec<Timestamp> = within.copied().collect();
    for first in &within {
        let second = within
            .iter()
            .filter(|start| **start >= *first && start.since(*first) <= SECOND);
        let count = second.count();
        assert!(count <= LIMIT, "{count} starts from {first:?} on");
    }
}
