//! Budget for sending requests to a second upstream. Hedged requests count as retries too.
//!
//! All nodes share one budget per service, and no node knows what the others have spent. Each node limits itself to its own part:
//! a share of the requests to the service that start at it, and an equal part of the slack. The sum of the parts never exceeds the
//! whole budget.
//!
//! The calls that a retried request makes to other services count as retries at those services. They start at the node of the
//! upstream that executes the retry, so that node spends them from its own part of the budgets before it lets the retry run.

use crate::state::timestamp::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Limits on retries, set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed retries as a share of the requests within the window.
    pub ratio: f64,
    /// Number of retries allowed within the window beyond that share, for all nodes together.
    pub slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Part of the retry budget that one node may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetShare {
    /// Limits for all nodes together.
    pub settings: RetryBudgetSettings,
    /// Number of nodes that share the slack.
    pub nodes: usize,
    /// Time since the node process started. It is unknown what an earlier process of the node has spent, so the node's part of the
    /// slack grows from zero to its full size during the first window.
    pub uptime: Duration,
}

impl RetryBudgetShare {
    fn slack(&self) -> f64 {
        let window = self.settings.window.as_secs_f64().max(f64::MIN_POSITIVE);
        let known_share = (self.uptime.as_secs_f64() / window).min(1.0);
        self.settings.slack / to_float(self.nodes.max(1)) * known_share
    }
}

/// Share of the allowed retries that is used. A retry is spent when it is decided, but reaches its upstream up to a deadline
/// (about a tenth of the window) later, and so do its calls. The retries that arrive within one window may have been spent in a
/// longer one.
const USED_SHARE: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct SpentRetries {
    at: Timestamp,
    amount: f64,
}

/// Requests and retries of one node for one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<SpentRetries>,
}

impl RetryBudget {
    /// Counts a request, which raises the number of allowed retries.
    pub fn count_request(&mut self, now: Timestamp, settings: RetryBudgetSettings) {
        self.requests.push_back(now);
        self.drop_expired(now, settings);
    }

    /// Whether `amount` retries are within the budget now. The amount is fractional if it is an estimated number of calls.
    pub fn can_spend(&mut self, now: Timestamp, share: RetryBudgetShare, amount: f64) -> bool {
        self.drop_expired(now, share.settings);
        let earned = share.settings.ratio * to_float(self.requests.len());
        let allowed = (earned + share.slack()) * USED_SHARE;
        let spent: f64 = self.retries.iter().map(|spent| spent.amount).sum();
        spent + amount <= allowed
    }

    /// Spends `amount` retries if they are within the budget; returns whether they are.
    pub fn try_spend(&mut self, now: Timestamp, share: RetryBudgetShare, amount: f64) -> bool {
        let granted = self.can_spend(now, share, amount);
        if granted {
            self.retries.push_back(SpentRetries { at: now, amount });
        }
        granted
    }

    /// Returns retries to the budget that reached no upstream, starting with the newest. Fractional amounts are skipped.
    pub fn refund(&mut self, retries: u16) {
        for _ in 0..retries {
            let newest = self.retries.iter().rposition(|spent| spent.amount >= 1.0);
            let Some(spent) = newest.and_then(|index| self.retries.get_mut(index)) else {
                return;
            };
            spent.amount -= 1.0;
        }
    }

    fn drop_expired(&mut self, now: Timestamp, settings: RetryBudgetSettings) {
        let is_expired = |at: Timestamp| now.since(at) > settings.window;
        while self.requests.front().is_some_and(|at| is_expired(*at)) {
            self.requests.pop_front();
        }
        while self
            .retries
            .front()
            .is_some_and(|spent| is_expired(spent.at))
        {
            self.retries.pop_front();
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a few seconds are small"
)]
fn to_float(count: usize) -> f64 {
    count as f64
}
