//! Tracks the remaining warm-up time of the local upstream, from its announcements and its health responses.

use crate::{
    coordination::slow_start::WarmupReport,
    proxy::{
        core::ProxyCore,
        events::{ProxyEvent, in_millis},
        executing::slowdown::probe_slowdown,
    },
    state::{names::ServiceName, routing_table::WarmupLimit},
};
use http::HeaderMap;
use std::{rc::Rc, time::Duration};

/// Maximum age of the last health response while the upstream is not known to be warming up. A warm-up may begin at any time.
const MAX_WARMUP_AGE: Duration = Duration::from_millis(250);

/// Records the remaining warm-up time that the upstream reports. Logs the start of a warm-up.
pub fn record_warmup_left(core: &ProxyCore, service: &ServiceName, remaining: Duration) {
    if core.routes().is_none() {
        let until = core.timers.now() + remaining;
        core.slots.warmup_before_routes.set(until);
        return;
    }
    let Some(warmup_limit) = find_warmup_limit(core, service).filter(|_| !remaining.is_zero())
    else {
        return;
    };
    let limit = core
        .limits()
        .slow_start
        .limit(warmup_limit.requests_per_minute);
    let report = WarmupReport {
        remaining,
        total: warmup_limit.duration,
        limit,
    };
    let now = core.timers.now();
    let mut queue = core.slots.queue.borrow_mut();
    let was_warming_up = queue.is_warming_up(now);
    queue.record_warmup(report, now);
    drop(queue);
    if !was_warming_up {
        core.log(&ProxyEvent::UpstreamWarmingUp {
            left_ms: in_millis(remaining),
            limit,
        });
    }
}

/// Records the remaining warm-up time from a health response.
pub fn record_warmup_header(core: &ProxyCore, headers: &HeaderMap) {
    core.slots.warmup_probed_at.set(Some(core.timers.now()));
    let header = headers.get(&core.settings.headers.warmup_left);
    let millis = header.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    if let Some(millis) = millis {
        record_warmup_left(
            core,
            &find_local_service(core),
            Duration::from_millis(millis),
        );
    }
}

/// The service of the local upstream. Before the first announcement, when the upstream is probed to verify the stored record, it is the
/// service in the settings.
fn find_local_service(core: &ProxyCore) -> ServiceName {
    let upstream = core.local_upstream.borrow();
    let current = upstream.current();
    current.map_or_else(
        || core.settings.service.clone(),
        |current| current.service.clone(),
    )
}

/// Records the warm-up that the upstream reported before this node knew a configuration, and with it the limit.
fn record_early_warmup(core: &ProxyCore) {
    let until = core.slots.warmup_before_routes.take();
    let remaining = until.since(core.timers.now());
    record_warmup_left(core, &find_local_service(core), remaining);
}

/// Probes whether the upstream is warming up, unless this is known recently enough or its service has no warm-up limit.
pub async fn refresh_warmup(core: &Rc<ProxyCore>) {
    record_early_warmup(core);
    let has_warmup_limit = find_warmup_limit(core, &find_local_service(core)).is_some();
    let now = core.timers.now();
    let probed_at = core.slots.warmup_probed_at.get();
    let is_fresh = probed_at.is_some_and(|at| now.since(at) <= MAX_WARMUP_AGE);
    if !has_warmup_limit || is_fresh || core.slots.queue.borrow().is_warming_up(now) {
        return;
    }
    probe_slowdown(core).await;
}

fn find_warmup_limit(core: &ProxyCore, service: &ServiceName) -> Option<WarmupLimit> {
    core.routes()?.find_service(service)?.warmup
}
