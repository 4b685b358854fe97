//! Bounds the lines that a node writes.
//!
//! A node that logs each of many failures would spend its share of the processor on lines, and be late
//! with requests just when most fail.

use crate::{
    proxy::events::{ProxyEvent, Weight},
    state::{moment::Moment, token_bucket::TokenBucket},
};
use std::cell::{Cell, RefCell};

/// Telling lines a second, and how many may come at once.
const TELLING: (f64, f64) = (200.0, 400.0);
/// The same of ordinary ones: a sample, since a line costs some 70 microseconds with its write, a
/// third of what a node spends on a request.
const ORDINARY: (f64, f64) = (5.0, 20.0);

/// Tokens of one weight, earned by time.
struct Tokens {
    bucket: TokenBucket,
    since: Moment,
    per_second: f64,
}

impl Tokens {
    fn new((per_second, burst): (f64, f64)) -> RefCell<Self> {
        let mut bucket = TokenBucket::empty(burst);
        bucket.deposit(burst);
        RefCell::new(Self {
            bucket,
            since: Moment::default(),
            per_second,
        })
    }

    fn take(&mut self, now: Moment) -> bool {
        let span = now.since(self.since).as_secs_f64();
        self.bucket.deposit(span * self.per_second);
        self.since = now;
        self.bucket.withdraw(1.0)
    }
}

/// Counts lines and leaves out those that the budget does not hold.
pub struct LineBudget {
    telling: RefCell<Tokens>,
    ordinary: RefCell<Tokens>,
    dropped: Cell<u64>,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            telling: Tokens::new(TELLING),
            ordinary: Tokens::new(ORDINARY),
            dropped: Cell::default(),
        }
    }
}

impl LineBudget {
    /// Writes a line if the budget holds it.
    pub fn write(&self, event: &ProxyEvent, now: Moment) {
        let (_, _, weight) = event.describe();
        self.write_as(weight, event, now);
    }

    /// Writes a line with another weight than its own: what led to a failure tells as much as the
    /// failure. Telling lines left out are counted, and told with the next one.
    pub fn write_as(&self, weight: Weight, event: &ProxyEvent, now: Moment) {
        match (self.take(weight, now), weight) {
            (true, _) => {}
            (false, Weight::Telling) => return self.dropped.set(self.dropped.get() + 1),
            (false, Weight::Ordinary) => return,
        }
        let lines = self.dropped.take();
        if lines > 0 {
            emit(&ProxyEvent::LinesDropped { lines });
        }
        emit(event);
    }

    /// Takes one line out of the budget, if it holds it.
    pub fn take(&self, weight: Weight, now: Moment) -> bool {
        match weight {
            Weight::Telling => self.telling.borrow_mut().take(now),
            Weight::Ordinary => self.ordinary.borrow_mut().take(now),
        }
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
