//! The attempts at one request, for its log line and its bounds.

use crate::proxy::events::ProxyEvent;
use std::cell::{Cell, RefCell};

/// Attempts at a request so far. Shared by whoever carries the request and whoever writes its line: a
/// request that is dropped because its client went away tells of its attempts too.
#[derive(Debug, Default)]
pub struct RequestAttempts {
    asked: Cell<u32>,
    arrivals: Cell<u16>,
    lines: RefCell<Vec<ProxyEvent>>,
}

impl RequestAttempts {
    /// Counts a node that is asked.
    pub fn count_asked(&self) {
        self.asked.set(self.asked.get() + 1);
    }

    /// Counts an attempt that reached an upstream or may have.
    pub fn count_arrival(&self) {
        self.arrivals.set(self.arrivals.get().saturating_add(1));
    }

    /// Nodes asked.
    pub fn asked(&self) -> u32 {
        self.asked.get()
    }

    /// Attempts that reached an upstream or may have.
    pub fn arrivals(&self) -> u16 {
        self.arrivals.get()
    }

    /// Notes the line of an attempt that has ended.
    pub fn note(&self, line: ProxyEvent) {
        self.lines.borrow_mut().push(line);
    }

    /// The lines so far.
    pub fn take_lines(&self) -> Vec<ProxyEvent> {
        self.lines.take()
    }
}
