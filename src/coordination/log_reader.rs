//! Follows the platform's log: where to read next, and what a page or a failure means.
//!
//! A reader without a state looks for a base: the log's start if that is still retained, a snapshot
//! that joins what is retained, or a state that a peer gives it. Then it folds every record after
//! the base. It never goes back: neither in offset nor in configuration version.

mod base_search;
mod pace;
mod snapshot_schedule;

pub use pace::ReaderPace;
pub use snapshot_schedule::SnapshotRules;

use crate::{
    protocol::platform_log::{ReadError, ReadPage, StoredBody},
    state::{
        log_record::{Offset, Snapshot, decode_record},
        moment::Moment,
        published::{FoldEffect, FoldedState, LogEntry},
    },
};
use base_search::BaseSearch;
use pace::Pacer;
use rand::Rng;
use snapshot_schedule::SnapshotSchedule;
use std::{sync::Arc, time::Duration};

/// Most records that are asked for at once.
pub const PAGE_RECORDS: usize = 500;

/// A folded record and what it did.
#[derive(Clone, Debug, PartialEq)]
pub struct FoldedRecord {
    /// Its position.
    pub offset: Offset,
    /// The log's time of storing, in milliseconds since 1970.
    pub time_ms: u64,
    /// What folding it did.
    pub effect: FoldEffect,
}

/// What the holder of the state learns.
#[derive(Clone, Debug, PartialEq)]
pub enum LogUpdate {
    /// The state has moved on.
    Folded {
        /// The state now.
        state: Arc<FoldedState>,
        /// What led to it, oldest first. Empty after a jump to a snapshot or a peer's state.
        records: Vec<FoldedRecord>,
    },
    /// Everything that was stored when a read was sent is folded.
    CaughtUp {
        /// Offset after the last record.
        next: Offset,
        /// When that read was sent: nothing later is known to be folded.
        fresh_at: Moment,
    },
    /// The log can't be read now.
    Unavailable {
        /// The error of the last read.
        error: ReadError,
        /// Time until the next read.
        retry_after: Duration,
    },
    /// The log has forgotten records that were never folded, and holds no snapshot that covers
    /// them. The state stays what it is until a snapshot or a peer brings a newer one.
    NoBase {
        /// First offset that is retained.
        first_retained: Offset,
    },
    /// The log ends before what was folded: it was emptied, or it is another log. Its records are
    /// not folded, because that would take the configuration back.
    WentBackwards {
        /// The log's end.
        next: Offset,
    },
}

/// The next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOrder {
    /// First wanted offset.
    pub from: Offset,
    /// Most records wanted.
    pub limit: usize,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Without a base that joins what is retained.
    Searching(BaseSearch),
    /// Folding record after record.
    Following,
}

/// A reader of the log.
#[derive(Clone, Debug)]
pub struct LogReader {
    state: Arc<FoldedState>,
    phase: Phase,
    pacer: Pacer,
    schedule: SnapshotSchedule,
}

impl LogReader {
    /// A reader without a state.
    #[must_use]
    pub fn new(pace: ReaderPace, rules: SnapshotRules) -> Self {
        Self {
            state: Arc::default(),
            phase: Phase::Searching(BaseSearch::new(Offset(0))),
            pacer: Pacer::new(pace),
            schedule: SnapshotSchedule::new(rules),
        }
    }

    /// The state so far.
    #[must_use]
    pub fn state(&self) -> &Arc<FoldedState> {
        &self.state
    }

    /// Whether the state has a base: it is the log's, if maybe not its latest.
    #[must_use]
    pub fn has_base(&self) -> bool {
        matches!(self.phase, Phase::Following) || self.state.next() > Offset(0)
    }

    /// What to read next.
    #[must_use]
    pub fn next_read(&self) -> ReadOrder {
        let from = match &self.phase {
            Phase::Searching(search) => search.next(),
            Phase::Following => self.state.next(),
        };
        ReadOrder {
            from,
            limit: PAGE_RECORDS,
        }
    }

    /// How long to wait before that read.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        self.pacer.next_wait(rng)
    }

    /// Takes a state from a peer. A state that is not ahead of the own one changes nothing.
    pub fn adopt(&mut self, state: FoldedState) -> Vec<LogUpdate> {
        let ahead = state.next() > self.state.next();
        if !ahead || state.version() < self.state.version() {
            return Vec::new();
        }
        self.rebase(state)
    }

    /// Takes a page that was asked for by [`Self::next_read`] at `sent`.
    pub fn take_page(&mut self, sent: Moment, page: ReadPage) -> Vec<LogUpdate> {
        self.pacer.note_success();
        let first_retained = page.first_retained;
        let next = page.next;
        let reaches_end = page
            .records
            .last()
            .is_none_or(|record| record.offset.next() >= next);
        let mut updates = match &mut self.phase {
            Phase::Following if next < self.state.next() => {
                return vec![LogUpdate::WentBackwards { next }];
            }
            Phase::Following => self.fold(sent, page.records),
            Phase::Searching(search) => {
                search.note_first_retained(first_retained);
                if self.state.next() >= first_retained {
                    // What was folded joins what is retained; also the start of a young log.
                    self.phase = Phase::Following;
                    self.pacer.read_on();
                    return Vec::new();
                }
                let found = search.scan(page.records, reaches_end, self.state.version());
                return self.take_search_result(found, reaches_end, first_retained);
            }
        };
        if reaches_end {
            updates.push(LogUpdate::CaughtUp {
                next: self.state.next(),
                fresh_at: sent,
            });
        } else {
            self.pacer.read_on();
        }
        updates
    }

    /// Takes the failure of a read.
    pub fn take_failure(&mut self, error: ReadError) -> Vec<LogUpdate> {
        if let ReadError::Forgotten { first_retained } = error {
            self.phase = Phase::Searching(BaseSearch::new(first_retained));
            self.pacer.read_on();
            return Vec::new();
        }
        let retry_after = self.pacer.note_failure();
        vec![LogUpdate::Unavailable { error, retry_after }]
    }

    /// The snapshot to append now, if one is due. `wall_ms` is this process's wall clock.
    pub fn take_due_snapshot(
        &mut self,
        now: Moment,
        wall_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Snapshot> {
        let follows = matches!(self.phase, Phase::Following);
        if !follows || self.state.next() == Offset(0) {
            return None;
        }
        let due = self.schedule.take_due(now, wall_ms, rng);
        due.then(|| Snapshot {
            state: FoldedState::clone(&self.state),
        })
    }

    fn fold(&mut self, sent: Moment, records: Vec<StoredBody>) -> Vec<LogUpdate> {
        let state = Arc::make_mut(&mut self.state);
        let mut folded = Vec::new();
        for body in records {
            let StoredBody {
                offset, time_ms, ..
            } = body;
            let record = decode_record(&body.body);
            let effect = state.apply(LogEntry {
                offset,
                time_ms,
                record,
            });
            match effect {
                FoldEffect::AlreadyFolded => continue,
                FoldEffect::SnapshotSeen { .. } => self.schedule.note_snapshot(sent, time_ms),
                _ => self.schedule.note_record(),
            }
            folded.push(FoldedRecord {
                offset,
                time_ms,
                effect,
            });
        }
        if folded.is_empty() {
            return Vec::new();
        }
        vec![LogUpdate::Folded {
            state: Arc::clone(&self.state),
            records: folded,
        }]
    }

    fn take_search_result(
        &mut self,
        found: Option<FoldedState>,
        reaches_end: bool,
        first_retained: Offset,
    ) -> Vec<LogUpdate> {
        match found {
            Some(state) => {
                self.pacer.read_on();
                self.rebase(state)
            }
            None if reaches_end => vec![LogUpdate::NoBase { first_retained }],
            None => {
                self.pacer.read_on();
                Vec::new()
            }
        }
    }

    fn rebase(&mut self, state: FoldedState) -> Vec<LogUpdate> {
        self.state = Arc::new(state);
        self.phase = Phase::Following;
        vec![LogUpdate::Folded {
            state: Arc::clone(&self.state),
            records: Vec::new(),
        }]
    }
}
