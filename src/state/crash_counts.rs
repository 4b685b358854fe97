//! Counts the upstream incarnations that crashed while they were running a request, to find requests that cause crashes.
//!
//! A crash aborts all requests running at the upstream, and nothing shows which of them caused it. A request that crashes
//! every upstream is running at each of these crashes and is never answered. Any other request is answered by another
//! upstream, or isn't running at the next crash.

use crate::state::{
    incarnation_id::IncarnationId, request_fingerprint::RequestFingerprint, timestamp::Timestamp,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Number of crashed incarnations from which on a request counts as the cause and is quarantined.
pub const QUARANTINE_CRASH_THRESHOLD: usize = 3;
/// How long the crashes of a request are kept after the latest one.
const CRASH_RETENTION: Duration = Duration::from_mins(30);
/// Maximum number of requests with kept crashes; those with the latest crashes are kept. Without this limit, a service whose
/// upstreams keep crashing whatever they run would exhaust the memory.
const MAX_REQUESTS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct RequestCrashes {
    /// Crashed incarnations, each once however many nodes report its crash.
    incarnations: BTreeSet<IncarnationId>,
    latest: Timestamp,
}

/// Crashes of the requests that were running at crashed upstreams and have not been answered since.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    requests: BTreeMap<RequestFingerprint, RequestCrashes>,
}

impl CrashCounts {
    /// Records that an incarnation crashed while it was running a request; returns the number of incarnations that have crashed so
    /// far with this request.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        incarnation: IncarnationId,
        now: Timestamp,
    ) -> usize {
        self.requests
            .retain(|_, crashes| now.since(crashes.latest) <= CRASH_RETENTION);
        let crashes = self.requests.entry(fingerprint).or_default();
        crashes.incarnations.insert(incarnation);
        crashes.latest = now;
        let count = crashes.incarnations.len();
        if self.requests.len() > MAX_REQUESTS {
            self.remove_oldest();
        }
        count
    }

    /// Records that an upstream has answered a request, which clears the crashes of the request.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint) {
        self.requests.remove(&fingerprint);
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .requests
            .iter()
            .min_by_key(|(_, crashes)| crashes.latest);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }
}
