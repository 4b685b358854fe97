//! One attempt at a request, at this node's upstream or another node's.

use crate::{
    protocol::{
        hop::{AttemptOutcome, HopRequest},
        outcome::{RefusalReason, UnknownCause},
    },
    proxy::{
        core::ProxyCore,
        entry::{request_attempts::RequestAttempts, request_router::ClientCall},
        events::{LoggedEnd, ProxyEvent, in_millis},
        executing::{CompletedAttempt, execute},
        peer_requests::send_hop,
    },
    state::{ablation::Mechanism, known_node::KnownNode, timestamp::Timestamp},
    transport::{callers::CallerRequest, outgoing::SendError},
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Time for which a node is left out whose upstream takes no work at all. It announces a change within
/// a second or two; asking more often costs a message each way for nothing.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// Silence of a node, given up on by a request, after which it is left out: above the time that usual work
/// takes, during which other requests hear of it.
const SILENCE: Duration = Duration::from_millis(150);

/// An attempt that has come back.
pub struct Returned {
    /// The node asked.
    pub to: SocketAddr,
    /// What it said.
    pub result: Result<CompletedAttempt, SendError>,
}

/// Runs one attempt and learns from its end.
pub async fn run_attempt(
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    attempts: Rc<RequestAttempts>,
    to: SocketAddr,
    hop: HopRequest,
) -> Returned {
    let outstanding = Outstanding::count(&core, &call, attempts, to, hop.finish_within);
    let result = if to == core.settings.peers {
        Ok(execute(&core, &hop, copy_request(&call.req)).await)
    } else {
        send_hop(&core, to, &hop, &call.req).await
    };
    outstanding.end(&result);
    if let Ok(CompletedAttempt {
        response: Some(response),
        ..
    }) = &result
    {
        let bytes = call.req.body.len() + response.body().len();
        core.class_bytes.borrow_mut().note(&hop.class, bytes);
    }
    Returned { to, result }
}

/// The time told with a refusal, or the one told with any other end; 0 if it is not that.
fn read_answer(result: &Result<CompletedAttempt, SendError>, refused: bool) -> u64 {
    result.as_ref().map_or(0, |executed| {
        let answer = &executed.answer;
        let fits = matches!(answer.outcome, AttemptOutcome::Refused(_)) == refused;
        if fits {
            in_millis(answer.finish_or_wait)
        } else {
            0
        }
    })
}

fn describe_end(result: &Result<CompletedAttempt, SendError>) -> LoggedEnd {
    match result {
        Ok(executed) => match (executed.answer.outcome, &executed.response) {
            (AttemptOutcome::Answered, Some(response)) => {
                LoggedEnd::Answered(response.status().as_u16())
            }
            (AttemptOutcome::Answered, None) => LoggedEnd::Unknown(UnknownCause::BadAnswer),
            (AttemptOutcome::Refused(reason), _) => LoggedEnd::Refused(reason),
            (AttemptOutcome::Unknown(cause), _) => LoggedEnd::Unknown(cause),
        },
        Err(SendError::NotSent) => LoggedEnd::NotSent,
        Err(_) => LoggedEnd::Unknown(UnknownCause::NodeLost),
    }
}

fn copy_request(req: &CallerRequest) -> CallerRequest {
    CallerRequest {
        method: req.method.clone(),
        uri: req.uri.clone(),
        headers: req.headers.clone(),
        body: req.body.clone(),
    }
}

/// Counts an attempt at a node for as long as it is under way, and notes its line at its end.
struct Outstanding {
    core: Rc<ProxyCore>,
    call: Rc<ClientCall>,
    attempts: Rc<RequestAttempts>,
    to: SocketAddr,
    within: Duration,
    sent: Timestamp,
    /// Age of what was known of the node's load.
    known_age: Option<Duration>,
    ended: Cell<bool>,
}

impl Outstanding {
    fn count(
        core: &Rc<ProxyCore>,
        call: &Rc<ClientCall>,
        attempts: Rc<RequestAttempts>,
        to: SocketAddr,
        within: Duration,
    ) -> Self {
        let sent = core.timers.now();
        let mut known_age = None;
        if let Some(view) = core.directory.borrow_mut().nodes.get_mut(&to) {
            view.record_sent_request(sent);
            known_age = view.load.map(|(_, at)| sent.since(at));
        }
        Self {
            core: Rc::clone(core),
            call: Rc::clone(call),
            attempts,
            to,
            within,
            sent,
            known_age,
            ended: Cell::new(false),
        }
    }

    fn end(&self, result: &Result<CompletedAttempt, SendError>) {
        self.ended.set(true);
        self.learn(result);
        let pace = result
            .as_ref()
            .map_or(0, |executed| executed.answer.load.slowdown_percent);
        self.note_line(
            describe_end(result),
            (read_answer(result, true), read_answer(result, false)),
            pace,
        );
    }

    fn note_line(&self, end: LoggedEnd, (finish_ms, waited_ms): (u64, u64), pace_percent: u16) {
        self.attempts.note(ProxyEvent::AttemptReturned {
            request: self.core.read_request_id(&self.call.req.headers),
            to: self.to,
            sent_ms: in_millis(self.sent.since(self.call.arrived)),
            within_ms: in_millis(self.within),
            known_age_ms: self.known_age.map(in_millis),
            end,
            finish_ms,
            waited_ms,
            pace_percent,
            took_ms: in_millis(self.core.timers.now().since(self.sent)),
        });
    }

    fn learn(&self, result: &Result<CompletedAttempt, SendError>) {
        let Ok(executed) = result else {
            return self.leave_out();
        };
        let now = self.core.timers.now();
        let mut directory = self.core.directory.borrow_mut();
        let Some(view) = directory.nodes.get_mut(&self.to) else {
            return;
        };
        view.record_response(now);
        view.load = Some((executed.answer.load, now));
        if let AttemptOutcome::Refused(reason) = executed.answer.outcome {
            pause_after_refusal(view, reason, now);
        }
    }

    /// Leaves the node out for a while.
    fn leave_out(&self) {
        if Mechanism::LeavingOut.is_off() {
            return;
        }
        let now = self.core.timers.now();
        let mut directory = self.core.directory.borrow_mut();
        let Some(view) = directory.nodes.get_mut(&self.to) else {
            return;
        };
        let pause = view.record_unreachable(now);
        let failures = view.consecutive_failures;
        drop(directory);
        self.core.log(&ProxyEvent::NodeUnreachable {
            to: self.to,
            failures,
            pause_ms: in_millis(pause),
        });
    }

    /// Whether nothing was heard of the node for as long as this attempt lasted, and that was long. A VM that
    /// stands still or is cut off takes connections and says nothing; without this, each request would find
    /// that out for itself, and be late.
    fn met_silence(&self) -> bool {
        let now = self.core.timers.now();
        let directory = self.core.directory.borrow();
        let Some(view) = directory.nodes.get(&self.to) else {
            return false;
        };
        let silence = view.silence(now);
        silence >= SILENCE && silence >= now.since(self.sent)
    }
}

/// A node whose upstream takes no work at all is left out for a while.
fn pause_after_refusal(view: &mut KnownNode, reason: RefusalReason, now: Timestamp) {
    if !Mechanism::LeavingOut.is_off() && reason.is_node_wide() {
        view.backoff_until = now + REFUSAL_PAUSE;
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        if !self.ended.get() {
            // What was under way when the request ended is where its time went.
            self.note_line(LoggedEnd::Abandoned, (0, 0), 0);
            if self.met_silence() {
                self.leave_out();
            }
        }
        let mut directory = self.core.directory.borrow_mut();
        if let Some(view) = directory.nodes.get_mut(&self.to) {
            view.record_ended_request();
        }
    }
}
