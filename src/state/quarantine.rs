//! Requests that nodes send to no upstream, because they crash every upstream that runs them.

use crate::state::{request_fingerprint::RequestFingerprint, timestamp::Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long a request stays in quarantine. The fault in the upstreams may be fixed by then. If it isn't, a few more of them crash
/// until the request is quarantined again.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(15);
/// How long reports of other nodes can't put a request back into quarantine after its quarantine was lifted. Earlier reports may
/// still be in transit, or in a record of the store that is about to be overwritten.
const LIFT_PROTECTION: Duration = Duration::from_mins(1);
/// Maximum number of requests in quarantine. Beyond it, the request that would be released first is released early.
const MAX_QUARANTINED: usize = 1_024;

/// How this node learned that a request crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineSource {
    /// This node counted the crashes. It writes the quarantine to the store.
    Counted,
    /// Another node reported it.
    Reported,
}

impl QuarantineSource {
    /// The value in log events.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Counted => "counted",
            Self::Reported => "told",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Quarantined {
    until: Timestamp,
    source: QuarantineSource,
}

/// Requests in quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: BTreeMap<RequestFingerprint, Quarantined>,
    /// Requests whose quarantine was lifted before its end, and when.
    lifted: BTreeMap<RequestFingerprint, Timestamp>,
}

impl Quarantine {
    /// Puts a request into quarantine. Returns whether that was new: it isn't if the request is in quarantine already, or if a
    /// report arrives shortly after the quarantine was lifted.
    pub fn insert(
        &mut self,
        fingerprint: RequestFingerprint,
        source: QuarantineSource,
        now: Timestamp,
    ) -> bool {
        self.remove_expired(now);
        let was_lifted =
            source == QuarantineSource::Reported && self.lifted.contains_key(&fingerprint);
        if was_lifted || self.requests.contains_key(&fingerprint) {
            return false;
        }
        let until = now + QUARANTINE_DURATION;
        self.requests
            .insert(fingerprint, Quarantined { until, source });
        if self.requests.len() > MAX_QUARANTINED {
            self.release_earliest();
        }
        true
    }

    /// Lifts the quarantine of a request before its end. Returns the source of the quarantine, or `None` if there was none.
    pub fn lift(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Timestamp,
    ) -> Option<QuarantineSource> {
        self.remove_expired(now);
        self.lifted.insert(fingerprint, now);
        self.requests.remove(&fingerprint).map(|known| known.source)
    }

    /// Remaining time of a request in quarantine; `None` if it isn't in quarantine.
    #[must_use]
    pub fn time_left(&self, fingerprint: RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let quarantined = self.requests.get(&fingerprint)?;
        (now < quarantined.until).then(|| quarantined.until.since(now))
    }

    /// Number of requests in quarantine.
    #[must_use]
    pub fn len(&self, now: Timestamp) -> usize {
        let requests = self.requests.values();
        requests
            .filter(|quarantined| now < quarantined.until)
            .count()
    }

    /// Requests whose quarantine differs between this node and the store. `stored` are the requests that the store has in
    /// quarantine.
    #[must_use]
    pub fn list_differences(
        &self,
        stored: &BTreeSet<RequestFingerprint>,
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        let kept = self.requests.iter();
        let kept =
            kept.filter(|(fingerprint, known)| now < known.until && !stored.contains(*fingerprint));
        let lifted = self
            .lifted
            .keys()
            .filter(|fingerprint| stored.contains(*fingerprint));
        kept.map(|(fingerprint, _)| *fingerprint)
            .chain(lifted.copied())
            .collect()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.requests.retain(|_, known| now < known.until);
        self.lifted.retain(|_, at| now.since(*at) < LIFT_PROTECTION);
    }

    fn release_earliest(&mut self) {
        let earliest = self.requests.iter().min_by_key(|(_, known)| known.until);
        if let Some(fingerprint) = earliest.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }
}
