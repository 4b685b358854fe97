//! Admission at the executing node, with time given by the test.

use camphorturn::{
    coordination::admission::{
        Admission, AdmissionAction, AdmissionSettings, CancelResult, End, EndKind, Offer,
    },
    protocol::{
        attempt::{AttemptId, CallId},
        load_report::UpstreamCondition,
        outcome::{RefusalReason, RetryAdvice},
    },
    state::{
        class::{Class, KeyRule, Target},
        concurrency::limit::LimitRule,
        moment::Moment,
        names::ClassName,
    },
};
use std::time::Duration;
use uuid::Uuid;

const SECOND: Duration = Duration::from_secs(1);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at(count: u64) -> Moment {
    Moment(count * 1000)
}

fn attempt(number: u128) -> AttemptId {
    AttemptId {
        call: CallId(Uuid::from_u128(number)),
        number: 0,
    }
}

fn class(name: &str, priority: u8, target_ms: u32) -> Class {
    Class {
        name: ClassName::from(name),
        rules: Vec::new(),
        target: Target {
            latency_ms: target_ms,
            share: 0.99,
        },
        deadline_ms: 1000,
        priority,
        idempotent: true,
        key: KeyRule::None,
        hedge: false,
    }
}

fn settings(slots: u16) -> AdmissionSettings {
    AdmissionSettings {
        slots,
        ramp: Duration::ZERO,
        rule: LimitRule::Fixed,
        ..AdmissionSettings::default()
    }
}

/// Admission with classes `high` and `low`, an upstream that serves, and calls known to take 10 ms.
fn serving(slots: u16) -> Admission {
    let mut admission = Admission::new(settings(slots));
    admission.set_classes(&[class("high", 9, 100), class("low", 1, 200)]);
    admission.set_condition(UpstreamCondition::Serving, at(0));
    for (number, name) in [(1000, "high"), (1001, "low")] {
        assert_eq!(offer(&mut admission, number, name, at(0)), Offer::Run);
        admission.finish(attempt(number), answered(10), at(10));
    }
    admission
}

fn offer(admission: &mut Admission, number: u128, name: &str, now: Moment) -> Offer {
    admission.offer(attempt(number), &ClassName::from(name), SECOND, now)
}

fn answered(took_ms: u64) -> End {
    end(
        took_ms,
        EndKind::Answered {
            server_error: false,
        },
    )
}

fn end(took_ms: u64, kind: EndKind) -> End {
    End {
        took: millis(took_ms),
        kind,
    }
}

fn reason(offer: Offer) -> Option<RefusalReason> {
    match offer {
        Offer::Refused(refusal) => Some(refusal.reason),
        Offer::Run | Offer::Queued => None,
    }
}

fn refused_ids(actions: &[AdmissionAction]) -> Vec<AttemptId> {
    let refused = actions.iter().filter_map(|action| match action {
        AdmissionAction::Refuse(id, _) => Some(*id),
        AdmissionAction::Start(_) => None,
    });
    refused.collect()
}

#[test]
fn offer_runs_until_slots_are_taken() {
    let mut admission = serving(2);
    assert_eq!(offer(&mut admission, 1, "low", at(20)), Offer::Run);
    assert_eq!(offer(&mut admission, 2, "low", at(20)), Offer::Run);
    assert_eq!(offer(&mut admission, 3, "low", at(20)), Offer::Queued);
    let actions = admission.finish(attempt(1), answered(10), at(30));
    assert_eq!(actions, [AdmissionAction::Start(attempt(3))]);
}

#[test]
fn offer_before_announcement_refuses() {
    let mut admission = Admission::new(settings(2));
    admission.set_classes(&[class("high", 9, 100)]);
    let refused = offer(&mut admission, 1, "high", at(0));
    assert_eq!(reason(refused), Some(RefusalReason::UpstreamDown));
}

#[test]
fn offer_of_unknown_class_refuses() {
    let mut admission = serving(2);
    let refused = offer(&mut admission, 1, "other", at(20));
    assert_eq!(reason(refused), Some(RefusalReason::UnknownClass));
}

#[test]
fn offer_beyond_target_refuses_at_once() {
    // Symptom: callers wait for the whole deadline and are then refused.
    // Sequence: more calls arrive than the upstream serves within the target.
    // Cause: a queue with a bound that does not follow from the target.
    let mut admission = serving(1);
    assert_eq!(offer(&mut admission, 1, "high", at(20)), Offer::Run);
    let offers = (2..20).map(|number| offer(&mut admission, number, "high", at(20)));
    let offers: Vec<Offer> = offers.collect();
    let queued = offers.iter().filter(|offer| **offer == Offer::Queued);
    assert_eq!(
        queued.count(),
        9,
        "9 waits of 10 ms and one service of 10 ms fill 100 ms"
    );
    assert_eq!(reason(offers[17]), Some(RefusalReason::QueueFull));
}

#[test]
fn offer_with_short_deadline_refuses_at_once() {
    // Symptom: a call runs although its caller has gone by the time it ends.
    // Sequence: a call with 5 ms left reaches an upstream that takes 10 ms.
    // Cause: the deadline is looked at only when it has passed.
    let mut admission = serving(1);
    let low = ClassName::from("low");
    let refused = admission.offer(attempt(1), &low, millis(5), at(20));
    let Offer::Refused(refusal) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
    assert_eq!(refusal.advice, RetryAdvice::Never);
}

#[test]
fn finish_starts_higher_class_first() {
    let mut admission = serving(1);
    assert_eq!(offer(&mut admission, 1, "low", at(20)), Offer::Run);
    assert_eq!(offer(&mut admission, 2, "low", at(20)), Offer::Queued);
    assert_eq!(offer(&mut admission, 3, "high", at(21)), Offer::Queued);
    let actions = admission.finish(attempt(1), answered(10), at(30));
    assert_eq!(actions, [AdmissionAction::Start(attempt(3))]);
}

#[test]
fn set_condition_draining_refuses_waiting_calls() {
    // Symptom: calls to a leaving upstream time out.
    // Sequence: calls wait; the upstream begins to drain; the running calls take their time.
    // Cause: the queue is kept although nothing of it will be started.
    let mut admission = serving(1);
    offer(&mut admission, 1, "low", at(20));
    offer(&mut admission, 2, "low", at(20));
    let actions = admission.set_condition(UpstreamCondition::Draining, at(21));
    assert_eq!(refused_ids(&actions), [attempt(2)]);
    let refused = offer(&mut admission, 3, "low", at(21));
    assert_eq!(reason(refused), Some(RefusalReason::Draining));
    assert_eq!(admission.load_report(at(21)).running, 1);
}

#[test]
fn cancel_tells_waiting_from_running() {
    let mut admission = serving(1);
    offer(&mut admission, 1, "low", at(20));
    offer(&mut admission, 2, "low", at(20));
    assert_eq!(
        admission.cancel(attempt(2), at(21)),
        CancelResult::WasQueued
    );
    assert_eq!(admission.cancel(attempt(2), at(21)), CancelResult::Unknown);
    assert_eq!(admission.cancel(attempt(1), at(21)), CancelResult::Running);
    assert!(
        admission
            .finish(attempt(1), answered(10), at(30))
            .is_empty()
    );
}
