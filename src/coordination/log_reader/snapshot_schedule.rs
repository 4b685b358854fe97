//! When the next snapshot is due.

use crate::state::moment::Moment;
use rand::{Rng, RngExt};
use std::time::Duration;

/// When snapshots are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRules {
    /// Least time for which the log keeps a record.
    pub retention: Duration,
    /// A snapshot is due when the last is older than `retention` divided by this.
    pub divisor: u32,
    /// A snapshot is due after so many records, so that a starting reader has few to fold.
    pub records: u64,
}

impl Default for SnapshotRules {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(1),
            divisor: 4,
            records: 2_000,
        }
    }
}

#[derive(Clone, Debug)]
struct LastSnapshot {
    seen: Moment,
    stored_ms: u64,
}

/// Limits of one interval. Without their random part every reader would write its snapshot at the
/// same instant.
#[derive(Clone, Copy, Debug)]
struct Limits {
    age: Duration,
    records: u64,
}

#[derive(Clone, Debug)]
pub(super) struct SnapshotSchedule {
    rules: SnapshotRules,
    last: Option<LastSnapshot>,
    /// Records folded since the last snapshot.
    records: u64,
    limits: Option<Limits>,
    /// Not before this: the reader has just begun, or a snapshot was handed out and has not come
    /// back from the log yet.
    not_before: Option<Moment>,
}

impl SnapshotSchedule {
    pub fn new(rules: SnapshotRules) -> Self {
        Self {
            rules,
            last: None,
            records: 0,
            limits: None,
            not_before: None,
        }
    }

    pub fn note_record(&mut self) {
        self.records += 1;
    }

    pub fn note_snapshot(&mut self, seen: Moment, stored_ms: u64) {
        self.last = Some(LastSnapshot { seen, stored_ms });
        self.records = 0;
        self.limits = None;
        self.not_before = None;
    }

    /// Tells whether a snapshot is due, and puts the next off if so.
    pub fn take_due(&mut self, now: Moment, wall_ms: u64, rng: &mut impl Rng) -> bool {
        let rules = self.rules;
        let limits = *self.limits.get_or_insert_with(|| draw_limits(rules, rng));
        // A log without a snapshot gets one soon, but not from all readers at their start.
        let first = now + limits.age / 8;
        let not_before = match (&self.last, self.not_before) {
            (_, Some(moment)) => moment,
            (None, None) => *self.not_before.insert(first),
            (Some(_), None) => now,
        };
        if now < not_before {
            return false;
        }
        let age = self.age(now, wall_ms);
        let due = age.is_none_or(|age| age >= limits.age) || self.records >= limits.records;
        if due {
            self.not_before = Some(now + limits.age / 4);
            self.limits = None;
        }
        due
    }

    /// Age of the last snapshot. A fresh process has seen an old snapshot only just now, so the
    /// log's time counts as well; a wall clock that is wrong can only bring a snapshot forward.
    fn age(&self, now: Moment, wall_ms: u64) -> Option<Duration> {
        let last = self.last.as_ref()?;
        let stored = Duration::from_millis(wall_ms.saturating_sub(last.stored_ms));
        Some(now.since(last.seen).max(stored))
    }
}

fn draw_limits(rules: SnapshotRules, rng: &mut impl Rng) -> Limits {
    let interval = rules.retention / rules.divisor.max(1);
    Limits {
        age: interval.mul_f64(rng.random_range(0.5..=1.0)),
        records: rng.random_range(rules.records..=rules.records.saturating_mul(2)),
    }
}
