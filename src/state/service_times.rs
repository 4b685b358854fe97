//! How long requests of each class of work take at one upstream while its VM runs at full speed.

use crate::state::names::ClassName;
use std::{collections::HashMap, time::Duration};

/// Assumed service time of a class before its first request has ended at this upstream.
const INITIAL_TIME: Duration = Duration::from_millis(100);
/// Weight of the latest time in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Weight of each of the first times. It is larger so that [`INITIAL_TIME`] soon has no influence.
const EARLY_WEIGHT: f64 = 0.4;
/// Number of times that get [`EARLY_WEIGHT`].
const EARLY_COUNT: u32 = 5;

/// Exponential moving averages of service times, by class.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    /// Average in seconds, and the number of observed times.
    classes: HashMap<ClassName, (f64, u32)>,
}

impl ServiceTimes {
    /// Expected time that a request of a class takes at full speed of the VM.
    #[must_use]
    pub fn expected_time(&self, class: &ClassName) -> Duration {
        self.classes
            .get(class)
            .map_or(INITIAL_TIME, |(seconds, _)| {
                Duration::from_secs_f64(*seconds)
            })
    }

    /// Records that a request took `took`. It was started while requests took `slowdown_percent` percent of their time at full
    /// speed.
    pub fn observe(&mut self, class: &ClassName, took: Duration, slowdown_percent: u16) {
        let full_speed_seconds = took.as_secs_f64() * 100.0 / f64::from(slowdown_percent.max(1));
        let entry = self
            .classes
            .entry(class.clone())
            .or_insert((INITIAL_TIME.as_secs_f64(), 0));
        let weight = if entry.1 < EARLY_COUNT {
            EARLY_WEIGHT
        } else {
            NEWEST_WEIGHT
        };
        entry.0 += (full_speed_seconds - entry.0) * weight;
        entry.1 = entry.1.saturating_add(1);
    }
}
