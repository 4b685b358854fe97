//! The log line about an attempt at the local upstream.

use crate::{
    coordination::slow_start::WarmupStart,
    protocol::hop::{AttemptOutcome, HopRequest},
    proxy::{
        core::ProxyCore,
        events::{LoggedEnd, ProxyEvent, in_millis},
        executing::CompletedAttempt,
    },
    state::{names::ClassName, request_fingerprint::RequestFingerprint, timestamp::Timestamp},
    transport::callers::CallerRequest,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Collects the facts of an attempt for its log line. If it is dropped before the line is written, the line says that the client, or
/// the node that sent the attempt, disconnected.
pub struct AttemptLogLine {
    core: Rc<ProxyCore>,
    request_id: String,
    fingerprint: RequestFingerprint,
    sender: SocketAddr,
    class: ClassName,
    arrived: Timestamp,
    /// Slowdown of the VM when the attempt started, or at the last decision on it.
    slowdown_percent: u16,
    slowdown_age: Option<Duration>,
    running: u16,
    queued: u16,
    waited: Duration,
    /// The warm-up of the upstream when the attempt started.
    warmup: Option<WarmupStart>,
    is_written: bool,
}

impl AttemptLogLine {
    pub fn new(
        core: &Rc<ProxyCore>,
        hop: &HopRequest,
        req: &CallerRequest,
        fingerprint: RequestFingerprint,
    ) -> Self {
        let load = core.slots.load();
        Self {
            request_id: core.read_request_id(&req.headers),
            fingerprint,
            sender: hop.sender,
            class: hop.class.clone(),
            arrived: core.timers.now(),
            slowdown_percent: load.slowdown_percent,
            slowdown_age: None,
            running: load.running,
            queued: load.queued,
            waited: Duration::ZERO,
            warmup: None,
            is_written: false,
            core: Rc::clone(core),
        }
    }

    /// Records the load and the slowdown when the queue decides on the attempt.
    pub fn record_decision(&mut self) {
        let load = self.core.slots.load();
        self.running = load.running;
        self.queued = load.queued;
        self.record_slowdown();
    }

    /// Records that the attempt got a slot after this wait.
    pub fn record_start(&mut self, waited: Duration) {
        self.waited = waited;
        let now = self.core.timers.now();
        self.warmup = self.core.slots.queue.borrow().describe_warmup_start(now);
        self.record_slowdown();
    }

    fn record_slowdown(&mut self) {
        self.slowdown_percent = self.core.slots.load().slowdown_percent;
        self.slowdown_age = self.core.slots.slowdown.age(self.core.timers.now());
    }

    /// Writes the line with the result of the attempt.
    pub fn write_result(mut self, completed: &CompletedAttempt) {
        let status = completed
            .response
            .as_ref()
            .map_or(0, |response| response.status().as_u16());
        self.write(match completed.answer.outcome {
            AttemptOutcome::Answered => LoggedEnd::Answered(status),
            AttemptOutcome::Refused(reason) => LoggedEnd::Refused(reason),
            AttemptOutcome::Unknown(cause) => LoggedEnd::Unknown(cause),
        });
    }

    fn write(&mut self, end: LoggedEnd) {
        self.is_written = true;
        let load = self.core.slots.load();
        let upstream = self.core.local_upstream.borrow();
        self.core.log(&ProxyEvent::AttemptExecuted {
            request: std::mem::take(&mut self.request_id),
            digest: self.fingerprint,
            from: self.sender,
            class: self.class.clone(),
            instance: upstream
                .current()
                .map(|current| current.identity.instance.clone()),
            end,
            running: self.running,
            queued: self.queued,
            limit: load.limit,
            pace_percent: self.slowdown_percent,
            pace_age_ms: self.slowdown_age.map(in_millis),
            expected_ms: in_millis(self.core.slots.expected_time(&self.class)),
            waited_ms: in_millis(self.waited),
            cold_left_ms: self.warmup.map(|warmup| in_millis(warmup.remaining)),
            cold_starts: self.warmup.map(|warmup| warmup.counted),
            cold_limit: self.warmup.map(|warmup| warmup.limit),
            took_ms: in_millis(self.core.timers.now().since(self.arrived)),
        });
    }
}

impl Drop for AttemptLogLine {
    fn drop(&mut self) {
        if !self.is_written {
            self.write(LoggedEnd::ClientLeft);
        }
    }
}
