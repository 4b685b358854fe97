//! How the recent executions at an upstream ended.

use crate::state::{names::ClassName, timestamp::Timestamp};
use std::{collections::VecDeque, time::Duration};

/// Age at which evidence expires.
pub const EVIDENCE_AGE: Duration = Duration::from_secs(10);
/// Maximum number of executions that are kept as evidence. It bounds the cost of a judgement at upstreams with many requests.
const MAX_EVIDENCE: usize = 256;
/// Number of executions of a class from which on it counts as healthy.
const MIN_HEALTHY_EXECUTIONS: u32 = 3;
/// Number of failures up to which failures of a single class are attributed to it while another class has too few executions to
/// tell. With more, the upstream is judged by that class alone.
const MAX_FAILURES_OF_UNCLEAR_CLASS: u32 = 6;
/// Largest failed share of a class that counts as healthy.
const MAX_HEALTHY_SHARE: f64 = 0.2;

/// How an execution ended, or that it has lasted too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceKind {
    /// The upstream answered in time, and not with a server error.
    Answered,
    /// The upstream answered with a server error.
    Failed,
    /// The connection ended without a valid answer.
    Reset,
    /// The execution has lasted longer than the latency target of its class, and there is no answer.
    NoAnswer,
    /// The upstream answered after the latency target of the class.
    Slow,
}

impl EvidenceKind {
    /// Whether the execution counts as failed.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        !matches!(self, Self::Answered)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    at: Timestamp,
    class: ClassName,
    kind: EvidenceKind,
}

/// Executions since the upstream's failures began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureRun {
    /// Time of the first failure.
    pub since: Timestamp,
    /// Number of executions.
    pub executions: u32,
    /// Number of them that failed.
    pub failures: u32,
    /// Whether the failures are those of one class while another class is healthy, as far as its executions tell.
    pub is_class_failure: bool,
}

impl FailureRun {
    /// Share of the executions that failed.
    #[must_use]
    pub fn failed_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.executions.max(1))
    }
}

/// The recent executions at an upstream, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    entries: VecDeque<Entry>,
    /// Number of failures among the entries.
    failures: u32,
}

impl Evidence {
    /// Adds the end of an execution.
    pub fn record(&mut self, class: &ClassName, kind: EvidenceKind, now: Timestamp) {
        while self
            .entries
            .front()
            .is_some_and(|entry| now.since(entry.at) > EVIDENCE_AGE)
        {
            self.remove_oldest();
        }
        if self.entries.len() >= MAX_EVIDENCE {
            self.remove_oldest();
        }
        self.failures += u32::from(kind.is_failure());
        self.entries.push_back(Entry {
            at: now,
            class: class.clone(),
            kind,
        });
    }

    fn remove_oldest(&mut self) {
        let removed = self.entries.pop_front();
        if removed.is_some_and(|entry| entry.kind.is_failure()) {
            self.failures -= 1;
        }
    }

    /// Removes all evidence.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Number of failures that are kept. Some may have expired since the latest execution.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Finds the executions since the failures began: since the sum of (1 - `tolerated_share`) for each failure and
    /// -`tolerated_share` for each other execution was last zero (CUSUM). Executions from before a fault are thus left out;
    /// they would delay its detection. `None` if no failures prevail now.
    #[must_use]
    pub fn find_failure_run(&self, tolerated_share: f64, now: Timestamp) -> Option<FailureRun> {
        let mut sum = 0.0;
        let mut start = None;
        for (index, entry) in self.entries.iter().enumerate() {
            if now.since(entry.at) > EVIDENCE_AGE {
                continue;
            }
            let failed = f64::from(u8::from(entry.kind.is_failure()));
            sum += failed - tolerated_share;
            if sum <= 0.0 {
                sum = 0.0;
                start = None;
            } else if start.is_none() {
                start = Some(index);
            }
        }
        start.map(|index| self.summarise(index))
    }

    /// Counts the executions from an index on.
    fn summarise(&self, first: usize) -> FailureRun {
        let run = self.entries.range(first..);
        let mut classes: Vec<(&ClassName, u32, u32)> = Vec::new();
        for entry in run {
            let failed = u32::from(entry.kind.is_failure());
            match classes
                .iter_mut()
                .find(|(class, ..)| **class == entry.class)
            {
                Some((_, executions, failures)) => {
                    *executions += 1;
                    *failures += failed;
                }
                None => classes.push((&entry.class, 1, failed)),
            }
        }
        let failing = classes.iter().filter(|(_, _, failures)| *failures > 0);
        let is_healthy = |(_, executions, failures): &(&ClassName, u32, u32)| {
            *executions >= MIN_HEALTHY_EXECUTIONS
                && f64::from(*failures) <= f64::from(*executions) * MAX_HEALTHY_SHARE
        };
        let has_healthy_class = classes.iter().any(is_healthy);
        let failing = failing.filter(|counts| !is_healthy(counts)).count();
        let failures: u32 = classes.iter().map(|(_, _, failures)| failures).sum();
        let is_unclear = failures <= MAX_FAILURES_OF_UNCLEAR_CLASS && self.has_several_classes();
        FailureRun {
            since: self.entries[first].at,
            executions: classes.iter().map(|(_, executions, _)| executions).sum(),
            failures,
            is_class_failure: failing == 1 && (has_healthy_class || is_unclear),
        }
    }

    fn has_several_classes(&self) -> bool {
        let first = self.entries.front();
        first.is_some_and(|first| self.entries.iter().any(|entry| entry.class != first.class))
    }
}
