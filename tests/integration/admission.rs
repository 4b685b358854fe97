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

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        call: CallId(Uuid::from_u128(u128::from(number))),
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

fn offer(admission: &mut Admission, number: u64, name: &str, now: Moment) -> Offer {
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
        5,
        "5 waits and a run of 10 ms each fill 60 of 100 ms, the rest is for chance"
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

#[test]
fn expire_sheds_the_queue_of_an_upstream_that_stands_still() {
    // Symptom: callers wait on an upstream that struggles while others are idle.
    // Sequence: calls that take 10 ms run; others wait; the running ones do not end.
    // Cause: the estimate is made of ends alone, and nothing ends.
    let mut admission = serving(2);
    for number in 1..=8 {
        offer(&mut admission, number, "high", at(20));
    }
    assert_eq!(admission.load_report(at(20)).queued, 6);
    let mut now = at(20);
    let mut refused = Vec::new();
    while refused.len() < 6 {
        now = admission.next_expiry().expect("calls wait");
        refused.extend(refused_ids(&admission.expire(now)));
        assert!(now < at(100), "refused while there is time to go elsewhere");
    }
    assert!(now > at(40), "not on the first long call");
    assert_eq!(admission.next_expiry(), None);
    let later = offer(&mut admission, 9, "high", at(220));
    assert_eq!(reason(later), Some(RefusalReason::QueueFull));
}

#[test]
fn expire_refuses_before_the_deadline() {
    // Symptom: a call is refused when its time is up, too late to go elsewhere.
    // Sequence: a call waits behind one that takes longer than usual.
    // Cause: the queue drops calls at their deadline instead of at their last moment to start.
    let mut admission = serving(1);
    offer(&mut admission, 1, "low", at(20));
    let low = ClassName::from("low");
    let queued = admission.offer(attempt(2), &low, millis(30), at(20));
    assert_eq!(queued, Offer::Queued);
    let mut now = at(20);
    let mut refused = Vec::new();
    while refused.is_empty() {
        now = admission.next_expiry().expect("a call waits");
        refused = refused_ids(&admission.expire(now));
    }
    assert_eq!(refused, [attempt(2)]);
    assert!(
        now <= at(40),
        "its deadline is at 50 and it takes 10: {now:?}"
    );
}

#[test]
fn finish_shed_lowers_the_limit_for_a_while() {
    // Symptom: an upstream that sheds gets the next call at once and sheds it too.
    // Sequence: the upstream refuses a call while another runs; a call waits.
    // Cause: the free slot is taken for room.
    let mut admission = serving(2);
    offer(&mut admission, 1, "low", at(20));
    offer(&mut admission, 2, "low", at(20));
    offer(&mut admission, 3, "low", at(20));
    assert!(
        admission
            .finish(attempt(2), end(1, EndKind::Shed), at(21))
            .is_empty()
    );
    assert_eq!(admission.load_report(at(21)).limit, 1);
    assert_eq!(admission.load_report(at(121)).limit, 2);
}

#[test]
fn finish_with_quick_errors_attracts_nothing() {
    // Symptom: an upstream that fails all calls at once gets most of the calls.
    // Sequence: calls that took 10 ms fail in 1 ms.
    // Cause: quick failures lower the latency and raise the limit.
    let mut admission = serving(2);
    let before = admission.load_report(at(1000));
    let failed = EndKind::Answered { server_error: true };
    for number in 1..50 {
        offer(&mut admission, number, "low", at(1000 + number));
        admission.finish(attempt(number), end(1, failed), at(1001 + number));
    }
    let after = admission.load_report(at(1100));
    assert!(after.latency_micros >= before.latency_micros);
    assert!(after.errors_permille > 700, "{}", after.errors_permille);
}

#[test]
fn finish_of_slow_calls_lowers_the_limit_and_good_ones_raise_it() {
    // Symptom: an upstream that became ten times slower keeps all slots filled with calls that miss
    // their target.
    // Sequence: calls of 10 ms take 100 ms, later 10 ms again.
    // Cause: a fixed limit.
    let mut admission = Admission::new(AdmissionSettings {
        ramp: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    admission.set_classes(&[class("low", 1, 900)]);
    admission.set_condition(UpstreamCondition::Serving, at(0));
    let mut number = 0;
    let mut run = |took: u64, rounds: u64| {
        for _ in 0..rounds {
            let now = at(number * 1000);
            let ids = number..number + 6;
            for id in ids.clone() {
                offer(&mut admission, id, "low", now);
            }
            for id in ids {
                admission.finish(attempt(id), answered(took), now + millis(took));
            }
            number += 6;
        }
        admission.load_report(at(number * 1000)).limit
    };
    assert_eq!(run(10, 50), 6);
    let slow = run(100, 10);
    assert!((1..=3).contains(&slow), "{slow}");
    assert_eq!(run(10, 50), 6);
}

#[test]
fn set_condition_serving_first_raises_the_limit_slowly() {
    // Symptom: an upstream that has just started is flooded and fails.
    // Sequence: it announces itself; calls wait everywhere.
    // Cause: all slots are filled before its caches are warm.
    let mut admission = Admission::new(AdmissionSettings {
        slots: 4,
        ramp: millis(400),
        ..AdmissionSettings::default()
    });
    admission.set_classes(&[class("low", 1, 900)]);
    admission.set_condition(UpstreamCondition::Serving, at(0));
    let limits = [0, 199, 200, 300, 400].map(|now| admission.load_report(at(now)).limit);
    assert_eq!(limits, [1, 1, 2, 3, 4]);
    assert_eq!(
        admission.load_report(at(399)).condition,
        UpstreamCondition::Warming
    );
    assert_eq!(
        admission.load_report(at(400)).condition,
        UpstreamCondition::Serving
    );
}

#[test]
fn expire_starts_waiting_calls_as_the_limit_rises() {
    // Symptom: calls wait although slots are free.
    // Sequence: an upstream warms up; a call waits; the running one does not end.
    // Cause: slots are filled only when a call ends.
    let mut admission = Admission::new(AdmissionSettings {
        slots: 2,
        ramp: millis(100),
        ..AdmissionSettings::default()
    });
    admission.set_classes(&[class("low", 1, 900)]);
    admission.set_condition(UpstreamCondition::Serving, at(0));
    offer(&mut admission, 1, "low", at(1));
    assert_eq!(offer(&mut admission, 2, "low", at(1)), Offer::Queued);
    assert!(admission.next_expiry().expect("a call waits") <= at(100));
    let actions = admission.expire(at(100));
    assert_eq!(actions, [AdmissionAction::Start(attempt(2))]);
}

#[test]
fn set_classes_under_load_drops_no_call() {
    // Symptom: publishing a new target makes calls fail that were waiting.
    // Sequence: calls of two classes wait; one class gets a tighter target, the other is removed.
    // Cause: queues are rebuilt with the classes.
    let mut admission = serving(1);
    offer(&mut admission, 1, "high", at(20));
    assert_eq!(offer(&mut admission, 2, "high", at(20)), Offer::Queued);
    assert_eq!(offer(&mut admission, 3, "low", at(20)), Offer::Queued);
    assert_eq!(offer(&mut admission, 4, "high", at(20)), Offer::Queued);
    admission.set_classes(&[class("high", 9, 15)]);
    assert!(admission.expire(at(21)).is_empty());
    let refused = offer(&mut admission, 5, "low", at(21));
    assert_eq!(reason(refused), Some(RefusalReason::UnknownClass));
    let refused = offer(&mut admission, 6, "high", at(21));
    assert_eq!(reason(refused), Some(RefusalReason::QueueFull));
    for (ended, started) in [(1, 2), (2, 4), (4, 3)] {
        let now = at(30 + ended * 10);
        let actions = admission.finish(attempt(ended), answered(10), now);
        assert_eq!(actions, [AdmissionAction::Start(attempt(started))]);
    }
}

#[test]
fn offer_of_a_higher_class_is_untouched_by_a_full_lower_one() {
    // Symptom: lookups are refused while a batch of bookings comes in.
    // Sequence: a class of lower priority fills its queue.
    // Cause: one queue, or one bound, for all classes.
    let mut admission = serving(1);
    let lows = (1..40).map(|number| offer(&mut admission, number, "low", at(20)));
    let refused = lows.filter(|offer| reason(*offer).is_some()).count();
    assert!(refused > 20, "{refused}");
    assert_eq!(offer(&mut admission, 100, "high", at(20)), Offer::Queued);
    let actions = admission.finish(attempt(1), answered(10), at(30));
    assert_eq!(actions, [AdmissionAction::Start(attempt(100))]);
}

#[test]
fn finish_serves_equal_classes_in_turns() {
    // Symptom: one class's burst makes another of the same priority wait for all of it.
    // Sequence: a class fills its queue; a call of an equal class arrives.
    // Cause: one queue for both, in the order of arrival.
    let mut admission = serving(1);
    admission.set_classes(&[class("high", 5, 100), class("low", 5, 100)]);
    for number in 1..=5 {
        offer(&mut admission, number, "low", at(20));
    }
    assert_eq!(offer(&mut admission, 100, "high", at(20)), Offer::Queued);
    let first = admission.finish(attempt(1), answered(10), at(30));
    assert_eq!(first, [AdmissionAction::Start(attempt(100))]);
    let second = admission.finish(attempt(100), answered(10), at(40));
    assert_eq!(second, [AdmissionAction::Start(attempt(2))]);
}

#[test]
fn offer_after_a_pause_tries_a_class_with_a_high_estimate() {
    // Symptom: a class is refused for good although the upstream is well again.
    // Sequence: calls time out at their deadline; the estimate exceeds the deadline.
    // Cause: the estimate changes only by calls, and it lets none run.
    let mut admission = serving(1);
    for number in 1..40 {
        let now = at(20 + number * 2000);
        offer(&mut admission, number, "low", now);
        admission.finish(attempt(number), end(3000, EndKind::TimedOut), now);
    }
    assert!(reason(offer(&mut admission, 50, "low", at(78_100))).is_some());
    assert_eq!(offer(&mut admission, 51, "low", at(79_100)), Offer::Run);
}

#[test]
fn load_report_shows_the_age_of_calls_in_progress() {
    // Symptom: other nodes keep sending to an upstream that stands still.
    // Sequence: the last calls that ended were quick; the running ones do not end.
    // Cause: the report is made of ends alone.
    let mut admission = serving(2);
    offer(&mut admission, 1, "low", at(20));
    assert_eq!(admission.load_report(at(20)).latency().as_millis(), 10);
    assert_eq!(admission.load_report(at(520)).latency().as_millis(), 500);
}

#[test]
fn load_report_remembers_a_peak_for_a_while() {
    let mut admission = serving(2);
    offer(&mut admission, 1, "low", at(20));
    admission.finish(attempt(1), answered(200), at(220));
    let at_once = admission.load_report(at(220)).latency();
    let later = admission.load_report(at(1220)).latency();
    assert!(at_once > millis(60), "{at_once:?}");
    assert!(later < millis(40), "{later:?}");
}

#[test]
fn snapshot_counts_the_share_on_target() {
    let mut admission = serving(1);
    offer(&mut admission, 1, "high", at(20));
    admission.finish(attempt(1), answered(180), at(200));
    let status = admission.snapshot(at(200));
    let high = &status.classes[0];
    assert_eq!((high.answered, high.on_target), (2, 1));
    assert_eq!(high.share_on_target, Some(0.5));
    assert_eq!(
        admission.snapshot(at(20_000)).classes[0].share_on_target,
        None
    );
}
