//! Slowdown of a VM, estimated from the reports of its upstream.

use camphorturn::{
    coordination::vm_slowdown::{SlowdownHistory, VmSlowdown},
    state::timestamp::Timestamp,
};
use std::time::Duration;

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// Records one report every 20 ms between two times, in milliseconds; returns the last estimate.
fn report(history: &mut SlowdownHistory, percent: u16, (from, to): (u64, u64)) -> VmSlowdown {
    let mut slowdown = VmSlowdown::NONE;
    for millis in (from..=to).step_by(20) {
        slowdown = history.record(percent, at(millis));
    }
    slowdown
}

#[test]
fn record_slow_period() {
    let mut history = SlowdownHistory::default();
    report(&mut history, 100, (0, 100));
    assert!(report(&mut history, 500, (120, 260)).is_above_baseline());
    assert!(!report(&mut history, 100, (280, 300)).is_above_baseline());
}

/// Failure: for seconds after a power loss of all VMs, upstreams idle while requests wait until their deadlines expire. An
/// upstream that has just started takes twice its usual time for several seconds. Its node must not count this as a slow period of
/// 200 ms that is worth waiting out.
#[test]
fn record_slow_since_start() {
    let mut history = SlowdownHistory::default();
    let slowdown = report(&mut history, 200, (0, 40));
    assert!(slowdown.should_start_now(Duration::from_millis(250)));
    // A further slowdown of the VM during that time still counts as a slow period.
    let combined = report(&mut history, 1_000, (60, 100));
    assert!(!combined.should_start_now(Duration::from_millis(250)));
    let after_start = report(&mut history, 100, (120, 140));
    assert_eq!(after_start.baseline_percent, 100);
}

/// Failure: a VM that stays slow gets no work at all, though the other VMs can't take all of it. The node waits for the end of a
/// slow period that doesn't end.
#[test]
fn record_lasting_slowdown() {
    let mut history = SlowdownHistory::default();
    report(&mut history, 100, (0, 100));
    assert!(report(&mut history, 600, (120, 400)).is_above_baseline());
    let lasting = report(&mut history, 600, (420, 900));
    assert!(!lasting.is_above_baseline());
    assert_eq!(lasting.baseline_percent, 600);
}

/// Failure: after a pause without requests a slow period becomes the baseline, because the time without reports counted as slow.
#[test]
fn record_slow_after_silence() {
    let mut history = SlowdownHistory::default();
    report(&mut history, 100, (0, 100));
    assert!(report(&mut history, 500, (120, 120)).is_above_baseline());
    assert!(report(&mut history, 500, (5_000, 5_000)).is_above_baseline());
}

#[test]
fn record_learns_period_duration() {
    let mut history = SlowdownHistory::default();
    let mut now = 0;
    for _ in 0..60 {
        report(&mut history, 100, (now, now + 200));
        report(&mut history, 500, (now + 220, now + 280));
        now += 300;
    }
    let slowdown = history.record(500, at(now));
    assert!(
        slowdown.remaining < Duration::from_millis(100),
        "{slowdown:?}"
    );
}

#[test]
fn reset_baseline_discards_baseline() {
    let mut history = SlowdownHistory::default();
    report(&mut history, 100, (0, 100));
    history.reset_baseline();
    assert!(!report(&mut history, 200, (120, 120)).is_above_baseline());
}
