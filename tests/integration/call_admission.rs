//! Refusals of requests whose calls would be rejected. `overload_mesh` replays them under load.

use camphorturn::{
    coordination::call_admission::{CallAdmission, UpstreamLoad},
    state::{
        names::{ClassName, ServiceName},
        timestamp::Timestamp,
    },
};

const FULL: UpstreamLoad = UpstreamLoad {
    queued: 4,
    limit: 4,
};

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn class() -> ClassName {
    "order".into()
}

fn calls() -> [(ServiceName, f64); 1] {
    [("stock".into(), 1.4)]
}

/// Records ten executions that fail and ten calls, of which `accepted` are accepted.
fn record_failures(admission: &mut CallAdmission, accepted: u32) {
    for number in 0..10 {
        admission.record_start(&class(), at(0));
        admission.record_call(&"stock".into(), number < accepted, at(0));
        admission.record_end(&class(), true, at(0));
    }
}

#[test]
fn decide_one_in_ten_passes() {
    let mut admission = CallAdmission::default();
    record_failures(&mut admission, 5);
    let decisions = (0..30).map(|_| admission.decide(&class(), &calls(), FULL, at(10)));
    let decisions: Vec<_> = decisions.collect();
    let passed = decisions.iter().filter(|decision| !decision.is_refused);
    assert_eq!(passed.count(), 3);
    let changes = decisions.iter().filter_map(|decision| decision.change);
    assert_eq!(changes.collect::<Vec<_>>(), [true]);
}

/// Failure: requests are refused at an upstream that has a slot for them, or although the calls are accepted, or for a class that
/// makes no such calls or does not fail.
#[test]
fn decide_without_reason() {
    let mut admission = CallAdmission::default();
    record_failures(&mut admission, 5);
    let idle = UpstreamLoad {
        queued: 3,
        limit: 4,
    };
    let mut is_refused = |class: ClassName, calls: &[(ServiceName, f64)], load| {
        admission.decide(&class, calls, load, at(10)).is_refused
    };
    assert!(is_refused(class(), &calls(), FULL));
    assert!(!is_refused(class(), &calls(), idle));
    assert!(!is_refused(class(), &[("stock".into(), 0.4)], FULL));
    assert!(!is_refused(class(), &[("other".into(), 1.4)], FULL));
    assert!(!is_refused("look".into(), &calls(), FULL));
    let mut accepting = CallAdmission::default();
    record_failures(&mut accepting, 6);
    assert!(
        !accepting
            .decide(&class(), &calls(), FULL, at(10))
            .is_refused
    );
}

/// Failure: refusals go on after the called service has recovered, since without executions nothing shows that.
#[test]
fn decide_after_recovery() {
    let mut admission = CallAdmission::default();
    record_failures(&mut admission, 0);
    assert!(admission.decide(&class(), &calls(), FULL, at(0)).is_refused);
    let later = admission.decide(&class(), &calls(), FULL, at(2_500));
    assert!(!later.is_refused);
    assert_eq!(later.change, Some(false));
}

/// Failure: a class gets no starts at all while others take the slots.
#[test]
fn decide_below_minimum_starts() {
    let mut admission = CallAdmission::default();
    record_failures(&mut admission, 0);
    for _ in 0..31 {
        admission.record_start(&"look".into(), at(0));
    }
    assert!(
        !admission
            .decide(&class(), &calls(), FULL, at(10))
            .is_refused
    );
}
