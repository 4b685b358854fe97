//! Counts of times by upper bounds, for a metrics page.

use std::time::Duration;

/// Upper bounds in milliseconds; some four for each factor of ten, as targets lie between 80 ms and a
/// second.
pub const UPPER_BOUNDS_MS: [u64; 12] = [5, 10, 20, 50, 80, 120, 200, 300, 500, 1_000, 2_000, 5_000];

/// Counts by bound; each counts all times up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    cumulative: [u64; UPPER_BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

impl LatencyHistogram {
    /// Counts a time.
    pub fn observe(&mut self, took: Duration) {
        self.count += 1;
        self.sum = self.sum.saturating_add(took);
        for (bound, count) in UPPER_BOUNDS_MS.iter().zip(&mut self.cumulative) {
            if took <= Duration::from_millis(*bound) {
                *count += 1;
            }
        }
    }

    /// Bounds with their counts.
    pub fn list_cumulative(&self) -> impl Iterator<Item = (u64, u64)> {
        UPPER_BOUNDS_MS.into_iter().zip(self.cumulative)
    }

    /// Sum of all times in seconds.
    #[must_use]
    pub fn sum_seconds(&self) -> f64 {
        self.sum.as_secs_f64()
    }

    /// Bounds in seconds with the times that lie above the bound before; the last bound is infinite.
    #[must_use]
    pub fn list_separate(&self) -> Vec<(f64, u64)> {
        let mut below = 0;
        let mut apart = Vec::new();
        for (bound, count) in self.list_cumulative() {
            apart.push((Duration::from_millis(bound).as_secs_f64(), count - below));
            below = count;
        }
        apart.push((f64::MAX, self.count - below));
        apart
    }

    /// Adds the counts of another.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum = self.sum.saturating_add(other.sum);
        for (count, more) in self.cumulative.iter_mut().zip(other.cumulative) {
            *count += more;
        }
    }

    /// The least bound that this share of the times lies within, in milliseconds; none if they lie above
    /// the last one, or if there are none.
    #[must_use]
    pub fn quantile_upper_bound(&self, share: f64) -> Option<u64> {
        #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
        let wanted = self.count as f64 * share;
        #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
        let mut reached = self
            .list_cumulative()
            .filter(|(_, count)| *count as f64 >= wanted);
        reached
            .next()
            .filter(|_| self.count > 0)
            .map(|(bound, _)| bound)
    }

    /// Count of all times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }
}
