//! Requests that the current incarnation of an upstream has answered.
//!
//! A request that an incarnation has answered does not crash it. Without this check, a frequent request would count as the
//! cause of crashes only because some copies of it are running at every crash. The next incarnation may run other software,
//! so its list starts empty.

use crate::state::{incarnation_id::IncarnationId, request_fingerprint::RequestFingerprint};
use std::collections::{BTreeSet, VecDeque};

/// Number of the latest requests that are kept.
const MAX_REQUESTS: usize = 1_024;

/// The latest requests that one incarnation has answered.
#[derive(Clone, Debug, Default)]
pub struct AnsweredRequests {
    incarnation: Option<IncarnationId>,
    by_age: VecDeque<RequestFingerprint>,
    known: BTreeSet<RequestFingerprint>,
}

impl AnsweredRequests {
    /// Records that an incarnation has answered a request. A new incarnation discards the requests of the one before.
    pub fn insert(&mut self, incarnation: &IncarnationId, fingerprint: RequestFingerprint) {
        if self.incarnation.as_ref() != Some(incarnation) {
            *self = Self {
                incarnation: Some(incarnation.clone()),
                ..Self::default()
            };
        }
        if !self.known.insert(fingerprint) {
            return;
        }
        self.by_age.push_back(fingerprint);
        if self.by_age.len() > MAX_REQUESTS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether an incarnation is known to have answered a request.
    #[must_use]
    pub fn contains(&self, incarnation: &IncarnationId, fingerprint: RequestFingerprint) -> bool {
        self.incarnation.as_ref() == Some(incarnation) && self.known.contains(&fingerprint)
    }
}
