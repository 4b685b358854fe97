//! Admission as told to other nodes and shown to operators.

use crate::{
    coordination::admission::{
        Admission, AdmissionStatus, ClassStatus, class_state::ClassState, whole,
    },
    protocol::load_report::{LoadReport, UpstreamCondition},
    state::moment::Moment,
};

impl Admission {
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

    fn shown_condition(&self, now: Moment) -> UpstreamCondition {
        match self.condition {
            UpstreamCondition::Serving if self.limit.is_warming(now) => UpstreamCondition::Warming,
            UpstreamCondition::Warming if !self.limit.is_warming(now) => UpstreamCondition::Serving,
            condition => condition,
        }
    }
}
