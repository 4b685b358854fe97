//! Counts the calls of a node to the store by kind and reason. Each call costs money, so the counts show which part of a node
//! makes them.

use std::{cell::RefCell, collections::BTreeMap};

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCall {
    /// Reads the newest record of each key. That takes one call per page of 500 records, but is counted once.
    ReadNewest,
    /// Reads records from a position on.
    ReadFrom,
    /// Appends a record.
    Append,
    /// Deletes the record of a node.
    Drop,
}

/// Reason of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallReason {
    /// The node has just started and has no state.
    Start,
    /// The node is a reader of its zone.
    Reading,
    /// The node gets its state from the readers of its zone, and checks that it has missed nothing.
    GapCheck,
    /// The last call of this kind failed.
    Retry,
    /// The record of this node has changed.
    OwnRecord,
    /// A request was put into quarantine or released from it.
    Quarantine,
    /// A node is permanently lost.
    Retirement,
}

impl StoreCall {
    /// Value of the label `call` in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ReadNewest => "read_newest",
            Self::ReadFrom => "read_from",
            Self::Append => "append",
            Self::Drop => "drop",
        }
    }
}

impl CallReason {
    /// Value of the label `reason` in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Reading => "reading",
            Self::GapCheck => "making_sure",
            Self::Retry => "retry",
            Self::OwnRecord => "own_record",
            Self::Quarantine => "quarantine",
            Self::Retirement => "retirement",
        }
    }
}

/// Number of calls since the start of the node, by kind and reason.
#[derive(Debug, Default)]
pub struct StoreCallCounts(RefCell<BTreeMap<(StoreCall, CallReason), u64>>);

impl StoreCallCounts {
    /// Counts a call that is about to be made.
    pub fn count(&self, call: StoreCall, reason: CallReason) {
        *self.0.borrow_mut().entry((call, reason)).or_default() += 1;
    }

    /// All counts that are not zero.
    #[must_use]
    pub fn list(&self) -> Vec<(StoreCall, CallReason, u64)> {
        let counts = self.0.borrow();
        let counts = counts.iter();
        counts
            .map(|((call, reason), count)| (*call, *reason, *count))
            .collect()
    }
}
