//! How many requests a node may send to a second upstream.
//!
//! All nodes share one budget for each service, and no node knows what the others spend. Each keeps
//! to its own part: a share of the requests that it brought to the service, and an even part of the
//! slack. The sum then stays within the whole, whatever the others do.

use crate::state::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// What the operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatRules {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Repeats beyond the share, for all nodes together.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// Part of the allowance that is used. The calls that a repeated request makes again count as repeats
/// at the service that is called, and the node where they begin can't tell them from first calls.
const SAFETY: f64 = 0.4;

/// One node's part of the budget of one service.
#[derive(Clone, Debug, Default)]
pub struct RepeatBudget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RepeatBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Moment, rules: RepeatRules) {
        self.requests.push_back(now);
        self.forget(now, rules);
    }

    /// Takes one repeat, if the budget holds it. `nodes` share the slack.
    pub fn take(&mut self, now: Moment, rules: RepeatRules, nodes: usize) -> bool {
        self.forget(now, rules);
        let share = rules.ratio * as_float(self.requests.len());
        let slack = rules.slack / as_float(nodes.max(1));
        let allowed = (share + slack) * SAFETY;
        let granted = as_float(self.repeats.len() + 1) <= allowed;
        if granted {
            self.repeats.push_back(now);
        }
        granted
    }

    fn forget(&mut self, now: Moment, rules: RepeatRules) {
        let old = |at: &Moment| now.since(*at) > rules.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(old) {
            self.repeats.pop_front();
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
