//! The line of the log about a client's request.

use crate::{
    proxy::{
        client_reply::RequestOutcome,
        core::ProxyCore,
        entry::request_attempts::RequestAttempts,
        events::{EventPriority, LoggedEnd, ProxyEvent, in_millis},
    },
    state::{
        names::{ClassName, ServiceName},
        request_fingerprint::RequestFingerprint,
        routing_table::Route,
        timestamp::Timestamp,
    },
    transport::callers::CallerRequest,
};
use std::{rc::Rc, time::Duration};

/// Collects what decided about a request. One that is dropped before its end tells that the client
/// went away.
pub struct RequestLogLine {
    core: Rc<ProxyCore>,
    request: String,
    digest: RequestFingerprint,
    arrived: Timestamp,
    version: u64,
    service: Option<ServiceName>,
    class: Option<ClassName>,
    time_left: Duration,
    target: Duration,
    attempts: Rc<RequestAttempts>,
    ended: bool,
}

impl RequestLogLine {
    pub fn begin(core: &Rc<ProxyCore>, req: &CallerRequest, digest: RequestFingerprint) -> Self {
        Self {
            request: core.read_request_id(&req.headers),
            digest,
            arrived: core.timers.now(),
            version: core.directory.borrow().version().0,
            service: None,
            class: None,
            time_left: Duration::ZERO,
            target: Duration::ZERO,
            attempts: Rc::default(),
            ended: false,
            core: Rc::clone(core),
        }
    }

    /// Notes the route and the service that was picked.
    pub fn note_route(&mut self, route: &Route, service: &ServiceName, time_left: Duration) {
        self.class = Some(route.class.clone());
        self.service = Some(service.clone());
        self.time_left = time_left;
        self.target = route.target;
    }

    /// The class of the request and its target, if a route was found.
    pub fn class(&self) -> Option<(ClassName, Duration)> {
        self.class.clone().map(|class| (class, self.target))
    }

    /// Where the attempts at the request are noted.
    pub fn attempts(&self) -> Rc<RequestAttempts> {
        Rc::clone(&self.attempts)
    }

    /// Writes the line.
    pub fn end(mut self, end: &RequestOutcome) {
        self.write(match end {
            RequestOutcome::Answered(response) => LoggedEnd::Answered(response.status().as_u16()),
            RequestOutcome::Refused(reason, _) => LoggedEnd::Refused(*reason),
            RequestOutcome::Unknown(cause) => LoggedEnd::Unknown(*cause),
            RequestOutcome::NoRoute => LoggedEnd::NoRoute,
        });
    }

    fn write(&mut self, end: LoggedEnd) {
        self.ended = true;
        let now = self.core.timers.now();
        let took = now.since(self.arrived);
        // The attempts of a request are as telling as its end.
        let weight = end.priority_of_request(took > self.target);
        let attempts = self.attempts.take_lines();
        let soonest = attempts.iter().filter_map(ProxyEvent::refused_finish).min();
        for attempt in attempts {
            // Refused questions are most of the lines on a day of high load; the soonest end tells most of
            // what they do.
            let told = if attempt.refused_finish().is_some() {
                EventPriority::Ordinary
            } else {
                weight
            };
            self.core
                .log_writer
                .write_with_priority(told, &attempt, now);
        }
        self.core.log(&ProxyEvent::RequestEnded {
            request: std::mem::take(&mut self.request),
            digest: self.digest,
            service: self.service.take(),
            class: self.class.take(),
            version: self.version,
            end,
            asked: self.attempts.asked(),
            arrivals: self.attempts.arrivals(),
            took_ms: in_millis(took),
            time_left_ms: in_millis(self.time_left),
            target_ms: in_millis(self.target),
            soonest_ms: soonest.unwrap_or_default(),
        });
    }
}

impl Drop for RequestLogLine {
    fn drop(&mut self) {
        if !self.ended {
            self.write(LoggedEnd::ClientLeft);
        }
    }
}
