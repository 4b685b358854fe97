//! A node's own calls that have not ended.

use crate::state::moment::Moment;

/// Start times of own calls, in ascending order.
#[derive(Clone, Debug, Default)]
pub struct OutstandingCalls {
    started: Vec<Moment>,
}

impl OutstandingCalls {
    /// Counts a call.
    pub fn start(&mut self, now: Moment) {
        self.started.push(now);
    }

    /// Drops the call whose start is nearest to `started`. The caller knows the start only from
    /// the time the call took, which may differ by rounding.
    pub fn end(&mut self, started: Moment) {
        let above = self.started.partition_point(|at| *at < started);
        let below = above.saturating_sub(1);
        let nearest = [below, above]
            .into_iter()
            .filter(|index| *index < self.started.len())
            .min_by_key(|index| self.started[*index].0.abs_diff(started.0));
        if let Some(index) = nearest {
            self.started.remove(index);
        }
    }

    /// Calls that have not ended.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.started.len()).unwrap_or(u32::MAX)
    }

    /// Age of the oldest call in microseconds, 0 without calls.
    ///
    /// An upstream that slows down ends no calls for a while, and so no sample tells of it. The
    /// age of a call that is still out is a lower bound of its latency, known at once.
    #[must_use]
    pub fn oldest_age_micros(&self, now: Moment) -> f64 {
        self.started
            .first()
            .map_or(0.0, |at| now.since(*at).as_secs_f64() * 1e6)
    }
}
