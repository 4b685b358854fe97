//! Seeded service times.

use rand::{RngExt, rngs::SmallRng};
use std::{f64::consts::TAU, time::Duration};

/// A log-normal service time for calls whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTime {
    /// Start of the path.
    pub path_prefix: String,
    /// Half of the calls take less, in microseconds.
    pub median_micros: u64,
    /// Standard deviation of the logarithm; 0 makes every call take the median.
    pub spread: f64,
}

impl ServiceTime {
    /// Draws one service time.
    #[must_use]
    pub fn draw(&self, rng: &mut SmallRng) -> Duration {
        let first = 1.0 - rng.random::<f64>();
        let second = rng.random::<f64>();
        let normal = (-2.0 * first.ln()).sqrt() * (TAU * second).cos();
        Duration::from_micros(self.median_micros).mul_f64((self.spread * normal).exp())
    }
}
