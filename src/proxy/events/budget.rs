//! Bounds the lines that a node writes.
//!
//! A node that logs each of many failures would spend its share of the processor on lines, and be late
//! with requests just when most fail.

use crate::{
    proxy::events::{ProxyEvent, Weight},
    state::{moment::Moment, token_bucket::TokenBucket},
};
use std::cell::{Cell, RefCell};

/// Lines a second. A line takes some 10 microseconds of processor time, so the budget is 0.2% of a
/// core.
const LINES_PER_SECOND: f64 = 200.0;
/// Lines that may come at once.
const BURST: f64 = 400.0;
/// Part of the burst that is kept for telling lines.
const KEPT: f64 = 200.0;

/// Counts lines and leaves out those that the budget does not hold, ordinary ones first.
pub struct LineBudget {
    bucket: RefCell<(TokenBucket, Moment)>,
    dropped: Cell<u64>,
}

impl Default for LineBudget {
    fn default() -> Self {
        let mut bucket = TokenBucket::empty(BURST);
        bucket.deposit(BURST);
        Self {
            bucket: RefCell::new((bucket, Moment::default())),
            dropped: Cell::default(),
        }
    }
}

impl LineBudget {
    /// Writes a line if the budget holds it. Lines left out are counted, and told with the next one.
    pub fn write(&self, event: &ProxyEvent, now: Moment) {
        let (_, _, weight) = event.describe();
        if !self.take(weight, now) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let lines = self.dropped.take();
        if lines > 0 {
            emit(&ProxyEvent::LinesDropped { lines });
        }
        emit(event);
    }

    /// Takes one line out of the budget, if it holds it.
    pub fn take(&self, weight: Weight, now: Moment) -> bool {
        let mut state = self.bucket.borrow_mut();
        let (bucket, since) = &mut *state;
        bucket.deposit(now.since(*since).as_secs_f64() * LINES_PER_SECOND);
        *since = now;
        let kept = match weight {
            Weight::Ordinary => KEPT,
            Weight::Telling => 0.0,
        };
        bucket.holds(1.0 + kept) && bucket.withdraw(1.0)
    }
}

fn emit(event: &ProxyEvent) {
    let (number, name, weight) = event.describe();
    let fields = event.fields();
    match weight {
        Weight::Ordinary => tracing::info!(event = number, name, fields),
        Weight::Telling => tracing::warn!(event = number, name, fields),
    }
}
