//! The line of the log about an attempt at this node's upstream.

use crate::{
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

/// Collects what decided about an attempt. One that is dropped before its end tells that the client, or
/// the node that asked, went away.
pub struct AttemptLogLine {
    core: Rc<ProxyCore>,
    request: String,
    digest: RequestFingerprint,
    from: SocketAddr,
    class: ClassName,
    arrived: Timestamp,
    /// Pace at which it started, or was last decided about.
    pace_percent: u16,
    pace_age: Option<Duration>,
    running: u16,
    queued: u16,
    waited: Duration,
    ended: bool,
}

impl AttemptLogLine {
    pub fn begin(
        core: &Rc<ProxyCore>,
        hop: &HopRequest,
        req: &CallerRequest,
        digest: RequestFingerprint,
    ) -> Self {
        let load = core.slots.load();
        Self {
            request: core.read_request_id(&req.headers),
            digest,
            from: hop.sender,
            class: hop.class.clone(),
            arrived: core.timers.now(),
            pace_percent: load.slowdown_percent,
            pace_age: None,
            running: load.running,
            queued: load.queued,
            waited: Duration::ZERO,
            ended: false,
            core: Rc::clone(core),
        }
    }

    /// Notes what is known at the moment of the decision.
    pub fn note_decision(&mut self) {
        let load = self.core.slots.load();
        self.running = load.running;
        self.queued = load.queued;
        self.note_pace();
    }

    /// Notes that it has a slot.
    pub fn note_start(&mut self, waited: Duration) {
        self.waited = waited;
        self.note_pace();
    }

    fn note_pace(&mut self) {
        self.pace_percent = self.core.slots.load().slowdown_percent;
        self.pace_age = self.core.slots.pace.age(self.core.timers.now());
    }

    /// Writes the line.
    pub fn end(mut self, executed: &CompletedAttempt) {
        let status = executed
            .response
            .as_ref()
            .map_or(0, |response| response.status().as_u16());
        self.write(match executed.answer.outcome {
            AttemptOutcome::Answered => LoggedEnd::Answered(status),
            AttemptOutcome::Refused(reason) => LoggedEnd::Refused(reason),
            AttemptOutcome::Unknown(cause) => LoggedEnd::Unknown(cause),
        });
    }

    fn write(&mut self, end: LoggedEnd) {
        self.ended = true;
        let load = self.core.slots.load();
        let own = self.core.local_upstream.borrow();
        self.core.log(&ProxyEvent::AttemptExecuted {
            request: std::mem::take(&mut self.request),
            digest: self.digest,
            from: self.from,
            class: self.class.clone(),
            instance: own.current().map(|run| run.identity.instance.clone()),
            end,
            running: self.running,
            queued: self.queued,
            limit: load.limit,
            pace_percent: self.pace_percent,
            pace_age_ms: self.pace_age.map(in_millis),
            expected_ms: in_millis(self.core.slots.expect(&self.class)),
            waited_ms: in_millis(self.waited),
            took_ms: in_millis(self.core.timers.now().since(self.arrived)),
        });
    }
}

impl Drop for AttemptLogLine {
    fn drop(&mut self) {
        if !self.ended {
            self.write(LoggedEnd::ClientLeft);
        }
    }
}
