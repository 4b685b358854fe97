//! What the ends of calls tell about how long an upstream takes for one.

use crate::state::moment::Moment;
use std::time::Duration;

/// Share of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Share of the mean that the baseline takes over when the mean is lower.
const BASELINE_FALL: f64 = 1.0 / 64.0;
/// Share of the mean that the baseline takes over when the mean is higher: slow, so that a spell of
/// slowness is seen as one, yet a lasting change becomes the new baseline in the end.
const BASELINE_RISE: f64 = 1.0 / 512.0;
/// Time in which the peak comes half the way back to the mean.
const PEAK_HALF_LIFE: Duration = Duration::from_millis(100);

/// Moving estimates of the time an upstream takes for one call of a class.
#[derive(Clone, Debug, Default)]
pub struct ServiceTime {
    mean_micros: f64,
    baseline_micros: f64,
    peak_micros: f64,
    updated: Option<Moment>,
}

impl ServiceTime {
    /// Takes in the time of a whole, successful call.
    pub fn observe(&mut self, took: Duration, now: Moment) {
        let sample = micros(took);
        if self.updated.is_none() {
            self.mean_micros = sample;
            self.baseline_micros = sample;
        }
        self.mean_micros += (sample - self.mean_micros) * MEAN_WEIGHT;
        let above = self.mean_micros - self.baseline_micros;
        let weight = if above < 0.0 {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        self.baseline_micros += above * weight;
        self.raise_peak(sample, now);
    }

    /// Takes in a call that failed or was given up after `took`.
    ///
    /// A quick failure says nothing of the time that work takes. If it counted, an upstream that
    /// fails everything at once would look like the fastest of all and attract more calls. A slow
    /// one proves that a call takes at least that long.
    pub fn observe_at_least(&mut self, took: Duration, now: Moment) {
        if self.updated.is_some() && micros(took) > self.mean_micros {
            self.mean_micros += (micros(took) - self.mean_micros) * MEAN_WEIGHT;
            self.raise_peak(micros(took), now);
        }
    }

    /// Whether any call has been seen to its end.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.updated.is_some()
    }

    /// The moving mean in microseconds; 0 before the first call.
    #[must_use]
    pub fn mean_micros(&self) -> f64 {
        self.mean_micros
    }

    /// What a call takes when the upstream is well, in microseconds; 0 before the first call.
    #[must_use]
    pub fn baseline_micros(&self) -> f64 {
        self.baseline_micros
    }

    /// The mean, or a recent higher sample that has not been forgotten yet, in microseconds.
    #[must_use]
    pub fn peak_micros(&self, now: Moment) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let halvings = now.since(updated).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        let above = (self.peak_micros - self.mean_micros).max(0.0);
        self.mean_micros + above * (-halvings).exp2()
    }

    /// How many times slower than the baseline recent calls were; 1 when nothing is known.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        if self.baseline_micros > 0.0 {
            self.mean_micros / self.baseline_micros
        } else {
            1.0
        }
    }

    fn raise_peak(&mut self, sample: f64, now: Moment) {
        self.peak_micros = self.peak_micros(now).max(sample);
        self.updated = Some(now);
    }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
