//! Requests that are kept from all upstreams, since they crash each one that runs them.

use crate::state::{request_fingerprint::RequestFingerprint, timestamp::Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time for which a request is kept from upstreams: what is wrong with the upstreams may have been mended by then. If not, some
/// more of them crash until it is known again.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(15);
/// Time for which a request that was let go can't be put back on another node's word. What was told before it was let go may still be
/// under way, or stand in a record that is about to be written again.
const LIFT_HOLDS: Duration = Duration::from_mins(1);
/// Requests in quarantine at once, those that stay longest.
const MAX_QUARANTINED: usize = 1_024;

/// Who found out that a request crashes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineSource {
    /// This node, which counted the crashes. It writes the finding to the store.
    Counted,
    /// Another node.
    Reported,
}

impl QuarantineSource {
    /// The word for the log.
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
    /// When requests were let go before their time.
    lifted: BTreeMap<RequestFingerprint, Timestamp>,
}

impl Quarantine {
    /// Puts a request into quarantine; true if it was not in it.
    pub fn insert(
        &mut self,
        digest: RequestFingerprint,
        source: QuarantineSource,
        now: Timestamp,
    ) -> bool {
        self.forget_past(now);
        let is_lifted = source == QuarantineSource::Reported && self.lifted.contains_key(&digest);
        if is_lifted || self.requests.contains_key(&digest) {
            return false;
        }
        let until = now + QUARANTINE_DURATION;
        self.requests.insert(digest, Quarantined { until, source });
        if self.requests.len() > MAX_QUARANTINED {
            self.release_oldest();
        }
        true
    }

    /// Ends the quarantine of a request; returns who had found it out, if it was in it.
    pub fn lift(&mut self, digest: RequestFingerprint, now: Timestamp) -> Option<QuarantineSource> {
        self.forget_past(now);
        self.lifted.insert(digest, now);
        self.requests.remove(&digest).map(|known| known.source)
    }

    /// How much longer a request is in quarantine; none if it is not.
    #[must_use]
    pub fn time_left(&self, digest: RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let quarantined = self.requests.get(&digest)?;
        (now < quarantined.until).then(|| quarantined.until.since(now))
    }

    /// Requests in quarantine.
    #[must_use]
    pub fn len(&self, now: Timestamp) -> usize {
        let requests = self.requests.values();
        requests
            .filter(|quarantined| now < quarantined.until)
            .count()
    }

    /// Requests of which the store holds something else than what is known here; it holds `stored` in quarantine.
    #[must_use]
    pub fn list_differences(
        &self,
        stored: &BTreeSet<RequestFingerprint>,
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        let kept = self.requests.iter();
        let kept = kept.filter(|(digest, known)| now < known.until && !stored.contains(*digest));
        let lifted = self.lifted.keys().filter(|digest| stored.contains(*digest));
        kept.map(|(digest, _)| *digest)
            .chain(lifted.copied())
            .collect()
    }

    fn forget_past(&mut self, now: Timestamp) {
        self.requests.retain(|_, known| now < known.until);
        self.lifted.retain(|_, at| now.since(*at) < LIFT_HOLDS);
    }

    fn release_oldest(&mut self) {
        let oldest = self.requests.iter().min_by_key(|(_, known)| known.until);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }
}
