//! What following a topic does once the store has come back from a copy.

use crate::state::{moment::Moment, store_position::StorePosition};
use std::{cell::Cell, time::Duration};

/// Time after the first read of the copy in which its clients write again what it has lost. What is missing after that is gone.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Plans the second read of all records after the store came back.
#[derive(Default)]
pub(super) struct CopyReads {
    second_due: Cell<Option<Moment>>,
}

impl CopyReads {
    /// Whether all records are to be read again now.
    pub(super) fn is_second_due(&self, now: Moment) -> bool {
        self.second_due.get().is_some_and(|due| due <= now)
    }

    /// Records a read of all records up to the place `next`, with those up to `before` known. True if it is the first one since the
    /// store came back.
    pub(super) fn note_whole(&self, before: u64, next: u64, now: Moment) -> bool {
        let is_first = StorePosition::is_of_earlier_era(before, next);
        if is_first {
            self.second_due.set(Some(now + REWRITE_TIME));
        } else if self.is_second_due(now) {
            self.second_due.set(None);
        }
        is_first
    }
}
