//! Admission at the executing node: run a call now, let it wait, or refuse it at once.
//!
//! The node beside an upstream is the only one that knows how many calls the upstream has at this
//! instant. Nothing here reads a clock; each event carries its moment, and what has to be done about
//! calls that waited comes back as actions.

pub mod action;
mod class_state;
mod estimate;
pub mod execution;
mod learning;
mod report;
mod running;
pub mod settings;
pub mod status;
mod waiting;

pub use self::{
    action::{AdmissionAction, CancelResult, End, EndKind, Offer},
    execution::{Arrival, Execution, Settled},
    settings::AdmissionSettings,
    status::{AdmissionStatus, ClassStatus},
};

use crate::{
    coordination::admission::{
        class_state::ClassState,
        running::{RunningCall, RunningCalls},
    },
    protocol::{
        attempt::AttemptId,
        load_report::UpstreamCondition,
        outcome::{Refusal, RefusalReason, RetryAdvice},
    },
    state::{
        admission_queue::ClassChooser, class::Class, concurrency::limit::ConcurrencyLimit,
        moment::Moment, names::ClassName,
    },
};
use std::time::Duration;

/// Share of a class's target that the expected wait and run may take up when a call is queued. The
/// rest is for chance: without it a full queue meets the target only half of the time, and calls
/// that were accepted have to be refused late.
const QUEUE_SHARE: f64 = 0.6;

/// Admission at one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    condition: UpstreamCondition,
    limit: ConcurrencyLimit,
    classes: Vec<ClassState>,
    chooser: ClassChooser,
    running: RunningCalls,
    error_rate: f64,
    wake: Option<Moment>,
}

impl Admission {
    /// Admission for an upstream that has not announced itself yet: everything is refused.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        let limit = ConcurrencyLimit::new(
            settings.rule,
            settings.slots,
            settings.ramp,
            settings.shed_hold,
        );
        Self {
            settings,
            condition: UpstreamCondition::Down,
            limit,
            classes: Vec::new(),
            chooser: ClassChooser::default(),
            running: RunningCalls::default(),
            error_rate: 0.0,
            wake: None,
        }
    }

    /// Puts revised classes in force. Waiting calls keep their place and their due time, also those
    /// of a class that is gone; only new calls of such a class are refused.
    pub fn set_classes(&mut self, classes: &[Class]) {
        let mut old = std::mem::take(&mut self.classes);
        for class in classes {
            let known = old.iter().position(|state| state.name == class.name);
            let state = match known {
                Some(i) => {
                    let mut state = old.remove(i);
                    state.revise(class);
                    state
                }
                None => ClassState::new(class),
            };
            self.classes.push(state);
        }
        for mut state in old {
            state.retired = true;
            if !state.queue.is_empty() {
                self.classes.push(state);
            }
        }
    }

    /// Takes in how many calls the upstream can run at once. Calls beyond a lowered number end as
    /// they would have.
    pub fn set_slots(&mut self, slots: u16, now: Moment) -> Vec<AdmissionAction> {
        self.settings.slots = slots.max(1);
        self.limit.set_slots(slots);
        self.expire(now)
    }

    /// Takes in whether the upstream takes new work. If not, waiting calls are refused at once, so
    /// that their callers can go elsewhere while there is time.
    pub fn set_condition(
        &mut self,
        condition: UpstreamCondition,
        now: Moment,
    ) -> Vec<AdmissionAction> {
        let was = std::mem::replace(&mut self.condition, condition);
        let cold = match condition {
            UpstreamCondition::Warming => was != UpstreamCondition::Warming,
            UpstreamCondition::Serving => !self.limit.has_ramped(),
            UpstreamCondition::Down | UpstreamCondition::Draining => false,
        };
        if cold {
            self.limit.start_ramp(now);
        }
        match self.closed_refusal() {
            Some(refusal) => self.refuse_all(refusal, now),
            None => self.expire(now),
        }
    }

    /// Decides on a new call.
    ///
    /// NB: an attempt that is already here is reported as queued and nothing changes, since neither
    /// running it twice nor calling it refused would be right.
    pub fn offer(
        &mut self,
        id: AttemptId,
        class: &ClassName,
        time_left: Duration,
        now: Moment,
    ) -> Offer {
        if let Some(refusal) = self.closed_refusal() {
            return Offer::Refused(refusal);
        }
        let published = |state: &ClassState| !state.retired && state.name == *class;
        let Some(index) = self.classes.iter().position(published) else {
            return Offer::Refused(elsewhere(RefusalReason::UnknownClass));
        };
        if self.running.contains(id) || self.is_queued(id) {
            return Offer::Queued;
        }
        let decision = self.decide(index, time_left, now);
        match decision {
            Offer::Run => self.start(index, id, now, now),
            Offer::Queued => self.enqueue(index, id, time_left, now),
            Offer::Refused(_) => self.classes[index].ends.count_refusal(now),
        }
        decision
    }

    /// Takes in that a call at the upstream ended, and fills the slot.
    pub fn finish(&mut self, id: AttemptId, end: End, now: Moment) -> Vec<AdmissionAction> {
        let full = self.running.len() >= usize::from(self.limit.current(now));
        if let Some(call) = self.running.remove(id) {
            self.learn(&call, end, full, now);
        }
        self.fill_slots(now)
    }

    /// Takes a waiting call out.
    pub fn cancel(&mut self, id: AttemptId, _now: Moment) -> CancelResult {
        if self.running.contains(id) {
            return CancelResult::Running;
        }
        let removed = self
            .classes
            .iter_mut()
            .any(|class| class.queue.remove(id).is_some());
        if removed {
            CancelResult::WasQueued
        } else {
            CancelResult::Unknown
        }
    }

    /// Looks at the waiting calls again: refuses those that can no longer make it, while there is
    /// time to go elsewhere, and starts others if the limit has risen.
    pub fn expire(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = self.refuse_hopeless(now);
        actions.extend(self.fill_slots(now));
        self.set_wake(now);
        actions
    }

    /// When [`Self::expire`] should be called, if any call waits.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Moment> {
        self.wake.filter(|_| self.queued() > 0)
    }

    fn decide(&self, index: usize, time_left: Duration, now: Moment) -> Offer {
        let class = &self.classes[index];
        let service = self.estimate_service(class, now);
        let free = self.running.len() < usize::from(self.limit.current(now));
        if free && self.queued() == 0 {
            let fits = service <= time_left || class.needs_trial(now);
            return if fits && !time_left.is_zero() {
                Offer::Run
            } else {
                Offer::Refused(too_short(class, time_left))
            };
        }
        if class.queue.len() >= self.settings.queue_limit {
            return Offer::Refused(elsewhere(RefusalReason::QueueFull));
        }
        let total = self.estimate_wait(index, class.queue.len(), now) + service;
        if total > time_left {
            Offer::Refused(too_short(class, time_left))
        } else if total > class.target.mul_f64(QUEUE_SHARE) {
            Offer::Refused(elsewhere(RefusalReason::QueueFull))
        } else {
            Offer::Queued
        }
    }

    fn start(&mut self, index: usize, id: AttemptId, offered: Moment, now: Moment) {
        let class = &mut self.classes[index];
        let expected = class.service.mean_micros();
        class.count_start(expected, now);
        let call = RunningCall {
            class: class.name.clone(),
            offered,
            started: now,
            expected_micros: u64::from(whole(expected)),
        };
        self.running.insert(id, call);
    }

    fn closed_refusal(&self) -> Option<Refusal> {
        match self.condition {
            UpstreamCondition::Down => Some(elsewhere(RefusalReason::UpstreamDown)),
            UpstreamCondition::Draining => Some(elsewhere(RefusalReason::Draining)),
            UpstreamCondition::Warming | UpstreamCondition::Serving => None,
        }
    }

    fn queued(&self) -> usize {
        self.classes.iter().map(|class| class.queue.len()).sum()
    }

    fn is_queued(&self, id: AttemptId) -> bool {
        self.classes.iter().any(|class| class.queue.contains(id))
    }
}

fn elsewhere(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        advice: RetryAdvice::Elsewhere,
    }
}

/// Another upstream can help only if the time left would do for one that is well.
fn too_short(class: &ClassState, time_left: Duration) -> Refusal {
    let well = Duration::from_secs_f64(class.service.baseline_micros() / 1e6);
    let advice = if time_left.is_zero() || time_left < well {
        RetryAdvice::Never
    } else {
        RetryAdvice::Elsewhere
    };
    Refusal {
        reason: RefusalReason::DeadlineTooShort,
        advice,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of u32 before the cast"
)]
fn whole(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
