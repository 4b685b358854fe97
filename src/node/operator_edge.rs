//! Answers operators' tools and the upstream's announcements, on the event loop.

mod status;

use crate::{
    events::{event::Event, reasons::ConditionSource},
    node::{core::NodeCore, executing::apply_actions, stop::drain_node},
    protocol::{
        load_report::UpstreamCondition,
        operator_views::{NodeCondition, UpstreamAnnouncement},
    },
    transport::operators::request::OperatorRequest,
};
use flume::Receiver;
use status::build_status;
use std::rc::Rc;

/// Answers requests until the operators' server is gone.
pub async fn answer_operators(core: Rc<NodeCore>, rx: Receiver<OperatorRequest>) {
    while let Ok(req) = rx.recv_async().await {
        answer_request(&core, req);
    }
}

/// An asker that has given up meanwhile is no error, so failing sends are ignored.
fn answer_request(core: &Rc<NodeCore>, req: OperatorRequest) {
    match req {
        OperatorRequest::Status { reply } => {
            let _ = reply.send(build_status(core));
        }
        OperatorRequest::Health { reply } => {
            let _ = reply.send(current_condition(core));
        }
        OperatorRequest::Events { query, reply } => {
            let _ = reply.send(core.recorder.find(&query));
        }
        OperatorRequest::Drain { reply } => {
            drain_node(core);
            let _ = reply.send(current_condition(core));
        }
        OperatorRequest::Announce {
            announcement,
            reply,
        } => {
            take_announcement(core, announcement);
            let _ = reply.send(current_condition(core));
        }
        OperatorRequest::Rejected => core.recorder.record(Event::OperatorRejected {}, None),
    }
}

fn current_condition(core: &NodeCore) -> NodeCondition {
    let load = core.load_report();
    NodeCondition {
        condition: load.condition,
        stopping: core.stopping.get(),
        running: load.running,
        queued: load.queued,
    }
}

fn take_announcement(core: &Rc<NodeCore>, announcement: UpstreamAnnouncement) {
    let event = Event::UpstreamAnnounced {
        condition: announcement.condition,
        slots: announcement.slots.unwrap_or(core.me.slots),
    };
    core.recorder.record(event, None);
    if let Some(port) = announcement.port {
        core.upstream.move_to_port(port);
    }
    if let Some(slots) = announcement.slots {
        let now = core.timers.now();
        let actions = core.execution.borrow_mut().set_slots(slots, now);
        apply_actions(core, actions);
    }
    change_condition(core, announcement.condition, ConditionSource::Announced);
}

/// Puts a condition of the upstream in force here; other nodes learn it with the next report.
pub fn change_condition(core: &Rc<NodeCore>, after: UpstreamCondition, source: ConditionSource) {
    let before = core.load_report().condition;
    let now = core.timers.now();
    let actions = core.execution.borrow_mut().set_condition(after, now);
    apply_actions(core, actions);
    if before != after {
        let event = Event::ConditionChanged {
            before,
            after,
            source,
        };
        core.recorder.record(event, None);
    }
}
