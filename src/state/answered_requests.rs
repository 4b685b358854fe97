//! Requests that the present run of an upstream has answered.
//!
//! What a run has answered does not crash it, so a request that is often asked for is no suspect only because some of its kind
//! are always there when an upstream crashes. Another run may be of other software and starts anew.

use crate::state::{incarnation_id::IncarnationId, request_fingerprint::RequestFingerprint};
use std::collections::{BTreeSet, VecDeque};

/// Requests that are remembered, the latest.
const REMEMBERED: usize = 1_024;

/// The last requests that one run has answered.
#[derive(Clone, Debug, Default)]
pub struct AnsweredRequests {
    run: Option<IncarnationId>,
    order: VecDeque<RequestFingerprint>,
    known: BTreeSet<RequestFingerprint>,
}

impl AnsweredRequests {
    /// Takes in that a run has answered a request.
    pub fn insert(&mut self, run: &IncarnationId, digest: RequestFingerprint) {
        if self.run.as_ref() != Some(run) {
            *self = Self {
                run: Some(run.clone()),
                ..Self::default()
            };
        }
        if !self.known.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether a run is known to have answered a request.
    #[must_use]
    pub fn contains(&self, run: &IncarnationId, digest: RequestFingerprint) -> bool {
        self.run.as_ref() == Some(run) && self.known.contains(&digest)
    }
}
