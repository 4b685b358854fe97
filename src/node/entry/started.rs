//! An attempt that the entry node has under way.

use crate::{
    coordination::routing::{AttemptEnd, AttemptEndKind},
    node::{core::NodeCore, entry::attempt::AttemptReturn},
    protocol::outcome::RefusalReason,
    state::{
        member::Member,
        moment::Moment,
        names::{NodeName, ServiceName},
    },
};
use std::{rc::Rc, time::Duration};

/// An attempt that the router counts as outstanding.
///
/// A caller that goes away drops the future that would report the end; without this guard the
/// upstream would look ever busier to this node.
pub struct StartedAttempt {
    core: Rc<NodeCore>,
    to: NodeName,
    service: ServiceName,
    since: Moment,
    ended: bool,
}

impl StartedAttempt {
    pub fn count(core: &Rc<NodeCore>, to: &Member, service: &ServiceName) -> Self {
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

    pub fn end(mut self, kind: AttemptEndKind, returned: &AttemptReturn) -> Duration {
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
