//! Histogram of latencies with fixed buckets, for the metrics page.

use std::time::Duration;

/// Upper bounds of the buckets in milliseconds, about 4 for each factor of 10 and closer together between 80 ms and 1 s, where
/// the latency targets lie.
pub const UPPER_BOUNDS_MS: [u64; 12] = [5, 10, 20, 50, 80, 120, 200, 300, 500, 1_000, 2_000, 5_000];

/// A histogram. Each count is cumulative: it includes all latencies up to the upper bound of its bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    cumulative: [u64; UPPER_BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

impl LatencyHistogram {
    /// Counts a latency.
    pub fn observe(&mut self, took: Duration) {
        self.count += 1;
        self.sum = self.sum.saturating_add(took);
        for (bound, count) in UPPER_BOUNDS_MS.iter().zip(&mut self.cumulative) {
            if took <= Duration::from_millis(*bound) {
                *count += 1;
            }
        }
    }

    /// Upper bounds in milliseconds, each with the number of latencies up to it.
    pub fn list_cumulative(&self) -> impl Iterator<Item = (u64, u64)> {
        UPPER_BOUNDS_MS.into_iter().zip(self.cumulative)
    }

    /// Sum of all latencies in seconds.
    #[must_use]
    pub fn sum_seconds(&self) -> f64 {
        self.sum.as_secs_f64()
    }

    /// Upper bounds in seconds, each with the number of latencies in its bucket alone. The last bucket has no upper limit; its
    /// bound is [`f64::MAX`].
    #[must_use]
    pub fn list_separate(&self) -> Vec<(f64, u64)> {
        let mut below = 0;
        let mut buckets = Vec::new();
        for (bound, count) in self.list_cumulative() {
            buckets.push((Duration::from_millis(bound).as_secs_f64(), count - below));
            below = count;
        }
        buckets.push((f64::MAX, self.count - below));
        buckets
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum = self.sum.saturating_add(other.sum);
        for (count, more) in self.cumulative.iter_mut().zip(other.cumulative) {
            *count += more;
        }
    }

    /// The lowest upper bound, in milliseconds, within which at least this share (0 to 1) of the latencies lies. `None` if there
    /// are no latencies, or if the last bound doesn't reach the share.
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

    /// Number of all latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }
}
