//! Number of requests that an upstream gets within any second of its warm-up.

use camphorturn::{
    coordination::slow_start::{SlowStart, SlowStartSettings, WarmupReport},
    state::timestamp::Timestamp,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const WARMUP: Duration = Duration::from_secs(3);
const LIMIT: usize = 5;

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn report(remaining: Duration) -> WarmupReport {
    WarmupReport {
        remaining,
        total: WARMUP,
        limit: LIMIT,
    }
}

/// Starts as many requests as permitted at one time, up to twice the limit; returns their number.
fn start_all(slow_start: &mut SlowStart, now: Timestamp) -> usize {
    let mut started = 0;
    while started < 2 * LIMIT && slow_start.wait(0, now).is_zero() {
        slow_start.record_start(now);
        slow_start.record_answer(now, now);
        started += 1;
    }
    started
}

#[test]
fn limit_from_rate_and_slack() {
    let settings = SlowStartSettings {
        overage: 1.5,
        slack: 8.0,
    };
    assert_eq!(settings.limit(600), 23);
    assert_eq!(SlowStartSettings::default().limit(30), 1);
}

#[test]
fn wait_without_warmup() {
    let mut slow_start = SlowStart::new(at(0));
    assert_eq!(start_all(&mut slow_start, at(0)), 2 * LIMIT);
    slow_start.record_report(report(Duration::ZERO), at(10));
    assert!(slow_start.wait(0, at(10)).is_zero());
}

/// Failure: requests of an earlier node process aren't counted. The upstream was warming up before, and began another warm-up
/// just as the node restarted.
#[test]
fn wait_inherited_incarnation_second_warmup() {
    let mut slow_start = SlowStart::new(at(10_000));
    let second_warmup = report(Duration::from_millis(2_902));
    slow_start.record_report(second_warmup, at(10_010));
    slow_start.mark_incarnation_inherited();
    slow_start.record_report(second_warmup, at(10_010));
    let wait = slow_start.wait(0, at(10_010));
    assert!(wait >= Duration::from_millis(990), "{wait:?}");
    assert!(start_all(&mut slow_start, at(10_010) + wait) > 0);
    slow_start.begin_incarnation();
    slow_start.record_report(second_warmup, at(12_000));
    assert!(slow_start.wait(0, at(13_100)).is_zero());
}

/// Failure: a restarted node sends an upstream in warm-up its full limit, although the earlier process has done so within the same
/// second.
#[test]
fn wait_upstream_older_than_node() {
    let mut slow_start = SlowStart::new(at(10_000));
    slow_start.record_report(report(Duration::from_secs(2)), at(10_050));
    let wait = slow_start.wait(0, at(10_050));
    assert!(wait >= Duration::from_millis(950), "{wait:?}");
    assert!(start_all(&mut slow_start, at(10_050) + wait) > 0);
}

#[test]
fn wait_upstream_started_with_node() {
    let mut slow_start = SlowStart::new(at(10_000));
    slow_start.record_report(report(WARMUP), at(10_050));
    assert_eq!(start_all(&mut slow_start, at(10_050)), LIMIT);
    assert!(slow_start.wait(0, at(10_060)) >= Duration::from_millis(950));
    assert!(slow_start.wait(LIMIT, at(10_060)) >= Duration::from_millis(1_950));
}

/// Failure: requests that an upstream got before its warm-up began aren't counted during the warm-up.
#[test]
fn wait_counts_starts_before_warmup() {
    let mut slow_start = SlowStart::new(at(0));
    for millis in [5_000, 5_100, 5_200, 5_300] {
        slow_start.record_start(at(millis));
        slow_start.record_answer(at(millis), at(millis));
    }
    slow_start.record_report(report(WARMUP), at(5_400));
    assert_eq!(start_all(&mut slow_start, at(5_400)), 1);
    assert_eq!(start_all(&mut slow_start, at(5_900)), 0);
    assert_eq!(start_all(&mut slow_start, at(6_025)), 1);
}

/// Failure: an upstream that crashes and restarts under the same identity gets twice its limit within a second.
#[test]
fn wait_counts_starts_of_previous_incarnation() {
    let mut slow_start = SlowStart::new(at(0));
    slow_start.record_report(report(WARMUP), at(5_000));
    assert_eq!(start_all(&mut slow_start, at(5_000)), LIMIT);
    slow_start.begin_incarnation();
    slow_start.record_report(report(WARMUP), at(5_400));
    assert_eq!(start_all(&mut slow_start, at(5_400)), 0);
    assert_eq!(start_all(&mut slow_start, at(6_025)), LIMIT);
}

/// Failure: a restarted node doesn't count what the earlier process sent during the warm-up. The upstream has crashed and restarted
/// under the same identity before that process ended, so the first announcement names another incarnation than the stored record.
#[test]
fn wait_new_incarnation_announced_to_restarted_node() {
    let mut slow_start = SlowStart::new(at(10_000));
    slow_start.mark_incarnation_inherited();
    slow_start.begin_incarnation();
    slow_start.record_report(report(Duration::from_secs(2)), at(10_020));
    let wait = slow_start.wait(0, at(10_020));
    assert!(wait >= Duration::from_millis(980), "{wait:?}");
    assert!(start_all(&mut slow_start, at(10_020) + wait) > 0);
}

#[test]
fn wait_ends_after_warmup() {
    let mut slow_start = SlowStart::new(at(0));
    slow_start.record_report(report(Duration::from_millis(300)), at(5_000));
    start_all(&mut slow_start, at(5_000));
    assert_eq!(slow_start.wait(0, at(5_000)), Duration::from_millis(300));
    assert_eq!(slow_start.wait(9, at(5_300)), Duration::ZERO);
}

/// For any sequence of arrivals, node restarts, upstream restarts and warm-ups: an upstream that has reported its warm-up
/// gets no more than its limit within any second.
#[test]
fn wait_keeps_limit_over_random_events() {
    bolero::check!()
        .with_type::<Vec<(u8, u16)>>()
        .for_each(|events| run_events(events));
}

fn run_events(events: &[(u8, u16)]) {
    let mut now = at(60_000);
    let mut slow_start = SlowStart::new(now);
    let mut warmup_start = now;
    slow_start.record_report(report(WARMUP), now);
    let mut starts: Vec<Timestamp> = Vec::new();
    for (event, pause) in events {
        now = now + Duration::from_millis(1 + u64::from(*pause % 700));
        let remaining = WARMUP.saturating_sub(now.since(warmup_start));
        match event % 9 {
            // The node process has ended, and a new one starts after a pause.
            0 => {
                now = now + Duration::from_millis(150);
                slow_start = SlowStart::new(now);
                let remaining = WARMUP.saturating_sub(now.since(warmup_start));
                slow_start.record_report(report(remaining), now);
            }
            1 => {
                warmup_start = now;
                slow_start.begin_incarnation();
                slow_start.record_report(report(WARMUP), now);
            }
            2 => {
                warmup_start = now;
                slow_start.record_report(report(WARMUP), now);
            }
            3 => slow_start.record_report(report(remaining), now),
            // The upstream has restarted under the same identity, and its host still slows it down.
            4 => {
                slow_start.begin_incarnation();
                slow_start.record_report(report(remaining), now);
            }
            _ => {
                for _ in 0..start_all(&mut slow_start, now) {
                    starts.push(now);
                }
            }
        }
        assert_limit(&starts, warmup_start);
    }
}

/// Asserts that no second of the warm-up has more starts than the limit.
fn assert_limit(starts: &[Timestamp], warmup_start: Timestamp) {
    let warmup = warmup_start..warmup_start + WARMUP;
    let during_warmup = starts.iter().filter(|start| warmup.contains(start));
    let during_warmup: Vec<Timestamp> = during_warmup.copied().collect();
    for first in &during_warmup {
        let second = during_warmup
            .iter()
            .filter(|start| **start >= *first && start.since(*first) <= SECOND);
        let count = second.count();
        assert!(count <= LIMIT, "{count} starts from {first:?} on");
    }
}
