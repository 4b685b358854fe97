//! The executions that are running at an upstream, and which of them have lasted too long.

use crate::state::{names::ClassName, timestamp::Timestamp};
use std::time::Duration;

/// Share of its time limit after which an execution that is given up without an answer counts as not answered. Entry nodes hedge an
/// idempotent request after 0.6 of its latency target and drop it as soon as the second upstream answers, usually before the limit.
const ABANDONED_SHARE: f64 = 0.5;

/// Number that identifies an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutionNumber(pub u64);

/// Number that identifies a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialNumber(pub u64);

/// The start of an execution.
#[derive(Clone, Debug)]
pub struct ExecutionStart {
    /// Class of the request.
    pub class: ClassName,
    /// Latency target of the class; `None` if it is not known.
    pub target: Option<Duration>,
    /// Slowdown of the VM, in percent of the time at full speed.
    pub slowdown_percent: u16,
    /// The trial that the execution is, if it is one.
    pub trial: Option<TrialNumber>,
}

/// An execution that is running.
#[derive(Clone, Debug)]
pub struct Execution {
    number: ExecutionNumber,
    /// How it started.
    pub start: ExecutionStart,
    started: Timestamp,
    /// The period of the upstream's health (see [`super::UpstreamHealth`]) in which it started.
    pub period: u64,
    /// Whether it counts as not answered already.
    pub is_overdue: bool,
}

impl Execution {
    /// The time after which the execution counts as not answered: the latency target, longer by the slowdown that was known at the
    /// start or is known now.
    fn time_limit(&self, slowdown_percent: u16) -> Option<Duration> {
        let percent = self.start.slowdown_percent.max(slowdown_percent).max(100);
        let target = self.start.target?;
        Some(target.mul_f64(f64::from(percent) / 100.0))
    }

    fn due(&self, slowdown_percent: u16) -> Option<Timestamp> {
        Some(self.started + self.time_limit(slowdown_percent)?)
    }

    /// Whether it has lasted longer than its time limit.
    pub fn is_late(&self, slowdown_percent: u16, now: Timestamp) -> bool {
        self.due(slowdown_percent).is_some_and(|due| due < now)
    }

    /// Whether it counts as not answered if it is given up now.
    pub fn is_abandoned_late(&self, slowdown_percent: u16, now: Timestamp) -> bool {
        self.time_limit(slowdown_percent)
            .is_some_and(|limit| now.since(self.started) >= limit.mul_f64(ABANDONED_SHARE))
    }
}

/// The executions that are running at an upstream, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    running: Vec<Execution>,
    next_number: u64,
}

impl Executions {
    /// Adds an execution.
    pub fn begin(&mut self, start: ExecutionStart, period: u64, now: Timestamp) -> ExecutionNumber {
        let number = ExecutionNumber(self.next_number);
        self.next_number += 1;
        self.running.push(Execution {
            number,
            start,
            started: now,
            period,
            is_overdue: false,
        });
        number
    }

    /// Removes an execution.
    pub fn end(&mut self, number: ExecutionNumber) -> Option<Execution> {
        let index = self
            .running
            .iter()
            .position(|execution| execution.number == number)?;
        Some(self.running.remove(index))
    }

    /// Marks the executions that have reached their time limit and were not marked before, and returns them.
    pub fn mark_overdue(&mut self, slowdown_percent: u16, now: Timestamp) -> Vec<Execution> {
        let mut overdue = Vec::new();
        for execution in &mut self.running {
            let is_due = execution
                .due(slowdown_percent)
                .is_some_and(|due| due <= now);
            if is_due && !execution.is_overdue {
                execution.is_overdue = true;
                overdue.push(execution.clone());
            }
        }
        overdue
    }

    /// When the next execution reaches its time limit; `None` if none will.
    #[must_use]
    pub fn next_due(&self, slowdown_percent: u16) -> Option<Timestamp> {
        let waiting = self.running.iter().filter(|one| !one.is_overdue);
        waiting
            .filter_map(|execution| execution.due(slowdown_percent))
            .min()
    }
}
