//! How fast a VM works, by what its upstream tells.

use camphorturn::{
    coordination::vm_slowdown::{SlowdownHistory, VmSlowdown},
    state::timestamp::Timestamp,
};
use std::time::Duration;

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// Takes in one figure every 20 ms over a span; returns the last pace.
fn tell(history: &mut SlowdownHistory, percent: u16, (from, to): (u64, u64)) -> VmSlowdown {
    let mut pace = VmSlowdown::NONE;
    for millis in (from..=to).step_by(20) {
        pace = history.record(percent, at(millis));
    }
    pace
}

#[test]
fn note_slow_moment() {
    let mut history = SlowdownHistory::default();
    tell(&mut history, 100, (0, 100));
    assert!(tell(&mut history, 500, (120, 260)).is_above_baseline());
    assert!(!tell(&mut history, 100, (280, 300)).is_above_baseline());
}

/// Symptom: for seconds after all VMs lost power, upstreams run nothing though requests wait, and all of these end at
/// their deadlines. Sequence: an upstream that has just started takes twice its usual time, for seconds; the node waits for
/// the moment to be over. Cause: every pace beyond the best counted as a moment of 200 ms.
#[test]
fn note_cold_start() {
    let mut history = SlowdownHistory::default();
    let pace = tell(&mut history, 200, (0, 40));
    assert!(pace.should_start_now(Duration::from_millis(250)));
    // A slow moment on top of it is still one.
    let both = tell(&mut history, 1_000, (60, 100));
    assert!(!both.should_start_now(Duration::from_millis(250)));
    let warm = tell(&mut history, 100, (120, 140));
    assert_eq!(warm.baseline_percent, 100);
}

/// Symptom: a VM that turns slow for good gets no work at all, though others can't carry what comes. Cause: its node waits for
/// a moment that does not end.
#[test]
fn note_lasting_slowness() {
    let mut history = SlowdownHistory::default();
    tell(&mut history, 100, (0, 100));
    assert!(tell(&mut history, 600, (120, 400)).is_above_baseline());
    let lasting = tell(&mut history, 600, (420, 900));
    assert!(!lasting.is_above_baseline());
    assert_eq!(lasting.baseline_percent, 600);
}

/// Symptom: after a pause without work a slow moment counts as the usual pace. Cause: the time without a figure counted
/// as slow.
#[test]
fn note_after_silence() {
    let mut history = SlowdownHistory::default();
    tell(&mut history, 100, (0, 100));
    assert!(tell(&mut history, 500, (120, 120)).is_above_baseline());
    assert!(tell(&mut history, 500, (5_000, 5_000)).is_above_baseline());
}

#[test]
fn note_learns_the_length() {
    let mut history = SlowdownHistory::default();
    let mut now = 0;
    for _ in 0..60 {
        tell(&mut history, 100, (now, now + 200));
        tell(&mut history, 500, (now + 220, now + 280));
        now += 300;
    }
    let pace = history.record(500, at(now));
    assert!(pace.remaining < Duration::from_millis(100), "{pace:?}");
}

#[test]
fn note_restart_forgets_the_usual_pace() {
    let mut history = SlowdownHistory::default();
    tell(&mut history, 100, (0, 100));
    history.reset_baseline();
    assert!(!tell(&mut history, 200, (120, 120)).is_above_baseline());
}
