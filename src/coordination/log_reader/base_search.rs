//! The search for a snapshot to start at.

use crate::{
    protocol::platform_log::StoredBody,
    state::{
        configuration::ConfigurationVersion,
        log_record::{LogRecordKind, Offset, decode_record},
        published::FoldedState,
    },
};

/// Goes through the retained records from the first one on.
#[derive(Clone, Debug)]
pub(super) struct BaseSearch {
    first_retained: Offset,
    next: Offset,
    /// A snapshot whose writer did not understand some records: taken if there is no better one.
    incomplete: Option<FoldedState>,
}

impl BaseSearch {
    pub fn new(first_retained: Offset) -> Self {
        Self {
            first_retained,
            next: first_retained,
            incomplete: None,
        }
    }

    pub fn next(&self) -> Offset {
        self.next
    }

    /// Drops what retention has overtaken since the search began.
    pub fn note_first_retained(&mut self, first_retained: Offset) {
        self.first_retained = self.first_retained.max(first_retained);
        let overtaken = |state: &FoldedState| state.next() < first_retained;
        if self.incomplete.as_ref().is_some_and(overtaken) {
            self.incomplete = None;
        }
    }

    /// Looks through one page. Gives a base if there is one.
    ///
    /// A snapshot joins what is retained if nothing between its end and the first retained record
    /// is gone. One that a paused node wrote late may not: starting there would lose the records
    /// in between, and a configuration that was accepted would silently be out of force.
    pub fn scan(
        &mut self,
        records: Vec<StoredBody>,
        reaches_end: bool,
        least: ConfigurationVersion,
    ) -> Option<FoldedState> {
        for body in records {
            self.next = body.offset.next();
            let Some(state) = decode_snapshot(&body.body) else {
                continue;
            };
            if state.next() < self.first_retained || state.version() < least {
                continue;
            }
            if state.skipped() == 0 {
                return Some(state);
            }
            self.incomplete.get_or_insert(state);
        }
        if reaches_end {
            return self.incomplete.take();
        }
        None
    }
}

fn decode_snapshot(body: &str) -> Option<FoldedState> {
    match decode_record(body).ok()?.kind {
        LogRecordKind::Snapshot(snapshot) => Some(snapshot.state),
        _ => None,
    }
}
