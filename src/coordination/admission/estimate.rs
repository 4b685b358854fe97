//! How long a call would wait and run, as far as can be told now.

use crate::{
    coordination::admission::{Admission, class_state::ClassState},
    state::{admission_queue::TURN_PERIOD, moment::Moment},
};
use std::time::Duration;

impl Admission {
    /// Estimated time at the upstream of a call of that class started now.
    pub(super) fn estimate_service(&self, class: &ClassState, now: Moment) -> Duration {
        Duration::from_secs_f64(self.service_micros(class, now) / 1e6)
    }

    /// Estimated wait of a call of the class at `index` with `ahead` calls of its class before it.
    ///
    /// Ahead of it are the calls of higher classes, its own and, in turns, those of equal classes;
    /// higher calls that arrive meanwhile take the share of the slots that they took lately.
    pub(super) fn estimate_wait(&self, index: usize, ahead: usize, now: Moment) -> Duration {
        let own = &self.classes[index];
        let mut work = self.service_micros(own, now) * as_float(ahead + 1);
        let mut higher_slots = 0.0;
        for (i, other) in self.classes.iter().enumerate() {
            let calls = if other.priority > own.priority {
                higher_slots += other.busy_slots(now);
                other.queue.len()
            } else if other.priority == own.priority && i != index {
                other.queue.len().min(ahead + 1)
            } else {
                0
            };
            if calls > 0 {
                work += self.service_micros(other, now) * as_float(calls);
            }
        }
        let limit = f64::from(self.limit.current(now));
        let least = limit / f64::from(TURN_PERIOD);
        let slots = (limit - higher_slots).max(least);
        Duration::from_secs_f64(work / slots / 1e6)
    }

    /// Mean service time of the class, raised by the age of the calls in progress.
    pub(super) fn service_micros(&self, class: &ClassState, now: Moment) -> f64 {
        if class.service.is_known() {
            class.service.mean_micros() * self.running.slowdown(now)
        } else {
            self.running.mean_age_micros(now)
        }
    }

    /// Peak-sensitive time of one call over all classes, for the load report, in microseconds.
    pub(super) fn reported_micros(&self, now: Moment) -> f64 {
        let mut weighted = 0.0;
        let mut weights = 0.0;
        for class in self.classes.iter().filter(|class| class.service.is_known()) {
            let weight = class.busy_slots(now).max(f64::MIN_POSITIVE);
            weighted += class.service.peak_micros(now) * weight;
            weights += weight;
        }
        let ended = if weights > 0.0 {
            weighted / weights
        } else {
            0.0
        };
        ended.max(self.running.mean_age_micros(now))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "queue lengths stay far below 2^52"
)]
pub(super) fn as_float(count: usize) -> f64 {
    count as f64
}
