//! What callers are told of keyed calls.

use bytes::Bytes;
use camphorturn::{
    coordination::{
        keyed_calls::{
            ASK_AGAIN_AFTER, ForwardStep, HeldAnswer, KeyRoute, KeyedStep, after_forward,
            begin_keyed_call, fingerprint_call, key_id, refuse_as_not_owner, route_key, run_end,
        },
        ownership::{ClockReading, KeyOwner, OwnershipSettings},
    },
    protocol::{
        attempt::{AttemptId, CallId},
        call::{CallAttempt, IdempotencyKey},
        outcome::{Outcome, RefusalReason, UnknownCause, UpstreamAnswer},
    },
    state::{
        key_table::{
            KeyTableLimits,
            key::{KeyId, WallMillis},
        },
        lease::LeaseTimes,
        member::Incarnation,
        moment::Moment,
        names::{ClassName, NodeName, ServiceName},
        ownership::{EpochNumber, Owner, OwnershipEpoch, ProposedBy},
    },
};
use http::{HeaderMap, Method, StatusCode};
use std::time::Duration;
use uuid::Uuid;

const AT: ClockReading = ClockReading {
    wall: WallMillis(1_000_000),
    now: Moment(10_000_000),
};
/// A version 7 UUID issued at `AT`.
const KEY: Uuid = Uuid::from_u128((1_000_000 << 80) | (7 << 76) | (2 << 62) | 5);

fn me() -> Owner {
    Owner {
        node: NodeName::from("a"),
        incarnation: Incarnation(1),
    }
}

fn ready_owner(max_answer_bytes: usize) -> KeyOwner<HeldAnswer> {
    let settings = OwnershipSettings {
        times: LeaseTimes {
            lease: Duration::from_secs(2),
            margin: Duration::from_secs(1),
            outage_cover: Duration::from_secs(2),
        },
        table: KeyTableLimits {
            key_memory: Duration::from_mins(10),
            future_bound: Duration::from_secs(1),
            max_keys: 100,
            max_answer_bytes,
            slots: 4,
        },
        clock_bound: Duration::from_secs(1),
    };
    let mut owner = KeyOwner::new(me(), settings);
    let long_ago = ClockReading {
        wall: WallMillis(900_000),
        now: Moment(0),
    };
    let first = OwnershipEpoch {
        service: ServiceName::from("booking"),
        epoch: EpochNumber(1),
        owners: vec![me()],
        proposed_by: ProposedBy::Owner,
    };
    owner.on_record(&first, long_ago);
    owner.on_time(ClockReading {
        wall: WallMillis(910_000),
        now: Moment(5_000_000),
    });
    owner.on_fresh_view(EpochNumber(1), AT.now);
    owner
}

fn booking(body: &'static str) -> CallAttempt {
    CallAttempt {
        id: AttemptId {
            call: CallId(Uuid::nil()),
            number: 0,
        },
        service: ServiceName::from("booking"),
        class: ClassName::from("book"),
        method: Method::POST,
        target: "/slots/4".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body.as_bytes()),
        time_left: Duration::from_secs(1),
        key: Some(IdempotencyKey(KEY)),
        depth: 0,
    }
}

fn key() -> KeyId {
    key_id(IdempotencyKey(KEY)).expect("a version 7 UUID")
}

fn begin(owner: &mut KeyOwner<HeldAnswer>, body: &'static str) -> KeyedStep {
    begin_keyed_call(owner, key(), fingerprint_call(&booking(body)), AT)
}

fn answer() -> Outcome {
    Outcome::Answered(UpstreamAnswer {
        status: StatusCode::CREATED,
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"booked"),
    })
}

fn run_to(owner: &mut KeyOwner<HeldAnswer>, outcome: &Outcome) {
    let KeyedStep::Run(run) = begin(owner, "one") else {
        panic!("a new key is run");
    };
    owner.finish(key(), run, run_end(outcome));
}

#[test]
fn key_id_refuses_other_versions() {
    assert!(key_id(IdempotencyKey(Uuid::new_v4())).is_none());
    assert_eq!(key().issued(), AT.wall);
}

#[test]
fn begin_keyed_call_repeats_the_first_answer() {
    let mut owner = ready_owner(1_000);
    run_to(&mut owner, &answer());
    let KeyedStep::Finish(Outcome::Answered(repeated)) = begin(&mut owner, "one") else {
        panic!("the first answer is held");
    };
    assert_eq!(repeated.status, StatusCode::CREATED);
    assert_eq!(repeated.body, "booked");
}

#[test]
fn begin_keyed_call_tells_that_it_ran_without_the_answer() {
    let mut owner = ready_owner(0);
    run_to(&mut owner, &answer());
    assert!(matches!(
        begin(&mut owner, "one"),
        KeyedStep::Finish(Outcome::Unknown(UnknownCause::AnswerNotHeld))
    ));
}

#[test]
fn begin_keyed_call_refuses_another_body() {
    // Symptom: a second booking is answered with the first one's confirmation.
    // Sequence: a client reuses its key for another slot.
    // Cause: only the key was compared.
    let mut owner = ready_owner(1_000);
    run_to(&mut owner, &answer());
    let KeyedStep::Finish(Outcome::NotRun(refusal)) = begin(&mut owner, "two") else {
        panic!("another body is refused");
    };
    assert_eq!(refusal.reason, RefusalReason::KeyReused);
}

#[test]
fn begin_keyed_call_runs_again_only_after_not_run() {
    let mut owner = ready_owner(1_000);
    run_to(&mut owner, &refuse_as_not_owner());
    run_to(&mut owner, &Outcome::Unknown(UnknownCause::UpstreamCut));
    assert!(matches!(
        begin(&mut owner, "one"),
        KeyedStep::Finish(Outcome::Unknown(_))
    ));
}

#[test]
fn after_forward_never_tells_not_run_for_a_wrong_owner() {
    // Symptom: a caller is told that its booking was not run, and it was.
    // Sequence: a first call with the key ran and its answer was lost; the repeat reaches a node that
    // does not own the key, up to the deadline.
    // Cause: that node knows only that it ran nothing itself.
    let long = ASK_AGAIN_AFTER * 2;
    assert!(matches!(
        after_forward(refuse_as_not_owner(), long),
        ForwardStep::AskAgain
    ));
    assert!(matches!(
        after_forward(refuse_as_not_owner(), ASK_AGAIN_AFTER),
        ForwardStep::Finish(Outcome::Unknown(UnknownCause::KeyUnsettled))
    ));
}

#[test]
fn route_key_finds_the_owner() {
    let owner = ready_owner(0);
    assert_eq!(route_key(owner.view(), &me(), key()), KeyRoute::Here);
    let other = Owner {
        incarnation: Incarnation(2),
        ..me()
    };
    assert_eq!(
        route_key(owner.view(), &other, key()),
        KeyRoute::Forward(me())
    );
}
