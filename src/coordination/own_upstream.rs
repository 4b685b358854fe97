//! What a node knows of the upstream beside it, from the upstream's own announcements.
//!
//! The node is the only way to its upstream, so what is decided here binds: once a leaving is taken
//! in, no request reaches that run of the upstream any more, whatever other nodes believe.

use crate::state::{moment::Moment, names::ServiceName};
use std::{collections::VecDeque, time::Duration};

/// Runs that are remembered after they have ended. A late announcement of one of them must not bring
/// it back; those older than this many replacements are no longer under way.
const REMEMBERED_RUNS: usize = 16;

/// One announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Identity of the upstream's run.
    pub instance: String,
    /// When that run started, in Unix milliseconds by the upstream's clock, if it tells.
    pub born: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// Requests it runs at once.
    pub slots: u16,
    /// It takes no new work.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
    /// Rises with every announcement of one run.
    pub sequence: u64,
}

/// The present run of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRun {
    /// Its identity.
    pub instance: String,
    /// When it started, in Unix milliseconds by its own clock, if it tells. An upstream may start again under the
    /// identity that it had.
    pub born: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// Requests it runs at once.
    pub slots: u16,
    /// It takes no new work.
    pub leaving: bool,
    /// When it is no longer slow after its start.
    pub warm_at: Moment,
    sequence: u64,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// Nothing that others need to know.
    Unchanged,
    /// It is older than what is known, and was ignored.
    Stale,
    /// Another run, or another state.
    Changed,
}

/// What tells one run of an upstream from another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunIdentity {
    /// Its identity.
    pub instance: String,
    /// When it started, if it tells.
    pub born: Option<u64>,
}

impl RunIdentity {
    /// Whether `other` is this run, or one before it under the same identity. Where one of them does not tell when it
    /// started, they count as the same: a leaving that was acknowledged must not be undone by a guess.
    fn covers(&self, other: &Self) -> bool {
        let later = matches!((self.born, other.born), (Some(own), Some(other)) if other > own);
        self.instance == other.instance && !later
    }
}

impl UpstreamRun {
    /// What tells it from other runs.
    #[must_use]
    pub fn identity(&self) -> RunIdentity {
        RunIdentity {
            instance: self.instance.clone(),
            born: self.born,
        }
    }
}

/// What is known of the upstream beside the node.
#[derive(Clone, Debug, Default)]
pub struct OwnUpstream {
    current: Option<UpstreamRun>,
    ended: VecDeque<RunIdentity>,
}

impl OwnUpstream {
    /// The present run, if one has announced itself.
    #[must_use]
    pub fn current(&self) -> Option<&UpstreamRun> {
        self.current.as_ref()
    }

    /// The run that work may be sent to.
    #[must_use]
    pub fn serving(&self) -> Option<&UpstreamRun> {
        self.current.as_ref().filter(|run| !run.leaving)
    }

    /// Takes in an announcement.
    pub fn announce(&mut self, announcement: Announcement, now: Moment) -> AnnouncementEffect {
        let told = RunIdentity {
            instance: announcement.instance.clone(),
            born: announcement.born,
        };
        if self.has_ended(&told) {
            return AnnouncementEffect::Stale;
        }
        let run = UpstreamRun {
            warm_at: now + announcement.warmup_left,
            instance: announcement.instance,
            born: announcement.born,
            service: announcement.service,
            slots: announcement.slots,
            leaving: announcement.leaving,
            sequence: announcement.sequence,
        };
        match &mut self.current {
            Some(known) if known.identity().covers(&told) => update_run(known, run),
            _ => {
                self.end_current();
                self.current = Some(run);
                AnnouncementEffect::Changed
            }
        }
    }

    /// Takes in that a run leaves for good. True if that is news.
    pub fn depart(&mut self, told: &RunIdentity) -> bool {
        match &mut self.current {
            Some(known) if known.identity() == *told || is_untold(known, told) => {
                !std::mem::replace(&mut known.leaving, true)
            }
            // A late word of a run before the present one.
            Some(known) if known.identity().covers(told) => false,
            _ => {
                let known = self.has_ended(told);
                if !known {
                    self.remember(told.clone());
                }
                !known
            }
        }
    }

    fn has_ended(&self, told: &RunIdentity) -> bool {
        self.ended.iter().any(|ended| ended.covers(told))
    }

    /// Another run answered in place of `instance`: its announcements count no longer.
    pub fn disown(&mut self, instance: &str) {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|run| run.instance == instance);
        if is_current {
            self.end_current();
        }
    }

    fn end_current(&mut self) {
        if let Some(run) = self.current.take() {
            self.remember(run.identity());
        }
    }

    fn remember(&mut self, run: RunIdentity) {
        self.ended.push_back(run);
        if self.ended.len() > REMEMBERED_RUNS {
            self.ended.pop_front();
        }
    }
}

/// Whether the word is of the same identity and one of the two does not tell when its run started.
fn is_untold(known: &UpstreamRun, told: &RunIdentity) -> bool {
    known.instance == told.instance && (known.born.is_none() || told.born.is_none())
}

/// A run that leaves never comes back to work under the same identity: a late announcement from
/// before it left would have its node send it work again.
fn update_run(known: &mut UpstreamRun, run: UpstreamRun) -> AnnouncementEffect {
    let earlier = matches!((run.born, known.born), (Some(told), Some(known)) if told < known);
    if earlier || run.sequence <= known.sequence {
        return AnnouncementEffect::Stale;
    }
    let leaving = known.leaving || run.leaving;
    let changed = leaving != known.leaving || run.slots != known.slots;
    let warm_at = known.warm_at.min(run.warm_at);
    *known = UpstreamRun {
        leaving,
        warm_at,
        born: run.born.or(known.born),
        ..run
    };
    if changed {
        AnnouncementEffect::Changed
    } else {
        AnnouncementEffect::Unchanged
    }
}
