//! Counts the runs of upstreams that crashed while they ran a request.
//!
//! A crash cuts all requests that the upstream runs, and nothing tells which of them it was. A request that crashes each
//! upstream that runs it is at every one of these crashes and is never answered; any other one is answered elsewhere or
//! isn't there the next time.

use crate::state::{
    incarnation_id::IncarnationId, request_fingerprint::RequestFingerprint, timestamp::Timestamp,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Crashed runs from which on a request counts as what crashes them.
pub const QUARANTINE_CRASH_THRESHOLD: usize = 3;
/// Time for which a crash is remembered after the last one under the same request.
const REMEMBERED: Duration = Duration::from_mins(30);
/// Requests of which crashes are remembered, those with the latest. Without a bound a service whose upstreams crash again and
/// again, whatever they run, would fill the memory.
const MAX_SUSPECTS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Each run once, however often and by whomever its crash is told.
    runs: BTreeSet<IncarnationId>,
    last: Timestamp,
}

/// Requests that were at upstreams when these crashed, and were not answered since.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl CrashCounts {
    /// Takes in that a run crashed while it ran a request; returns the crashed runs of that request so far.
    pub fn record_crash(
        &mut self,
        digest: RequestFingerprint,
        run: IncarnationId,
        now: Timestamp,
    ) -> usize {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) <= REMEMBERED);
        let suspect = self.suspects.entry(digest).or_default();
        suspect.runs.insert(run);
        suspect.last = now;
        let crashes = suspect.runs.len();
        if self.suspects.len() > MAX_SUSPECTS {
            self.forget_oldest();
        }
        crashes
    }

    /// Takes in that an upstream has answered a request.
    pub fn record_answer(&mut self, digest: RequestFingerprint) {
        self.suspects.remove(&digest);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}
