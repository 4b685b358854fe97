//! The executing side of a node: admission, the queue and the dispatch to the upstream beside it.

mod dispatch;
mod ticket;

use crate::{
    coordination::admission::{
        AdmissionAction,
        execution::{Arrival, Settled},
    },
    events::event::Event,
    node::core::NodeCore,
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        outcome::{
            AttemptResult, Outcome, Refusal, RefusalReason, RetryAdvice, Settlement, UnknownCause,
        },
    },
    state::moment::Moment,
};
use dispatch::dispatch_attempt;
pub use dispatch::saturate_micros;
use flume::{Receiver, Sender};
use std::{collections::HashMap, rc::Rc};
use ticket::Ticket;

/// What a waiting attempt is told.
#[derive(Clone, Copy, Debug)]
enum Admitted {
    Run,
    Refused(Refusal),
}

/// Ways to reach attempts that wait or run here.
#[derive(Default)]
pub struct ExecutingAttempts {
    waiting: HashMap<AttemptId, Sender<Admitted>>,
    running: HashMap<AttemptId, Sender<()>>,
    expiry_armed: Option<Moment>,
}

/// Runs an attempt at the upstream beside this node, or refuses it.
///
/// Dropping the future takes a waiting attempt out of the queue and closes the connection of a
/// running one.
pub async fn execute_attempt(core: Rc<NodeCore>, attempt: CallAttempt) -> AttemptResult {
    let outcome = execute(&core, attempt).await;
    let load = core.load_report();
    AttemptResult { outcome, load }
}

async fn execute(core: &Rc<NodeCore>, attempt: CallAttempt) -> Outcome {
    let arrived = core.timers.now();
    let id = attempt.id;
    let arrival =
        core.execution
            .borrow_mut()
            .arrive(id, &attempt.class, attempt.time_left, arrived);
    record_arrival(core, &attempt, arrival);
    let admitted = match arrival {
        Arrival::Run => Admitted::Run,
        Arrival::Queued => {
            let ticket = Ticket::new(core, id);
            let admitted = wait_for_slot(core, id).await;
            ticket.pass();
            admitted
        }
        Arrival::Refused(refusal) => Admitted::Refused(refusal),
        Arrival::Duplicate | Arrival::Forgotten => {
            return Outcome::Unknown(UnknownCause::NodeLost);
        }
    };
    match admitted {
        Admitted::Run => dispatch_attempt(core, Ticket::new(core, id), attempt, arrived).await,
        Admitted::Refused(refusal) => Outcome::NotRun(refusal),
    }
}

fn record_arrival(core: &NodeCore, attempt: &CallAttempt, arrival: Arrival) {
    let load = core.load_report();
    let number = attempt.id.number;
    let class = attempt.class.clone();
    let event = match arrival {
        Arrival::Run => Event::AttemptAdmitted {
            attempt: number,
            class,
            running: load.running,
            limit: load.limit,
        },
        Arrival::Queued => Event::AttemptQueued {
            attempt: number,
            class,
            queued: load.queued,
            running: load.running,
            limit: load.limit,
        },
        Arrival::Refused(refusal) => Event::AttemptRefused {
            attempt: number,
            class,
            reason: refusal.reason,
            queued: load.queued,
            running: load.running,
            limit: load.limit,
        },
        Arrival::Duplicate | Arrival::Forgotten => return,
    };
    core.recorder.record(event, Some(attempt.id.call));
}

async fn wait_for_slot(core: &Rc<NodeCore>, id: AttemptId) -> Admitted {
    let (tx, rx) = flume::bounded(1);
    core.executing.borrow_mut().waiting.insert(id, tx);
    arm_expiry(core);
    match rx.recv_async().await {
        Ok(admitted) => admitted,
        // The sender goes only with an answer or with the node itself.
        Err(_) => Admitted::Refused(Refusal {
            reason: RefusalReason::Draining,
            advice: RetryAdvice::Elsewhere,
        }),
    }
}

/// Tells waiting attempts what admission decided about them.
pub fn apply_actions(core: &Rc<NodeCore>, actions: Vec<AdmissionAction>) {
    for action in actions {
        let (id, admitted) = match action {
            AdmissionAction::Start(id) => (id, Admitted::Run),
            AdmissionAction::Refuse(id, refusal) => (id, Admitted::Refused(refusal)),
        };
        let waiting = core.executing.borrow_mut().waiting.remove(&id);
        if let Some(tx) = waiting {
            // A waiter that has gone meanwhile gives the slot back when its ticket is dropped.
            let _ = tx.send(admitted);
        }
    }
    arm_expiry(core);
}

/// Has the queue looked at again when admission next wants it.
fn arm_expiry(core: &Rc<NodeCore>) {
    let Some(due) = core.execution.borrow().admission().next_expiry() else {
        return;
    };
    {
        let mut executing = core.executing.borrow_mut();
        if executing.expiry_armed.is_some_and(|armed| armed <= due) {
            return;
        }
        executing.expiry_armed = Some(due);
    }
    let core = Rc::clone(core);
    let wait = core.timers.after(due.since(core.timers.now()));
    tokio::task::spawn_local(async move {
        let _ = wait.recv_async().await;
        core.executing.borrow_mut().expiry_armed = None;
        let actions = core.execution.borrow_mut().expire(core.timers.now());
        apply_actions(&core, actions);
    });
}

/// Cancels an attempt and says for certain what became of it.
pub fn cancel_attempt(core: &Rc<NodeCore>, id: AttemptId) -> Settlement {
    let settlement = settle_attempt(core, id);
    let running = core.executing.borrow_mut().running.remove(&id);
    if let Some(tx) = running {
        // A receiver that is gone means that the attempt has just ended by itself.
        let _ = tx.send(());
    }
    settlement
}

/// Says whether an attempt ran. One that never arrived, or still waits, never runs after this.
pub fn settle_attempt(core: &Rc<NodeCore>, id: AttemptId) -> Settlement {
    let settled = core.execution.borrow_mut().settle(id, core.timers.now());
    if let Settled::NeverRuns { was_queued: true } = settled {
        let cancelled = Refusal {
            reason: RefusalReason::Cancelled,
            advice: RetryAdvice::Elsewhere,
        };
        apply_actions(core, vec![AdmissionAction::Refuse(id, cancelled)]);
    }
    let settlement = settled.settlement();
    let event = Event::AttemptSettled {
        attempt: id.number,
        settlement,
    };
    core.recorder.record(event, Some(id.call));
    settlement
}

/// A channel on which a running attempt is cancelled.
fn register_running(core: &NodeCore, id: AttemptId) -> Receiver<()> {
    let (tx, rx) = flume::bounded(1);
    core.executing.borrow_mut().running.insert(id, tx);
    rx
}
