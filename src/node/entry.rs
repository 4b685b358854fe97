//! The entry side of a node: carries a caller's call to upstreams until it has an outcome.

mod attempt;
mod carrier;
mod started;

use crate::{
    node::core::NodeCore,
    protocol::{
        attempt::{AttemptId, CallId},
        call::{CallAttempt, IdempotencyKey},
        outcome::Outcome,
    },
    state::{
        class::Class,
        moment::Moment,
        names::{ClassName, NodeName, ServiceName},
    },
};
use bytes::Bytes;
use carrier::Carrier;
use http::{HeaderMap, Method};
use std::rc::Rc;

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
    /// Names its class among the classes of all services.
    fn class_key(&self) -> (ServiceName, ClassName) {
        (self.service.clone(), self.class.name.clone())
    }

    /// One attempt at the call, with the time left at `now`.
    #[must_use]
    pub fn build_attempt(&self, number: u16, now: Moment) -> CallAttempt {
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

/// Carries a call: tries upstreams until it has an outcome. Dropping the future cancels what is
/// under way.
pub async fn carry_call(core: &Rc<NodeCore>, call: EntryCall) -> CallEnd {
    Carrier::new(core, call).run().await
}
