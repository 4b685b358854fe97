//! The node as the clients on its VM meet it.

mod attempt;
mod request_attempts;
mod request_log_line;
mod request_router;
mod startup_wait;

use crate::{
    protocol::outcome::{RefusalReason, UnknownCause},
    proxy::{
        client_reply::{RequestOutcome, build_reply},
        core::{ProxyCore, increment},
        crash_detection::find_quarantine,
        entry::{
            request_log_line::RequestLogLine,
            request_router::{ClientCall, RequestRouter},
            startup_wait::wait_while_starting,
        },
    },
    state::{
        names::{ClassName, ServiceName},
        request_fingerprint::RequestFingerprint,
        routing_table::Route,
        timestamp::Timestamp,
    },
    transport::callers::{CallerHandler, CallerLimits, CallerReply, CallerRequest},
};
use futures::future::LocalBoxFuture;
use http::HeaderValue;
use std::{rc::Rc, time::Duration};
use uuid::Uuid;

/// When to come back to a node that knows no routes yet, or not the newest.
const NO_ROUTES_RETRY: Duration = Duration::from_millis(200);
/// Part of the time in which a configuration has to be in force everywhere, after which a node that was told of it must have it
/// to handle requests. The rest is for a report that comes late.
const REPORTED_SHARE: f64 = 0.5;
/// Part of the time before the node is killed in which it takes requests. Clients send on while too
/// few other nodes are ready; a request that is still under way at the end would be cut off.
const ACCEPTED_SHARE: f64 = 0.45;
/// When to come back to a node that stops: another one or its next run answers.
const STOPPING_RETRY: Duration = Duration::from_millis(200);
/// Times the idle time that operators allow clients, after which their connections are closed.
const IDLE_MARGIN: u32 = 2;
/// Spreads picks of a service evenly: successive multiples of the golden ratio, modulo 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The edge towards clients.
pub struct ClientHandler {
    core: Rc<ProxyCore>,
}

impl ClientHandler {
    /// The edge of this node.
    #[must_use]
    pub fn new(core: Rc<ProxyCore>) -> Self {
        Self { core }
    }
}

impl CallerHandler for ClientHandler {
    fn handle(&self, req: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            let _counted = InProgress::count(&core);
            let arrived = core.timers.now();
            let mut req = req;
            ensure_request_id(&core, &mut req);
            let digest = req.compute_fingerprint();
            let mut line = RequestLogLine::begin(&core, &req, digest);
            let end = carry_request(&core, req, digest, &mut line).await;
            count_end(&core, &end, line.class(), core.timers.now().since(arrived));
            line.end(&end);
            build_reply(end)
        })
    }

    fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }

    /// Closing a connection sooner than operators allow clients to keep it idle would cut requests that
    /// are on their way.
    fn limits(&self, started_with: CallerLimits) -> CallerLimits {
        let Some(routes) = self.core.routes() else {
            return started_with;
        };
        let limits = routes.table().limits;
        CallerLimits {
            head_timeout: started_with
                .head_timeout
                .max(limits.idle_timeout * IDLE_MARGIN),
            max_body_bytes: limits.body_bytes.min(started_with.max_body_bytes),
            ..started_with
        }
    }
}

/// Counts a request in progress for as long as it lives, also when its client goes away.
struct InProgress(Rc<ProxyCore>);

impl InProgress {
    fn count(core: &Rc<ProxyCore>) -> Self {
        core.in_progress.set(core.in_progress.get() + 1);
        increment(&core.counters.requests);
        Self(Rc::clone(core))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// The node and the upstream tell requests apart by their ids; a client may leave that to the node.
fn ensure_request_id(core: &ProxyCore, req: &mut CallerRequest) {
    let name = &core.settings.headers.request_id;
    if req.headers.contains_key(name) {
        return;
    }
    if let Ok(id) = HeaderValue::from_str(&Uuid::new_v4().to_string()) {
        req.headers.insert(name, id);
    }
}

fn count_end(
    core: &ProxyCore,
    end: &RequestOutcome,
    class: Option<(ClassName, Duration)>,
    took: Duration,
) {
    let counters = &core.counters;
    match end {
        RequestOutcome::Answered(_) => increment(&counters.answered),
        RequestOutcome::Refused(..) | RequestOutcome::NoRoute => increment(&counters.refused),
        RequestOutcome::Unknown(_) => increment(&counters.unknown),
    }
    let Some((class, target)) = class else {
        return;
    };
    core.update_class_counts(&class, |counts| match end {
        RequestOutcome::Answered(_) => counts.count_answer(took, target),
        RequestOutcome::Refused(..) | RequestOutcome::NoRoute => counts.count_refusal(),
        RequestOutcome::Unknown(_) => counts.count_unknown(),
    });
}

/// Whether a request taken now might not have ended before the node is killed.
fn stops_soon(core: &ProxyCore, now: Timestamp) -> bool {
    let since = core.stopping_since.get();
    since.is_some_and(|since| now.since(since) > core.limits().grace.mul_f64(ACCEPTED_SHARE))
}

async fn carry_request(
    core: &Rc<ProxyCore>,
    req: CallerRequest,
    digest: RequestFingerprint,
    line: &mut RequestLogLine,
) -> RequestOutcome {
    let arrived = core.timers.now();
    if stops_soon(core, arrived) {
        return RequestOutcome::Refused(RefusalReason::Draining, STOPPING_RETRY);
    }
    wait_while_starting(core, || core.routes().is_some()).await;
    let Some(routes) = core.routes() else {
        return RequestOutcome::Refused(RefusalReason::NoUpstream, NO_ROUTES_RETRY);
    };
    let Some(route) = routes.find(req.host(), req.uri.path()).cloned() else {
        return end_without_route(core);
    };
    drop(routes);
    if is_configuration_overdue(core) {
        return RequestOutcome::Refused(RefusalReason::ConfigurationOverdue, NO_ROUTES_RETRY);
    }
    let asked = read_time_left(core, &req);
    let time_left = asked.map_or(route.timeout, |asked| asked.min(route.timeout));
    let Some(service) = pick_service(core, &route) else {
        return end_without_route(core);
    };
    line.note_route(&route, &service, time_left);
    if time_left.is_zero() {
        return RequestOutcome::Unknown(UnknownCause::DeadlinePassed);
    }
    if let Some(left) = find_quarantine(core, digest) {
        return RequestOutcome::Refused(RefusalReason::Quarantined, left);
    }
    wait_while_starting(core, || core.has_records() || knows_node_of(core, &service)).await;
    let deadline = arrived + time_left;
    let left = deadline.since(core.timers.now());
    if left.is_zero() {
        return RequestOutcome::Refused(RefusalReason::NoUpstream, NO_ROUTES_RETRY);
    }
    let call = ClientCall {
        req,
        digest,
        route,
        service,
        arrived,
        deadline,
    };
    let timeout = core.timers.after(left);
    let mut carrier = RequestRouter::new(core, call, line.attempts());
    tokio::select! {
        end = carrier.run() => end,
        _ = timeout.recv_async() => carrier.end_at_deadline(),
    }
}

/// A client doesn't come back after it was told that there is no route. A node that has heard of a newer configuration doesn't
/// know that: the route may be in it.
fn end_without_route(core: &ProxyCore) -> RequestOutcome {
    if core.table_sources.borrow().highest_reported() > core.directory.borrow().version() {
        return RequestOutcome::Refused(RefusalReason::ConfigurationBehind, NO_ROUTES_RETRY);
    }
    RequestOutcome::NoRoute
}

/// Whether the configuration in force may no longer decide: other nodes have reported a newer one for long, and its
/// acknowledgement may be older than the report.
fn is_configuration_overdue(core: &ProxyCore) -> bool {
    let limit = core.limits().configuration_apply.mul_f64(REPORTED_SHARE);
    let own = core.directory.borrow().version();
    let lag = core.version_lag.borrow();
    lag.is_overdue(own, core.timers.now(), limit)
}

fn knows_node_of(core: &ProxyCore, service: &ServiceName) -> bool {
    let directory = core.directory.borrow();
    let mut nodes = directory.nodes.values();
    nodes.any(|view| view.record.service == *service && !view.record.leaving)
}

fn pick_service(core: &ProxyCore, route: &Route) -> Option<ServiceName> {
    let pick = core.service_picks.get().wrapping_add(1);
    core.service_picks.set(pick);
    let position = (f64::from(pick) * GOLDEN_RATIO).fract();
    route.pick_service(position).cloned()
}

fn read_time_left(core: &ProxyCore, req: &CallerRequest) -> Option<Duration> {
    let text = req.headers.get(&core.settings.headers.time_left)?;
    let millis: f64 = text.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}
