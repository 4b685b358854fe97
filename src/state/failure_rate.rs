//! Share of an upstream's last requests that failed there.

/// Weight of the newest end in the moving average: some ten ends tell.
const WEIGHT: f64 = 0.1;

/// A moving average, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate(f64);

impl FailureRate {
    /// Takes in the end of a request.
    pub fn observe(&mut self, failed: bool) {
        let value = f64::from(u8::from(failed));
        self.0 += (value - self.0) * WEIGHT;
    }

    /// The share in percent.
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
