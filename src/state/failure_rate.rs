//! Share of an upstream's recent requests that failed.

/// Weight of the latest outcome in the exponential moving average, so that about the last 10 outcomes count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponential moving average of failures, from 0 (none failed) to 1 (all failed).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate(f64);

impl FailureRate {
    /// Records the outcome of a request.
    pub fn observe(&mut self, failed: bool) {
        let value = f64::from(u8::from(failed));
        self.0 += (value - self.0) * NEWEST_WEIGHT;
    }

    /// Share of a change of the failed share that the average shows after this number of outcomes.
    #[must_use]
    pub fn find_settled_share(outcomes: u32) -> f64 {
        1.0 - (1.0 - NEWEST_WEIGHT).powi(i32::try_from(outcomes).unwrap_or(i32::MAX))
    }

    /// The failure rate in percent, rounded.
    #[must_use]
    pub fn percent(self) -> u8 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 100"
        )]
        let percent = (self.0 * 100.0).round() as u8;
        percent
    }
}
