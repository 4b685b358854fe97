//! Refuses requests whose calls to other services would be rejected.
//!
//! This node is the entry node of the calls that its upstream makes, so it sees their results itself.

use crate::{
    coordination::call_admission::UpstreamLoad,
    protocol::{
        hop::{AttemptOutcome, HopRequest},
        outcome::RefusalReason,
    },
    proxy::{
        core::{ProxyCore, increment},
        events::ProxyEvent,
    },
    state::names::{ClassName, ServiceName},
};
use std::time::Duration;

/// Time after which requests of a refused class may be accepted: the counts of rejected calls fall noticeably within it.
const NEXT_CHECK: Duration = Duration::from_millis(400);

/// Records the result of an attempt at a service that started at this node.
pub fn record_call(core: &ProxyCore, service: &ServiceName, outcome: AttemptOutcome) {
    if !core.limits().overload.admits_by_calls() {
        return;
    }
    let is_accepted = match outcome {
        AttemptOutcome::Answered => true,
        AttemptOutcome::Refused(RefusalReason::UpstreamShed) => false,
        _ => return,
    };
    let mut admission = core.call_admission.borrow_mut();
    admission.record_call(service, is_accepted, core.timers.now());
}

/// Records the start of an execution at the local upstream.
pub fn record_execution_start(core: &ProxyCore, class: &ClassName) {
    if core.limits().overload.admits_by_calls() {
        let mut admission = core.call_admission.borrow_mut();
        admission.record_start(class, core.timers.now());
    }
}

/// Records the answer of the local upstream to a request.
pub fn record_execution_end(core: &ProxyCore, class: &ClassName, has_failed: bool) {
    if core.limits().overload.admits_by_calls() {
        let mut admission = core.call_admission.borrow_mut();
        admission.record_end(class, has_failed, core.timers.now());
    }
}

/// Time after which a request may be accepted that is refused because of its calls; `None` if it isn't.
pub fn find_call_refusal(core: &ProxyCore, hop: &HopRequest) -> Option<Duration> {
    if !core.limits().overload.admits_by_calls() {
        return None;
    }
    let now = core.timers.now();
    let load = core.slots.load();
    let load = UpstreamLoad {
        queued: usize::from(load.queued),
        limit: usize::from(load.limit),
    };
    let calls = core
        .calls_per_execution
        .borrow()
        .estimate_max_calls(&hop.class, now);
    let mut admission = core.call_admission.borrow_mut();
    let decision = admission.decide(&hop.class, &calls, load, now);
    drop(admission);
    if let Some(refuses) = decision.change {
        core.log(&ProxyEvent::CallRefusalsChanged {
            class: hop.class.clone(),
            refuses,
        });
    }
    decision.is_refused.then(|| {
        increment(&core.counters.calls_rejected);
        NEXT_CHECK
    })
}
