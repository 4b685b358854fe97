//! Tracks how long the upstream stays cold, from its announcements and its health responses.

use crate::{
    coordination::slow_start::WarmupReport,
    proxy::{
        core::ProxyCore,
        events::{ProxyEvent, in_millis},
        executing::slowdown::ask_for_pace,
    },
    state::{names::ServiceName, routing_table::WarmUpLimit},
};
use http::HeaderMap;
use std::{rc::Rc, time::Duration};

/// Maximum age of the last health response while the upstream counts as warm. It may become cold at any moment.
const FRESH: Duration = Duration::from_millis(250);

/// Records the remaining warmup time that the upstream reports.
pub fn record_warmup_left(core: &ProxyCore, service: &ServiceName, left: Duration) {
    let Some(cold) = find_cold_service(core, service).filter(|_| !left.is_zero()) else {
        return;
    };
    let limit = core.limits().slow_start.limit(cold.requests_per_minute);
    let told = WarmupReport {
        remaining: left,
        total: cold.duration,
        limit,
    };
    let now = core.timers.now();
    let mut queue = core.slots.queue.borrow_mut();
    let was_cold = queue.is_warming_up(now);
    queue.record_warmup(told, now);
    drop(queue);
    if !was_cold {
        core.log(&ProxyEvent::UpstreamWarmingUp {
            left_ms: in_millis(left),
            limit,
        });
    }
}

/// Records the warmup time from a health response.
pub fn record_warmup_header(core: &ProxyCore, headers: &HeaderMap) {
    core.slots.warmth_told_at.set(Some(core.timers.now()));
    let header = headers.get(&core.settings.headers.warmup_left);
    let millis = header.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    if let Some(millis) = millis {
        record_warmup_left(core, &find_own_service(core), Duration::from_millis(millis));
    }
}

/// The service of the local upstream. Before its first announcement, when it is probed to confirm the stored record, the one of the
/// settings.
fn find_own_service(core: &ProxyCore) -> ServiceName {
    let own = core.local_upstream.borrow();
    let run = own.current();
    run.map_or_else(|| core.settings.service.clone(), |run| run.service.clone())
}

/// Probes whether the upstream is cold, unless this is known recently enough or its service has no limit.
pub async fn refresh_warmup(core: &Rc<ProxyCore>) {
    let differs = find_cold_service(core, &find_own_service(core)).is_some();
    let now = core.timers.now();
    let told_at = core.slots.warmth_told_at.get();
    let is_fresh = told_at.is_some_and(|at| now.since(at) <= FRESH);
    if !differs || is_fresh || core.slots.queue.borrow().is_warming_up(now) {
        return;
    }
    ask_for_pace(core).await;
}

fn find_cold_service(core: &ProxyCore, service: &ServiceName) -> Option<WarmUpLimit> {
    core.routes()?.find_service(service)?.warm_up
}
