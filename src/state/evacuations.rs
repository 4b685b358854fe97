//! Availability zones that operators have evacuated.

use crate::state::{names::AvailabilityZoneName, store_position::StorePosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One change by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: AvailabilityZoneName,
    /// Whether it is evacuated, else taken back.
    pub evacuated: bool,
    /// Place of the record in the topic of the configuration.
    pub position: u64,
}

/// Which records of the topic were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationRead {
    /// Those from the known position on.
    Incremental,
    /// The newest of all keys.
    Full,
    /// The newest of all keys, once the operator has written again what the store lost when it came back from a copy.
    AfterRewrites,
}

/// The evacuated zones as of one position in the topic of the configuration.
///
/// Of two states, the one with the later position replaces the other as a whole. Neither a delayed record nor a node that was
/// partitioned can revive an evacuation that has ended.
///
/// A store that comes back from a copy lacks the last changes. The operator writes them again; until then those that are known here
/// hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Place of the first record that is not applied yet; 0 if nothing is known.
    position: u64,
    /// Position after the last record that changed a zone.
    changed_at: u64,
    zones: BTreeSet<AvailabilityZoneName>,
    /// Places of the records by which zones were taken back.
    #[serde(
        rename = "taken_back",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    restored_at: BTreeMap<AvailabilityZoneName, u64>,
    /// Whether the store came back from a copy, and may lack what is known here.
    #[serde(
        rename = "is_ahead_of_copy",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    is_ahead_of_restored_store: bool,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &AvailabilityZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// The evacuated zones.
    #[must_use]
    pub const fn zones(&self) -> &BTreeSet<AvailabilityZoneName> {
        &self.zones
    }

    /// Place of the first record that is not applied yet; 0 if nothing is known.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Position after the last record that changed a zone; 0 if there was none. A node at this position or a later one has applied every
    /// change known here.
    #[must_use]
    pub const fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// The state after applying the records up to `next`. Where all keys were read, a zone without a record is not evacuated, unless
    /// the store may lack what is known here.
    #[must_use]
    pub fn with_changes(
        &self,
        changes: &[EvacuationChange],
        next: u64,
        read: EvacuationRead,
    ) -> Self {
        let is_over = read == EvacuationRead::Incremental && next == self.position;
        if next < self.position || is_over {
            return self.clone();
        }
        let has_returned = StorePosition::is_of_earlier_epoch(self.position, next);
        let mut after = match read {
            EvacuationRead::Incremental => self.apply_changes(changes),
            EvacuationRead::Full if has_returned || self.is_ahead_of_restored_store => {
                self.join_copy(changes)
            }
            EvacuationRead::Full | EvacuationRead::AfterRewrites => {
                self.replace_zones(changes, next)
            }
        };
        if after.zones != self.zones {
            after.changed_at = next;
        }
        after.position = next;
        after
    }

    /// Replaces this state by that of another node if that one is later. True if it was.
    pub fn replace_if_newer(&mut self, told: &Self) -> bool {
        let is_later = (told.position, told.changed_at) > (self.position, self.changed_at);
        if is_later {
            self.clone_from(told);
        }
        is_later
    }

    /// What is known stays. An evacuation in the copy is news unless the zone was taken back after that record.
    fn join_copy(&self, changes: &[EvacuationChange]) -> Self {
        let offset_of = |position| StorePosition::unpack(position).offset;
        let mut after = self.clone();
        after.is_ahead_of_restored_store = true;
        for change in changes.iter().filter(|change| change.evacuated) {
            let restored_at = self.restored_at.get(&change.zone);
            if restored_at.is_none_or(|end| offset_of(*end) < offset_of(change.position)) {
                after.zones.insert(change.zone.clone());
            }
        }
        after
    }

    fn replace_zones(&self, changes: &[EvacuationChange], next: u64) -> Self {
        let evacuated = changes.iter().filter(|change| change.evacuated);
        let mut after = Self {
            zones: evacuated.map(|change| change.zone.clone()).collect(),
            is_ahead_of_restored_store: false,
            ..self.clone()
        };
        for zone in self.zones.difference(&after.zones) {
            after.restored_at.insert(zone.clone(), next);
        }
        after
    }

    fn apply_changes(&self, changes: &[EvacuationChange]) -> Self {
        let mut after = self.clone();
        for change in changes {
            if change.position < self.position {
                continue;
            }
            if change.evacuated {
                after.zones.insert(change.zone.clone());
            } else {
                after.zones.remove(&change.zone);
                let zone = change.zone.clone();
                after.restored_at.insert(zone, change.position);
            }
        }
        after
    }
}
