//! How many requests a node may send to a second upstream.
//!
//! All nodes share one budget for each service, and no node knows what the others spend. Each keeps
//! to its own part: a share of the requests that it brought to the service, and an even part of the
//! slack. The sum then stays within the whole, whatever the others do.
//!
//! The calls that a repeated request makes again count as repeats too, at the service that is called. They
//! begin at the node beside the upstream that runs the repeated request, so that node pays for them out of
//! its own part before it lets the request run.

use crate::state::timestamp::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// What the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRules {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Repeats beyond the share, for all nodes together.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// A node's part in what the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetShare {
    /// What all nodes together may do.
    pub rules: RetryBudgetRules,
    /// Nodes that share the slack.
    pub nodes: usize,
    /// Since when the node has run. What its former run spent is not known: its part of the slack is
    /// given anew only as the window moves on.
    pub uptime: Duration,
}

impl RetryBudgetShare {
    fn slack(&self) -> f64 {
        let window = self.rules.window.as_secs_f64().max(f64::MIN_POSITIVE);
        let known = (self.uptime.as_secs_f64() / window).min(1.0);
        self.rules.slack / as_float(self.nodes.max(1)) * known
    }
}

/// Part of the allowance that is used. A repeat is paid for when it is decided and reaches its upstream up to a
/// deadline later, some tenth of the window, and so do its calls; so what one window sees may have been paid for in
/// a longer one.
const SAFETY: f64 = 0.85;

#[derive(Clone, Copy, Debug)]
struct Spent {
    at: Timestamp,
    amount: f64,
}

/// One node's part of the budget of one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Spent>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp, rules: RetryBudgetRules) {
        self.requests.push_back(now);
        self.forget(now, rules);
    }

    /// Whether the budget holds that many repeats now. Expected calls come in fractions.
    pub fn can_spend(&mut self, now: Timestamp, share: RetryBudgetShare, amount: f64) -> bool {
        self.forget(now, share.rules);
        let earned = share.rules.ratio * as_float(self.requests.len());
        let allowed = (earned + share.slack()) * SAFETY;
        let spent: f64 = self.retries.iter().map(|spent| spent.amount).sum();
        spent + amount <= allowed
    }

    /// Takes that many repeats, if the budget holds them.
    pub fn try_spend(&mut self, now: Timestamp, share: RetryBudgetShare, amount: f64) -> bool {
        let granted = self.can_spend(now, share, amount);
        if granted {
            self.retries.push_back(Spent { at: now, amount });
        }
        granted
    }

    /// Gives the newest whole repeats back that were taken and reached no upstream.
    pub fn refund(&mut self, retries: u16) {
        for _ in 0..retries {
            let newest = self.retries.iter().rposition(|spent| spent.amount >= 1.0);
            let Some(spent) = newest.and_then(|index| self.retries.get_mut(index)) else {
                return;
            };
            spent.amount -= 1.0;
        }
    }

    fn forget(&mut self, now: Timestamp, rules: RetryBudgetRules) {
        let old = |at: Timestamp| now.since(at) > rules.window;
        while self.requests.front().is_some_and(|at| old(*at)) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|spent| old(spent.at)) {
            self.retries.pop_front();
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a few seconds are small"
)]
fn as_float(count: usize) -> f64 {
    count as f64
}
