//! Observed latencies of the last seconds, for quantiles.

use crate::state::moment::Moment;
use hdrhistogram::Histogram;
use std::{mem, time::Duration};

/// Time after which the newer half becomes the older one, and the older one is dropped.
const HALF: Duration = Duration::from_secs(5);
/// Longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 120_000_000;
/// Decimal digits of a latency that are kept: a tenth is fine enough for a delay, and keeps a
/// history at a few kilobytes.
const DIGITS: u8 = 1;

/// Two histograms, of which the older one is replaced every few seconds.
#[derive(Clone, Debug)]
pub struct LatencyHistory {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    turned_at: Moment,
}

impl Default for LatencyHistory {
    fn default() -> Self {
        Self {
            newer: empty_histogram(),
            older: empty_histogram(),
            turned_at: Moment::default(),
        }
    }
}

impl LatencyHistory {
    /// Takes the latency of one attempt. One that was cut off counts with the time until then.
    pub fn record(&mut self, took: Duration, now: Moment) {
        self.turn(now);
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.newer.saturating_record(micros.max(1));
    }

    /// Latencies held.
    #[must_use]
    pub fn samples(&self, now: Moment) -> u64 {
        if now.since(self.turned_at) >= HALF * 2 {
            return 0;
        }
        self.newer.len() + self.older.len()
    }

    /// Latency that a share of `quantile` does not exceed, to a tenth; zero without samples.
    #[must_use]
    pub fn quantile(&self, quantile: f64, now: Moment) -> Duration {
        if self.samples(now) == 0 {
            return Duration::ZERO;
        }
        let mut all = self.older.clone();
        // Both have the same bounds, so that adding can't fail.
        if all.add(&self.newer).is_err() {
            return Duration::ZERO;
        }
        Duration::from_micros(all.value_at_quantile(quantile))
    }

    fn turn(&mut self, now: Moment) {
        let passed = now.since(self.turned_at);
        if passed < HALF {
            return;
        }
        mem::swap(&mut self.newer, &mut self.older);
        self.newer.reset();
        if passed >= HALF * 2 {
            self.older.reset();
        }
        self.turned_at = now;
    }
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS)
        .expect("constant bounds that the library accepts")
}
