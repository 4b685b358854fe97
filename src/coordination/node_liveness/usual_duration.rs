//! How long attempts of a class usually take, as a moving average with its mean deviation.

use std::time::Duration;

/// Number of attempts before the average is used.
const MIN_ATTEMPTS: u32 = 5;
/// Weight of a new attempt in the average, and in the deviation. The values are those of TCP's retransmission timeout (RFC 6298).
const WEIGHTS: (f64, f64) = (0.125, 0.25);
/// An attempt that lasts longer than this multiple of the average is unusual.
const AVERAGE_FACTOR: f64 = 1.5;
/// Unless it lasts no longer than the average and this multiple of the deviation. With exponentially distributed durations, 2 of
/// 100 attempts last longer.
const DEVIATION_FACTOR: f64 = 4.0;

/// Moving average of the durations of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualDuration {
    attempts: u32,
    average_seconds: f64,
    deviation_seconds: f64,
}

impl UsualDuration {
    /// Adds the duration of an attempt.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.attempts == 0 {
            self.average_seconds = took;
            self.deviation_seconds = took / 2.0;
        } else {
            let (average_weight, deviation_weight) = WEIGHTS;
            let distance = (took - self.average_seconds).abs();
            self.deviation_seconds += (distance - self.deviation_seconds) * deviation_weight;
            self.average_seconds += (took - self.average_seconds) * average_weight;
        }
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Time after which an attempt lasts unusually long; `None` before enough attempts have ended.
    #[must_use]
    pub fn find_longest_usual(&self) -> Option<Duration> {
        if self.attempts < MIN_ATTEMPTS {
            return None;
        }
        let by_average = self.average_seconds * AVERAGE_FACTOR;
        let by_deviation = self.average_seconds + self.deviation_seconds * DEVIATION_FACTOR;
        Duration::try_from_secs_f64(by_average.max(by_deviation)).ok()
    }
}
