//! One attempt at a request, at the local upstream or through another node.

use crate::{
    protocol::{
        hop::{AttemptOutcome, HopRequest},
        leaving_report::read_leaving_report,
        limit_report::read_limit_report,
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        calls::record_call,
        core::ProxyCore,
        entry::{
            request_attempts::RequestAttempts, request_router::ClientCall,
            waiting_attempts::WaitingAttempt,
        },
        events::{LoggedEnd, ProxyEvent, in_millis},
        executing::{CompletedAttempt, execute},
        liveness::WatchedAttempt,
        peer_requests::send_hop,
    },
    state::{
        ablation::Mechanism, known_node::KnownNode, request_rate::LimitReport, timestamp::Timestamp,
    },
    transport::{callers::CallerRequest, outgoing::SendError},
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Time for which a node gets no attempts after a refusal that holds for all requests, for instance because its upstream is down. The
/// upstream announces a change within a second or two; more frequent attempts cost a message each way and achieve nothing.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// If a request ends while an attempt at a node is in progress and the node has sent nothing for this time, the node gets no attempts
/// for a while. The time is longer than most requests take, so a healthy node answers other requests within it.
const SILENCE_LIMIT: Duration = Duration::from_millis(150);

/// An attempt that has ended.
pub struct AttemptResult {
    /// The node that the attempt was sent to.
    pub to: SocketAddr,
    /// The answer of the node, or why there is none.
    pub result: Result<CompletedAttempt, SendError>,
}

/// Makes one attempt at the node `to`, and updates what is known of the node and the class from its result.
pub async fn run_attempt(
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    attempts: Rc<RequestAttempts>,
    to: SocketAddr,
    hop: HopRequest,
) -> AttemptResult {
    let outstanding = OutstandingAttempt::begin(&core, &call, attempts, to, hop.finish_within);
    let result = if to == core.settings.peer_address {
        Ok(execute(&core, &hop, copy_request(&call.req)).await)
    } else {
        send_hop(&core, to, &hop, &call.req).await
    };
    outstanding.finish(&result);
    if let Ok(CompletedAttempt {
        response: Some(response),
        ..
    }) = &result
    {
        let bytes = call.req.body.known_length() + response.body().known_length();
        core.class_bytes.borrow_mut().observe(&hop.class, bytes);
    }
    AttemptResult { to, result }
}

/// Milliseconds of `finish_or_wait` if the attempt was refused (`refused` is true) or was not refused (`refused` is false);
/// 0 in the other case or without an answer.
fn read_finish_or_wait_ms(result: &Result<CompletedAttempt, SendError>, refused: bool) -> u64 {
    result.as_ref().map_or(0, |completed| {
        let answer = &completed.answer;
        let is_wanted = matches!(answer.outcome, AttemptOutcome::Refused(_)) == refused;
        if is_wanted {
            in_millis(answer.finish_or_wait)
        } else {
            0
        }
    })
}

fn describe_result(result: &Result<CompletedAttempt, SendError>) -> LoggedEnd {
    match result {
        Ok(completed) => match (completed.answer.outcome, &completed.response) {
            (AttemptOutcome::Answered, Some(response)) => {
                LoggedEnd::Answered(response.status().as_u16())
            }
            (AttemptOutcome::Answered, None) => LoggedEnd::Unknown(UnknownCause::BadAnswer),
            (AttemptOutcome::Refused(reason), _) => LoggedEnd::Refused(reason),
            (AttemptOutcome::Unknown(cause), _) => LoggedEnd::Unknown(cause),
        },
        Err(SendError::NotSent | SendError::Rejected) => LoggedEnd::NotSent,
        Err(_) => LoggedEnd::Unknown(UnknownCause::NodeLost),
    }
}

fn copy_request(req: &CallerRequest) -> CallerRequest {
    CallerRequest {
        method: req.method.clone(),
        uri: req.uri.clone(),
        headers: req.headers.clone(),
        body: req.body.share().unwrap_or_default(),
        fingerprint: req.fingerprint,
    }
}

/// Counts an attempt at a node until it ends or is dropped, then records its log event.
struct OutstandingAttempt {
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    attempts: Rc<RequestAttempts>,
    to: SocketAddr,
    finish_within: Duration,
    sent: Timestamp,
    /// Age of the known load of the node when the attempt was sent.
    known_load_age: Option<Duration>,
    /// `None` if the attempt is not watched.
    watched: Option<WatchedAttempt>,
    /// `None` if the attempt can't be waiting for a slot, or is bounded by the stop of this node from the start.
    _waiting: Option<WaitingAttempt>,
    ended: Cell<bool>,
}

impl OutstandingAttempt {
    fn begin(
        core: &Rc<ProxyCore>,
        call: &Rc<ClientCall>,
        attempts: Rc<RequestAttempts>,
        to: SocketAddr,
        finish_within: Duration,
    ) -> Self {
        let sent = core.timers.now();
        let mut known_load_age = None;
        if let Some(node) = core.directory.borrow_mut().nodes.get_mut(&to) {
            node.record_sent_request(sent);
            known_load_age = node.load.map(|(_, at)| sent.since(at));
        }
        let route = &call.route;
        let watched = WatchedAttempt::begin(core, to, (&call.service, &route.class), route.target);
        let may_wait = !finish_within.is_zero() && !core.is_stopping();
        let waiting = may_wait.then(|| core.waiting_attempts.begin(to, call.deadline));
        Self {
            core: Rc::clone(core),
            call: Rc::clone(call),
            attempts,
            to,
            finish_within,
            sent,
            known_load_age,
            watched,
            _waiting: waiting,
            ended: Cell::new(false),
        }
    }

    fn finish(&self, result: &Result<CompletedAttempt, SendError>) {
        self.ended.set(true);
        if let Some(watched) = &self.watched {
            watched.record_result(result);
        }
        if let Ok(completed) = result {
            record_call(&self.core, &self.call.service, completed.answer.outcome);
        }
        self.update_known_node(result);
        let slowdown_percent = result
            .as_ref()
            .map_or(0, |completed| completed.answer.load.slowdown_percent);
        self.record_event(
            describe_result(result),
            (
                read_finish_or_wait_ms(result, true),
                read_finish_or_wait_ms(result, false),
            ),
            slowdown_percent,
        );
    }

    fn record_event(
        &self,
        end: LoggedEnd,
        (finish_ms, waited_ms): (u64, u64),
        slowdown_percent: u16,
    ) {
        self.attempts.record_event(ProxyEvent::AttemptReturned {
            request: self.core.read_request_id(&self.call.req.headers),
            to: self.to,
            sent_ms: in_millis(self.sent.since(self.call.arrived)),
            within_ms: in_millis(self.finish_within),
            known_age_ms: self.known_load_age.map(in_millis),
            end,
            finish_ms,
            waited_ms,
            pace_percent: slowdown_percent,
            took_ms: in_millis(self.core.timers.now().since(self.sent)),
        });
    }

    fn update_known_node(&self, result: &Result<CompletedAttempt, SendError>) {
        let completed = match result {
            Ok(completed) => completed,
            // Other requests may be accepted.
            Err(SendError::Rejected) => return,
            Err(_) => return self.back_off_node(),
        };
        let now = self.core.timers.now();
        let mut directory = self.core.directory.borrow_mut();
        let Some(node) = directory.nodes.get_mut(&self.to) else {
            return;
        };
        node.record_response(now);
        node.load = Some((completed.answer.load, now));
        let report = self.read_limit_report(completed);
        node.request_limit.record(report, self.sent, now);
        if self.says_leaving(completed) {
            node.record_leaving();
        }
        match completed.answer.outcome {
            AttemptOutcome::Refused(RefusalReason::UpstreamFailing) => {
                node.record_failing(completed.answer.finish_or_wait, now);
            }
            AttemptOutcome::Refused(reason) => back_off_after_refusal(node, reason, now),
            AttemptOutcome::Answered | AttemptOutcome::Unknown(_) => {
                node.record_accepted(self.sent);
            }
        }
    }

    /// What the answer says about the request limit. A node that names none may have been restarted, so only the upstream's own
    /// response shows that there is none.
    fn read_limit_report(&self, completed: &CompletedAttempt) -> LimitReport {
        if let Some(rate) = completed.answer.request_limit {
            return LimitReport::Named(rate);
        }
        let names = &self.core.settings.headers;
        let response = completed.response.as_ref();
        let report = response
            .map(|response| read_limit_report(names, response.headers(), response.status()));
        report.and_then(Result::ok).unwrap_or(LimitReport::Unknown)
    }

    /// Whether the response says that the upstream is leaving. Its own node counts and logs what can't be read.
    fn says_leaving(&self, completed: &CompletedAttempt) -> bool {
        let names = &self.core.settings.headers;
        let response = completed.response.as_ref();
        response
            .is_some_and(|response| read_leaving_report(names, response.headers()).unwrap_or(false))
    }

    /// Sends no attempts to the node for a while.
    fn back_off_node(&self) {
        if Mechanism::NodeBackoff.is_disabled() {
            return;
        }
        let now = self.core.timers.now();
        let mut directory = self.core.directory.borrow_mut();
        let Some(node) = directory.nodes.get_mut(&self.to) else {
            return;
        };
        let backoff = node.record_unreachable(now);
        let failures = node.consecutive_failures;
        drop(directory);
        self.core.log(&ProxyEvent::NodeUnreachable {
            to: self.to,
            failures,
            pause_ms: in_millis(backoff),
        });
    }

    /// Whether the node has sent nothing to this one during this attempt and for at least [`SILENCE_LIMIT`]. A VM that hangs or is
    /// disconnected accepts connections and sends nothing. Without this check each request would find that out by itself and be
    /// late.
    fn is_node_silent(&self) -> bool {
        let now = self.core.timers.now();
        let directory = self.core.directory.borrow();
        let Some(node) = directory.nodes.get(&self.to) else {
            return false;
        };
        let silence = node.silence(now);
        silence >= SILENCE_LIMIT && silence >= now.since(self.sent)
    }
}

/// Sends no attempts for a while to a node that refuses all requests, whatever their class.
fn back_off_after_refusal(node: &mut KnownNode, reason: RefusalReason, now: Timestamp) {
    if !Mechanism::NodeBackoff.is_disabled() && reason.is_node_wide() {
        node.backoff_until = now + REFUSAL_BACKOFF;
    }
}

impl Drop for OutstandingAttempt {
    fn drop(&mut self) {
        if !self.ended.get() {
            // The request ended while this attempt was in progress: the log shows where the time of the request went.
            self.record_event(LoggedEnd::Abandoned, (0, 0), 0);
            if self.is_node_silent() {
                self.back_off_node();
            }
        }
        let mut directory = self.core.directory.borrow_mut();
        if let Some(node) = directory.nodes.get_mut(&self.to) {
            node.record_ended_request();
        }
    }
}
