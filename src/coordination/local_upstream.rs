//! What a node knows of the upstream beside it, from the upstream's own announcements.
//!
//! The node is the only way to its upstream, so what is decided here binds: once a leaving is taken
//! in, no request reaches that run of the upstream any more, whatever other nodes believe.

use crate::state::{incarnation_id::IncarnationId, names::ServiceName};
use std::{collections::VecDeque, time::Duration};

/// Runs that are remembered after they have ended. A late announcement of one of them must not bring
/// it back; those older than this many replacements are no longer under way.
const MAX_ENDED_INCARNATIONS: usize = 16;

/// One announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The upstream's run.
    pub incarnation: IncarnationId,
    /// Its service.
    pub service: ServiceName,
    /// Requests it runs at once.
    pub slots: u16,
    /// It takes no new work.
    pub leaving: bool,
    /// How much longer it is cold.
    pub warmup_left: Duration,
    /// Rises with every announcement of one run.
    pub sequence: u64,
}

/// The present run of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    /// What tells it from other runs.
    pub identity: IncarnationId,
    /// Its service.
    pub service: ServiceName,
    /// Requests it runs at once.
    pub slots: u16,
    /// It takes no new work.
    pub leaving: bool,
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

/// What is known of the upstream beside the node.
#[derive(Clone, Debug, Default)]
pub struct LocalUpstream {
    current: Option<UpstreamIncarnation>,
    ended: VecDeque<IncarnationId>,
}

impl LocalUpstream {
    /// The present run, if one has announced itself.
    #[must_use]
    pub fn current(&self) -> Option<&UpstreamIncarnation> {
        self.current.as_ref()
    }

    /// The run that work may be sent to.
    #[must_use]
    pub fn serving(&self) -> Option<&UpstreamIncarnation> {
        self.current.as_ref().filter(|run| !run.leaving)
    }

    /// Applies an announcement.
    pub fn apply_announcement(&mut self, announcement: Announcement) -> AnnouncementEffect {
        if self.has_ended(&announcement.incarnation) {
            return AnnouncementEffect::Stale;
        }
        let run = UpstreamIncarnation {
            identity: announcement.incarnation,
            service: announcement.service,
            slots: announcement.slots,
            leaving: announcement.leaving,
            sequence: announcement.sequence,
        };
        match &mut self.current {
            Some(known) if known.identity.is_same_or_newer_than(&run.identity) => {
                update_run(known, run)
            }
            _ => {
                self.end_current();
                self.current = Some(run);
                AnnouncementEffect::Changed
            }
        }
    }

    /// Records that a run leaves for good. True if it was not known.
    pub fn record_departure(&mut self, told: &IncarnationId) -> bool {
        match &mut self.current {
            Some(known) if known.identity == *told || is_untold(&known.identity, told) => {
                !std::mem::replace(&mut known.leaving, true)
            }
            // A late word of a run before the present one.
            Some(known) if known.identity.is_same_or_newer_than(told) => false,
            _ => {
                let known = self.has_ended(told);
                if !known {
                    self.remember(told.clone());
                }
                !known
            }
        }
    }

    fn has_ended(&self, told: &IncarnationId) -> bool {
        self.ended
            .iter()
            .any(|ended| ended.is_same_or_newer_than(told))
    }

    /// Another run answered in place of `instance`: its announcements count no longer.
    pub fn end_incarnation(&mut self, instance: &str) {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|run| run.identity.instance == instance);
        if is_current {
            self.end_current();
        }
    }

    fn end_current(&mut self) {
        if let Some(run) = self.current.take() {
            self.remember(run.identity);
        }
    }

    fn remember(&mut self, run: IncarnationId) {
        self.ended.push_back(run);
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
    }
}

/// Whether the word is of the same identity and one of the two does not tell when its run started.
fn is_untold(known: &IncarnationId, told: &IncarnationId) -> bool {
    known.instance == told.instance && (known.started_ms.is_none() || told.started_ms.is_none())
}

/// A run that leaves never comes back to work under the same identity: a late announcement from
/// before it left would have its node send it work again.
fn update_run(known: &mut UpstreamIncarnation, run: UpstreamIncarnation) -> AnnouncementEffect {
    let earlier = !run.identity.is_same_or_newer_than(&known.identity);
    if earlier || run.sequence <= known.sequence {
        return AnnouncementEffect::Stale;
    }
    let leaving = known.leaving || run.leaving;
    let changed = leaving != known.leaving || run.slots != known.slots;
    *known = UpstreamIncarnation {
        leaving,
        identity: IncarnationId {
            started_ms: run.identity.started_ms.or(known.identity.started_ms),
            instance: run.identity.instance,
        },
        ..run
    };
    if changed {
        AnnouncementEffect::Changed
    } else {
        AnnouncementEffect::Unchanged
    }
}
