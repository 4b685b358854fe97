//! What happens to calls that wait: they start, or are refused while there is time to go elsewhere.

use crate::{
    coordination::admission::{Admission, AdmissionAction, class_state::ClassState, elsewhere},
    protocol::{
        attempt::AttemptId,
        outcome::{Refusal, RefusalReason},
    },
    state::{
        admission_queue::{ClassPlace, QueuedCall},
        moment::Moment,
    },
};
use std::time::Duration;

/// Shortest and longest time between two looks at the waiting calls.
const REEXAMINE_AFTER: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(20));

impl Admission {
    pub(super) fn enqueue(
        &mut self,
        index: usize,
        id: AttemptId,
        time_left: Duration,
        now: Moment,
    ) {
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

    pub(super) fn fill_slots(&mut self, now: Moment) -> Vec<AdmissionAction> {
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

    pub(super) fn refuse_hopeless(&mut self, now: Moment) -> Vec<AdmissionAction> {
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

    pub(super) fn refuse(
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

    pub(super) fn refuse_all(&mut self, refusal: Refusal, now: Moment) -> Vec<AdmissionAction> {
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

    pub(super) fn set_wake(&mut self, now: Moment) {
        let (shortest, longest) = REEXAMINE_AFTER;
        let quarter = Duration::from_secs_f64(self.reported_micros(now) / 4e6);
        let look = now + quarter.clamp(shortest, longest);
        let rise = self.limit.next_rise(now);
        self.wake = Some(rise.map_or(look, |rise| rise.min(look)));
    }
}
