//! What this run of a node knows of each attempt, so that it can be asked whether one ran.
//!
//! A table can't keep everything. Once an attempt is forgotten, "never seen" and "seen, run and
//! forgotten" look the same, and taking the first for granted would tell a caller "not run" of work
//! that ran. So an attempt that is not in the table counts as never seen only if it was issued
//! within the horizon of the present, and what is in the table stays for two horizons: nothing that
//! was accepted can be forgotten while its time of issue is still within the horizon.

use crate::state::moment::Moment;
use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
    time::Duration,
};

/// What became of an attempt so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptState {
    /// It waits for a slot.
    Queued,
    /// It was handed to the upstream.
    Dispatched,
    /// It was handed to the upstream and ended there.
    Ended,
    /// It was not run and never will be.
    NeverRuns,
}

impl AttemptState {
    fn is_closed(self) -> bool {
        matches!(self, Self::Ended | Self::NeverRuns)
    }
}

/// What the table says of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Knowledge {
    /// It is in the table.
    Known(AttemptState),
    /// It was never seen.
    Unseen,
    /// It may have been seen and forgotten.
    Forgotten,
}

/// One of the rules that keep the table truthful. Tests take one out to show that the model check
/// notices; the node always has all of them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// An attempt settled before it arrived is remembered.
    RememberSettled,
    /// An attempt that ended is remembered.
    RememberEnded,
    /// An attempt that was refused is remembered.
    RememberRefused,
    /// An unknown attempt issued long ago does not count as unseen.
    Horizon,
    /// What had to be forgotten early raises the time of issue that counts as unseen.
    Floor,
    /// A settled attempt leaves the queue.
    LeaveQueue,
}

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptBounds {
    /// How far the time of issue of an unseen attempt may lie before or after the present. It has to
    /// exceed the longest deadline plus the difference between the clocks of two nodes.
    pub horizon: Duration,
    /// Most attempts kept after they ended; beyond it the oldest are forgotten early.
    pub capacity: usize,
}

impl Default for AttemptBounds {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(2),
            capacity: 100_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Closed<I> {
    id: I,
    issued: Duration,
    at: Moment,
}

/// The attempts that one run of a node has seen or was asked about.
#[derive(Clone, Debug)]
pub struct AttemptTable<I> {
    bounds: AttemptBounds,
    origin: Duration,
    floor: Option<Duration>,
    removed_guard: Option<Guard>,
    states: HashMap<I, AttemptState>,
    closed: VecDeque<Closed<I>>,
}

impl<I: Copy + Eq + Hash> AttemptTable<I> {
    /// An empty table. `origin` is the time since the Unix epoch at [`Moment`] 0, read once, so that
    /// a step of the system's clock later on changes nothing.
    #[must_use]
    pub fn new(bounds: AttemptBounds, origin: Duration) -> Self {
        Self {
            bounds,
            origin,
            floor: None,
            removed_guard: None,
            states: HashMap::new(),
            closed: VecDeque::new(),
        }
    }

    /// A table that lacks one rule, for tests of the model check.
    #[doc(hidden)]
    #[must_use]
    pub fn without(self, guard: Guard) -> Self {
        Self {
            removed_guard: Some(guard),
            ..self
        }
    }

    /// Whether the rule is in force.
    #[doc(hidden)]
    #[must_use]
    pub fn has(&self, guard: Guard) -> bool {
        self.removed_guard != Some(guard)
    }

    /// What is known of an attempt whose call was issued at `issued` since the Unix epoch.
    #[must_use]
    pub fn look_up(&self, id: I, issued: Duration, now: Moment) -> Knowledge {
        match self.states.get(&id) {
            Some(state) => Knowledge::Known(*state),
            None if self.is_within_horizon(issued, now) => Knowledge::Unseen,
            None => Knowledge::Forgotten,
        }
    }

    /// Takes in what became of an attempt.
    pub fn record(&mut self, id: I, issued: Duration, state: AttemptState, now: Moment) {
        self.forget_old(now);
        let before = self.states.insert(id, state);
        let was_closed = before.is_some_and(AttemptState::is_closed);
        if state.is_closed() && !was_closed {
            let at = now;
            self.closed.push_back(Closed { id, issued, at });
        }
        if self.closed.len() > self.bounds.capacity {
            self.forget_first();
        }
    }

    /// Takes out an attempt as if it had never been seen, for tests of the model check.
    #[doc(hidden)]
    pub fn erase(&mut self, id: I) {
        self.states.remove(&id);
        self.closed.retain(|closed| closed.id != id);
    }

    /// Number of attempts kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn is_within_horizon(&self, issued: Duration, now: Moment) -> bool {
        let present = self.origin + now.since(Moment::default());
        let horizon = self.bounds.horizon;
        let dated = issued + horizon > present && issued <= present + horizon;
        let above_floor = self.floor.is_none_or(|floor| issued > floor);
        (dated || !self.has(Guard::Horizon)) && (above_floor || !self.has(Guard::Floor))
    }

    fn forget_old(&mut self, now: Moment) {
        let retention = self.bounds.horizon * 2;
        while let Some(first) = self.closed.front() {
            if now.since(first.at) < retention {
                return;
            }
            self.states.remove(&first.id);
            self.closed.pop_front();
        }
    }

    fn forget_first(&mut self) {
        if let Some(first) = self.closed.pop_front() {
            self.states.remove(&first.id);
            self.floor = self.floor.max(Some(first.issued));
        }
    }
}
