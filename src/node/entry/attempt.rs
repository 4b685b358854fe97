//! One attempt at a call, at this node's upstream or another node's.

use crate::{
    events::event::Event,
    node::{
        core::NodeCore,
        executing::{execute_attempt, settle_attempt},
    },
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        load_report::LoadReport,
        outcome::{
            AttemptResult, Outcome, Refusal, RefusalReason, RetryAdvice, Settlement, UnknownCause,
        },
    },
    state::member::Member,
    transport::peers::PeerError,
};
use std::{rc::Rc, time::Duration};

/// How long after its deadline an attempt's result is still waited for. The executing node ends the
/// attempt at the deadline, and its word is worth more than a guess here.
const RESULT_GRACE: Duration = Duration::from_millis(100);

/// The result of an attempt; the load is absent if the executing node told none.
pub struct AttemptReturn {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Load of the upstream, if it was told.
    pub load: Option<LoadReport>,
}

impl From<AttemptResult> for AttemptReturn {
    fn from(result: AttemptResult) -> Self {
        Self {
            outcome: result.outcome,
            load: Some(result.load),
        }
    }
}

/// Sends an attempt to the node beside the chosen upstream and settles it if the answer is lost.
pub async fn run_attempt(core: &Rc<NodeCore>, to: &Member, attempt: CallAttempt) -> AttemptReturn {
    if to.name == core.me.name {
        return execute_attempt(Rc::clone(core), attempt).await.into();
    }
    let Some(peers) = core.peers.get() else {
        return refuse(RefusalReason::NotSent);
    };
    let id = attempt.id;
    let patience = core.timers.after(attempt.time_left + RESULT_GRACE);
    let answered = tokio::select! {
        answered = peers.execute(to, &attempt) => Some(answered),
        _ = patience.recv_async() => None,
    };
    match answered {
        Some(Ok(result)) => result.into(),
        Some(Err(PeerError::Lost(_))) | None => settle_lost(core, to, id).await,
        Some(Err(_)) => refuse(RefusalReason::NotSent),
    }
}

/// Asks the executing node what became of an attempt whose answer was lost.
async fn settle_lost(core: &Rc<NodeCore>, to: &Member, id: AttemptId) -> AttemptReturn {
    let event = Event::SettleAsked {
        attempt: id.number,
        upstream: to.name.clone(),
    };
    core.recorder.record(event, Some(id.call));
    let settlement = ask_settlement(core, to, id).await;
    let event = Event::AttemptSettled {
        attempt: id.number,
        settlement,
    };
    core.recorder.record(event, Some(id.call));
    match settlement {
        Settlement::NeverRuns => refuse(RefusalReason::NotSent),
        Settlement::Ran | Settlement::Unknown => AttemptReturn {
            outcome: Outcome::Unknown(UnknownCause::NodeLost),
            load: None,
        },
    }
}

async fn ask_settlement(core: &Rc<NodeCore>, to: &Member, id: AttemptId) -> Settlement {
    if to.name == core.me.name {
        return settle_attempt(core, id);
    }
    let Some(peers) = core.peers.get() else {
        return Settlement::Unknown;
    };
    // `cancel` settles and also stops an attempt that still runs for nobody.
    peers.cancel(to, id).await.unwrap_or(Settlement::Unknown)
}

fn refuse(reason: RefusalReason) -> AttemptReturn {
    AttemptReturn {
        outcome: Outcome::NotRun(Refusal {
            reason,
            advice: RetryAdvice::Elsewhere,
        }),
        load: None,
    }
}
