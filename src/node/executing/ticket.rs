//! Holds an attempt's place in admission, and gives it back however the attempt ends.

use crate::{
    coordination::admission::{End, EndKind, execution::Settled},
    events::event::Event,
    node::{core::NodeCore, executing::apply_actions},
    protocol::attempt::AttemptId,
    state::moment::Moment,
};
use std::{rc::Rc, time::Duration};

/// An attempt's place in admission.
///
/// The future that carries an attempt is dropped wherever it stands when the caller goes away.
/// Without this guard the slot or queue place would stay taken for good, and the upstream would
/// seem ever busier.
pub struct Ticket {
    core: Rc<NodeCore>,
    id: AttemptId,
    dispatched: Option<Moment>,
    done: bool,
}

impl Ticket {
    pub fn new(core: &Rc<NodeCore>, id: AttemptId) -> Self {
        Self {
            core: Rc::clone(core),
            id,
            dispatched: None,
            done: false,
        }
    }

    /// Notes that the attempt is handed to the upstream now.
    pub fn dispatch(&mut self) {
        self.dispatched = Some(self.core.timers.now());
    }

    /// Ends the guard of an attempt that waited and was told how to go on.
    pub fn pass(mut self) {
        self.done = true;
    }

    /// Ends an attempt that had a slot.
    pub fn finish(mut self, kind: EndKind) {
        self.done = true;
        self.end(kind);
    }

    fn end(&self, kind: EndKind) {
        let now = self.core.timers.now();
        self.core.executing.borrow_mut().running.remove(&self.id);
        let took = self.dispatched.map_or(Duration::ZERO, |at| now.since(at));
        let end = End { took, kind };
        let actions = self.core.execution.borrow_mut().finish(self.id, end, now);
        apply_actions(&self.core, actions);
    }

    fn abandon(&self) {
        let event = Event::AttemptCancelled {
            attempt: self.id.number,
            dispatched: self.dispatched.is_some(),
        };
        self.core.recorder.record(event, Some(self.id.call));
        if self.dispatched.is_some() {
            self.end(EndKind::Cancelled);
            return;
        }
        let now = self.core.timers.now();
        self.core.executing.borrow_mut().waiting.remove(&self.id);
        let settled = self.core.execution.borrow_mut().settle(self.id, now);
        if let Settled::Ran { running: true } = settled {
            // Its turn came while its future was being dropped; no byte of it was sent.
            self.end(EndKind::NotSent);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.done {
            self.abandon();
        }
    }
}
