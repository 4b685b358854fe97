//! Counts the calls of a node to the store by what they ask and why. Each call is paid for, so it has to be seen which
//! part of a node makes them.

use std::{cell::RefCell, collections::BTreeMap};

/// What is asked of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCall {
    /// The newest record of each key; one call a page of 500 records, counted once.
    ReadNewest,
    /// Records from an offset on.
    ReadFrom,
    /// A record is appended.
    Append,
    /// A record is dropped.
    Drop,
}

/// Why it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallReason {
    /// The node has just started and knows nothing.
    Start,
    /// The node reads for its zone.
    Reading,
    /// The node hears from readers, and makes sure that it misses nothing.
    GapCheck,
    /// The last call of this kind failed.
    Retry,
    /// The record of this node has changed.
    OwnRecord,
    /// A request was put into quarantine or let go.
    Quarantine,
    /// A node is gone for good.
    Retirement,
}

impl StoreCall {
    /// The word for metrics.
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
    /// The word for metrics.
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

/// Calls since the start of the node.
#[derive(Debug, Default)]
pub struct StoreCallCounts(RefCell<BTreeMap<(StoreCall, CallReason), u64>>);

impl StoreCallCounts {
    /// Counts a call that is about to be made.
    pub fn count(&self, call: StoreCall, reason: CallReason) {
        *self.0.borrow_mut().entry((call, reason)).or_default() += 1;
    }

    /// All counts that aren't zero.
    #[must_use]
    pub fn list(&self) -> Vec<(StoreCall, CallReason, u64)> {
        let counts = self.0.borrow();
        let counts = counts.iter();
        counts
            .map(|((call, reason), count)| (*call, *reason, *count))
            .collect()
    }
}
