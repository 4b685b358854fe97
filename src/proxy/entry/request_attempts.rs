//! Tracks the attempts at one request, for its log lines and its attempt limit.

use crate::proxy::events::ProxyEvent;
use std::cell::{Cell, RefCell};

/// Attempts at a request so far. Shared by the router of the request and its log line, so that the attempts are logged
/// even if the request is dropped because its client disconnected.
#[derive(Debug, Default)]
pub struct RequestAttempts {
    nodes_asked: Cell<u32>,
    upstream_attempts: Cell<u16>,
    events: RefCell<Vec<ProxyEvent>>,
}

impl RequestAttempts {
    /// Counts an attempt that is sent to a node.
    pub fn count_node_asked(&self) {
        self.nodes_asked.set(self.nodes_asked.get() + 1);
    }

    /// Counts an attempt that reached an upstream or may have reached one.
    pub fn count_upstream_attempt(&self) {
        self.upstream_attempts
            .set(self.upstream_attempts.get().saturating_add(1));
    }

    /// Attempts sent to nodes, including refused ones.
    pub fn nodes_asked(&self) -> u32 {
        self.nodes_asked.get()
    }

    /// Attempts that reached an upstream or may have reached one.
    pub fn upstream_attempts(&self) -> u16 {
        self.upstream_attempts.get()
    }

    /// Adds the log event of an attempt that has ended.
    pub fn record_event(&self, event: ProxyEvent) {
        self.events.borrow_mut().push(event);
    }

    /// Removes and returns the log events of the attempts that have ended.
    pub fn take_events(&self) -> Vec<ProxyEvent> {
        self.events.take()
    }
}
