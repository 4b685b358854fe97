//! Counts of times by upper bounds, for a metrics page.

use std::time::Duration;

/// Upper bounds in milliseconds; some four for each factor of ten, as targets lie between 80 ms and a
/// second.
pub const BOUNDS_MS: [u64; 12] = [5, 10, 20, 50, 80, 120, 200, 300, 500, 1_000, 2_000, 5_000];

/// Counts by bound; each counts all times up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyBuckets {
    within: [u64; BOUNDS_MS.len()],
    all: u64,
}

impl LatencyBuckets {
    /// Counts a time.
    pub fn observe(&mut self, took: Duration) {
        self.all += 1;
        for (bound, count) in BOUNDS_MS.iter().zip(&mut self.within) {
            if took <= Duration::from_millis(*bound) {
                *count += 1;
            }
        }
    }

    /// Bounds with their counts.
    pub fn list(&self) -> impl Iterator<Item = (u64, u64)> {
        BOUNDS_MS.into_iter().zip(self.within)
    }

    /// Count of all times.
    #[must_use]
    pub fn all(&self) -> u64 {
        self.all
    }
}
