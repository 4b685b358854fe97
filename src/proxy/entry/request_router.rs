//! Carries one request: asks nodes for a slot until one runs it.

mod attempt_results;

use crate::{
    coordination::{
        placement::{PlacementCandidate, order_candidates},
        slot_search::{SearchStep, SearchTime, SlotSearch, find_hedge_delay},
    },
    protocol::{
        hop::HopRequest,
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        client_reply::RequestOutcome,
        core::{ProxyCore, increment},
        crash_detection::find_quarantine,
        entry::{
            attempt::{Returned, run_attempt},
            request_attempts::RequestAttempts,
        },
        events::ProxyEvent,
        retry_budgets::{count_request, return_retries, take_retry},
    },
    state::{
        ablation::Mechanism,
        names::{ClassName, ServiceName},
        request_fingerprint::RequestFingerprint,
        routing_table::Route,
        timestamp::Timestamp,
    },
    transport::callers::CallerRequest,
};
use attempt_results::Step;
use futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use rand::RngExt;
use std::{net::SocketAddr, ops::Range, rc::Rc, time::Duration};

/// Spread of the times at which refused clients are to come back.
const COME_BACK_SPREAD: Range<f64> = 0.8..1.2;

/// A request of a client with what was decided about it once.
pub struct ClientCall {
    /// The request.
    pub req: CallerRequest,
    /// What it asks for.
    pub digest: RequestFingerprint,
    /// Its route.
    pub route: Rc<Route>,
    /// The service picked for it.
    pub service: ServiceName,
    /// When it came.
    pub arrived: Timestamp,
    /// When its client or its route stops waiting.
    pub deadline: Timestamp,
}

/// Carries one request.
pub struct RequestRouter {
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    under_way: FuturesUnordered<LocalBoxFuture<'static, Returned>>,
    search: SlotSearch,
    attempts: Rc<RequestAttempts>,
    /// What an upstream answered, or why it is not known whether one ran the request.
    earlier: Option<RequestOutcome>,
    last_refusal: RefusalReason,
    /// Repeats taken from the budget.
    paid: u16,
}

impl RequestRouter {
    pub fn new(core: &Rc<ProxyCore>, call: ClientCall, attempts: Rc<RequestAttempts>) -> Self {
        count_request(core, &call.service);
        let kilobytes = core.class_bytes.borrow().usual(&call.route.class) / 1_000.0;
        let candidates = find_candidates(core, &call.service, &call.route.class);
        Self {
            core: Rc::clone(core),
            search: SlotSearch::begin(candidates, call.route.target, kilobytes),
            call: Rc::new(call),
            under_way: FuturesUnordered::new(),
            attempts,
            earlier: None,
            last_refusal: RefusalReason::NoUpstream,
            paid: 0,
        }
    }

    /// Ends with the first answer, or with what is known when no node is left to ask.
    pub async fn run(&mut self) -> RequestOutcome {
        if !self.ask_next() {
            return self.give_up();
        }
        let hedge = self
            .core
            .timers
            .after(find_hedge_delay(self.call.route.target));
        let mut may_hedge = self.call.route.idempotent;
        loop {
            let returned = tokio::select! {
                returned = self.under_way.next() => returned,
                _ = hedge.recv_async(), if may_hedge => {
                    may_hedge = false;
                    self.hedge();
                    continue;
                }
            };
            let Some(returned) = returned else {
                return self.give_up();
            };
            let step = self.judge(returned);
            if let Some(end) = self.take_step(step) {
                return end;
            }
        }
    }

    /// What the client is told when its time is over.
    pub fn end_at_deadline(&mut self) -> RequestOutcome {
        match self.earlier.take() {
            Some(end) => end,
            None if self.attempts.arrivals() == 0 && self.under_way.is_empty() => self.refuse(),
            None => RequestOutcome::Unknown(UnknownCause::DeadlinePassed),
        }
    }

    fn take_step(&mut self, step: Step) -> Option<RequestOutcome> {
        let goes_on = match step {
            Step::End(end) => return Some(end),
            Step::Elsewhere | Step::Repeat if !self.under_way.is_empty() => true,
            Step::Elsewhere => self.ask_next(),
            Step::Repeat => self.repeat(),
        };
        (!goes_on).then(|| self.give_up())
    }

    fn hedge(&mut self) {
        // One that waits for a slot is better off waiting than at two upstreams.
        if Mechanism::Hedging.is_off() {
            return;
        }
        if self.under_way.len() == 1 && !self.search.has_waited() && self.take_retry() {
            // Without another node to ask the first attempt is all there is.
            let _ = self.ask_next();
        }
    }

    fn repeat(&mut self) -> bool {
        !Mechanism::Retries.is_off() && self.may_repeat() && self.take_retry() && self.ask_next()
    }

    fn may_repeat(&self) -> bool {
        self.may_reach_another() && self.call.deadline > self.core.timers.now()
    }

    /// Whether one more attempt stays within the route's bound. One that is under way may have reached
    /// its upstream already.
    fn may_reach_another(&self) -> bool {
        let under_way = u16::try_from(self.under_way.len()).unwrap_or(u16::MAX);
        self.attempts.arrivals().saturating_add(under_way) < self.call.route.max_attempts
    }

    fn take_retry(&mut self) -> bool {
        if !self.may_reach_another() {
            return false;
        }
        let granted = take_retry(&self.core, &self.call.service);
        if granted {
            self.paid = self.paid.saturating_add(1);
            increment(&self.core.counters.retries);
        } else {
            self.core.log(&ProxyEvent::RetrySuppressed {
                request: self.core.read_request_id(&self.call.req.headers),
                service: self.call.service.clone(),
            });
        }
        granted
    }

    /// Asks the next node; false if there is none to ask.
    fn ask_next(&mut self) -> bool {
        if !self.may_reach_another() || find_quarantine(&self.core, self.call.digest).is_some() {
            return false;
        }
        let now = self.core.timers.now();
        let time = SearchTime {
            spent: now.since(self.call.arrived),
            left: self.call.deadline.since(now),
        };
        match self.search.find_next(time) {
            SearchStep::AskAtOnce(node) => self.send(node, Duration::ZERO),
            SearchStep::WaitAt { node, within } => self.send(node, within),
            SearchStep::GiveUp => {
                self.note_told_refusal();
                return false;
            }
        }
        true
    }

    /// Where nobody was asked since all had told of full queues a moment ago, or all are in evacuated zones, that is why the
    /// request is refused.
    fn note_told_refusal(&mut self) {
        if self.last_refusal != RefusalReason::NoUpstream {
            return;
        }
        if self.search.has_offers() {
            self.last_refusal = RefusalReason::QueueFull;
        } else if has_evacuated(&self.core, &self.call.service) {
            self.last_refusal = RefusalReason::Evacuated;
        }
    }

    fn send(&mut self, to: SocketAddr, within: Duration) {
        self.attempts.count_asked();
        let now = self.core.timers.now();
        let spent = now.since(self.call.arrived);
        let hop = HopRequest {
            service: self.call.service.clone(),
            class: self.call.route.class.clone(),
            caller: self.core.settings.service.clone(),
            time_left: self.call.deadline.since(now),
            finish_within: within,
            target_left: self.call.route.target.saturating_sub(spent),
            priority: self.call.route.priority,
            idempotent: self.call.route.idempotent,
            is_retry: self.attempts.arrivals() > 0 || !self.under_way.is_empty(),
            version: self.core.directory.borrow().version(),
            sender: self.core.settings.peers,
        };
        let core = Rc::clone(&self.core);
        let call = Rc::clone(&self.call);
        let attempts = Rc::clone(&self.attempts);
        self.under_way
            .push(Box::pin(run_attempt(core, call, attempts, to, hop)));
    }

    fn give_up(&mut self) -> RequestOutcome {
        match self.earlier.take() {
            Some(end) => end,
            None => self.refuse(),
        }
    }

    fn refuse(&self) -> RequestOutcome {
        if let Some(left) = find_quarantine(&self.core, self.call.digest) {
            return RequestOutcome::Refused(RefusalReason::Quarantined, left);
        }
        let spread = rand::rng().random_range(COME_BACK_SPREAD);
        RequestOutcome::Refused(self.last_refusal, self.search.find_come_back(spread))
    }
}

impl Drop for RequestRouter {
    /// What no upstream saw was no repeat. An attempt that is under way may still reach one.
    fn drop(&mut self) {
        let under_way = u16::try_from(self.under_way.len()).unwrap_or(u16::MAX);
        let arrivals = self.attempts.arrivals().saturating_add(under_way);
        let unspent = self.paid.saturating_sub(arrivals.saturating_sub(1));
        return_retries(&self.core, &self.call.service, unspent);
    }
}

/// Whether upstreams of a service are in evacuated zones.
fn has_evacuated(core: &ProxyCore, service: &ServiceName) -> bool {
    let directory = core.directory.borrow();
    let mut views = directory.nodes.values();
    views.any(|view| {
        view.record.service == *service && core.evacuations.contains(&view.record.availability_zone)
    })
}

fn find_candidates(
    core: &ProxyCore,
    service: &ServiceName,
    class: &ClassName,
) -> Vec<PlacementCandidate> {
    let directory = core.directory.borrow();
    let chance = || rand::rng().random_range(0.0..1.0);
    let views = directory.nodes.values();
    order_candidates(
        views.filter(|view| !core.evacuations.contains(&view.record.availability_zone)),
        (service, class),
        &core.settings.availability_zone,
        chance,
        core.timers.now(),
    )
}
