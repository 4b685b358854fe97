//! Whether a call is tried again after an attempt has ended.
//!
//! Two kinds of further attempt differ in what they cost. A *move* follows a refusal: the call
//! provably did not run, so it may go to another upstream whatever its class. A *retry* follows an
//! attempt that ran or may have run: it is for idempotent classes, and costs an upstream work a
//! second time. Each kind has a budget as a share of calls, and both count as attempts of the
//! call, of which there are few. Advice of a refusal that is not `elsewhere` is passed up instead
//! of being acted on: if each of eight levels of calls tried three times, one call at the top
//! would make thousands at the bottom.

mod budget;
mod call_state;

pub use self::{
    budget::{RetryBudget, RetryBudgetStatus},
    call_state::RetryState,
};
use crate::{
    events::reasons::RetryStop,
    protocol::outcome::{Refusal, RefusalReason, RetryAdvice, UnknownCause},
    state::names::NodeName,
};
use std::time::Duration;

/// Most attempts at one call, the first included.
pub const MAX_ATTEMPTS: u16 = 3;
/// When a refused caller should come back, at the least.
const COME_BACK: Duration = Duration::from_millis(500);
/// Refused callers are told one of this many times to come back, so that they don't come back
/// together.
const COME_BACK_STEPS: u32 = 8;

/// How an attempt ended, as far as retries go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// A whole answer came.
    Answered {
        /// The answer's status says that the server failed (500 and above).
        server_error: bool,
    },
    /// Proven not to have run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(UnknownCause),
}

/// What holds for a call while it is decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRules {
    /// Running the call twice does no harm.
    pub idempotent: bool,
    /// Time until the caller's deadline. It only ever shrinks.
    pub time_left: Duration,
    /// Time that a further attempt needs at the least to be of use.
    pub time_needed: Duration,
}

/// What to do after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt of the call is still out and may settle it.
    Wait,
    /// Try again at an upstream outside `excluding`.
    Again {
        /// Upstreams that were tried already.
        excluding: Vec<NodeName>,
    },
    /// The call has ended.
    GiveUp(FinalOutcome),
}

/// Which outcome a call ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// That of the attempt which ended last.
    Last,
    /// That of an earlier attempt that was answered or may have run. A refusal of a later attempt
    /// does not undo it: telling the caller `not run` would be false.
    Earlier,
    /// No attempt ran, and this is what the caller is told, at once.
    Refused(Refusal),
}

/// Decides after the attempt at `node` has ended.
pub fn decide_retry(
    budget: &mut RetryBudget,
    state: &mut RetryState,
    node: &NodeName,
    ended: AttemptEnding,
    rules: RetryRules,
) -> RetryDecision {
    state.end_attempt(node, ended);
    if ended
        == (AttemptEnding::Answered {
            server_error: false,
        })
    {
        return RetryDecision::GiveUp(FinalOutcome::Last);
    }
    if state.outstanding() > 0 {
        return RetryDecision::Wait;
    }
    let stop = find_stop(budget, state, ended, rules);
    state.note_stop(stop);
    if stop.is_none() {
        return RetryDecision::Again {
            excluding: state.tried().to_vec(),
        };
    }
    RetryDecision::GiveUp(final_outcome(budget, state, ended))
}

/// Decides when no upstream is left to choose; `ended` is how the last attempt ended, if any.
pub fn give_up_without_upstream(
    budget: &mut RetryBudget,
    state: &RetryState,
    ended: Option<AttemptEnding>,
) -> FinalOutcome {
    let nothing = AttemptEnding::NotRun(Refusal {
        reason: RefusalReason::NoUpstream,
        advice: RetryAdvice::Elsewhere,
    });
    final_outcome(budget, state, ended.unwrap_or(nothing))
}

/// Whether a second attempt may start while the first is out.
pub fn may_hedge(budget: &mut RetryBudget, state: &RetryState, rules: RetryRules) -> bool {
    rules.idempotent
        && state.outstanding() == 1
        && state.attempts() < MAX_ATTEMPTS
        && rules.time_left > rules.time_needed
        && budget.take_retry()
}

/// What keeps a call from a further attempt; takes the attempt out of the budget if nothing does.
fn find_stop(
    budget: &mut RetryBudget,
    state: &RetryState,
    ended: AttemptEnding,
    rules: RetryRules,
) -> Option<RetryStop> {
    if state.attempts() >= MAX_ATTEMPTS {
        return Some(RetryStop::Attempts);
    }
    if rules.time_left <= rules.time_needed {
        return Some(RetryStop::Deadline);
    }
    let granted = match ended {
        AttemptEnding::NotRun(refusal) if refusal.advice != RetryAdvice::Elsewhere => {
            return Some(RetryStop::Advice);
        }
        AttemptEnding::Unknown(UnknownCause::Cancelled) => return Some(RetryStop::Cancelled),
        AttemptEnding::Unknown(UnknownCause::DeadlinePassed) => return Some(RetryStop::Deadline),
        AttemptEnding::NotRun(_) if !state.may_repeat(rules.idempotent) => {
            return Some(RetryStop::MayHaveRun);
        }
        AttemptEnding::NotRun(_) => budget.take_move(),
        AttemptEnding::Answered { .. } | AttemptEnding::Unknown(_) if !rules.idempotent => {
            return Some(RetryStop::MayHaveRun);
        }
        AttemptEnding::Answered { .. } | AttemptEnding::Unknown(_) => budget.take_retry(),
    };
    (!granted).then_some(RetryStop::Budget)
}

fn final_outcome(
    budget: &mut RetryBudget,
    state: &RetryState,
    ended: AttemptEnding,
) -> FinalOutcome {
    match ended {
        AttemptEnding::NotRun(_) if state.may_have_run() => FinalOutcome::Earlier,
        AttemptEnding::NotRun(refusal) => FinalOutcome::Refused(Refusal {
            reason: refusal.reason,
            advice: pass_advice_up(refusal.advice, budget.next_come_back_step()),
        }),
        AttemptEnding::Answered { .. } | AttemptEnding::Unknown(_) => FinalOutcome::Last,
    }
}

/// The caller can't go elsewhere within the service: that was tried here.
fn pass_advice_up(advice: RetryAdvice, step: u32) -> RetryAdvice {
    match advice {
        RetryAdvice::Elsewhere => {
            RetryAdvice::After(COME_BACK + COME_BACK * (step % COME_BACK_STEPS) / COME_BACK_STEPS)
        }
        RetryAdvice::After(_) | RetryAdvice::Never => advice,
    }
}
