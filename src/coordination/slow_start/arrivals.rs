//! When the requests that a node has started may have reached the upstream.
//!
//! A started request may arrive later: a connection has to be opened, or the node or the upstream is stalled. Only the answer
//! proves that it has arrived. If the node counted from the start, late arrivals would join those of the next second.

use crate::state::timestamp::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Longest time from the start of a request to its arrival that is reckoned with: 300 ms to open a connection, and a short stall.
/// Without a bound, a request that takes long would count for as long.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of remembered arrivals.
pub const MAX_ARRIVALS: usize = 4_096;

/// The latest possible arrivals of the requests of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct RecentArrivals {
    /// Starts of the requests that run.
    running: Vec<Timestamp>,
    /// Latest possible arrivals of the requests that have ended, oldest first.
    ended: VecDeque<Timestamp>,
}

impl RecentArrivals {
    /// Records the start of a request.
    pub fn record_start(&mut self, now: Timestamp) {
        self.running.push(now);
    }

    /// Records the answer to a request that started at `started`, which proves that it has arrived.
    pub fn record_answer(&mut self, started: Timestamp, now: Timestamp, window: Duration) {
        self.record_end(started, latest_arrival(started, now), now, window);
    }

    /// Records that a request which started at `started` has ended without an answer. The upstream may still read it from its
    /// connection.
    pub fn record_abandonment(&mut self, started: Timestamp, now: Timestamp, window: Duration) {
        self.record_end(started, started + MAX_ARRIVAL_DELAY, now, window);
    }

    fn record_end(
        &mut self,
        started: Timestamp,
        arrival: Timestamp,
        now: Timestamp,
        window: Duration,
    ) {
        let Some(index) = self.running.iter().position(|running| *running == started) else {
            return;
        };
        self.running.swap_remove(index);
        let is_old = |at: Timestamp| at + window <= now;
        while self.ended.front().is_some_and(|at| is_old(*at)) || self.ended.len() >= MAX_ARRIVALS {
            self.ended.pop_front();
        }
        let place = self.ended.partition_point(|earlier| *earlier <= arrival);
        self.ended.insert(place, arrival);
    }

    /// The latest possible arrivals within the last `window`, oldest first.
    #[must_use]
    pub fn list_within(&self, window: Duration, now: Timestamp) -> Vec<Timestamp> {
        let running = self.running.iter();
        let running = running.map(|started| latest_arrival(*started, now));
        let arrivals = self.ended.iter().copied().chain(running);
        let mut arrivals: Vec<Timestamp> = arrivals.filter(|at| *at + window > now).collect();
        arrivals.sort_unstable();
        arrivals
    }
}

/// Latest possible arrival of a request that was answered at `now`, or is running.
fn latest_arrival(started: Timestamp, now: Timestamp) -> Timestamp {
    now.min(started + MAX_ARRIVAL_DELAY)
}
