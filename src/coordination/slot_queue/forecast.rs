//! When a request that waits would start.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Time until a request starts: `ends` are the times until running requests end, `ahead` the times
/// that those take which go first, and nothing starts during `pause`.
pub fn forecast_start(
    limit: usize,
    ends: impl Iterator<Item = Duration>,
    ahead: impl Iterator<Item = Duration>,
    pause: Duration,
) -> Duration {
    let mut free: BinaryHeap<Reverse<Duration>> = ends.map(|end| Reverse(end.max(pause))).collect();
    while free.len() < limit {
        free.push(Reverse(pause));
    }
    // More may run than the limit allows, after it was lowered: these end first.
    while free.len() > limit {
        free.pop();
    }
    for expected in ahead {
        let start = free.pop().map_or(pause, |Reverse(start)| start);
        free.push(Reverse(start + expected));
    }
    free.pop().map_or(pause, |Reverse(start)| start)
}
