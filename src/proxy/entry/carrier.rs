//! Carries one request: asks nodes for a slot until one runs it.

use crate::{
    coordination::placement::{PlacementCandidate, order_candidates},
    protocol::{
        hop::{HopAnswer, HopRequest, Verdict},
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        core::{ProxyCore, count},
        executing::{Executed, execute},
        peers::send_hop,
        reply::ClientEnd,
    },
    state::{moment::Moment, names::ServiceName, routing_table::Route},
    transport::{callers::CallerRequest, outgoing::SendError},
};
use bytes::Bytes;
use futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::Response;
use rand::RngExt;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Nodes asked for a slot at once before a request waits or is refused.
const MAX_ASKED: usize = 6;
/// Share of the target after which an idempotent request is sent to a second node.
const HEDGE_SHARE: f64 = 0.6;
/// Share of the target that a request may wait for a slot; the rest is for the work itself.
const PATIENCE_SHARE: f64 = 0.5;
/// When to come back after a refusal, at the least and at the most.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));

/// A request of a client with what was decided about it once.
pub struct ClientCall {
    /// The request.
    pub req: CallerRequest,
    /// Its route.
    pub route: Rc<Route>,
    /// The service picked for it.
    pub service: ServiceName,
    /// When it came.
    pub arrived: Moment,
    /// When its client or its route stops waiting.
    pub deadline: Moment,
}

/// An attempt that has come back.
struct Returned {
    to: SocketAddr,
    result: Result<Executed, SendError>,
}

/// What an attempt's end means for the request.
enum Step {
    End(ClientEnd),
    /// It did not reach an upstream; another node may be asked.
    Elsewhere,
    /// It reached an upstream; another one costs a repeat.
    Repeat,
}

/// Carries one request.
pub struct Carrier {
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    under_way: FuturesUnordered<LocalBoxFuture<'static, Returned>>,
    candidates: std::vec::IntoIter<PlacementCandidate>,
    asked: usize,
    /// Attempts that reached an upstream or may have.
    arrivals: u16,
    /// The node with the shortest wait for a slot so far.
    shortest: Option<(SocketAddr, Duration)>,
    /// What an upstream answered, or why it is not known whether one ran the request.
    earlier: Option<ClientEnd>,
    last_refusal: RefusalReason,
    waited: bool,
}

impl Carrier {
    pub fn new(core: &Rc<ProxyCore>, call: ClientCall) -> Self {
        let candidates = find_candidates(core, &call.service).into_iter();
        count_request(core, &call.service);
        Self {
            core: Rc::clone(core),
            call: Rc::new(call),
            under_way: FuturesUnordered::new(),
            candidates,
            asked: 0,
            arrivals: 0,
            shortest: None,
            earlier: None,
            last_refusal: RefusalReason::NoUpstream,
            waited: false,
        }
    }

    /// Ends with the first answer, or with what is known when no node is left to ask.
    pub async fn run(&mut self) -> ClientEnd {
        if !self.ask_next() {
            return self.give_up();
        }
        let hedge = self.core.timers.after(self.hedge_delay());
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
    pub fn end_at_deadline(&mut self) -> ClientEnd {
        match self.earlier.take() {
            Some(end) => end,
            None if self.arrivals == 0 && self.under_way.is_empty() => self.refuse(),
            None => ClientEnd::Unknown(UnknownCause::DeadlinePassed),
        }
    }

    fn take_step(&mut self, step: Step) -> Option<ClientEnd> {
        let goes_on = match step {
            Step::End(end) => return Some(end),
            Step::Elsewhere | Step::Repeat if !self.under_way.is_empty() => true,
            Step::Elsewhere => self.ask_next() || self.wait_at_shortest(),
            Step::Repeat => self.repeat(),
        };
        (!goes_on).then(|| self.give_up())
    }

    fn hedge_delay(&self) -> Duration {
        self.call.route.target.mul_f64(HEDGE_SHARE)
    }

    fn hedge(&mut self) {
        if self.under_way.len() == 1 && self.take_repeat() && !self.ask_next() {
            tracing::debug!("no second node to ask");
        }
    }

    fn repeat(&mut self) -> bool {
        self.may_repeat() && self.take_repeat() && (self.ask_next() || self.wait_at_shortest())
    }

    fn may_repeat(&self) -> bool {
        self.may_reach_another() && self.call.deadline > self.core.timers.now()
    }

    /// Whether one more attempt stays within the route's bound. One that is under way may have reached
    /// its upstream already.
    fn may_reach_another(&self) -> bool {
        let under_way = u16::try_from(self.under_way.len()).unwrap_or(u16::MAX);
        self.arrivals.saturating_add(under_way) < self.call.route.max_attempts
    }

    fn take_repeat(&self) -> bool {
        if !self.may_reach_another() {
            return false;
        }
        let now = self.core.timers.now();
        let nodes = self.core.directory.borrow().nodes.len();
        let mut budgets = self.core.repeats.borrow_mut();
        let budget = budgets.entry(self.call.service.clone()).or_default();
        let granted = budget.take(now, self.core.settings.repeats, nodes);
        if granted {
            count(&self.core.counters.repeats);
        }
        granted
    }

    /// Asks the next node for a slot at once; false if there is none to ask.
    fn ask_next(&mut self) -> bool {
        if self.asked >= MAX_ASKED || !self.may_reach_another() {
            return false;
        }
        let Some(next) = self.candidates.next() else {
            return false;
        };
        self.asked += 1;
        self.send(next.address, Duration::ZERO);
        true
    }

    /// Waits for a slot where the wait is shortest, if it is short enough.
    fn wait_at_shortest(&mut self) -> bool {
        if self.waited || !self.may_reach_another() {
            return false;
        }
        let Some((address, wait)) = self.shortest else {
            return false;
        };
        let patience = self.patience();
        if wait > patience {
            return false;
        }
        self.waited = true;
        self.send(address, patience);
        true
    }

    fn patience(&self) -> Duration {
        let spent = self.core.timers.now().since(self.call.arrived);
        let most = self.call.route.target.mul_f64(PATIENCE_SHARE);
        most.saturating_sub(spent)
    }

    fn send(&mut self, to: SocketAddr, patience: Duration) {
        let hop = HopRequest {
            service: self.call.service.clone(),
            class: self.call.route.class.clone(),
            caller: self.core.settings.service.clone(),
            time_left: self.call.deadline.since(self.core.timers.now()),
            patience,
            priority: self.call.route.priority,
            idempotent: self.call.route.idempotent,
            version: self.core.directory.borrow().version(),
            from: self.core.settings.peers,
        };
        let core = Rc::clone(&self.core);
        let call = Rc::clone(&self.call);
        self.under_way
            .push(Box::pin(run_attempt(core, call, to, hop)));
    }

    fn judge(&mut self, returned: Returned) -> Step {
        let Returned { to, result } = returned;
        match result {
            Ok(Executed { answer, response }) => self.judge_answer(to, answer, response),
            Err(SendError::NotSent) => {
                self.last_refusal = RefusalReason::NotSent;
                Step::Elsewhere
            }
            Err(_) => {
                self.arrivals += 1;
                self.judge_unknown(UnknownCause::NodeLost)
            }
        }
    }

    fn judge_answer(
        &mut self,
        to: SocketAddr,
        answer: HopAnswer,
        response: Option<Response<Bytes>>,
    ) -> Step {
        match (answer.verdict, response) {
            (Verdict::Answered, Some(response)) => {
                self.arrivals += 1;
                self.judge_response(response)
            }
            (Verdict::Answered, None) => {
                self.arrivals += 1;
                self.judge_unknown(UnknownCause::BadAnswer)
            }
            (Verdict::Unknown(cause), _) => {
                self.arrivals += 1;
                self.judge_unknown(cause)
            }
            (Verdict::Refused(RefusalReason::UpstreamShed), _) => {
                self.arrivals += 1;
                self.last_refusal = RefusalReason::UpstreamShed;
                Step::Repeat
            }
            (Verdict::Refused(reason), _) => {
                self.last_refusal = reason;
                if reason == RefusalReason::QueueFull
                    && self.shortest.is_none_or(|(_, wait)| answer.wait < wait)
                {
                    self.shortest = Some((to, answer.wait));
                }
                Step::Elsewhere
            }
        }
    }

    /// A server error of an idempotent request may be a matter of that upstream only.
    fn judge_response(&mut self, response: Response<Bytes>) -> Step {
        let failed = response.status().is_server_error();
        let end = ClientEnd::Answered(Box::new(response));
        if failed && self.call.route.idempotent {
            self.earlier = Some(end);
            return Step::Repeat;
        }
        Step::End(end)
    }

    fn judge_unknown(&mut self, cause: UnknownCause) -> Step {
        let end = ClientEnd::Unknown(cause);
        if !self.call.route.idempotent || cause == UnknownCause::DeadlinePassed {
            return Step::End(end);
        }
        if self.earlier.is_none() {
            self.earlier = Some(end);
        }
        Step::Repeat
    }

    fn give_up(&mut self) -> ClientEnd {
        match self.earlier.take() {
            Some(end) => end,
            None => self.refuse(),
        }
    }

    fn refuse(&self) -> ClientEnd {
        let (least, most) = COME_BACK;
        let wait = self.shortest.map_or(least, |(_, wait)| wait);
        let spread = rand::rng().random_range(0.8..1.2);
        let after = wait.clamp(least, most).mul_f64(spread);
        ClientEnd::Refused(self.last_refusal, after)
    }
}

fn find_candidates(core: &ProxyCore, service: &ServiceName) -> Vec<PlacementCandidate> {
    let directory = core.directory.borrow();
    let chance = || rand::rng().random_range(0.0..1.0);
    order_candidates(
        directory.nodes.values(),
        service,
        &core.settings.availability_zone,
        chance,
        core.timers.now(),
    )
}

fn count_request(core: &ProxyCore, service: &ServiceName) {
    let now = core.timers.now();
    let mut budgets = core.repeats.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.count_request(now, core.settings.repeats);
}

/// Runs one attempt and learns from its end.
async fn run_attempt(
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    to: SocketAddr,
    hop: HopRequest,
) -> Returned {
    let outstanding = Outstanding::count(&core, to);
    let result = if to == core.settings.peers {
        Ok(execute(&core, &hop, copy_request(&call.req)).await)
    } else {
        send_hop(&core, to, &hop, &call.req).await
    };
    outstanding.learn(&result);
    Returned { to, result }
}

fn copy_request(req: &CallerRequest) -> CallerRequest {
    CallerRequest {
        method: req.method.clone(),
        uri: req.uri.clone(),
        headers: req.headers.clone(),
        body: req.body.clone(),
    }
}

/// Counts an attempt at a node for as long as it is under way.
struct Outstanding {
    core: Rc<ProxyCore>,
    to: SocketAddr,
}

impl Outstanding {
    fn count(core: &Rc<ProxyCore>, to: SocketAddr) -> Self {
        if let Some(view) = core.directory.borrow_mut().nodes.get_mut(&to) {
            view.outstanding += 1;
        }
        Self {
            core: Rc::clone(core),
            to,
        }
    }

    fn learn(&self, result: &Result<Executed, SendError>) {
        let now = self.core.timers.now();
        let mut directory = self.core.directory.borrow_mut();
        let Some(view) = directory.nodes.get_mut(&self.to) else {
            return;
        };
        let Ok(executed) = result else {
            let pause = view.note_unreachable(now);
            tracing::info!(event = 420, to = %self.to, pause_ms = pause.as_millis(), "node not reached");
            return;
        };
        view.note_reached();
        view.load = Some((executed.answer.load, now));
        if let Verdict::Refused(reason) = executed.answer.verdict {
            pause_after_refusal(view, reason, now);
        }
    }
}

/// A node whose upstream takes no work at all is left out for a while.
fn pause_after_refusal(
    view: &mut crate::state::placement_view::NodeView,
    reason: RefusalReason,
    now: Moment,
) {
    const PAUSE: Duration = Duration::from_millis(300);
    let takes_none = matches!(
        reason,
        RefusalReason::Draining
            | RefusalReason::UpstreamDown
            | RefusalReason::UnknownClass
            | RefusalReason::NotSent
    );
    if takes_none {
        view.paused_until = now + PAUSE;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        let mut directory = self.core.directory.borrow_mut();
        if let Some(view) = directory.nodes.get_mut(&self.to) {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
    }
}
