//! Availability zones that operators have evacuated.

use crate::state::names::AvailabilityZoneName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One change by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: AvailabilityZoneName,
    /// Whether it is evacuated, else taken back.
    pub evacuated: bool,
    /// Offset of the record in the topic of the configuration.
    pub offset: u64,
}

/// The evacuated zones as of one position in the topic of the configuration.
///
/// Of two states, the one with the later position replaces the other as a whole. Neither a delayed record nor a node that was
/// partitioned can revive an evacuation that has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Offset of the first record that is not applied yet; 0 if nothing is known.
    position: u64,
    /// Position after the last record that changed a zone.
    changed_at: u64,
    zones: BTreeSet<AvailabilityZoneName>,
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

    /// Offset of the first record that is not applied yet; 0 if nothing is known.
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

    /// The state after applying the records up to `next`. With `whole` they are the newest records of all keys, and a zone without a
    /// record is not evacuated.
    #[must_use]
    pub fn after(&self, changes: &[EvacuationChange], next: u64, whole: bool) -> Self {
        if next <= self.position {
            return self.clone();
        }
        let mut zones = if whole {
            BTreeSet::new()
        } else {
            self.zones.clone()
        };
        for change in changes {
            if !whole && change.offset < self.position {
                continue;
            }
            if change.evacuated {
                zones.insert(change.zone.clone());
            } else {
                zones.remove(&change.zone);
            }
        }
        Self {
            changed_at: if zones == self.zones {
                self.changed_at
            } else {
                next
            },
            position: next,
            zones,
        }
    }

    /// Replaces this state by that of another node if its position is later. True if it was.
    pub fn replace_by(&mut self, told: &Self) -> bool {
        let is_later = told.position > self.position;
        if is_later {
            self.clone_from(told);
        }
        is_later
    }
}
