//! Availability zones that operators have evacuated.

use crate::state::{names::AvailabilityZoneName, store_position::StorePosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One evacuation of a zone, or the end of one, ordered by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The availability zone.
    pub zone: AvailabilityZoneName,
    /// True if the zone is evacuated, false if it is restored.
    pub evacuated: bool,
    /// Packed [`StorePosition`] of the record in the configuration topic.
    pub position: u64,
}

/// Which records of the configuration topic were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationRead {
    /// The records from the known position on.
    Incremental,
    /// The latest record of every key.
    Full,
    /// The latest record of every key, read after the operator rewrote what the store had lost when it was restored from a backup.
    AfterRewrites,
}

/// The evacuated zones as of one position in the configuration topic.
///
/// Of two states, the one with the later position replaces the other completely. So neither a delayed record nor a node that was
/// partitioned can bring back an evacuation that has ended.
///
/// A store that is restored from a backup lacks the latest changes. The operator writes them again. Until then, the changes
/// known here stay in force.
///
/// All positions are packed [`StorePosition`]s.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Position of the first record that is not applied yet; 0 if nothing is known.
    position: u64,
    /// Position after the last record that changed a zone.
    changed_at: u64,
    zones: BTreeSet<AvailabilityZoneName>,
    /// By zone that was restored after an evacuation: the position of the record that ended the evacuation.
    #[serde(
        rename = "taken_back",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    restored_at: BTreeMap<AvailabilityZoneName, u64>,
    /// Whether the store was restored from a backup and may lack changes that are known here.
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

    /// Position of the first record that is not applied yet; 0 if nothing is known.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Position after the last record that changed a zone; 0 if there was none. A node at this position or a later one has applied
    /// every change that is known here.
    #[must_use]
    pub const fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// The state after applying the records before position `next`.
    ///
    /// After a full read, a zone without a record isn't evacuated, unless the store may lack changes that are known here. Records
    /// that are already applied change nothing.
    #[must_use]
    pub fn with_changes(
        &self,
        changes: &[EvacuationChange],
        next: u64,
        read: EvacuationRead,
    ) -> Self {
        let is_applied = read == EvacuationRead::Incremental && next == self.position;
        if next < self.position || is_applied {
            return self.clone();
        }
        let store_was_restored = StorePosition::is_of_earlier_epoch(self.position, next);
        let mut after = match read {
            EvacuationRead::Incremental => self.apply_changes(changes),
            EvacuationRead::Full if store_was_restored || self.is_ahead_of_restored_store => {
                self.merge_restored_store(changes)
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

    /// Replaces this state with the state of another node if that one is later. Returns whether it was.
    pub fn replace_if_newer(&mut self, other: &Self) -> bool {
        let is_later = (other.position, other.changed_at) > (self.position, self.changed_at);
        if is_later {
            self.clone_from(other);
        }
        is_later
    }

    /// Merges a full read of a restored store into the known state. Known evacuations stay. An evacuation in the store is added
    /// unless its zone was restored after that record. Only offsets are compared, since the store has started a new epoch.
    fn merge_restored_store(&self, changes: &[EvacuationChange]) -> Self {
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
