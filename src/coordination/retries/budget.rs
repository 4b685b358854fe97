//! Further attempts as a share of calls.

use crate::state::token_bucket::TokenBucket;
use serde::Serialize;

/// Retries that calls may earn ahead; what a burst of failures can take at once.
const RETRY_CAPACITY: f64 = 10.0;
/// Moves after a refusal as a share of calls. A refusal costs an executing node a message, not
/// work of its upstream, so the share is larger than that of retries; but it is bounded, or an
/// overloaded service would be asked by every call as often as a call has attempts.
const MOVE_SHARE: f64 = 0.5;
/// Moves that calls may earn ahead.
const MOVE_CAPACITY: f64 = 50.0;

/// The budgets of one service at one node. Both start empty and are earned by calls, so that at no
/// time since the start there were more than the share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    retries: TokenBucket,
    moves: TokenBucket,
    used: RetryBudgetStatus,
    refused: u32,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RetryBudgetStatus {
    /// Calls.
    pub calls: u64,
    /// Retries and hedges: attempts after or beside one that ran or may have run.
    pub retries: u64,
    /// Moves: attempts after a refusal.
    pub moves: u64,
    /// Further attempts that a budget did not grant.
    pub denied: u64,
}

impl RetryBudget {
    /// Empty budgets; `share` is retries as a share of calls, from 0 to 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            retries: TokenBucket::empty(RETRY_CAPACITY),
            moves: TokenBucket::empty(MOVE_CAPACITY),
            used: RetryBudgetStatus::default(),
            refused: 0,
        }
    }

    /// Takes a new share and keeps what was earned.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a call, which earns its shares.
    pub fn count_call(&mut self) {
        self.used.calls += 1;
        self.retries.deposit(self.share);
        self.moves.deposit(MOVE_SHARE);
    }

    /// Takes one retry or hedge out of the budget, if it is there.
    pub fn take_retry(&mut self) -> bool {
        let granted = self.retries.withdraw(1.0);
        self.used.retries += u64::from(granted);
        self.used.denied += u64::from(!granted);
        granted
    }

    /// Takes one move out of the budget, if it is there.
    pub fn take_move(&mut self) -> bool {
        let granted = self.moves.withdraw(1.0);
        self.used.moves += u64::from(granted);
        self.used.denied += u64::from(!granted);
        granted
    }

    /// Counts a call that is given up; the count spreads when such callers come back.
    pub fn next_come_back_step(&mut self) -> u32 {
        self.refused = self.refused.wrapping_add(1);
        self.refused
    }

    /// Counts since the start.
    #[must_use]
    pub fn status(&self) -> RetryBudgetStatus {
        self.used
    }
}
