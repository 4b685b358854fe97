//! Runs requests at the upstream beside the node, within its slots.

mod attempt_log_line;
mod dispatch;
mod probes;
mod slots;
mod slowdown;
mod warmup;

use crate::{
    coordination::slot_queue::{SlotDecision, SlotRequest},
    protocol::{
        hop::{AttemptOutcome, HopAnswer, HopRequest},
        outcome::RefusalReason,
    },
    proxy::{
        core::{ProxyCore, increment},
        crash_detection::find_quarantine,
        graceful_stop::accepts_work,
        retry_budgets::{has_call_budget, take_call_budget},
    },
    state::{request_fingerprint::RequestFingerprint, timestamp::Timestamp},
    transport::callers::CallerRequest,
};
use attempt_log_line::AttemptLogLine;
use bytes::Bytes;
use dispatch::dispatch;
use http::Response;
pub use probes::{has_incarnation_ended, probe_instance, verify_incarnation};
use slots::{HeldSlot, wait_for_slot};
pub use slots::{Slots, compute_slot_limit, refuse_queued_requests, set_slot_limit};
use slowdown::refresh_pace;
use std::{rc::Rc, time::Duration};
pub use warmup::record_warmup_left;
use warmup::refresh_warmup;

/// How an attempt at this node's upstream ended.
#[derive(Debug)]
pub struct CompletedAttempt {
    /// What is told to the node that asked.
    pub answer: HopAnswer,
    /// The upstream's answer, if there is one.
    pub response: Option<Response<Bytes>>,
}

/// Runs a request at the upstream beside this node, or refuses it. Dropping the future takes it out
/// of the queue, or closes its connection to the upstream.
pub async fn execute(
    core: &Rc<ProxyCore>,
    hop: &HopRequest,
    req: CallerRequest,
) -> CompletedAttempt {
    let digest = req.compute_fingerprint();
    let mut line = AttemptLogLine::begin(core, hop, &req, digest);
    let executed = execute_logged(core, hop, req, digest, &mut line).await;
    line.end(&executed);
    executed
}

async fn execute_logged(
    core: &Rc<ProxyCore>,
    hop: &HopRequest,
    req: CallerRequest,
    digest: RequestFingerprint,
    line: &mut AttemptLogLine,
) -> CompletedAttempt {
    let arrived = core.timers.now();
    if let Some((reason, finish)) = find_refusal(core, hop, digest) {
        return refuse(core, reason, finish);
    }
    if hop.is_retry && !has_call_budget(core, &hop.class) {
        return refuse(core, RefusalReason::RetryBudgetExhausted, Duration::ZERO);
    }
    refresh_pace(core).await;
    refresh_warmup(core).await;
    line.note_decision();
    let number = match offer(core, hop, arrived) {
        SlotDecision::Run(number) => number,
        SlotDecision::Refuse { finish_in } => {
            return refuse(core, RefusalReason::QueueFull, finish_in);
        }
        SlotDecision::Wait(number) => {
            if !wait_for_slot(core, number).await {
                let (reason, finish) = find_refusal(core, hop, digest)
                    .unwrap_or((RefusalReason::DeadlineTooShort, hop.time_left));
                return refuse(core, reason, finish);
            }
            number
        }
    };
    let slot = HeldSlot::new(core, number);
    // While the request waited, the upstream may have left, or crashes of others under such a request have been told.
    if let Some((reason, finish)) = find_refusal(core, hop, digest) {
        return refuse(core, reason, finish);
    }
    let waited = core.timers.now().since(arrived);
    line.note_start(waited);
    let Some(time_left) = hop.time_left.checked_sub(waited) else {
        return refuse(core, RefusalReason::DeadlinePassed, Duration::ZERO);
    };
    if hop.is_retry && !take_call_budget(core, &hop.class) {
        return refuse(core, RefusalReason::RetryBudgetExhausted, Duration::ZERO);
    }
    increment(&core.counters.executed);
    let started = core
        .calls_per_execution
        .borrow_mut()
        .record_start(&hop.class, core.timers.now());
    let (outcome, response) = dispatch(core, hop, req, digest, time_left).await;
    drop(slot);
    core.calls_per_execution
        .borrow_mut()
        .record_end(&hop.class, &started);
    CompletedAttempt {
        answer: describe(core, outcome, waited),
        response,
    }
}

fn offer(core: &ProxyCore, hop: &HopRequest, arrived: Timestamp) -> SlotDecision {
    let now = core.timers.now();
    let spent = now.since(arrived);
    let request = SlotRequest {
        priority: hop.priority,
        finish_within: hop.finish_within.saturating_sub(spent),
        target_left: hop.target_left.saturating_sub(spent),
        time_left: hop.time_left.saturating_sub(spent),
        expected: core.slots.expect(&hop.class),
    };
    core.slots.queue.borrow_mut().submit(request, now)
}

/// Why a request is not run, and the time after which it could be, if that is known.
fn find_refusal(
    core: &ProxyCore,
    hop: &HopRequest,
    digest: RequestFingerprint,
) -> Option<(RefusalReason, Duration)> {
    // Its clients ask again, each time under another identity and at other nodes. Without what is known of the earlier crashes
    // each of these attempts ends one more upstream, with all that it runs.
    if let Some(left) = find_quarantine(core, digest) {
        return Some((RefusalReason::Quarantined, left));
    }
    find_unavailability_reason(core, hop).map(|reason| (reason, Duration::ZERO))
}

/// Why no work of that kind is taken.
fn find_unavailability_reason(core: &ProxyCore, hop: &HopRequest) -> Option<RefusalReason> {
    if !accepts_work(core, hop.time_left) {
        return Some(RefusalReason::Draining);
    }
    if core.evacuations.contains(&core.settings.availability_zone) {
        return Some(RefusalReason::Evacuated);
    }
    let own = core.local_upstream.borrow();
    match own.current() {
        None => Some(RefusalReason::UpstreamDown),
        Some(run) if run.service != hop.service => Some(RefusalReason::UnknownClass),
        Some(run) if run.leaving => Some(RefusalReason::Draining),
        Some(_) if core.timers.now() < core.slots.paused_until.get() => {
            Some(RefusalReason::UpstreamDown)
        }
        Some(_) => None,
    }
}

fn refuse(core: &ProxyCore, reason: RefusalReason, finish: Duration) -> CompletedAttempt {
    CompletedAttempt {
        answer: describe(core, AttemptOutcome::Refused(reason), finish),
        response: None,
    }
}

fn describe(core: &ProxyCore, outcome: AttemptOutcome, finish: Duration) -> HopAnswer {
    HopAnswer {
        outcome,
        load: core.slots.load(),
        version: core.directory.borrow().version(),
        finish_or_wait: finish,
    }
}
