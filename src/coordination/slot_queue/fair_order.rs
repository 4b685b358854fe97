//! Order among the requests of several organisations (start-time fair queueing).
//!
//! Each request has a tag: the execution time that its organisation had been charged when it arrived, but at least the tag of the
//! request that started last. Requests start in the order of their tags, so an organisation that sends more than its share waits
//! behind the others, and one that was idle has no advantage for that.
//!
//! Load pattern: one organisation sends twenty times its usual number of requests. In order of arrival, the requests of all
//! others would wait behind them.

use crate::state::{ablation::Mechanism, names::OrganisationName};
use std::{collections::HashMap, time::Duration};

/// Number of organisations up to which their charged time is kept, however old it is.
const MAX_IDLE_ORGANISATIONS: usize = 64;

/// Position in the fair order, as charged execution time; the lowest starts first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FairTag(Duration);

/// Execution time charged to each organisation.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    /// Tag of the request that started last; never falls.
    current: FairTag,
    /// Tag of the next request of each organisation.
    next_tags: HashMap<OrganisationName, FairTag>,
}

impl FairOrder {
    /// Tag of a request that arrives now. Requests without an organisation wait behind no other organisation's backlog.
    pub fn next_tag(&self, organisation: Option<&OrganisationName>) -> FairTag {
        if Mechanism::FairShares.is_disabled() {
            return FairTag::default();
        }
        let charged = organisation.and_then(|organisation| self.next_tags.get(organisation));
        charged.copied().unwrap_or_default().max(self.current)
    }

    /// Charges the execution time of an accepted request to its organisation.
    pub fn charge(&mut self, organisation: &OrganisationName, expected: Duration) {
        if self.next_tags.len() >= MAX_IDLE_ORGANISATIONS {
            let current = self.current;
            self.next_tags.retain(|_, tag| *tag > current);
        }
        let FairTag(tag) = self.next_tag(Some(organisation));
        let next = FairTag(tag.saturating_add(expected));
        self.next_tags.insert(organisation.clone(), next);
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, tag: FairTag) {
        self.current = self.current.max(tag);
    }
}
