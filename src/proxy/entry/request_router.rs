//! Routes one request: asks nodes for a slot until one executes it.

mod attempt_results;

use crate::{
    coordination::{
        placement::{PlacementCandidate, order_candidates},
        slot_search::{RETRY_AFTER_RANGE, SearchStep, SearchTime, SlotSearch, find_hedge_delay},
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
            attempt::{AttemptResult, run_attempt},
            authentication::Sender,
            request_attempts::RequestAttempts,
        },
        events::ProxyEvent,
        graceful_stop::find_requests_end,
        retry_budgets::{count_request, refund_retries, spend_retry},
    },
    state::{
        ablation::Mechanism,
        names::{ClassName, ServiceName},
        organisations::{Organisation, rank_request},
        request_fingerprint::RequestFingerprint,
        request_rate::RequestRate,
        routing_table::Route,
        timestamp::Timestamp,
    },
    transport::{callers::CallerRequest, message_body::is_large},
};
use attempt_results::NextStep;
use futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use rand::RngExt;
use std::{net::SocketAddr, ops::Range, rc::Rc, time::Duration};

/// Random factor of the `Retry-After` times of refused clients.
const RETRY_AFTER_SPREAD: Range<f64> = 0.8..1.2;
/// The same after refusals because of rejected calls, which end for all clients at the same time.
const CALLS_RETRY_AFTER_SPREAD: Range<f64> = 1.0..2.0;

/// How often the search for a slot may begin again after refusals by nodes of ejected upstreams.
const MAX_SEARCH_RESTARTS: u32 = 2;

/// A client request with its route, service and deadline.
pub struct ClientCall {
    /// The request.
    pub req: CallerRequest,
    /// Identifies requests with the same content.
    pub fingerprint: RequestFingerprint,
    /// Route of the request.
    pub route: Rc<Route>,
    /// The service picked for it.
    pub service: ServiceName,
    /// The organisation that sent it, with its key; `None` if it needs no API key.
    pub sender: Option<Sender>,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The earlier of the client's deadline and the timeout of the route.
    pub deadline: Timestamp,
}

/// Makes attempts at one request until it has an outcome.
pub struct RequestRouter {
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    in_flight: FuturesUnordered<LocalBoxFuture<'static, AttemptResult>>,
    /// Nodes of the attempts in flight.
    nodes_in_flight: Vec<SocketAddr>,
    search: SlotSearch,
    attempts: Rc<RequestAttempts>,
    /// Outcome of an earlier attempt that may be retried: a server error, or why it is unknown whether the request was executed.
    /// It becomes the outcome of the request if no later attempt gives one.
    earlier_outcome: Option<RequestOutcome>,
    last_refusal: RefusalReason,
    /// Retries spent from the retry budget.
    spent_retries: u16,
    /// Whether a node of an ejected upstream has refused the request since the search began.
    was_refused_as_failing: bool,
    /// How often the search has begun again.
    search_restarts: u32,
}

impl ClientCall {
    fn organisation(&self) -> Option<&Organisation> {
        self.sender.as_ref().map(|sender| &*sender.organisation)
    }

    fn was_key_withdrawn(&self, core: &ProxyCore) -> bool {
        let sender = self.sender.as_ref();
        sender.is_some_and(|sender| sender.was_key_withdrawn(core))
    }
}

impl RequestRouter {
    pub fn new(core: &Rc<ProxyCore>, call: ClientCall, attempts: Rc<RequestAttempts>) -> Self {
        count_request(core, &call.service);
        Self {
            core: Rc::clone(core),
            search: begin_search(core, &call),
            call: Rc::new(call),
            in_flight: FuturesUnordered::new(),
            nodes_in_flight: Vec::new(),
            attempts,
            earlier_outcome: None,
            last_refusal: RefusalReason::NoUpstream,
            spent_retries: 0,
            was_refused_as_failing: false,
            search_restarts: 0,
        }
    }

    /// Makes attempts until one gives a final outcome or no node is left to ask. An idempotent request without an answer is hedged
    /// once, and whenever all nodes that have it are suspect.
    pub async fn run(&mut self) -> RequestOutcome {
        if !self.try_next_node() {
            return self.end_without_answer();
        }
        let hedge = self
            .core
            .timers
            .after(find_hedge_delay(self.call.route.target));
        let mut may_hedge = self.call.route.idempotent;
        loop {
            let attempt = tokio::select! {
                attempt = self.in_flight.next() => attempt,
                _ = hedge.recv_async(), if may_hedge => {
                    may_hedge = false;
                    self.start_hedge();
                    continue;
                }
                () = self.core.liveness.wait_for_suspicion(), if self.call.route.idempotent => {
                    self.hedge_suspect_attempts();
                    continue;
                }
            };
            let Some(attempt) = attempt else {
                return self.end_without_answer();
            };
            self.nodes_in_flight.retain(|node| *node != attempt.to);
            let step = self.apply_result(attempt);
            if let Some(outcome) = self.perform_step(step) {
                return outcome;
            }
        }
    }

    /// The outcome of the request if it has to end now, for the given cause.
    pub fn end_early(&mut self, cause: UnknownCause) -> RequestOutcome {
        match self.earlier_outcome.take() {
            Some(outcome) => outcome,
            None if self.attempts.upstream_attempts() == 0 && self.in_flight.is_empty() => {
                self.refuse()
            }
            None => RequestOutcome::Unknown(cause),
        }
    }

    /// When the request has to end: at its deadline, or earlier if this node is stopping.
    fn latest_end(&self) -> Timestamp {
        let requests_end = find_requests_end(&self.core);
        requests_end.map_or(self.call.deadline, |end| end.min(self.call.deadline))
    }

    /// Performs the next step; returns the outcome if the request ends with it.
    fn perform_step(&mut self, step: NextStep) -> Option<RequestOutcome> {
        let continues = match step {
            NextStep::End(outcome) => return Some(outcome),
            NextStep::TryAnotherNode | NextStep::Retry if self.has_live_attempt() => true,
            NextStep::TryAnotherNode => self.try_next_node() || !self.in_flight.is_empty(),
            NextStep::Retry => self.retry() || !self.in_flight.is_empty(),
        };
        (!continues).then(|| self.end_without_answer())
    }

    fn start_hedge(&mut self) {
        // A request that waits for a slot gains nothing from a second upstream, so it is not hedged.
        if Mechanism::Hedging.is_disabled() {
            return;
        }
        if self.in_flight.len() == 1 && !self.search.has_waited() && self.try_spend_retry() {
            // Without another node to ask, the first attempt goes on alone.
            let _ = self.try_next_node();
        }
    }

    /// Whether an attempt is in flight at a node that is not suspect.
    fn has_live_attempt(&self) -> bool {
        let liveness = &self.core.liveness;
        let mut nodes = self.nodes_in_flight.iter();
        nodes.any(|node| !liveness.is_suspect(*node))
    }

    /// Sends the request to another node if all nodes that have it are suspect, also if it waits there for a slot. The search begins
    /// again: what is known of the nodes has changed, and the request may have been meant to wait at one of the suspect ones.
    fn hedge_suspect_attempts(&mut self) {
        if Mechanism::Hedging.is_disabled()
            || self.in_flight.is_empty()
            || self.has_live_attempt()
            || !self.try_spend_retry()
        {
            return;
        }
        self.search = begin_search(&self.core, &self.call);
        if self.try_next_node() {
            increment(&self.core.liveness.hedges);
        }
    }

    fn retry(&mut self) -> bool {
        !Mechanism::Retries.is_disabled()
            && self.may_retry()
            && self.try_spend_retry()
            && self.try_next_node()
    }

    fn may_retry(&self) -> bool {
        self.may_attempt_another() && self.latest_end() > self.core.timers.now()
    }

    /// Whether one more attempt stays within the attempt limit of the route. Attempts in flight count, since they may have reached
    /// an upstream already.
    fn may_attempt_another(&self) -> bool {
        let in_flight = u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX);
        self.attempts.upstream_attempts().saturating_add(in_flight) < self.call.route.max_attempts
    }

    fn try_spend_retry(&mut self) -> bool {
        if !self.may_attempt_another() {
            return false;
        }
        let granted = spend_retry(&self.core, &self.call.service);
        if granted {
            self.spent_retries = self.spent_retries.saturating_add(1);
            increment(&self.core.counters.retries);
        } else {
            self.core.log(&ProxyEvent::RetrySuppressed {
                request: self.core.read_request_id(&self.call.req.headers),
                service: self.call.service.clone(),
            });
        }
        granted
    }

    /// Starts an attempt at the next node; false if no node is left or no attempt is allowed.
    fn try_next_node(&mut self) -> bool {
        if !self.may_attempt_another()
            || find_quarantine(&self.core, self.call.fingerprint).is_some()
            || self.call.was_key_withdrawn(&self.core)
        {
            return false;
        }
        let now = self.core.timers.now();
        let time = SearchTime {
            elapsed: now.since(self.call.arrived),
            remaining: self.latest_end().since(now),
        };
        match self.find_next_live_node(time) {
            SearchStep::TryNode(node) => self.start_attempt(node, Duration::ZERO),
            SearchStep::WaitAt {
                node,
                finish_within,
            } => self.start_attempt(node, finish_within),
            SearchStep::GiveUp if self.restart_search() => return self.try_next_node(),
            SearchStep::GiveUp => {
                self.set_refusal_without_attempt();
                return false;
            }
        }
        true
    }

    /// Begins the search again if nodes of ejected upstreams have refused the request. A search asks only a few nodes, and while many
    /// upstreams have just been ejected, all of these may refuse although others are healthy.
    fn restart_search(&mut self) -> bool {
        let restarts = self.was_refused_as_failing && self.search_restarts < MAX_SEARCH_RESTARTS;
        if restarts {
            self.was_refused_as_failing = false;
            self.search_restarts += 1;
            self.search = begin_search(&self.core, &self.call);
        }
        restarts
    }

    /// The next step of the search that leads to a node that is not suspect.
    fn find_next_live_node(&mut self, time: SearchTime) -> SearchStep {
        loop {
            let step = self.search.find_next(time);
            match step {
                SearchStep::TryNode(node) | SearchStep::WaitAt { node, .. }
                    if self.core.liveness.is_suspect(node) => {}
                _ => return step,
            }
        }
    }

    /// Sets the reason for a refusal without any attempt: all nodes have just reported full queues, or all are in evacuated zones.
    fn set_refusal_without_attempt(&mut self) {
        if self.last_refusal != RefusalReason::NoUpstream {
            return;
        }
        if self.search.has_refusals() {
            self.last_refusal = RefusalReason::QueueFull;
        } else if has_evacuated_upstreams(&self.core, &self.call.service) {
            self.last_refusal = RefusalReason::Evacuated;
        }
    }

    fn start_attempt(&mut self, to: SocketAddr, finish_within: Duration) {
        self.attempts.count_node_asked();
        self.nodes_in_flight.push(to);
        let now = self.core.timers.now();
        let elapsed = now.since(self.call.arrived);
        let hop = HopRequest {
            service: self.call.service.clone(),
            class: self.call.route.class.clone(),
            caller: self.core.settings.service.clone(),
            time_left: self.latest_end().since(now),
            finish_within,
            target_left: self.call.route.target.saturating_sub(elapsed),
            priority: rank_request(self.call.organisation(), &self.call.route),
            idempotent: self.call.route.idempotent,
            is_retry: self.attempts.upstream_attempts() > 0 || !self.in_flight.is_empty(),
            version: self.core.directory.borrow().version(),
            sender: self.core.settings.peer_address,
            request_limit: find_request_limit(&self.core, to),
            organisation: self.call.organisation().map(|known| known.name.clone()),
            knows_ejection: self.core.limits().upstream_health.is_some(),
            ends_with_sender: self.latest_end() < self.call.deadline,
            has_fingerprint: is_large(self.call.req.body.known_length()),
        };
        let core = Rc::clone(&self.core);
        let call = Rc::clone(&self.call);
        let attempts = Rc::clone(&self.attempts);
        self.in_flight
            .push(Box::pin(run_attempt(core, call, attempts, to, hop)));
    }

    fn end_without_answer(&mut self) -> RequestOutcome {
        match self.earlier_outcome.take() {
            Some(outcome) => outcome,
            None => self.refuse(),
        }
    }

    fn refuse(&self) -> RequestOutcome {
        if let Some(remaining) = find_quarantine(&self.core, self.call.fingerprint) {
            return RequestOutcome::Refused(RefusalReason::Quarantined, remaining);
        }
        if self.call.was_key_withdrawn(&self.core) {
            increment(&self.core.counters.unauthorized);
            return RequestOutcome::Unauthorized;
        }
        RequestOutcome::Refused(self.last_refusal, self.find_retry_after())
    }

    fn find_retry_after(&self) -> Duration {
        if self.last_refusal == RefusalReason::CallsRejected {
            // Clients that return earlier are refused again.
            let (_, max) = RETRY_AFTER_RANGE;
            return max.mul_f64(rand::rng().random_range(CALLS_RETRY_AFTER_SPREAD));
        }
        if self.core.limits().overload.refuses_early() {
            let remaining = self.call.deadline.since(self.core.timers.now());
            let chance = rand::rng().random_range(0.0..1.0);
            return self.search.find_spread_retry_after(remaining, chance);
        }
        let spread = rand::rng().random_range(RETRY_AFTER_SPREAD);
        self.search.find_retry_after(spread)
    }
}

impl Drop for RequestRouter {
    /// Returns the retries that reached no upstream. Attempts in flight count as spent, since they may still reach one.
    fn drop(&mut self) {
        let in_flight = u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX);
        let upstream_attempts = self.attempts.upstream_attempts().saturating_add(in_flight);
        let unspent = self
            .spent_retries
            .saturating_sub(upstream_attempts.saturating_sub(1));
        refund_retries(&self.core, &self.call.service, unspent);
    }
}

/// The request limit of the upstream of a node, as far as answers to requests of this node have shown.
fn find_request_limit(core: &ProxyCore, node: SocketAddr) -> Option<RequestRate> {
    let directory = core.directory.borrow();
    directory.nodes.get(&node)?.request_limit.rate()
}

/// Whether a service has upstreams in evacuated zones.
fn has_evacuated_upstreams(core: &ProxyCore, service: &ServiceName) -> bool {
    let directory = core.directory.borrow();
    let mut known_nodes = directory.nodes.values();
    known_nodes.any(|node| {
        node.record.service == *service && core.evacuations.contains(&node.record.availability_zone)
    })
}

/// Begins the search for a slot among the nodes that are available now.
fn begin_search(core: &ProxyCore, call: &ClientCall) -> SlotSearch {
    let kilobytes = core.class_bytes.borrow().average_bytes(&call.route.class) / 1_000.0;
    let candidates = find_candidates(core, &call.service, &call.route.class);
    SlotSearch::begin(candidates, call.route.target, kilobytes)
}

fn find_candidates(
    core: &ProxyCore,
    service: &ServiceName,
    class: &ClassName,
) -> Vec<PlacementCandidate> {
    let directory = core.directory.borrow();
    let chance = || rand::rng().random_range(0.0..1.0);
    let known_nodes = directory.nodes.values();
    order_candidates(
        known_nodes.filter(|node| {
            !core.evacuations.contains(&node.record.availability_zone)
                && !core.liveness.is_suspect(node.record.address)
        }),
        (service, class),
        &core.settings.availability_zone,
        chance,
        core.timers.now(),
    )
}
