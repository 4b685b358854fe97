//! The entry side of a node: carries a caller's call to upstreams until it has an outcome.

mod attempt;

use crate::{
    coordination::routing::{AttemptEnd, AttemptEndKind},
    events::{event::Event, reasons::OutcomeSummary},
    node::{core::NodeCore, executing::saturate_micros},
    protocol::{
        attempt::{AttemptId, CallId},
        call::{CallAttempt, IdempotencyKey},
        outcome::{Outcome, Refusal, RefusalReason, RetryAdvice},
    },
    state::{
        class::Class,
        member::Member,
        moment::Moment,
        names::{NodeName, ServiceName},
    },
};
use attempt::{AttemptReturn, run_attempt};
use bytes::Bytes;
use http::{HeaderMap, Method};
use std::{rc::Rc, time::Duration};

/// When a service without any serving upstream may be tried again.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// A call that an entry node is to carry.
#[derive(Clone, Debug)]
pub struct EntryCall {
    /// Identity of the call.
    pub id: CallId,
    /// The service that is called.
    pub service: ServiceName,
    /// Its class.
    pub class: Class,
    /// HTTP method.
    pub method: Method,
    /// Path and query without the service prefix.
    pub target: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the deadline passes.
    pub deadline: Moment,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Calls above this one.
    pub depth: u8,
    /// Number that the first attempt gets.
    pub first_attempt: u16,
}

impl EntryCall {
    fn build_attempt(&self, number: u16, now: Moment) -> CallAttempt {
        CallAttempt {
            id: AttemptId {
                call: self.id,
                number,
            },
            service: self.service.clone(),
            class: self.class.name.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            time_left: self.deadline.since(now),
            key: self.key,
            depth: self.depth,
        }
    }
}

/// How a call ended, with what a caller is told of the way.
#[derive(Clone, Debug)]
pub struct CallEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The node beside the upstream that was tried last.
    pub upstream: Option<NodeName>,
    /// Attempts made.
    pub attempts: u16,
}

/// Carries a call: tries upstreams one after another until it has an outcome.
pub async fn carry_call(core: &Rc<NodeCore>, call: EntryCall) -> CallEnd {
    let mut refused: Vec<NodeName> = Vec::new();
    let mut number = call.first_attempt;
    let mut last = no_upstream();
    loop {
        let now = core.timers.now();
        let Some(to) = choose_upstream(core, &call.service, &refused) else {
            return last;
        };
        let attempt = call.build_attempt(number, now);
        let returned = run_counted(core, &to, attempt).await;
        number += 1;
        last = CallEnd {
            outcome: returned.outcome,
            upstream: Some(to.name.clone()),
            attempts: number - call.first_attempt,
        };
        let again = match &last.outcome {
            Outcome::Answered(_) => false,
            Outcome::NotRun(refusal) => refusal.advice == RetryAdvice::Elsewhere,
            Outcome::Unknown(_) => call.class.idempotent,
        };
        if !again || core.timers.now() >= call.deadline {
            return last;
        }
        refused.push(to.name);
    }
}

fn no_upstream() -> CallEnd {
    CallEnd {
        outcome: Outcome::NotRun(Refusal {
            reason: RefusalReason::NoUpstream,
            advice: RetryAdvice::After(NO_UPSTREAM_RETRY),
        }),
        upstream: None,
        attempts: 0,
    }
}

fn choose_upstream(core: &NodeCore, service: &ServiceName, refused: &[NodeName]) -> Option<Member> {
    let mut routers = core.routers.borrow_mut();
    let chosen = routers
        .get_mut(service)?
        .choose(refused, core.timers.now())?;
    core.members.borrow().get(&chosen).cloned()
}

/// Runs an attempt and lets the router learn from it.
async fn run_counted(core: &Rc<NodeCore>, to: &Member, attempt: CallAttempt) -> AttemptReturn {
    let id = attempt.id;
    let started = StartedAttempt::count(core, to, &attempt.service);
    let returned = run_attempt(core, to, attempt).await;
    let kind = match &returned.outcome {
        Outcome::Answered(answer) => AttemptEndKind::Answered {
            server_error: answer.status.is_server_error(),
        },
        Outcome::NotRun(refusal) => AttemptEndKind::Refused(refusal.reason),
        Outcome::Unknown(_) => AttemptEndKind::Unknown,
    };
    let took = started.end(kind, &returned);
    let event = Event::AttemptReturned {
        attempt: id.number,
        upstream: to.name.clone(),
        outcome: OutcomeSummary::from(&returned.outcome),
        took_micros: saturate_micros(took),
    };
    core.recorder.record(event, Some(id.call));
    returned
}

/// An attempt that the router counts as outstanding.
///
/// A caller that goes away drops the future that would report the end; without this guard the
/// upstream would look ever busier to this node.
struct StartedAttempt {
    core: Rc<NodeCore>,
    to: NodeName,
    service: ServiceName,
    since: Moment,
    ended: bool,
}

impl StartedAttempt {
    fn count(core: &Rc<NodeCore>, to: &Member, service: &ServiceName) -> Self {
        let since = core.timers.now();
        if let Some(router) = core.routers.borrow_mut().get_mut(service) {
            router.record_started(&to.name, since);
        }
        Self {
            core: Rc::clone(core),
            to: to.name.clone(),
            service: service.clone(),
            since,
            ended: false,
        }
    }

    fn end(mut self, kind: AttemptEndKind, returned: &AttemptReturn) -> Duration {
        self.ended = true;
        let took = self.core.timers.now().since(self.since);
        self.report(AttemptEnd { took, kind }, Some(returned));
        took
    }

    fn report(&self, end: AttemptEnd, returned: Option<&AttemptReturn>) {
        let load = returned.and_then(|returned| returned.load);
        if let Some(router) = self.core.routers.borrow_mut().get_mut(&self.service) {
            router.record_ended(&self.to, end, load, self.core.timers.now());
        }
    }
}

impl Drop for StartedAttempt {
    fn drop(&mut self) {
        if !self.ended {
            let took = self.core.timers.now().since(self.since);
            let kind = AttemptEndKind::Refused(RefusalReason::Cancelled);
            self.report(AttemptEnd { took, kind }, None);
        }
    }
}
