//! Attempts at requests of this node's clients that may be waiting for a slot, here or at other nodes.

use crate::state::timestamp::Timestamp;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
};

struct Attempt {
    node: SocketAddr,
    /// Deadline of the request.
    deadline: Timestamp,
}

/// The attempts in progress that may be in a queue.
#[derive(Default)]
pub struct WaitingAttempts {
    attempts: RefCell<HashMap<u64, Attempt>>,
    next_number: Cell<u64>,
}

impl WaitingAttempts {
    /// Adds an attempt until the returned guard is dropped.
    pub fn begin(self: &Rc<Self>, node: SocketAddr, deadline: Timestamp) -> WaitingAttempt {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let attempt = Attempt { node, deadline };
        self.attempts.borrow_mut().insert(number, attempt);
        WaitingAttempt {
            all: Rc::clone(self),
            number,
        }
    }

    /// Nodes with an attempt whose request may wait until after `end`.
    #[must_use]
    pub fn nodes_beyond(&self, end: Timestamp) -> BTreeSet<SocketAddr> {
        let attempts = self.attempts.borrow();
        let beyond = attempts.values().filter(|attempt| attempt.deadline > end);
        beyond.map(|attempt| attempt.node).collect()
    }
}

/// Removes its attempt when dropped.
pub struct WaitingAttempt {
    all: Rc<WaitingAttempts>,
    number: u64,
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        self.all.attempts.borrow_mut().remove(&self.number);
    }
}
