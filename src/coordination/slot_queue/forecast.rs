//! Forecast of the time at which a waiting request starts.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Time until a request starts at an upstream that executes `limit` requests concurrently. `ends` are the remaining times of the
/// running requests, `ahead` the durations of the requests that start first, and no request starts during `pause`.
pub fn forecast_start(
    limit: usize,
    ends: impl Iterator<Item = Duration>,
    ahead: impl Iterator<Item = Duration>,
    pause: Duration,
) -> Duration {
    let mut free_at: BinaryHeap<Reverse<Duration>> =
        ends.map(|end| Reverse(end.max(pause))).collect();
    while free_at.len() < limit {
        free_at.push(Reverse(pause));
    }
    // After the limit was lowered, more requests may be running than it permits. No request starts in place of the first ones that
    // end.
    while free_at.len() > limit {
        free_at.pop();
    }
    for duration in ahead {
        let start = free_at.pop().map_or(pause, |Reverse(start)| start);
        free_at.push(Reverse(start + duration));
    }
    free_at.pop().map_or(pause, |Reverse(start)| start)
}
