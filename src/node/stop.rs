//! A planned stop: no new work, nothing in progress cut off, within the bound of the settings.

use crate::{
    events::{event::Event, reasons::ConditionSource},
    node::{
        core::NodeCore, keyed_calls::handovers::has_handed_over, mesh::perform,
        operator_edge::change_condition,
    },
    protocol::load_report::UpstreamCondition,
};
use std::{rc::Rc, time::Duration};

/// How often a stopping node looks whether its calls have ended.
const LOOK_PERIOD: Duration = Duration::from_millis(10);
/// How long a node that has no calls left stays to refuse those that are on their way to it.
///
/// Others learn of the stop within this time; without it their calls would meet a closed port, and
/// callers of this node a reset connection instead of a refusal.
const LINGER: Duration = Duration::from_millis(500);

/// How long a node stays after it has told the others that it ends.
const FAREWELL: Duration = Duration::from_millis(50);

/// How a node is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopKind {
    /// As planned: finish what there is.
    Graceful,
    /// At once.
    Abrupt,
}

/// Takes no new work from now on: calls are refused as not run, waiting ones too.
pub fn drain_node(core: &Rc<NodeCore>) {
    if core.stopping.replace(true) {
        return;
    }
    let load = core.load_report();
    let event = Event::StopRequested {
        running: load.running,
        queued: load.queued,
    };
    core.recorder.record(event, None);
    change_condition(core, UpstreamCondition::Draining, ConditionSource::Operator);
    let actions = core.membership.borrow_mut().leave(core.timers.now());
    perform(core, actions);
}

/// Drains the node and waits for its calls, at most as long as the settings allow.
///
/// It goes on as an owner of keys until other owners are named, and ends once it has handed over. An
/// owner that ended earlier would cost the keys' callers the wait for its lease.
pub async fn stop_gracefully(core: &Rc<NodeCore>) {
    let began = core.timers.now();
    drain_node(core);
    let bound = core.settings.stop.bound;
    let looks = core.timers.every(LOOK_PERIOD);
    while looks.recv_async().await.is_ok() {
        let took = core.timers.now().since(began);
        let idle = calls_left(core) == 0 && has_handed_over(core);
        if (idle && took >= LINGER) || took >= bound {
            break;
        }
    }
    let actions = core.membership.borrow_mut().finish(core.timers.now());
    perform(core, actions);
    // Lets the farewell be sent; what does not get through is learned from silence.
    let _ = core.timers.after(FAREWELL).recv_async().await;
    let took = core.timers.now().since(began);
    let event = Event::NodeStopped {
        cut: u16::try_from(calls_left(core)).unwrap_or(u16::MAX),
        took_ms: u32::try_from(took.as_millis()).unwrap_or(u32::MAX),
    };
    core.recorder.record(event, None);
}

fn calls_left(core: &NodeCore) -> usize {
    let load = core.load_report();
    core.calls.get()
        + core.keyed.carried_calls()
        + usize::from(load.running)
        + usize::from(load.queued)
}
