//! State of the local upstream as learned from its own announcements.
//!
//! All requests reach an upstream through its local node, so the state here is authoritative: after the upstream has announced
//! that it is leaving, no request reaches that incarnation, whatever other nodes assume.

use crate::state::{incarnation_id::IncarnationId, names::ServiceName};
use std::{collections::VecDeque, time::Duration};

/// Maximum number of remembered incarnations that have ended. A delayed announcement of one of them must not make it current again;
/// after this many replacements no such announcement is still in transit.
const MAX_ENDED_INCARNATIONS: usize = 16;

/// Announcement of an upstream to its local node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Incarnation of the upstream that sent the announcement.
    pub incarnation: IncarnationId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Number of requests that the upstream executes concurrently.
    pub slots: u16,
    /// Whether the upstream is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time; zero if the upstream is not warming up.
    pub warmup_left: Duration,
    /// Sequence number; increases with each announcement of the same incarnation.
    pub sequence: u64,
}

/// Incarnation of the local upstream with its last announced state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    /// Identity that distinguishes it from other incarnations.
    pub identity: IncarnationId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Number of requests that the upstream executes concurrently.
    pub slots: u16,
    /// Whether the upstream is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Whether it is certain that this incarnation has not left. A delayed announcement looks like a current one.
    is_confirmed: bool,
    sequence: u64,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// Nothing changed that other nodes need to know.
    Unchanged,
    /// The announcement is older than the known state and was ignored.
    Stale,
    /// The incarnation, its number of slots or its `leaving` flag changed.
    Changed,
}

/// Current incarnation of the local upstream, and incarnations that have ended.
#[derive(Clone, Debug, Default)]
pub struct LocalUpstream {
    current: Option<UpstreamIncarnation>,
    ended: VecDeque<IncarnationId>,
}

impl LocalUpstream {
    /// Returns the current incarnation, or none before the first announcement.
    #[must_use]
    pub fn current(&self) -> Option<&UpstreamIncarnation> {
        self.current.as_ref()
    }

    /// Returns the current incarnation if requests may be sent to it.
    #[must_use]
    pub fn serving(&self) -> Option<&UpstreamIncarnation> {
        self.current
            .as_ref()
            .filter(|incarnation| incarnation.is_confirmed && !incarnation.leaving)
    }

    /// Returns the current incarnation if it may be serving, but this is not confirmed.
    #[must_use]
    pub fn unconfirmed(&self) -> Option<&UpstreamIncarnation> {
        self.current
            .as_ref()
            .filter(|incarnation| !incarnation.is_confirmed && !incarnation.leaving)
    }

    /// Applies an announcement that is known to be current and returns its effect.
    pub fn apply_announcement(&mut self, announcement: Announcement) -> AnnouncementEffect {
        let identity = announcement.incarnation.clone();
        let effect = self.apply_unconfirmed(announcement);
        let is_newly_confirmed = effect != AnnouncementEffect::Stale && self.confirm(&identity);
        match effect {
            AnnouncementEffect::Unchanged if is_newly_confirmed => AnnouncementEffect::Changed,
            effect => effect,
        }
    }

    /// Confirms that an incarnation has not left. Returns whether this was unknown.
    pub fn confirm(&mut self, identity: &IncarnationId) -> bool {
        match &mut self.current {
            Some(known) if known.identity.is_same_or_newer_than(identity) => {
                !std::mem::replace(&mut known.is_confirmed, true)
            }
            _ => false,
        }
    }

    /// Applies an announcement that may have been delayed, and returns its effect. An incarnation that was unknown so far gets no
    /// requests until it is confirmed.
    pub fn apply_unconfirmed(&mut self, announcement: Announcement) -> AnnouncementEffect {
        if self.has_ended(&announcement.incarnation) {
            return AnnouncementEffect::Stale;
        }
        let incarnation = UpstreamIncarnation {
            identity: announcement.incarnation,
            service: announcement.service,
            slots: announcement.slots,
            leaving: announcement.leaving,
            is_confirmed: false,
            sequence: announcement.sequence,
        };
        match &mut self.current {
            Some(known) if known.identity.is_same_or_newer_than(&incarnation.identity) => {
                update_incarnation(known, incarnation)
            }
            _ => {
                self.end_current();
                self.current = Some(incarnation);
                AnnouncementEffect::Changed
            }
        }
    }

    /// Records that an incarnation is leaving for good. Returns whether this was unknown.
    pub fn record_departure(&mut self, reported: &IncarnationId) -> bool {
        match &mut self.current {
            Some(known)
                if known.identity == *reported || may_be_same(&known.identity, reported) =>
            {
                !std::mem::replace(&mut known.leaving, true)
            }
            // Delayed report about an incarnation before the current one.
            Some(known) if known.identity.is_same_or_newer_than(reported) => false,
            _ => {
                let known = self.has_ended(reported);
                if !known {
                    self.remember_ended(reported.clone());
                }
                !known
            }
        }
    }

    /// Whether an incarnation has left or was replaced.
    #[must_use]
    pub fn has_ended(&self, reported: &IncarnationId) -> bool {
        self.ended
            .iter()
            .any(|ended| ended.is_same_or_newer_than(reported))
    }

    /// Ends the current incarnation if its instance name is `instance`, because a different one has responded in its place. Its
    /// announcements are ignored from then on.
    pub fn end_incarnation(&mut self, instance: &str) {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|incarnation| incarnation.identity.instance == instance);
        if is_current {
            self.end_current();
        }
    }

    fn end_current(&mut self) {
        if let Some(incarnation) = self.current.take() {
            self.remember_ended(incarnation.identity);
        }
    }

    fn remember_ended(&mut self, incarnation: IncarnationId) {
        self.ended.push_back(incarnation);
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
    }
}

/// Whether the two have the same instance identity and one of them lacks the start time, so that they can't be distinguished.
fn may_be_same(known: &IncarnationId, reported: &IncarnationId) -> bool {
    known.instance == reported.instance
        && (known.started_ms.is_none() || reported.started_ms.is_none())
}

/// Applies a newer announcement of the current incarnation. An incarnation that is leaving never serves again: a delayed
/// announcement from before must not make the node send requests to it.
fn update_incarnation(
    known: &mut UpstreamIncarnation,
    incarnation: UpstreamIncarnation,
) -> AnnouncementEffect {
    let is_older = !incarnation.identity.is_same_or_newer_than(&known.identity);
    if is_older || incarnation.sequence <= known.sequence {
        return AnnouncementEffect::Stale;
    }
    let leaving = known.leaving || incarnation.leaving;
    let changed = leaving != known.leaving || incarnation.slots != known.slots;
    *known = UpstreamIncarnation {
        leaving,
        is_confirmed: known.is_confirmed,
        identity: IncarnationId {
            started_ms: incarnation
                .identity
                .started_ms
                .or(known.identity.started_ms),
            instance: incarnation.identity.instance,
        },
        ..incarnation
    };
    if changed {
        AnnouncementEffect::Changed
    } else {
        AnnouncementEffect::Unchanged
    }
}
