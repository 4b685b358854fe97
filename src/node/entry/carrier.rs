//! The way of one call: first attempt, further ones, and what the caller is told.

use crate::{
    coordination::{
        hedging::hedge_delay_for_target,
        retries::{
            AttemptEnding, FinalOutcome, RetryBudget, RetryDecision, RetryRules, RetryState,
            decide_retry, give_up_without_upstream, may_hedge,
        },
        routing::{AttemptEndKind, Choice},
    },
    events::{
        event::Event,
        reasons::{OutcomeSummary, RetryStop},
    },
    node::{
        core::NodeCore,
        entry::{
            CallEnd, EntryCall,
            attempt::{AttemptReturn, run_attempt},
            started::StartedAttempt,
        },
        executing::saturate_micros,
    },
    protocol::{
        call::CallAttempt,
        outcome::{Outcome, Refusal, RefusalReason, RetryAdvice},
    },
    state::{member::Member, names::NodeName},
};
use futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use std::{rc::Rc, time::Duration};

/// Time that a further attempt needs at the least: two messages and the shortest of calls.
const LEAST_ATTEMPT: Duration = Duration::from_millis(1);

/// An attempt that has come back.
struct Returned {
    node: NodeName,
    outcome: Outcome,
}

/// Carries one call.
pub struct Carrier {
    core: Rc<NodeCore>,
    call: EntryCall,
    state: RetryState,
    under_way: FuturesUnordered<LocalBoxFuture<'static, Returned>>,
    next_number: u16,
    /// How the last attempt ended that was answered or may have run.
    earlier: Option<CallEnd>,
}

impl Carrier {
    pub fn new(core: &Rc<NodeCore>, call: EntryCall) -> Self {
        Self {
            core: Rc::clone(core),
            next_number: call.first_attempt,
            call,
            state: RetryState::default(),
            under_way: FuturesUnordered::new(),
            earlier: None,
        }
    }

    pub async fn run(mut self) -> CallEnd {
        self.with_budget(|budget, _| budget.count_call());
        if !self.start_attempt(&[]) {
            return self.give_up(None);
        }
        let mut returned = self.first_or_hedge().await;
        while let Some(attempt) = returned {
            if let Some(end) = self.judge(attempt) {
                return end;
            }
            returned = self.under_way.next().await;
        }
        self.give_up(None)
    }

    /// Waits for the first attempt; if it takes longer than nearly all do, sends a second one.
    async fn first_or_hedge(&mut self) -> Option<Returned> {
        let Some(delay) = self.hedge_delay() else {
            return self.under_way.next().await;
        };
        let wait = self.core.timers.after(delay);
        tokio::select! {
            returned = self.under_way.next() => return returned,
            _ = wait.recv_async() => {}
        }
        self.hedge(delay);
        self.under_way.next().await
    }

    fn hedge_delay(&self) -> Option<Duration> {
        if !self.call.class.hedge || !self.call.class.idempotent {
            return None;
        }
        let latencies = self.core.latencies.borrow();
        let history = latencies.get(&self.call.class_key())?;
        let target = self.call.class.target.latency();
        hedge_delay_for_target(history, target, self.core.timers.now())
    }

    fn hedge(&mut self, delay: Duration) {
        let rules = self.rules();
        let allowed = self.with_budget(|budget, state| may_hedge(budget, state, rules));
        let tried = self.state.tried().to_vec();
        if allowed == Some(true) && self.start_attempt(&tried) {
            let event = Event::CallHedged {
                attempt: self.next_number - 1,
                after_micros: saturate_micros(delay),
            };
            self.core.recorder.record(event, Some(self.call.id));
        }
    }

    fn rules(&self) -> RetryRules {
        RetryRules {
            idempotent: self.call.class.idempotent,
            time_left: self.call.deadline.since(self.core.timers.now()),
            time_needed: LEAST_ATTEMPT,
        }
    }

    fn with_budget<T>(
        &mut self,
        decide: impl FnOnce(&mut RetryBudget, &mut RetryState) -> T,
    ) -> Option<T> {
        let mut budgets = self.core.retry_budgets.borrow_mut();
        let budget = budgets.get_mut(&self.call.service)?;
        Some(decide(budget, &mut self.state))
    }

    /// Sends an attempt to the best upstream outside `excluding`; false if there is none.
    fn start_attempt(&mut self, excluding: &[NodeName]) -> bool {
        let Some((to, choice)) = self.choose(excluding) else {
            return false;
        };
        self.state.start_attempt(to.name.clone());
        let number = self.next_number;
        self.next_number += 1;
        self.record_choice(number, choice);
        let attempt = self.call.build_attempt(number, self.core.timers.now());
        let core = Rc::clone(&self.core);
        self.under_way
            .push(Box::pin(run_counted(core, to, attempt)));
        true
    }

    fn choose(&self, excluding: &[NodeName]) -> Option<(Member, Choice)> {
        let now = self.core.timers.now();
        let mut routers = self.core.routers.borrow_mut();
        let chosen = routers
            .get_mut(&self.call.service)?
            .choose_with_reason(excluding, now)?;
        Some((self.core.find_member(&chosen.node)?, chosen))
    }

    fn record_choice(&self, attempt: u16, choice: Choice) {
        let event = Event::AttemptChosen {
            attempt,
            upstream: choice.node,
            reason: choice.reason,
            candidates: choice.candidates,
            known_load: choice.known_load,
            known_age_ms: choice.known_age_ms,
        };
        self.core.recorder.record(event, Some(self.call.id));
    }

    /// An answer, of whatever status, needs no word on why there is no further attempt.
    fn record_withheld(&self, ended: AttemptEnding, reason: Option<RetryStop>) {
        if let (AttemptEnding::NotRun(_) | AttemptEnding::Unknown(_), Some(reason)) =
            (ended, reason)
        {
            let event = Event::RetryWithheld { reason };
            self.core.recorder.record(event, Some(self.call.id));
        }
    }

    /// What the end of an attempt means: the call's end, or none if it goes on.
    fn judge(&mut self, returned: Returned) -> Option<CallEnd> {
        let ending = describe_ending(&returned.outcome);
        let rules = self.rules();
        let node = returned.node.clone();
        let decision = self
            .with_budget(|budget, state| decide_retry(budget, state, &node, ending, rules))
            .unwrap_or(RetryDecision::GiveUp(FinalOutcome::Last));
        let end = self.describe_end(returned);
        match decision {
            RetryDecision::Wait => {
                self.keep(end);
                None
            }
            RetryDecision::Again { excluding } => {
                self.keep(end);
                self.try_again(&excluding, ending)
            }
            RetryDecision::GiveUp(last) => {
                self.record_withheld(ending, self.state.stop());
                Some(self.finish(last, end))
            }
        }
    }

    fn try_again(&mut self, excluding: &[NodeName], ended: AttemptEnding) -> Option<CallEnd> {
        if !self.start_attempt(excluding) {
            self.record_withheld(ended, Some(RetryStop::NoCandidate));
            return Some(self.give_up(Some(ended)));
        }
        if let AttemptEnding::NotRun(refusal) = ended {
            let event = Event::CallRetried {
                attempt: self.next_number - 1,
                reason: refusal.reason,
            };
            self.core.recorder.record(event, Some(self.call.id));
        }
        None
    }

    /// Ends the call when no upstream is left to choose.
    fn give_up(&mut self, ended: Option<AttemptEnding>) -> CallEnd {
        let last = self.with_budget(|budget, state| give_up_without_upstream(budget, state, ended));
        let refusal = Refusal {
            reason: RefusalReason::NoUpstream,
            advice: RetryAdvice::Never,
        };
        let nothing = self.end_with(Outcome::NotRun(refusal), None);
        self.finish(last.unwrap_or(FinalOutcome::Earlier), nothing)
    }

    fn finish(&mut self, last: FinalOutcome, end: CallEnd) -> CallEnd {
        match last {
            FinalOutcome::Last => self.earlier_if_better(end),
            FinalOutcome::Earlier => self.earlier.take().unwrap_or(end),
            FinalOutcome::Refused(refusal) => CallEnd {
                outcome: Outcome::NotRun(refusal),
                ..end
            },
        }
    }

    /// An attempt that was given up without having run says nothing against an earlier answer.
    fn earlier_if_better(&mut self, end: CallEnd) -> CallEnd {
        match (&end.outcome, self.earlier.take()) {
            (Outcome::NotRun(_), Some(earlier)) => earlier,
            _ => end,
        }
    }

    fn keep(&mut self, end: CallEnd) {
        if !matches!(end.outcome, Outcome::NotRun(_)) {
            self.earlier = Some(end);
        }
    }

    fn describe_end(&self, returned: Returned) -> CallEnd {
        self.end_with(returned.outcome, Some(returned.node))
    }

    fn end_with(&self, outcome: Outcome, upstream: Option<NodeName>) -> CallEnd {
        CallEnd {
            outcome,
            upstream,
            attempts: self.next_number - self.call.first_attempt,
        }
    }
}

fn describe_ending(outcome: &Outcome) -> AttemptEnding {
    match outcome {
        Outcome::Answered(answer) => AttemptEnding::Answered {
            server_error: answer.status.is_server_error(),
        },
        Outcome::NotRun(refusal) => AttemptEnding::NotRun(*refusal),
        Outcome::Unknown(cause) => AttemptEnding::Unknown(*cause),
    }
}

/// Runs an attempt and lets the router learn from it.
async fn run_counted(core: Rc<NodeCore>, to: Member, attempt: CallAttempt) -> Returned {
    let id = attempt.id;
    let class = (attempt.service.clone(), attempt.class.clone());
    let started = StartedAttempt::count(&core, &to, &attempt.service);
    let returned = run_attempt(&core, &to, attempt).await;
    let took = started.end(describe_kind(&returned), &returned);
    if matches!(returned.outcome, Outcome::Answered(_)) {
        core.note_latency(class, took);
    }
    let event = Event::AttemptReturned {
        attempt: id.number,
        upstream: to.name.clone(),
        outcome: OutcomeSummary::from(&returned.outcome),
        took_micros: saturate_micros(took),
    };
    core.recorder.record(event, Some(id.call));
    Returned {
        node: to.name,
        outcome: returned.outcome,
    }
}

fn describe_kind(returned: &AttemptReturn) -> AttemptEndKind {
    match &returned.outcome {
        Outcome::Answered(answer) => AttemptEndKind::Answered {
            server_error: answer.status.is_server_error(),
        },
        Outcome::NotRun(refusal) => AttemptEndKind::Refused(refusal.reason),
        Outcome::Unknown(_) => AttemptEndKind::Unknown,
    }
}
