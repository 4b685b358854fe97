//! The life of attempts at the executing node: admission, and what can be told of each afterwards.

use crate::{
    coordination::admission::{Admission, AdmissionAction, CancelResult, End, EndKind, Offer},
    protocol::{
        attempt::AttemptId,
        load_report::UpstreamCondition,
        outcome::{Refusal, RefusalReason, RetryAdvice, Settlement},
    },
    state::{
        attempts::{AttemptBounds, AttemptState, AttemptTable, Guard, Knowledge},
        class::Class,
        moment::Moment,
        names::ClassName,
    },
};
use std::time::Duration;

/// The decision on an attempt that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Send it to the upstream now.
    Run,
    /// It waits; an [`AdmissionAction`] will follow.
    Queued,
    /// It does not run, now or later.
    Refused(Refusal),
    /// It arrived before; whoever waits for the first arrival gets its result. Nothing is to be done.
    Duplicate,
    /// It is not run now, but may have been run and forgotten: its outcome is unknown.
    Forgotten,
}

/// What settling an attempt found and did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It never runs.
    NeverRuns {
        /// It waited until now: whoever waits for its result has to be told.
        was_queued: bool,
    },
    /// It was handed to the upstream.
    Ran {
        /// It is still there. To cancel it, its connection is closed and its end reported.
        running: bool,
    },
    /// It can't be told.
    Unknown,
}

impl Settled {
    /// The word for the node that asked.
    #[must_use]
    pub fn settlement(self) -> Settlement {
        match self {
            Self::NeverRuns { .. } => Settlement::NeverRuns,
            Self::Ran { .. } => Settlement::Ran,
            Self::Unknown => Settlement::Unknown,
        }
    }
}

/// Admission with the table of attempts, always changed together.
#[derive(Clone, Debug)]
pub struct Execution {
    admission: Admission,
    attempts: AttemptTable<AttemptId>,
}

impl Execution {
    /// Puts `admission` together with an empty table. `origin` is the time since the Unix epoch at
    /// [`Moment`] 0.
    #[must_use]
    pub fn new(admission: Admission, bounds: AttemptBounds, origin: Duration) -> Self {
        Self {
            admission,
            attempts: AttemptTable::new(bounds, origin),
        }
    }

    /// The same with one rule of the table taken out, for tests of the model check.
    #[doc(hidden)]
    #[must_use]
    pub fn without(self, guard: Guard) -> Self {
        Self {
            attempts: self.attempts.without(guard),
            ..self
        }
    }

    /// Admission, for reports and status.
    #[must_use]
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// What is known of an attempt.
    #[must_use]
    pub fn look_up(&self, id: AttemptId, now: Moment) -> Knowledge {
        self.attempts.look_up(id, issue_time(id), now)
    }

    /// Puts revised classes in force.
    pub fn set_classes(&mut self, classes: &[Class]) {
        self.admission.set_classes(classes);
    }

    /// Takes in how many calls the upstream can run at once.
    pub fn set_slots(&mut self, slots: u16, now: Moment) -> Vec<AdmissionAction> {
        let actions = self.admission.set_slots(slots, now);
        self.record_all(&actions, now);
        actions
    }

    /// Takes in whether the upstream takes new work.
    pub fn set_condition(
        &mut self,
        condition: UpstreamCondition,
        now: Moment,
    ) -> Vec<AdmissionAction> {
        let actions = self.admission.set_condition(condition, now);
        self.record_all(&actions, now);
        actions
    }

    /// Decides on an attempt that arrived.
    pub fn arrive(
        &mut self,
        id: AttemptId,
        class: &ClassName,
        time_left: Duration,
        now: Moment,
    ) -> Arrival {
        match self.look_up(id, now) {
            Knowledge::Known(AttemptState::NeverRuns) => Arrival::Refused(settled_before()),
            Knowledge::Known(_) => Arrival::Duplicate,
            Knowledge::Forgotten => Arrival::Forgotten,
            Knowledge::Unseen => self.offer(id, class, time_left, now),
        }
    }

    /// Takes in that an attempt at the upstream ended.
    pub fn finish(&mut self, id: AttemptId, end: End, now: Moment) -> Vec<AdmissionAction> {
        let state = match end.kind {
            EndKind::Shed | EndKind::NotSent => AttemptState::NeverRuns,
            EndKind::Answered { .. } | EndKind::Cut | EndKind::TimedOut | EndKind::Cancelled => {
                AttemptState::Ended
            }
        };
        self.record(id, state, now);
        let actions = self.admission.finish(id, end, now);
        self.record_all(&actions, now);
        actions
    }

    /// Makes sure that an attempt which did not run yet never will, and tells which it is. Also used
    /// to cancel.
    ///
    /// An attempt that was not seen is marked, since it may still be on its way: without the mark it
    /// would run after it was called "not run".
    pub fn settle(&mut self, id: AttemptId, now: Moment) -> Settled {
        match self.look_up(id, now) {
            Knowledge::Known(AttemptState::Queued) => self.settle_queued(id, now),
            Knowledge::Known(AttemptState::Dispatched) => Settled::Ran { running: true },
            Knowledge::Known(AttemptState::Ended) => Settled::Ran { running: false },
            Knowledge::Known(AttemptState::NeverRuns) => Settled::NeverRuns { was_queued: false },
            Knowledge::Unseen => {
                if self.attempts.has(Guard::RememberSettled) {
                    self.record(id, AttemptState::NeverRuns, now);
                }
                Settled::NeverRuns { was_queued: false }
            }
            Knowledge::Forgotten => Settled::Unknown,
        }
    }

    /// Looks at the waiting attempts again.
    pub fn expire(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let actions = self.admission.expire(now);
        self.record_all(&actions, now);
        actions
    }

    fn offer(
        &mut self,
        id: AttemptId,
        class: &ClassName,
        time_left: Duration,
        now: Moment,
    ) -> Arrival {
        let offer = self.admission.offer(id, class, time_left, now);
        let (state, arrival) = match offer {
            Offer::Run => (AttemptState::Dispatched, Arrival::Run),
            Offer::Queued => (AttemptState::Queued, Arrival::Queued),
            Offer::Refused(refusal) => (AttemptState::NeverRuns, Arrival::Refused(refusal)),
        };
        self.record(id, state, now);
        arrival
    }

    fn settle_queued(&mut self, id: AttemptId, now: Moment) -> Settled {
        if !self.attempts.has(Guard::LeaveQueue) {
            return Settled::NeverRuns { was_queued: true };
        }
        match self.admission.cancel(id, now) {
            CancelResult::Running => Settled::Ran { running: true },
            CancelResult::WasQueued | CancelResult::Unknown => {
                self.record(id, AttemptState::NeverRuns, now);
                Settled::NeverRuns { was_queued: true }
            }
        }
    }

    fn record_all(&mut self, actions: &[AdmissionAction], now: Moment) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.record(*id, AttemptState::Dispatched, now),
                AdmissionAction::Refuse(id, _) => self.record(*id, AttemptState::NeverRuns, now),
            }
        }
    }

    fn record(&mut self, id: AttemptId, state: AttemptState, now: Moment) {
        self.attempts.record(id, issue_time(id), state, now);
        let guard = match state {
            AttemptState::Ended => Guard::RememberEnded,
            AttemptState::NeverRuns => Guard::RememberRefused,
            AttemptState::Queued | AttemptState::Dispatched => return,
        };
        if !self.attempts.has(guard) {
            self.attempts.erase(id);
        }
    }
}

fn settled_before() -> Refusal {
    Refusal {
        reason: RefusalReason::Cancelled,
        advice: RetryAdvice::Never,
    }
}

/// Time of issue of the call, since the Unix epoch; zero, and so long past, if the id has none.
fn issue_time(id: AttemptId) -> Duration {
    let timestamp = id.call.0.get_timestamp();
    timestamp.map_or(Duration::ZERO, |timestamp| {
        let (seconds, nanos) = timestamp.to_unix();
        Duration::new(seconds, nanos)
    })
}
