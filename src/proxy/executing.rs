//! Executes requests at the local upstream, within its slots.

mod attempt_log_line;
mod dispatch;
mod leaving;
mod probes;
mod request_limit;
mod slots;
mod slowdown;
mod upstream_headers;
mod warmup;
mod withdrawn_keys;

use crate::{
    coordination::slot_queue::{SlotDecision, SlotRequest},
    protocol::{
        hop::{AttemptOutcome, HopAnswer, HopRequest},
        outcome::RefusalReason,
    },
    proxy::{
        calls::{find_call_refusal, record_execution_end, record_execution_start},
        core::{ProxyCore, increment},
        crash_detection::find_quarantine,
        graceful_stop::accepts_work,
        health::{Trial, admit, recheck},
        retry_budgets::{has_call_budget, spend_call_budget},
    },
    state::{request_fingerprint::RequestFingerprint, timestamp::Timestamp},
    transport::{callers::CallerRequest, message_body::MessageBody},
};
use attempt_log_line::AttemptLogLine;
use dispatch::dispatch;
use http::Response;
pub use probes::{ProbedState, find_health_uri, has_incarnation_ended, probe_state};
use request_limit::record_remembered_limit;
use slots::{SlotGuard, wait_for_slot};
pub use slots::{
    Slots, compute_slot_limit, limit_requests_of, refuse_queued_requests, refuse_requests_beyond,
    set_slot_limit,
};
use slowdown::refresh_slowdown;
use std::{rc::Rc, time::Duration};
use tokio::task::yield_now;
pub use upstream_headers::UnreadHeaders;
pub use warmup::record_warmup_left;
use warmup::refresh_warmup;
use withdrawn_keys::{find_organisation, was_key_withdrawn};

/// The result of an attempt, from the local upstream or from another node.
#[derive(Debug)]
pub struct CompletedAttempt {
    /// The answer to the node that sent the attempt.
    pub answer: HopAnswer,
    /// The response of the upstream; none unless the outcome is "answered".
    pub response: Option<Response<MessageBody>>,
}

/// Executes a request at the local upstream, or refuses it. Dropping the future removes the request from the queue, or closes its
/// connection to the upstream.
pub async fn execute(
    core: &Rc<ProxyCore>,
    hop: &HopRequest,
    req: CallerRequest,
) -> CompletedAttempt {
    let fingerprint = req.fingerprint;
    let mut line = AttemptLogLine::new(core, hop, &req, fingerprint);
    let completed = execute_with_log(core, hop, req, fingerprint, &mut line).await;
    line.write_result(&completed);
    completed
}

async fn execute_with_log(
    core: &Rc<ProxyCore>,
    hop: &HopRequest,
    req: CallerRequest,
    fingerprint: RequestFingerprint,
    line: &mut AttemptLogLine,
) -> CompletedAttempt {
    let arrived = core.timers.now();
    let organisation = find_organisation(core, hop);
    if let Some((reason, finish_or_wait)) = find_refusal(core, hop, fingerprint, arrived) {
        return refuse(core, reason, finish_or_wait);
    }
    if hop.is_retry && !has_call_budget(core, &hop.class) {
        return refuse(core, RefusalReason::RetryBudgetExhausted, Duration::ZERO);
    }
    let trial = match admit(core, hop.idempotent) {
        Ok(trial) => trial,
        Err(wait) => return refuse(core, name_ejection(hop), wait),
    };
    if let Some(rate) = hop.request_limit {
        record_remembered_limit(core, rate);
    }
    refresh_slowdown(core).await;
    refresh_warmup(core).await;
    // The server notices only while it waits for the answer that the caller has disconnected.
    yield_now().await;
    line.record_decision();
    if let Some(next_check) = find_call_refusal(core, hop) {
        return refuse(core, RefusalReason::CallsRejected, next_check);
    }
    let number = match request_slot(core, hop, arrived) {
        SlotDecision::Run(number) => number,
        SlotDecision::Refuse { finish_in } => {
            return refuse(core, RefusalReason::QueueFull, finish_in);
        }
        SlotDecision::Wait(number) => {
            let time_left = hop
                .time_left
                .saturating_sub(core.timers.now().since(arrived));
            let end_limit = hop.ends_with_sender.then_some(time_left);
            if !wait_for_slot(core, number, hop.sender, end_limit).await {
                let (reason, finish_or_wait) =
                    find_late_refusal(core, hop, fingerprint, arrived, trial.as_ref())
                        .unwrap_or((RefusalReason::DeadlineTooShort, hop.time_left));
                return refuse(core, reason, finish_or_wait);
            }
            number
        }
    };
    let slot_guard = SlotGuard::new(core, number);
    // While the request waited, the upstream may have started to drain or been ejected, or the request may have been quarantined.
    if let Some((reason, finish_or_wait)) =
        find_late_refusal(core, hop, fingerprint, arrived, trial.as_ref())
    {
        return refuse(core, reason, finish_or_wait);
    }
    if was_key_withdrawn(core, organisation.as_ref()) {
        return refuse(core, RefusalReason::KeysExpired, Duration::ZERO);
    }
    let waited = core.timers.now().since(arrived);
    line.record_start(waited);
    let Some(time_left) = hop.time_left.checked_sub(waited) else {
        return refuse(core, RefusalReason::DeadlinePassed, Duration::ZERO);
    };
    if hop.is_retry && !spend_call_budget(core, &hop.class) {
        return refuse(core, RefusalReason::RetryBudgetExhausted, Duration::ZERO);
    }
    increment(&core.counters.executed);
    let execution = core
        .calls_per_execution
        .borrow_mut()
        .record_start(&hop.class, core.timers.now());
    record_execution_start(core, &hop.class);
    let (outcome, mut response) = dispatch(core, hop, req, fingerprint, time_left, trial).await;
    if let Some(response) = &mut response {
        slot_guard.record_answer();
        // The upstream is busy until it has sent the whole answer.
        response.body_mut().keep(slot_guard);
    }
    if let Some(response) = &response {
        record_execution_end(core, &hop.class, response.status().is_server_error());
    }
    core.calls_per_execution
        .borrow_mut()
        .record_end(&hop.class, &execution);
    CompletedAttempt {
        answer: build_answer(core, outcome, waited),
        response,
    }
}

fn request_slot(core: &ProxyCore, hop: &HopRequest, arrived: Timestamp) -> SlotDecision {
    let now = core.timers.now();
    let elapsed = now.since(arrived);
    let request = SlotRequest {
        priority: hop.priority,
        organisation: hop.organisation.clone(),
        finish_within: hop.finish_within.saturating_sub(elapsed),
        target_left: hop.target_left.saturating_sub(elapsed),
        time_left: hop.time_left.saturating_sub(elapsed),
        expected: core.slots.expected_time(&hop.class),
    };
    let mut queue = core.slots.queue.borrow_mut();
    queue.set_early_refusal(core.limits().overload.refuses_early());
    if hop.ends_with_sender && !queue.can_end_within(request.expected, request.time_left) {
        let finish_in = request.expected;
        return SlotDecision::Refuse { finish_in };
    }
    queue.submit(&request, now)
}

/// Why a request is refused, and the time after which it may be accepted; zero if that is unknown.
fn find_refusal(
    core: &ProxyCore,
    hop: &HopRequest,
    fingerprint: RequestFingerprint,
    arrived: Timestamp,
) -> Option<(RefusalReason, Duration)> {
    // Clients retry a request that crashes upstreams under new request IDs and at other nodes. Without the quarantine each retry
    // would crash one more upstream and abort all requests that it executes.
    if let Some(remaining) = find_quarantine(core, fingerprint) {
        return Some((RefusalReason::Quarantined, remaining));
    }
    let waited = core.timers.now().since(arrived);
    let time_left = hop.time_left.saturating_sub(waited);
    find_unavailability_reason(core, hop, time_left).map(|reason| (reason, Duration::ZERO))
}

/// Like [`find_refusal`], for a request that was admitted and has waited since.
fn find_late_refusal(
    core: &ProxyCore,
    hop: &HopRequest,
    fingerprint: RequestFingerprint,
    arrived: Timestamp,
    trial: Option<&Trial>,
) -> Option<(RefusalReason, Duration)> {
    let refusal = find_refusal(core, hop, fingerprint, arrived);
    refusal.or_else(|| Some((name_ejection(hop), recheck(core, trial)?)))
}

/// The reason for a refusal because of an ejection, as the sender of the request understands it.
const fn name_ejection(hop: &HopRequest) -> RefusalReason {
    if hop.knows_ejection {
        RefusalReason::UpstreamFailing
    } else {
        RefusalReason::UpstreamDown
    }
}

/// Why the local upstream accepts no request of this service now; none if it does.
fn find_unavailability_reason(
    core: &ProxyCore,
    hop: &HopRequest,
    time_left: Duration,
) -> Option<RefusalReason> {
    if !accepts_work(core, hop.sender, time_left) {
        return Some(RefusalReason::Draining);
    }
    if core.evacuations.contains(&core.settings.availability_zone) {
        return Some(RefusalReason::Evacuated);
    }
    // Without a configuration the limit of the upstream's warm-up is unknown. Another node may send requests that early after a
    // restart of this one.
    if core.routes().is_none() {
        return Some(RefusalReason::UpstreamDown);
    }
    let upstream = core.local_upstream.borrow();
    match upstream.current() {
        None => Some(RefusalReason::UpstreamDown),
        Some(current) if current.service != hop.service => Some(RefusalReason::ServiceMismatch),
        Some(current) if current.leaving => Some(RefusalReason::Draining),
        Some(_) if upstream.unconfirmed().is_some() => Some(RefusalReason::UpstreamDown),
        Some(_) if core.timers.now() < core.slots.paused_until.get() => {
            Some(RefusalReason::UpstreamDown)
        }
        Some(_) => None,
    }
}

fn refuse(core: &ProxyCore, reason: RefusalReason, finish_or_wait: Duration) -> CompletedAttempt {
    CompletedAttempt {
        answer: build_answer(core, AttemptOutcome::Refused(reason), finish_or_wait),
        response: None,
    }
}

fn build_answer(core: &ProxyCore, outcome: AttemptOutcome, finish_or_wait: Duration) -> HopAnswer {
    HopAnswer {
        outcome,
        load: core.slots.load(),
        version: core.directory.borrow().version(),
        finish_or_wait,
        request_limit: core.slots.request_limit(),
    }
}
