//! The checker of recorded histories: one bad history for each thing that it must find.

#[path = "../../examples/history/checker.rs"]
pub mod checker;
#[path = "../../examples/history/event.rs"]
pub mod event;
#[path = "../../examples/history/key_register.rs"]
mod key_register;

use checker::{LEAVING_GRACE_MICROS, Violation, check_history};
use event::{CallNumber, Event, Happening, KeyNumber, Told};

fn at(at_micros: u64, happening: Happening) -> Event {
    Event {
        at_micros,
        happening,
    }
}

fn started(time: u64, call: u64, key: Option<u64>) -> Event {
    let happening = Happening::Started {
        call: CallNumber(call),
        key: key.map(KeyNumber),
        idempotent: false,
    };
    at(time, happening)
}

fn ended(time: u64, call: u64, told: Told) -> Event {
    let call = CallNumber(call);
    at(time, Happening::Ended { call, told })
}

fn ran(time: u64, call: u64) -> Event {
    let happening = Happening::Ran {
        call: CallNumber(call),
        upstream: "one".into(),
        sequence: time,
    };
    at(time, happening)
}

fn version(time: u64, incarnation: u64, version: u64) -> Event {
    let node = "a".into();
    at(
        time,
        Happening::Version {
            node,
            incarnation,
            version,
        },
    )
}

fn answered(of: u64) -> Told {
    Told::Answered { of: CallNumber(of) }
}

#[test]
fn check_history_passes_a_good_one() {
    let events = [
        started(1, 1, Some(1)),
        ran(2, 1),
        ended(9, 1, Told::Unknown),
        started(3, 2, Some(1)),
        ended(5, 2, answered(1)),
        started(6, 3, None),
        ended(7, 3, Told::NotRun),
        started(8, 4, None),
        ran(9, 4),
        ended(10, 4, answered(4)),
        version(1, 1, 3),
        version(2, 1, 4),
        version(3, 2, 0),
        version(4, 2, 4),
        at(
            20,
            Happening::Leaving {
                upstream: "one".into(),
            },
        ),
        started(20, 5, None),
        ran(20 + LEAVING_GRACE_MICROS, 5),
        ended(30 + LEAVING_GRACE_MICROS, 5, answered(5)),
    ];
    assert_eq!(check_history(&events), []);
}

#[test]
fn check_history_reads_what_it_wrote() {
    let event = started(1, 1, Some(1));
    let line = serde_json::to_string(&event).expect("JSON");
    assert_eq!(
        serde_json::from_str::<Event>(&line).expect("an event"),
        event
    );
}

#[test]
fn check_history_finds_an_unanswered_call() {
    let found = check_history(&[started(1, 1, None)]);
    assert_eq!(found, [Violation::Unanswered(CallNumber(1))]);
}

#[test]
fn check_history_finds_a_lost_call() {
    let found = check_history(&[started(1, 1, None), ended(2, 1, answered(1))]);
    assert_eq!(found, [Violation::Lost(CallNumber(1))]);
}

#[test]
fn check_history_finds_a_doubled_call() {
    let events = [
        started(1, 1, None),
        ran(2, 1),
        ran(3, 1),
        ended(4, 1, answered(1)),
    ];
    assert_eq!(
        check_history(&events),
        [Violation::Doubled(CallNumber(1), 2)]
    );
}

#[test]
fn check_history_finds_a_doubled_key() {
    let events = [
        started(1, 1, Some(7)),
        ran(2, 1),
        ended(3, 1, Told::Unknown),
        started(4, 2, Some(7)),
        ran(5, 2),
        ended(6, 2, answered(2)),
    ];
    let doubled = Violation::KeyDoubled(KeyNumber(7), 2);
    let contradiction = Violation::KeyContradiction(KeyNumber(7));
    assert_eq!(check_history(&events), [doubled, contradiction]);
}

#[test]
fn check_history_finds_a_mixed_answer() {
    let events = [
        started(1, 1, None),
        ran(2, 1),
        ended(3, 1, answered(1)),
        started(4, 2, None),
        ran(5, 2),
        ended(6, 2, answered(1)),
    ];
    let mixed = Violation::Mixed {
        call: CallNumber(2),
        of: CallNumber(1),
    };
    assert_eq!(check_history(&events), [mixed]);
}

#[test]
fn check_history_finds_a_not_run_that_ran_later() {
    // Symptom: a caller is told that its booking was not run; the berth is taken all the same.
    // Sequence: the caller is told before the upstream begins.
    // Cause: the call was still under way when it was given up.
    let events = [started(1, 1, None), ended(2, 1, Told::NotRun), ran(3, 1)];
    assert_eq!(
        check_history(&events),
        [Violation::NotRunRan(CallNumber(1))]
    );
}

#[test]
fn check_history_finds_a_not_run_after_the_key_ran() {
    let events = [
        started(1, 1, Some(7)),
        ran(2, 1),
        ended(3, 1, answered(1)),
        started(4, 2, Some(7)),
        ended(5, 2, Told::NotRun),
    ];
    assert_eq!(
        check_history(&events),
        [Violation::KeyContradiction(KeyNumber(7))]
    );
}

#[test]
fn check_history_finds_a_reverted_configuration() {
    let reverted = Violation::Reverted {
        node: "a".into(),
        from: 4,
        to: 3,
    };
    let found = check_history(&[version(1, 1, 4), version(2, 1, 3)]);
    assert_eq!(found, [reverted]);
}

#[test]
fn check_history_finds_work_after_leaving() {
    let upstream = "one".to_owned();
    let late = LEAVING_GRACE_MICROS + 2;
    let events = [
        at(
            1,
            Happening::Leaving {
                upstream: upstream.clone(),
            },
        ),
        started(2, 1, None),
        ran(late, 1),
        ended(late + 1, 1, answered(1)),
    ];
    let call = CallNumber(1);
    let found = Violation::WorkAfterLeaving { upstream, call };
    assert_eq!(check_history(&events), [found]);
    let joined = at(
        5,
        Happening::Joined {
            upstream: "one".into(),
        },
    );
    let again: Vec<_> = events.into_iter().chain([joined]).collect();
    assert_eq!(check_history(&again), []);
}
