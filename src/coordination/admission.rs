//! Admission at the executing node: run a call now, let it wait, or refuse it at once.
//!
//! The node beside an upstream is the only one that knows how many calls the upstream has at this
//! instant. Nothing here reads a clock; each event carries its moment, and what has to be done about
//! calls that waited comes back as actions.

pub mod action;
mod class_state;
mod estimate;
pub mod execution;
mod running;
pub mod settings;
pub mod status;

pub use action::{AdmissionAction, CancelResult, End, EndKind, Offer};
pub use execution::{Arrival, Execution, Settled};
pub use settings::AdmissionSettings;
pub use status::{AdmissionStatus, ClassStatus};

use crate::{
    coordination::admission::{
        class_state::ClassState,
        running::{RunningCall, RunningCalls},
    },
    protocol::{
        attempt::AttemptId,
        load_report::{LoadReport, UpstreamCondition},
        outcome::{Refusal, RefusalReason, RetryAdvice},
    },
    state::{
        admission_queue::{ClassChooser, ClassPlace, QueuedCall},
        class::Class,
        concurrency::limit::ConcurrencyLimit,
        moment::Moment,
        names::ClassName,
    },
};
use std::time::Duration;

/// Share of a new end in the error rate.
const ERROR_WEIGHT: f64 = 1.0 / 32.0;
/// Shortest and longest time between two looks at the waiting calls.
const REEXAMINE_AFTER: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(20));

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

    /// The load as told to other nodes. Its latency is the time at the upstream, without the wait.
    #[must_use]
    pub fn load_report(&self, now: Moment) -> LoadReport {
        LoadReport {
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            queued: u16::try_from(self.queued()).unwrap_or(u16::MAX),
            limit: self.limit.current(now),
            latency_micros: whole(self.reported_micros(now)),
            errors_permille: u16::try_from(whole(self.error_rate * 1000.0)).unwrap_or(1000),
            condition: self.shown_condition(now),
        }
    }

    /// Admission as shown to operators.
    #[must_use]
    pub fn snapshot(&self, now: Moment) -> AdmissionStatus {
        AdmissionStatus {
            running: self.running.len(),
            limit: self.limit.current(now),
            condition: self.shown_condition(now),
            slowdown: self.running.slowdown(now),
            classes: self
                .classes
                .iter()
                .map(|class| self.class_status(class, now))
                .collect(),
        }
    }

    fn class_status(&self, class: &ClassState, now: Moment) -> ClassStatus {
        let counts = class.ends.counts(now);
        let share = f64::from(u32::try_from(counts.on_target).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(counts.answered).unwrap_or(u32::MAX));
        ClassStatus {
            name: class.name.clone(),
            queued: class.queue.len(),
            service_micros: u64::from(whole(self.service_micros(class, now))),
            answered: counts.answered,
            on_target: counts.on_target,
            refused: counts.refused,
            share_on_target: (counts.answered > 0).then_some(share),
        }
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
        } else if total > class.target {
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

    fn enqueue(&mut self, index: usize, id: AttemptId, time_left: Duration, now: Moment) {
        let class = &mut self.classes[index];
        class.queue.push(QueuedCall {
            id,
            offered: now,
            deadline: now + time_left,
            due: now + time_left.min(class.target),
        });
        if self.next_expiry().is_none() || self.queued() == 1 {
            self.set_wake(now);
        }
    }

    fn learn(&mut self, call: &RunningCall, end: End, full: bool, now: Moment) {
        let running = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        let Some(class) = self.classes.iter_mut().find(|c| c.name == call.class) else {
            return;
        };
        let mut failed = true;
        match end.kind {
            EndKind::Answered {
                server_error: false,
            } => {
                failed = false;
                class.service.observe(end.took, now);
                let on_target = now.since(call.offered) <= class.target;
                class.ends.count_answer(on_target, now);
                self.limit.observe(class.service.slowness(), full, now);
            }
            EndKind::Answered { server_error: true } | EndKind::Cut => {
                class.service.observe_at_least(end.took, now);
            }
            EndKind::TimedOut | EndKind::Cancelled => {
                failed = end.kind == EndKind::TimedOut;
                class.service.observe_at_least(end.took, now);
                self.limit.observe_lost(class.service.slowness(), now);
            }
            EndKind::Shed => {
                failed = false;
                self.limit.observe_shed(running, now);
            }
            EndKind::NotSent => {}
        }
        self.error_rate += (f64::from(u8::from(failed)) - self.error_rate) * ERROR_WEIGHT;
    }

    fn fill_slots(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.running.len() < usize::from(self.limit.current(now)) {
            let places: Vec<ClassPlace> = self.classes.iter().map(ClassState::place).collect();
            let Some((index, number)) = self.chooser.choose(&places) else {
                break;
            };
            let Some(call) = self.classes[index].queue.pop() else {
                break;
            };
            let service = self.estimate_service(&self.classes[index], now);
            if now + service > call.deadline {
                actions.push(self.refuse(index, &call, now));
                continue;
            }
            self.classes[index].last_start = number;
            self.start(index, call.id, call.offered, now);
            actions.push(AdmissionAction::Start(call.id));
        }
        self.classes
            .retain(|class| !class.retired || !class.queue.is_empty());
        actions
    }

    fn refuse_hopeless(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let slow = self.running.slowdown(now) > 1.0;
        let mut actions = Vec::new();
        for index in 0..self.classes.len() {
            let mut queue = std::mem::take(&mut self.classes[index].queue);
            let service = self.estimate_service(&self.classes[index], now);
            let hopeless = queue.sift(|ahead, call| {
                let end = now + self.estimate_wait(index, ahead, now) + service;
                end <= if slow { call.due } else { call.deadline }
            });
            self.classes[index].queue = queue;
            for call in hopeless {
                actions.push(self.refuse(index, &call, now));
            }
        }
        actions
    }

    fn refuse(
        &mut self,
        index: usize,
        call: &QueuedCall<AttemptId>,
        now: Moment,
    ) -> AdmissionAction {
        self.classes[index].ends.count_refusal(now);
        let reason = if now >= call.deadline {
            RefusalReason::DeadlinePassed
        } else {
            RefusalReason::DeadlineTooShort
        };
        AdmissionAction::Refuse(call.id, elsewhere(reason))
    }

    fn refuse_all(&mut self, refusal: Refusal, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for class in &mut self.classes {
            while let Some(call) = class.queue.pop() {
                class.ends.count_refusal(now);
                actions.push(AdmissionAction::Refuse(call.id, refusal));
            }
        }
        self.classes.retain(|class| !class.retired);
        actions
    }

    fn set_wake(&mut self, now: Moment) {
        let (shortest, longest) = REEXAMINE_AFTER;
        let quarter = Duration::from_secs_f64(self.reported_micros(now) / 4e6);
        let look = now + quarter.clamp(shortest, longest);
        let rise = self.limit.next_rise(now);
        self.wake = Some(rise.map_or(look, |rise| rise.min(look)));
    }

    fn closed_refusal(&self) -> Option<Refusal> {
        match self.condition {
            UpstreamCondition::Down => Some(elsewhere(RefusalReason::UpstreamDown)),
            UpstreamCondition::Draining => Some(elsewhere(RefusalReason::Draining)),
            UpstreamCondition::Warming | UpstreamCondition::Serving => None,
        }
    }

    fn shown_condition(&self, now: Moment) -> UpstreamCondition {
        match self.condition {
            UpstreamCondition::Serving if self.limit.is_warming(now) => UpstreamCondition::Warming,
            UpstreamCondition::Warming if !self.limit.is_warming(now) => UpstreamCondition::Serving,
            condition => condition,
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
