//! How many calls a run of a class makes at other services, at the most.
//!
//! Requests that begin on a VM come from its clients and from its upstream, and nothing tells these apart. Two
//! bounds from above hold whoever sent them: requests for a service can't have been made by more runs of a class
//! than there were, and those of one run came while it lasted. The smaller one is taken. The first is sharp where
//! a VM does much of one class, the second where it does little.

use crate::state::{
    names::{ClassName, ServiceName},
    timestamp::Timestamp,
};
use std::{collections::HashMap, time::Duration};

/// Time over which requests and runs are counted: as long as a budget of repeats looks back, and long enough
/// for a few hundred of both on a VM that does work of any amount.
const MEMORY: Duration = Duration::from_secs(10);
/// Weight of the newest run in the moving average of what came during a run.
const WEIGHT: f64 = 0.1;

/// A count that forgets: it halves in about two thirds of [`MEMORY`].
#[derive(Clone, Copy, Debug)]
struct FadingCount {
    count: f64,
    at: Timestamp,
}

impl FadingCount {
    fn read(self, now: Timestamp) -> f64 {
        self.count * (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add_one(&mut self, now: Timestamp) {
        self.count = self.read(now) + 1.0;
        self.at = now;
    }
}

impl Default for FadingCount {
    fn default() -> Self {
        Self {
            count: 0.0,
            at: Timestamp(0),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Arrivals {
    recent: FadingCount,
    all: u64,
}

#[derive(Clone, Debug, Default)]
struct Executions {
    recent: FadingCount,
    /// Moving averages of the requests for each service that came while a run lasted.
    during: HashMap<ServiceName, f64>,
}

/// What had arrived when a run began.
#[derive(Clone, Debug, Default)]
pub struct ExecutionStart(Vec<(ServiceName, u64)>);

/// Counts of the requests that begin on a VM and of the runs of its upstream.
#[derive(Clone, Debug, Default)]
pub struct CallsPerExecution {
    arrivals: HashMap<ServiceName, Arrivals>,
    classes: HashMap<ClassName, Executions>,
}

impl CallsPerExecution {
    /// Counts a request that begins on this VM.
    pub fn record_request(&mut self, service: &ServiceName, now: Timestamp) {
        let arrivals = self.arrivals.entry(service.clone()).or_default();
        arrivals.recent.add_one(now);
        arrivals.all += 1;
    }

    /// Counts a run that begins; what is returned goes to [`Self::record_end`].
    pub fn record_start(&mut self, class: &ClassName, now: Timestamp) -> ExecutionStart {
        let runs = self.classes.entry(class.clone()).or_default();
        runs.recent.add_one(now);
        let arrivals = self.arrivals.iter();
        ExecutionStart(
            arrivals
                .map(|(service, arrivals)| (service.clone(), arrivals.all))
                .collect(),
        )
    }

    /// Learns from a run that has ended.
    pub fn record_end(&mut self, class: &ClassName, start: &ExecutionStart) {
        let Some(runs) = self.classes.get_mut(class) else {
            return;
        };
        for (service, arrivals) in &self.arrivals {
            let known = start.0.iter().find(|(known, _)| known == service);
            let came = arrivals.all - known.map_or(0, |(_, before)| *before);
            #[expect(clippy::cast_precision_loss, reason = "requests of one run")]
            let came = came as f64;
            let average = runs.during.entry(service.clone()).or_insert(came);
            *average += (came - *average) * WEIGHT;
        }
    }

    /// Calls that a run of a class makes at each service, at the most. Nothing is known of a class before its
    /// first run has ended.
    #[must_use]
    pub fn estimate_max_calls(&self, class: &ClassName, now: Timestamp) -> Vec<(ServiceName, f64)> {
        let Some(runs) = self.classes.get(class) else {
            return Vec::new();
        };
        let recent_runs = runs.recent.read(now).max(1.0);
        let bound = |(service, during): (&ServiceName, &f64)| {
            let arrivals = self.arrivals.get(service)?;
            let each_run = arrivals.recent.read(now) / recent_runs;
            Some((service.clone(), each_run.min(*during)))
        };
        runs.during.iter().filter_map(bound).collect()
    }
}
