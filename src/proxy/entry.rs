//! Handles the requests of the clients on the node's VM.

mod attempt;
mod authentication;
mod request_attempts;
mod request_log_line;
mod request_router;
mod startup_wait;
mod waiting_attempts;

pub use waiting_attempts::WaitingAttempts;

use crate::{
    protocol::outcome::{RefusalReason, UnknownCause},
    proxy::{
        client_reply::{RequestOutcome, build_reply},
        core::{ProxyCore, increment},
        crash_detection::find_quarantine,
        entry::{
            authentication::{authenticate, have_keys_expired, remove_identity},
            request_log_line::RequestLogLine,
            request_router::{ClientCall, RequestRouter},
            startup_wait::wait_during_startup,
        },
        events::ProxyEvent,
        quotas::{obtain_credit, return_credit},
    },
    state::{
        names::{ClassName, ServiceName},
        organisations::Organisation,
        request_fingerprint::RequestFingerprint,
        routing_table::Route,
        timestamp::Timestamp,
    },
    transport::{
        callers::{CallerHandler, CallerLimits, CallerReply, CallerRequest},
        message_body::ReadError,
    },
};
use futures::future::LocalBoxFuture;
use http::HeaderValue;
use std::{rc::Rc, time::Duration};
use uuid::Uuid;

/// `Retry-After` of a node that has no routing table yet, or an outdated one.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Share of the apply time after which a node refuses requests if a newer configuration was reported to it and is not in force here.
/// The apply time is the limit until a configuration is in force at all nodes; the rest of it covers reports that arrive late.
const VERSION_REPORT_SHARE: f64 = 0.5;
/// Share of the grace period (stop request to kill) in which a stopping node accepts requests. Clients continue to send while too
/// few other nodes are ready; a request that is still in progress when the node is killed would be aborted.
const ACCEPTING_GRACE_SHARE: f64 = 0.45;
/// `Retry-After` of a node that is stopping. The retry reaches another node or the next incarnation of this one.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Client connections are closed after this many times the idle time that the configuration allows clients.
const IDLE_TIMEOUT_FACTOR: u32 = 2;
/// Divisor of a latency target. A client that returns after more than this part of the target is likely to be answered late.
const LATE_RETURN_DIVISOR: u32 = 2;
/// Successive multiples of the golden ratio, modulo 1, are evenly distributed and spread the picks of a service.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Handles client requests.
pub struct ClientHandler {
    core: Rc<ProxyCore>,
}

impl ClientHandler {
    /// Creates the handler for the client listener of a node.
    #[must_use]
    pub fn new(core: Rc<ProxyCore>) -> Self {
        Self { core }
    }
}

impl CallerHandler for ClientHandler {
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            let _in_progress = InProgressGuard::begin(&core);
            let arrived = core.timers.now();
            let mut req = req;
            ensure_request_id(&core, &mut req);
            let fingerprint = req.fingerprint;
            let mut line = RequestLogLine::new(&core, &req, fingerprint);
            let outcome = route_request(&core, req, fingerprint, &mut line).await;
            count_outcome(
                &core,
                &outcome,
                line.class(),
                core.timers.now().since(arrived),
            );
            line.write_outcome(&outcome);
            build_reply(&core.settings.headers, outcome)
        })
    }

    fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }

    fn record_rejected_body(&self, error: ReadError) {
        record_rejected_body(&self.core, error);
    }

    /// Takes the limits for idle time and body size from the configuration in force. Closing a connection within the idle time that
    /// the configuration allows clients would abort requests that are in transit.
    fn limits(&self, initial: CallerLimits) -> CallerLimits {
        let Some(routes) = self.core.routes() else {
            return initial;
        };
        let limits = routes.table().limits;
        CallerLimits {
            head_timeout: initial
                .head_timeout
                .max(limits.idle_timeout * IDLE_TIMEOUT_FACTOR),
            max_body_bytes: limits.max_body_bytes.min(initial.max_body_bytes),
            ..initial
        }
    }
}

/// Counts and logs that a request was rejected for lack of memory.
pub fn record_rejected_body(core: &ProxyCore, error: ReadError) {
    if error == ReadError::MemoryFull {
        increment(&core.counters.refused_for_memory);
        core.log(&ProxyEvent::MemoryFull {
            held: core.memory.held(),
            limit: core.memory.total(),
        });
    }
}

/// Counts a request as in progress until dropped, also when its client disconnects.
struct InProgressGuard(Rc<ProxyCore>);

impl InProgressGuard {
    fn begin(core: &Rc<ProxyCore>) -> Self {
        core.in_progress.set(core.in_progress.get() + 1);
        increment(&core.counters.requests);
        Self(Rc::clone(core))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Adds a random request ID if the client sent none. The node and the upstream distinguish requests by their IDs.
fn ensure_request_id(core: &ProxyCore, req: &mut CallerRequest) {
    let name = &core.settings.headers.request_id;
    if req.headers.contains_key(name) {
        return;
    }
    if let Ok(id) = HeaderValue::from_str(&Uuid::new_v4().to_string()) {
        req.headers.insert(name, id);
    }
}

fn count_outcome(
    core: &ProxyCore,
    outcome: &RequestOutcome,
    class: Option<(ClassName, Duration)>,
    took: Duration,
) {
    let counters = &core.counters;
    match outcome {
        RequestOutcome::Answered(_) => increment(&counters.answered),
        RequestOutcome::Refused(..) | RequestOutcome::NoRoute | RequestOutcome::Unauthorized => {
            increment(&counters.refused);
        }
        RequestOutcome::Unknown(_) => increment(&counters.unknown),
    }
    let Some((class, target)) = class else {
        return;
    };
    core.update_class_counts(&class, |counts| match outcome {
        RequestOutcome::Answered(_) => counts.count_answer(took, target),
        RequestOutcome::Refused(..) | RequestOutcome::NoRoute | RequestOutcome::Unauthorized => {
            counts.count_refusal();
        }
        RequestOutcome::Unknown(_) => counts.count_unknown(),
    });
}

/// Whether a request accepted now might not end before the stopping node is killed.
fn is_too_late_to_accept(core: &ProxyCore, now: Timestamp) -> bool {
    let since = core.stopping_since.get();
    since.is_some_and(|since| {
        now.since(since) > core.limits().shutdown_grace.mul_f64(ACCEPTING_GRACE_SHARE)
    })
}

/// Finds the route and the service of a request and makes attempts until it has an outcome, at the latest until its deadline.
async fn route_request(
    core: &Rc<ProxyCore>,
    req: CallerRequest,
    fingerprint: RequestFingerprint,
    line: &mut RequestLogLine,
) -> RequestOutcome {
    let arrived = core.timers.now();
    if is_too_late_to_accept(core, arrived) {
        return RequestOutcome::Refused(RefusalReason::Draining, STOPPING_RETRY_AFTER);
    }
    wait_during_startup(core, || core.routes().is_some()).await;
    let Some(routes) = core.routes() else {
        return RequestOutcome::Refused(RefusalReason::NoUpstream, NO_ROUTES_RETRY_AFTER);
    };
    let Some(route) = routes.find_route(req.host(), req.uri.path()).cloned() else {
        return refuse_unless_current(core, RequestOutcome::NoRoute);
    };
    if is_configuration_overdue(core) {
        return RequestOutcome::Refused(RefusalReason::ConfigurationOverdue, NO_ROUTES_RETRY_AFTER);
    }
    let Ok(sender) = authenticate(core, &routes, &route, &req.headers) else {
        increment(&core.counters.unauthorized);
        return refuse_unless_current(core, RequestOutcome::Unauthorized);
    };
    let mut req = req;
    remove_identity(core, &routes, &mut req);
    drop(routes);
    let organisation = sender
        .as_ref()
        .map(|sender| Rc::clone(&sender.organisation));
    if organisation.is_some() && have_keys_expired(core).await {
        return RequestOutcome::Refused(RefusalReason::KeysExpired, NO_ROUTES_RETRY_AFTER);
    }
    let client_time_left = read_time_left(core, &req);
    let time_left =
        client_time_left.map_or(route.timeout, |time_left| time_left.min(route.timeout));
    let Some(service) = pick_service(core, &route) else {
        return refuse_unless_current(core, RequestOutcome::NoRoute);
    };
    line.record_route(&route, &service, time_left);
    if time_left.is_zero() {
        return RequestOutcome::Unknown(UnknownCause::DeadlinePassed);
    }
    if let Some(remaining) = find_quarantine(core, fingerprint) {
        return RequestOutcome::Refused(RefusalReason::Quarantined, remaining);
    }
    wait_during_startup(core, || {
        core.has_records() || has_node_of_service(core, &service)
    })
    .await;
    let mut granted = None;
    if let Some(organisation) = &organisation {
        let is_late = is_likely_late(&route, client_time_left);
        let credit = obtain_credit(core, organisation, is_late).await;
        granted = credit.granted;
        line.record_organisation(&organisation.name, credit.keeper);
        core.organisation_counts
            .borrow_mut()
            .count(&organisation.name, credit.refused.is_some());
        if let Some(retry_after) = credit.refused {
            return RequestOutcome::Refused(RefusalReason::QuotaExceeded, retry_after);
        }
    }
    let deadline = arrived + time_left;
    let remaining = deadline.since(core.timers.now());
    if remaining.is_zero() {
        return_unused_credit(core, organisation.as_deref(), granted);
        return RequestOutcome::Refused(RefusalReason::NoUpstream, NO_ROUTES_RETRY_AFTER);
    }
    let call = ClientCall {
        req,
        fingerprint,
        route,
        service,
        sender,
        arrived,
        deadline,
    };
    let timeout = core.timers.after(remaining);
    let mut request_router = RequestRouter::new(core, call, line.attempts());
    let outcome = tokio::select! {
        outcome = request_router.run() => outcome,
        _ = timeout.recv_async() => request_router.end_early(UnknownCause::DeadlinePassed),
        () = core.requests_end.notified() => request_router.end_early(UnknownCause::NodeStopping),
    };
    if matches!(outcome, RequestOutcome::Refused(..)) {
        return_unused_credit(core, organisation.as_deref(), granted);
    }
    outcome
}

/// Whether a request has lost so much of its time that it can hardly be answered within its latency target: its client has been
/// refused before.
fn is_likely_late(route: &Route, client_time_left: Option<Duration>) -> bool {
    let elapsed = client_time_left.map(|time_left| route.timeout.saturating_sub(time_left));
    elapsed.is_some_and(|elapsed| elapsed > route.target / LATE_RETURN_DIVISOR)
}

fn return_unused_credit(
    core: &ProxyCore,
    organisation: Option<&Organisation>,
    granted: Option<Timestamp>,
) {
    if let (Some(organisation), Some(granted)) = (organisation, granted) {
        return_credit(core, organisation, granted);
    }
}

/// Returns `rejected`, the outcome of a request without a route or a valid key, after which clients don't retry. If a newer
/// configuration is known to exist, the route or the key may be in it, so the request is refused with a retry time.
fn refuse_unless_current(core: &ProxyCore, rejected: RequestOutcome) -> RequestOutcome {
    if core.table_sources.borrow().highest_reported() > core.directory.borrow().version() {
        return RequestOutcome::Refused(RefusalReason::ConfigurationBehind, NO_ROUTES_RETRY_AFTER);
    }
    rejected
}

/// Whether the configuration in force is too old to route requests: other nodes reported a newer one too long ago. That one may
/// have been acknowledged even before the report.
fn is_configuration_overdue(core: &ProxyCore) -> bool {
    let limit = core
        .limits()
        .configuration_apply_timeout
        .mul_f64(VERSION_REPORT_SHARE);
    let version = core.directory.borrow().version();
    let lag = core.version_lag.borrow();
    lag.is_overdue(version, core.timers.now(), limit)
}

fn has_node_of_service(core: &ProxyCore, service: &ServiceName) -> bool {
    let directory = core.directory.borrow();
    let mut nodes = directory.nodes.values();
    nodes.any(|node| node.record.service == *service && !node.is_leaving())
}

fn pick_service(core: &ProxyCore, route: &Route) -> Option<ServiceName> {
    let pick = core.service_picks.get().wrapping_add(1);
    core.service_picks.set(pick);
    let position = (f64::from(pick) * GOLDEN_RATIO).fract();
    route.pick_service(position).cloned()
}

/// The time until the deadline that the client gives in milliseconds in a header.
fn read_time_left(core: &ProxyCore, req: &CallerRequest) -> Option<Duration> {
    let text = req.headers.get(&core.settings.headers.time_left)?;
    let millis: f64 = text.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}
