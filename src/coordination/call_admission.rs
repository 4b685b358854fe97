//! Refusal of requests whose calls to other services will be rejected, before they run.
//!
//! Load pattern: all upstreams of a service reject half of what arrives, and the upstream that makes the calls has more requests than
//! it can execute. Most executions of the calling class fail after their work, and requests that would succeed wait behind them.
//!
//! A class is refused only while all of this holds:
//! - a whole round of requests waits at the upstream, so that the slot goes to another request;
//! - a service that the class calls accepts at most half of the recent calls, which start at this node;
//! - recent executions of the class fail. The number of calls is only an upper bound for a class, since calls don't say which
//!   execution makes them;
//! - the class has its minimum share of the recent starts.
//!
//! One request in ten passes in any case.

use crate::state::{
    names::{ClassName, ServiceName},
    timestamp::Timestamp,
};
use std::{collections::HashMap, time::Duration};

/// Time constant of all counts. A change of the service shows within a second.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Minimum number of recent calls or executions to judge by.
const MIN_COUNT: f64 = 4.0;
/// Nothing is refused while a larger share of the calls is accepted.
const MAX_ACCEPTED_SHARE: f64 = 0.5;
/// Nothing is refused while a smaller share of the executions of the class fails.
const MIN_FAILED_SHARE: f64 = 0.4;
/// Number of calls per execution from which a class counts as calling a service.
const MIN_CALLS: f64 = 0.5;
/// Nothing is refused while a class has fewer starts than this share of the average of the classes.
const MIN_START_SHARE: f64 = 0.5;
/// One in this many requests passes that would be refused.
const PASSING_ONE_IN: u32 = 10;
/// Time without a reason for a refusal after which a class counts as admitted again.
const VERDICT_MEMORY: Duration = Duration::from_secs(2);

/// Decision on a request before it runs or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallDecision {
    /// Whether the request is refused.
    pub is_refused: bool,
    /// Whether requests of the class are refused from now on, if that has changed.
    pub change: Option<bool>,
}

/// Exponentially decaying counts of events and of those that went well.
#[derive(Clone, Copy, Debug)]
struct RecentCounts {
    all: f64,
    good: f64,
    updated: Timestamp,
}

impl RecentCounts {
    const fn new(now: Timestamp) -> Self {
        Self {
            all: 0.0,
            good: 0.0,
            updated: now,
        }
    }

    fn decay(self, now: Timestamp) -> Self {
        let age = now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let factor = (-age).exp();
        Self {
            all: self.all * factor,
            good: self.good * factor,
            updated: now,
        }
    }

    fn record(&mut self, is_good: bool, now: Timestamp) {
        *self = self.decay(now);
        self.all += 1.0;
        self.good += if is_good { 1.0 } else { 0.0 };
    }

    /// Share of the events that went well; `None` if there were too few.
    fn good_share(self, now: Timestamp) -> Option<f64> {
        let counts = self.decay(now);
        (counts.all >= MIN_COUNT).then(|| counts.good / counts.all)
    }
}

/// Recent executions of a class.
#[derive(Clone, Copy, Debug)]
struct ClassExecutions {
    ended: RecentCounts,
    started: RecentCounts,
    /// Requests that met all conditions for a refusal.
    refusable: u32,
    /// When a request met them last, if requests of the class are refused.
    refusable_at: Option<Timestamp>,
}

/// Load of the upstream when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Number of waiting requests.
    pub queued: usize,
    /// Number of requests that run concurrently.
    pub limit: usize,
}

/// Recent calls that start at a node, and executions at its upstream.
#[derive(Clone, Debug, Default)]
pub struct CallAdmission {
    calls: HashMap<ServiceName, RecentCounts>,
    classes: HashMap<ClassName, ClassExecutions>,
}

impl CallAdmission {
    /// Records whether an upstream of a service accepted a request that started at this node.
    pub fn record_call(&mut self, service: &ServiceName, is_accepted: bool, now: Timestamp) {
        let counts = self.calls.entry(service.clone());
        let counts = counts.or_insert(RecentCounts::new(now));
        counts.record(is_accepted, now);
    }

    /// Records the start of an execution at the local upstream.
    pub fn record_start(&mut self, class: &ClassName, now: Timestamp) {
        self.find_class(class, now).started.record(true, now);
    }

    /// Records the end of an execution at the local upstream.
    pub fn record_end(&mut self, class: &ClassName, has_failed: bool, now: Timestamp) {
        self.find_class(class, now).ended.record(!has_failed, now);
    }

    fn find_class(&mut self, class: &ClassName, now: Timestamp) -> &mut ClassExecutions {
        let executions = self.classes.entry(class.clone());
        executions.or_insert(ClassExecutions {
            ended: RecentCounts::new(now),
            started: RecentCounts::new(now),
            refusable: 0,
            refusable_at: None,
        })
    }

    /// Decides whether a request is refused before it runs. `calls` are upper bounds of the calls of one execution of its class.
    pub fn decide(
        &mut self,
        class: &ClassName,
        calls: &[(ServiceName, f64)],
        load: UpstreamLoad,
        now: Timestamp,
    ) -> CallDecision {
        let is_refusable = load.queued >= load.limit
            && self.are_calls_rejected(calls, now)
            && self.does_class_fail(class, now)
            && self.has_minimum_starts(class, now);
        if !is_refusable {
            return CallDecision {
                is_refused: false,
                change: self.end_refusals(class, now),
            };
        }
        let executions = self.find_class(class, now);
        executions.refusable = executions.refusable.wrapping_add(1);
        let begins = executions.refusable_at.replace(now).is_none();
        CallDecision {
            is_refused: !executions.refusable.is_multiple_of(PASSING_ONE_IN),
            change: begins.then_some(true),
        }
    }

    fn end_refusals(&mut self, class: &ClassName, now: Timestamp) -> Option<bool> {
        let executions = self.classes.get_mut(class)?;
        let last = executions.refusable_at?;
        (now.since(last) > VERDICT_MEMORY).then(|| {
            executions.refusable_at = None;
            false
        })
    }

    fn are_calls_rejected(&self, calls: &[(ServiceName, f64)], now: Timestamp) -> bool {
        let called = calls.iter().filter(|(_, amount)| *amount >= MIN_CALLS);
        let mut shares = called.filter_map(|(service, _)| self.calls.get(service)?.good_share(now));
        shares.any(|accepted| accepted <= MAX_ACCEPTED_SHARE)
    }

    fn does_class_fail(&self, class: &ClassName, now: Timestamp) -> bool {
        let executions = self.classes.get(class);
        let succeeded = executions.and_then(|executions| executions.ended.good_share(now));
        succeeded.is_some_and(|succeeded| 1.0 - succeeded >= MIN_FAILED_SHARE)
    }

    /// Whether the class has its share of the recent starts, so that it isn't starved by other classes.
    fn has_minimum_starts(&self, class: &ClassName, now: Timestamp) -> bool {
        let starts = |executions: &ClassExecutions| executions.started.decay(now).all;
        let recent = self.classes.values().map(starts);
        let active: Vec<f64> = recent.filter(|starts| *starts >= 1.0).collect();
        let classes = f64::from(u32::try_from(active.len().max(1)).unwrap_or(u32::MAX));
        let average = active.iter().sum::<f64>() / classes;
        let own = self.classes.get(class).map_or(0.0, starts);
        own >= average * MIN_START_SHARE
    }
}
