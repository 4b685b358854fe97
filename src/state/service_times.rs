//! How long the classes of work take at one upstream, at the usual pace of its VM.

use crate::state::names::ClassName;
use std::{collections::HashMap, time::Duration};

/// Time that work of a class is taken to need before any of it has ended here.
const FIRST: Duration = Duration::from_millis(100);
/// Weight of the newest time in the moving average.
const WEIGHT: f64 = 0.1;
/// Weight of each of the first times, so that the guess above is soon forgotten.
const EARLY_WEIGHT: f64 = 0.4;
/// Times that count as first ones.
const EARLY: u32 = 5;

/// Moving averages by class.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    classes: HashMap<ClassName, (f64, u32)>,
}

impl ServiceTimes {
    /// Time that work of a class takes.
    #[must_use]
    pub fn expected_time(&self, class: &ClassName) -> Duration {
        self.classes
            .get(class)
            .map_or(FIRST, |(seconds, _)| Duration::from_secs_f64(*seconds))
    }

    /// Takes in that work took that long, having started at `percent` of the usual time.
    pub fn observe(&mut self, class: &ClassName, took: Duration, percent: u16) {
        let usual = took.as_secs_f64() * 100.0 / f64::from(percent.max(1));
        let entry = self
            .classes
            .entry(class.clone())
            .or_insert((FIRST.as_secs_f64(), 0));
        let weight = if entry.1 < EARLY {
            EARLY_WEIGHT
        } else {
            WEIGHT
        };
        entry.0 += (usual - entry.0) * weight;
        entry.1 = entry.1.saturating_add(1);
    }
}
