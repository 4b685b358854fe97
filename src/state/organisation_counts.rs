//! Requests of each organisation, counted at the node that received them from clients.

use crate::state::names::OrganisationName;
use std::collections::HashMap;

/// Counts of one organisation since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationCounts {
    /// Requests with a valid key.
    pub requests: u64,
    /// Of these, requests refused because the quota was used up.
    pub over_quota: u64,
}

/// Counts of all organisations.
#[derive(Clone, Debug, Default)]
pub struct CountsByOrganisation(HashMap<OrganisationName, OrganisationCounts>);

impl CountsByOrganisation {
    /// Counts a request, and whether it was refused because the quota was used up.
    pub fn count(&mut self, organisation: &OrganisationName, is_over_quota: bool) {
        let counts = match self.0.get_mut(organisation) {
            Some(counts) => counts,
            None => self.0.entry(organisation.clone()).or_default(),
        };
        counts.requests += 1;
        counts.over_quota += u64::from(is_over_quota);
    }

    /// The organisations with the most requests, at most `count`, and the sum of all others.
    #[must_use]
    pub fn list_largest(
        &self,
        count: usize,
    ) -> (
        Vec<(OrganisationName, OrganisationCounts)>,
        OrganisationCounts,
    ) {
        let mut all: Vec<_> = self
            .0
            .iter()
            .map(|(name, counts)| (name.clone(), *counts))
            .collect();
        all.sort_by(|(name, counts), (other_name, other)| {
            (other.requests, name).cmp(&(counts.requests, other_name))
        });
        let rest = all.split_off(count.min(all.len()));
        let mut sum = OrganisationCounts::default();
        for (_, counts) in rest {
            sum.requests += counts.requests;
            sum.over_quota += counts.over_quota;
        }
        (all, sum)
    }
}
