//! One class as admission keeps it.

use crate::{
    coordination::admission::status::EndWindow,
    protocol::attempt::AttemptId,
    state::{
        admission_queue::{ClassPlace, ClassQueue},
        class::Class,
        concurrency::service_time::ServiceTime,
        moment::Moment,
        names::ClassName,
    },
};
use std::time::Duration;

/// Time over which the work of a class is averaged.
const WORK_MEMORY: Duration = Duration::from_secs(1);
/// After this time without a call an estimate is not trusted to refuse the next one: nothing would
/// ever correct an estimate that is too high, and the class would be refused for good.
const TRIAL_AFTER: Duration = Duration::from_secs(1);

/// A class with its queue and what is known of its calls.
#[derive(Clone, Debug)]
pub(super) struct ClassState {
    pub name: ClassName,
    pub priority: u8,
    pub target: Duration,
    /// No longer published; kept until its calls have ended.
    pub retired: bool,
    pub queue: ClassQueue<AttemptId>,
    pub service: ServiceTime,
    pub ends: EndWindow,
    pub last_start: u64,
    last_run: Option<Moment>,
    work_micros: f64,
    work_updated: Moment,
}

impl ClassState {
    pub fn new(class: &Class) -> Self {
        Self {
            name: class.name.clone(),
            priority: class.priority,
            target: class.target.latency(),
            retired: false,
            queue: ClassQueue::default(),
            service: ServiceTime::default(),
            ends: EndWindow::default(),
            last_start: 0,
            last_run: None,
            work_micros: 0.0,
            work_updated: Moment::default(),
        }
    }

    pub fn revise(&mut self, class: &Class) {
        self.priority = class.priority;
        self.target = class.target.latency();
        self.retired = false;
    }

    pub fn place(&self) -> ClassPlace {
        ClassPlace {
            priority: self.priority,
            last_start: self.last_start,
            waiting: !self.queue.is_empty(),
        }
    }

    /// Takes in that a call starts which keeps a slot for `expected_micros`.
    pub fn count_start(&mut self, expected_micros: f64, now: Moment) {
        self.work_micros = self.work_at(now) + expected_micros;
        self.work_updated = now;
        self.last_run = Some(now);
    }

    /// Slots that this class keeps busy on average.
    pub fn busy_slots(&self, now: Moment) -> f64 {
        self.work_at(now) / (WORK_MEMORY.as_secs_f64() * 1e6)
    }

    /// Whether the estimate is too old to refuse a call that could start at once.
    pub fn needs_trial(&self, now: Moment) -> bool {
        self.last_run
            .is_none_or(|last| now.since(last) >= TRIAL_AFTER)
    }

    fn work_at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.work_updated).as_secs_f64();
        self.work_micros * (-elapsed / WORK_MEMORY.as_secs_f64()).exp()
    }
}
