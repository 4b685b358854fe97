//! A rate that no window of time exceeds.

use crate::state::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Length of the window for rates of one and more a second.
const WINDOW: Duration = Duration::from_secs(1);
/// Rates below this are taken as none.
const LEAST_RATE: f64 = 1e-6;

/// Remembers each spending of the last window and refuses what would exceed the rate in it.
///
/// A bucket that fills up while idle would let twice the rate through in the second after; here
/// every window of that length, wherever it starts, holds at most the rate. Where one unit is more
/// than a second's worth, the window is the time in which one unit is earned.
#[derive(Clone, Debug)]
pub struct RateLimit {
    rate: f64,
    unit: f64,
    spent: VecDeque<(Moment, f64)>,
}

impl RateLimit {
    /// A limit of `rate` a second for spendings of at most `unit` each, with nothing spent.
    #[must_use]
    pub fn new(rate: f64, unit: f64) -> Self {
        Self {
            rate,
            unit,
            spent: VecDeque::new(),
        }
    }

    /// Changes the rate; what was spent still counts.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Length of the window.
    #[must_use]
    pub fn window(&self) -> Duration {
        if self.rate < LEAST_RATE {
            return WINDOW;
        }
        WINDOW.max(WINDOW.mul_f64(self.unit / self.rate))
    }

    /// Most that may be spent in one window.
    #[must_use]
    pub fn allowance(&self) -> f64 {
        if self.rate < LEAST_RATE {
            return 0.0;
        }
        self.rate.max(self.unit)
    }

    /// Whether `amount` fits in the window that ends now.
    #[must_use]
    pub fn allows(&self, amount: f64, now: Moment) -> bool {
        let window = self.window();
        let spent = self
            .spent
            .iter()
            .filter(|(at, _)| now.since(*at) < window)
            .map(|(_, amount)| amount)
            .sum::<f64>();
        spent + amount <= self.allowance()
    }

    /// Counts `amount` as spent.
    pub fn spend(&mut self, amount: f64, now: Moment) {
        let window = self.window();
        self.spent.retain(|(at, _)| now.since(*at) < window);
        self.spent.push_back((now, amount));
    }
}
