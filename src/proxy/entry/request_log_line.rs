//! The log line about a client request.

use crate::{
    proxy::{
        client_reply::RequestOutcome,
        core::ProxyCore,
        entry::request_attempts::RequestAttempts,
        events::{LoggedEnd, ProxyEvent, Severity, in_millis},
    },
    state::{
        names::{ClassName, OrganisationName, ServiceName},
        request_fingerprint::RequestFingerprint,
        routing_table::Route,
        timestamp::Timestamp,
    },
    transport::callers::CallerRequest,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Collects the facts of a request for its log line. If it is dropped before the line is written, the line says that the client
/// disconnected.
pub struct RequestLogLine {
    core: Rc<ProxyCore>,
    request_id: String,
    fingerprint: RequestFingerprint,
    arrived: Timestamp,
    version: u64,
    service: Option<ServiceName>,
    class: Option<ClassName>,
    organisation: Option<OrganisationName>,
    keeper: Option<SocketAddr>,
    time_left: Duration,
    target: Duration,
    attempts: Rc<RequestAttempts>,
    is_written: bool,
}

impl RequestLogLine {
    pub fn new(core: &Rc<ProxyCore>, req: &CallerRequest, fingerprint: RequestFingerprint) -> Self {
        Self {
            request_id: core.read_request_id(&req.headers),
            fingerprint,
            arrived: core.timers.now(),
            version: core.directory.borrow().version().0,
            service: None,
            class: None,
            organisation: None,
            keeper: None,
            time_left: Duration::ZERO,
            target: Duration::ZERO,
            attempts: Rc::default(),
            is_written: false,
            core: Rc::clone(core),
        }
    }

    /// Records the route, the picked service and the time until the deadline.
    pub fn record_route(&mut self, route: &Route, service: &ServiceName, time_left: Duration) {
        self.class = Some(route.class.clone());
        self.service = Some(service.clone());
        self.time_left = time_left;
        self.target = route.target;
    }

    /// Records the organisation that sent the request, and the node that was asked for credit.
    pub fn record_organisation(&mut self, name: &OrganisationName, keeper: Option<SocketAddr>) {
        self.organisation = Some(name.clone());
        self.keeper = keeper;
    }

    /// The class of the request and its latency target; none if no route was found.
    pub fn class(&self) -> Option<(ClassName, Duration)> {
        self.class.clone().map(|class| (class, self.target))
    }

    /// The shared record of the attempts at the request.
    pub fn attempts(&self) -> Rc<RequestAttempts> {
        Rc::clone(&self.attempts)
    }

    /// Writes the line with the outcome of the request.
    pub fn write_outcome(mut self, outcome: &RequestOutcome) {
        self.write(match outcome {
            RequestOutcome::Answered(response) => LoggedEnd::Answered(response.status().as_u16()),
            RequestOutcome::Refused(reason, _) => LoggedEnd::Refused(*reason),
            RequestOutcome::Unknown(cause) => LoggedEnd::Unknown(*cause),
            RequestOutcome::NoRoute => LoggedEnd::NoRoute,
            RequestOutcome::Unauthorized => LoggedEnd::Unauthorized,
        });
    }

    fn write(&mut self, end: LoggedEnd) {
        self.is_written = true;
        let now = self.core.timers.now();
        let took = now.since(self.arrived);
        // The attempts are as important for the log as the end of their request.
        let severity = end.severity_of_request(took > self.target);
        let attempts = self.attempts.take_events();
        let soonest_finish = attempts.iter().filter_map(ProxyEvent::refused_finish).min();
        for attempt in attempts {
            // Refused attempts are most of the lines under high load; the earliest finish time among them carries most of their
            // information.
            let attempt_severity = if attempt.refused_finish().is_some() {
                Severity::Ordinary
            } else {
                severity
            };
            self.core
                .log_writer
                .write_with_severity(attempt_severity, &attempt, now);
        }
        self.core.log(&ProxyEvent::RequestEnded {
            request: std::mem::take(&mut self.request_id),
            digest: self.fingerprint,
            service: self.service.take(),
            class: self.class.take(),
            organisation: self.organisation.take(),
            keeper: self.keeper,
            version: self.version,
            end,
            asked: self.attempts.nodes_asked(),
            arrivals: self.attempts.upstream_attempts(),
            took_ms: in_millis(took),
            time_left_ms: in_millis(self.time_left),
            target_ms: in_millis(self.target),
            soonest_ms: soonest_finish.unwrap_or_default(),
        });
    }
}

impl Drop for RequestLogLine {
    fn drop(&mut self) {
        if !self.is_written {
            self.write(LoggedEnd::ClientLeft);
        }
    }
}
