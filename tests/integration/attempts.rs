//! What an executing node says of attempts it is asked about, with time given by the test.

use camphorturn::{
    coordination::admission::{
        Admission, AdmissionAction, AdmissionSettings, Arrival, End, EndKind, Execution, Settled,
    },
    protocol::{
        attempt::{AttemptId, CallId},
        load_report::UpstreamCondition,
    },
    state::{
        attempts::AttemptBounds,
        class::{Class, KeyRule, Target},
        moment::Moment,
        names::ClassName,
    },
};
use std::time::Duration;
use uuid::{NoContext, Timestamp, Uuid};

const ORIGIN: Duration = Duration::from_secs(1_700_000_000);
const HORIZON: Duration = Duration::from_mins(1);
const START: Moment = Moment(0);

fn execution(slots: u16, capacity: usize) -> Execution {
    let settings = AdmissionSettings {
        slots,
        ramp: Duration::ZERO,
        ..AdmissionSettings::default()
    };
    let bounds = AttemptBounds {
        horizon: HORIZON,
        capacity,
    };
    let mut execution = Execution::new(Admission::new(settings), bounds, ORIGIN);
    execution.set_classes(&[Class {
        name: ClassName::from("booking"),
        rules: Vec::new(),
        target: Target {
            latency_ms: 1000,
            share: 0.99,
        },
        deadline_ms: 1000,
        priority: 1,
        idempotent: false,
        key: KeyRule::None,
        hedge: false,
    }]);
    execution.set_condition(UpstreamCondition::Serving, START);
    execution
}

/// An attempt at a call that was issued `after` the start.
fn attempt(after: Duration) -> AttemptId {
    let issued = ORIGIN + after;
    let timestamp = Timestamp::from_unix(NoContext, issued.as_secs(), issued.subsec_nanos());
    AttemptId {
        call: CallId(Uuid::new_v7(timestamp)),
        number: 0,
    }
}

fn arrive(execution: &mut Execution, id: AttemptId, now: Moment) -> Arrival {
    execution.arrive(id, &ClassName::from("booking"), Duration::from_secs(1), now)
}

fn end(execution: &mut Execution, id: AttemptId, kind: EndKind, now: Moment) {
    let took = Duration::from_millis(1);
    execution.finish(id, End { took, kind }, now);
}

const ANSWERED: EndKind = EndKind::Answered {
    server_error: false,
};

#[test]
fn settle_before_arrival_keeps_the_attempt_from_running() {
    // Symptom: a booking told "not run" runs afterwards.
    // Sequence: the attempt is delayed; its settlement arrives first and says that it never runs;
    // the attempt arrives.
    // Cause: the settlement leaves no mark.
    let mut execution = execution(1, 100);
    let id = attempt(Duration::ZERO);
    assert_eq!(
        execution.settle(id, START),
        Settled::NeverRuns { was_queued: false }
    );
    assert!(matches!(
        arrive(&mut execution, id, START),
        Arrival::Refused(_)
    ));
}

#[test]
fn settle_takes_a_waiting_attempt_out() {
    // Symptom: as above.
    // Sequence: the attempt waits; it is settled; a slot falls free.
    // Cause: the settlement marks the table but leaves the queue as it is.
    let mut execution = execution(1, 100);
    let (first, second) = (attempt(Duration::ZERO), attempt(Duration::ZERO));
    assert_eq!(arrive(&mut execution, first, START), Arrival::Run);
    assert_eq!(arrive(&mut execution, second, START), Arrival::Queued);
    assert_eq!(
        execution.settle(second, START),
        Settled::NeverRuns { was_queued: true }
    );
    assert_eq!(
        execution.settle(second, START),
        Settled::NeverRuns { was_queued: false }
    );
    let took = Duration::from_millis(1);
    let actions = execution.finish(
        first,
        End {
            took,
            kind: ANSWERED,
        },
        START,
    );
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn settle_tells_that_an_attempt_ran() {
    let mut execution = execution(1, 100);
    let id = attempt(Duration::ZERO);
    arrive(&mut execution, id, START);
    assert_eq!(execution.settle(id, START), Settled::Ran { running: true });
    end(&mut execution, id, EndKind::Cut, START);
    assert_eq!(execution.settle(id, START), Settled::Ran { running: false });
    assert_eq!(execution.settle(id, START), Settled::Ran { running: false });
}

#[test]
fn settle_after_refusal_by_the_upstream_never_runs() {
    let mut execution = execution(1, 100);
    let id = attempt(Duration::ZERO);
    arrive(&mut execution, id, START);
    end(&mut execution, id, EndKind::Shed, START);
    assert_eq!(
        execution.settle(id, START),
        Settled::NeverRuns { was_queued: false }
    );
}

#[test]
fn settle_of_a_forgotten_attempt_is_unknown() {
    // Symptom: a booking that ran is told "not run", and the caller books again.
    // Sequence: the booking runs; its answer is lost; the table forgets it; it is settled late.
    // Cause: an attempt that is not in the table is taken for one that never came.
    let mut execution = execution(1, 100);
    let id = attempt(Duration::ZERO);
    arrive(&mut execution, id, START);
    end(&mut execution, id, ANSWERED, START);
    let late = START + HORIZON * 2;
    let other = attempt(HORIZON * 2);
    arrive(&mut execution, other, late);
    assert_eq!(execution.settle(id, late), Settled::Unknown);
    assert_eq!(arrive(&mut execution, id, late), Arrival::Forgotten);
}

#[test]
fn settle_is_unknown_for_what_was_forgotten_early() {
    // Symptom: as above, although the settlement comes in time.
    // Sequence: more attempts end within the horizon than the table may hold.
    // Cause: the bound on memory drops entries without noting up to when knowledge is incomplete.
    let mut execution = execution(1, 1);
    let ids: Vec<AttemptId> = (0..3).map(|i| attempt(Duration::from_secs(i))).collect();
    for id in &ids {
        arrive(&mut execution, *id, START);
        end(&mut execution, *id, ANSWERED, START);
    }
    assert_eq!(execution.settle(ids[0], START), Settled::Unknown);
    assert_eq!(execution.settle(ids[1], START), Settled::Unknown);
    assert_eq!(
        execution.settle(ids[2], START),
        Settled::Ran { running: false }
    );
}

#[test]
fn settle_is_unknown_for_an_id_from_a_clock_far_ahead() {
    // Symptom: as above.
    // Sequence: an entry node's clock is hours ahead; the attempt runs and is forgotten after two
    // horizons, when its time of issue still lies in the future.
    // Cause: only old times of issue are distrusted.
    let mut execution = execution(1, 100);
    let ahead = attempt(HORIZON * 60);
    assert_eq!(arrive(&mut execution, ahead, START), Arrival::Forgotten);
    assert_eq!(execution.settle(ahead, START), Settled::Unknown);
}

#[test]
fn arrive_twice_runs_once() {
    let mut execution = execution(2, 100);
    let id = attempt(Duration::ZERO);
    assert_eq!(arrive(&mut execution, id, START), Arrival::Run);
    assert_eq!(arrive(&mut execution, id, START), Arrival::Duplicate);
    end(&mut execution, id, ANSWERED, START);
    assert_eq!(arrive(&mut execution, id, START), Arrival::Duplicate);
}

#[test]
fn set_condition_draining_settles_waiting_attempts() {
    let mut execution = execution(1, 100);
    let (first, second) = (attempt(Duration::ZERO), attempt(Duration::ZERO));
    arrive(&mut execution, first, START);
    arrive(&mut execution, second, START);
    let actions = execution.set_condition(UpstreamCondition::Draining, START);
    assert!(matches!(actions[..], [AdmissionAction::Refuse(id, _)] if id == second));
    assert_eq!(
        execution.settle(second, START),
        Settled::NeverRuns { was_queued: false }
    );
}
