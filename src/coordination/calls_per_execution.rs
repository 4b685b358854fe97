//! Upper bound of the number of calls that one execution of a class makes to each other service.
//!
//! Requests that start on a VM come from its clients or from its upstream, and they don't say which. Two upper bounds hold either
//! way:
//! - On average, an execution made no more calls to a service than the recent requests for the service divided by the recent
//!   executions of the class. This bound is close if the VM mostly executes one class.
//! - The calls of an execution are among the requests that arrived during it. This bound is close if the VM executes little.
//!
//! The smaller one is used.

use crate::state::{
    names::{ClassName, ServiceName},
    timestamp::Timestamp,
};
use std::{collections::HashMap, time::Duration};

/// Time constant of the counts of requests and executions. As long as the window of the retry budget, and long enough for a few
/// hundred of both on a VM with any noticeable load.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Weight of the newest execution in the moving average of the requests that arrived during one.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponentially decaying count; it halves in about two thirds of [`DECAY_TIME`].
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    updated: Timestamp,
}

impl DecayingCount {
    fn read(self, now: Timestamp) -> f64 {
        self.count * (-now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    fn increment(&mut self, now: Timestamp) {
        self.count = self.read(now) + 1.0;
        self.updated = now;
    }
}

impl Default for DecayingCount {
    fn default() -> Self {
        Self {
            count: 0.0,
            updated: Timestamp(0),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct RequestCounts {
    recent: DecayingCount,
    total: u64,
}

#[derive(Clone, Debug, Default)]
struct Executions {
    recent: DecayingCount,
    /// Moving average of the number of requests for each service that arrived during one execution.
    requests_during: HashMap<ServiceName, f64>,
}

/// Total number of requests for each service when an execution started.
#[derive(Clone, Debug, Default)]
pub struct ExecutionStart(Vec<(ServiceName, u64)>);

/// Counts the requests that start on a VM and the executions at its upstream.
#[derive(Clone, Debug, Default)]
pub struct CallsPerExecution {
    arrivals: HashMap<ServiceName, RequestCounts>,
    classes: HashMap<ClassName, Executions>,
}

impl CallsPerExecution {
    /// Counts a request that starts on this VM.
    pub fn record_request(&mut self, service: &ServiceName, now: Timestamp) {
        let arrivals = self.arrivals.entry(service.clone()).or_default();
        arrivals.recent.increment(now);
        arrivals.total += 1;
    }

    /// Counts the start of an execution. The returned value is passed to [`Self::record_end`].
    pub fn record_start(&mut self, class: &ClassName, now: Timestamp) -> ExecutionStart {
        let executions = self.classes.entry(class.clone()).or_default();
        executions.recent.increment(now);
        let arrivals = self.arrivals.iter();
        ExecutionStart(
            arrivals
                .map(|(service, arrivals)| (service.clone(), arrivals.total))
                .collect(),
        )
    }

    /// Records the end of an execution and the requests that arrived during it.
    pub fn record_end(&mut self, class: &ClassName, start: &ExecutionStart) {
        let Some(executions) = self.classes.get_mut(class) else {
            return;
        };
        for (service, arrivals) in &self.arrivals {
            let known = start.0.iter().find(|(known, _)| known == service);
            let arrived = arrivals.total - known.map_or(0, |(_, before)| *before);
            #[expect(clippy::cast_precision_loss, reason = "requests during one execution")]
            let arrived = arrived as f64;
            let average = executions
                .requests_during
                .entry(service.clone())
                .or_insert(arrived);
            *average += (arrived - *average) * NEWEST_WEIGHT;
        }
    }

    /// Maximum number of calls that one execution of a class makes to each service. Empty until the first execution of the class
    /// has ended.
    #[must_use]
    pub fn estimate_max_calls(&self, class: &ClassName, now: Timestamp) -> Vec<(ServiceName, f64)> {
        let Some(executions) = self.classes.get(class) else {
            return Vec::new();
        };
        let recent_executions = executions.recent.read(now).max(1.0);
        let bound = |(service, requests_during): (&ServiceName, &f64)| {
            let arrivals = self.arrivals.get(service)?;
            let per_execution = arrivals.recent.read(now) / recent_executions;
            Some((service.clone(), per_execution.min(*requests_during)))
        };
        executions
            .requests_during
            .iter()
            .filter_map(bound)
            .collect()
    }
}
