//! A moving average of latency over time.

use crate::state::moment::Moment;
use std::time::Duration;

/// Exponentially weighted moving average whose weights depend on time, not on the count of
/// samples, so that it means the same at any rate of calls.
#[derive(Clone, Copy, Debug)]
pub struct PeakAverage {
    fade_micros: f64,
    /// A sample above the average replaces it at once.
    jumps_up: bool,
    value: Option<(f64, Moment)>,
}

impl PeakAverage {
    /// An average that jumps to each peak and fades from it.
    #[must_use]
    pub fn peak_sensitive(fade: Duration) -> Self {
        Self::new(fade, true)
    }

    /// An average that follows peaks and lows alike.
    #[must_use]
    pub fn plain(fade: Duration) -> Self {
        Self::new(fade, false)
    }

    fn new(fade: Duration, jumps_up: bool) -> Self {
        Self {
            fade_micros: fade.as_secs_f64() * 1e6,
            jumps_up,
            value: None,
        }
    }

    /// Takes a sample in microseconds.
    pub fn observe(&mut self, sample: f64, now: Moment) {
        let next = match self.value {
            None => sample,
            Some((value, _)) if self.jumps_up && sample > value => sample,
            Some((value, at)) => {
                let kept = self.kept_weight(at, now);
                value * kept + sample * (1.0 - kept)
            }
        };
        self.value = Some((next, now));
    }

    /// The average at `now`, in microseconds. Without new samples it returns to `typical`: an
    /// upstream that once was slow is tried again instead of being shunned for good.
    #[must_use]
    pub fn read(&self, typical: f64, now: Moment) -> f64 {
        match self.value {
            None => typical,
            Some((value, at)) => {
                let kept = self.kept_weight(at, now);
                value * kept + typical * (1.0 - kept)
            }
        }
    }

    /// The average as of the last sample.
    #[must_use]
    pub fn last(&self) -> Option<f64> {
        self.value.map(|(value, _)| value)
    }

    fn kept_weight(&self, at: Moment, now: Moment) -> f64 {
        let elapsed = now.since(at).as_secs_f64() * 1e6;
        (-elapsed / self.fade_micros).exp()
    }
}
