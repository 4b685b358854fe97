//! Which nodes own the keys of a service: a fold over the ownership records of the log.

use crate::state::{
    key_table::key::{KeyId, Slot},
    member::Incarnation,
    names::{NodeName, ServiceName},
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Into how many slots the keys of a service are divided.
pub const OWNERSHIP_SLOTS: u16 = 256;

/// One run of a node. A restarted node is another owner, because it has forgotten its keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The node.
    pub node: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
}

/// Counts the accepted changes of a service's owners; 0 is the state before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EpochNumber(pub u64);

impl EpochNumber {
    /// The number that follows.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Who proposed an epoch, which decides how long its new owners wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposedBy {
    /// An owner of the epoch before, which keeps the promises that it gave the other owners.
    Owner,
    /// A node that could reach no owner. Owners may hold leases that were extended without the log.
    Outsider,
}

/// A record of the log: the owners of a service from here on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnershipEpoch {
    /// The service.
    pub service: ServiceName,
    /// One more than the epoch that the proposer knew. Another number is not accepted.
    pub epoch: EpochNumber,
    /// The owners, sorted, each node once.
    pub owners: Vec<Owner>,
    /// Who proposed it.
    pub proposed_by: ProposedBy,
}

/// The owners of one service by the accepted records so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OwnershipView {
    epoch: EpochNumber,
    owners: Vec<Owner>,
    /// For each slot the place of its owner in `owners`; empty while there are none.
    slots: Vec<u16>,
}

impl OwnershipView {
    /// The view before any record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the last accepted epoch.
    #[must_use]
    pub fn epoch(&self) -> EpochNumber {
        self.epoch
    }

    /// The present owners.
    #[must_use]
    pub fn owners(&self) -> &[Owner] {
        &self.owners
    }

    /// Whether `owner` is one of the present owners.
    #[must_use]
    pub fn is_owner(&self, owner: &Owner) -> bool {
        self.owners.contains(owner)
    }

    /// Folds one record in log order. Tells whether it was accepted.
    ///
    /// Two nodes may propose the same number at one moment; all readers accept the one that comes
    /// first in the log and none the other, because its number no longer follows.
    pub fn fold(&mut self, record: &OwnershipEpoch, slots: u16) -> bool {
        if record.epoch != self.epoch.next() {
            return false;
        }
        self.adopt(record, slots);
        true
    }

    /// Takes a later epoch from a snapshot, whatever came between. Tells whether it was later.
    pub fn adopt_snapshot(&mut self, record: &OwnershipEpoch, slots: u16) -> bool {
        if record.epoch <= self.epoch {
            return false;
        }
        self.adopt(record, slots);
        true
    }

    /// The owner of a slot; none before the first epoch and in an epoch without owners.
    #[must_use]
    pub fn owner_of_slot(&self, slot: Slot) -> Option<&Owner> {
        let place = self.slots.get(usize::from(slot.0))?;
        self.owners.get(usize::from(*place))
    }

    /// The owner of a key.
    #[must_use]
    pub fn owner_of(&self, key: KeyId) -> Option<&Owner> {
        let count = u16::try_from(self.slots.len()).unwrap_or(0);
        self.owner_of_slot(key.slot(count))
    }

    fn adopt(&mut self, record: &OwnershipEpoch, slots: u16) {
        self.epoch = record.epoch;
        self.owners.clone_from(&record.owners);
        self.owners.sort();
        self.owners
            .dedup_by(|later, earlier| later.node == earlier.node);
        let owned = if self.owners.is_empty() { 0 } else { slots };
        self.slots = (0..owned).map(|slot| self.heaviest(Slot(slot))).collect();
    }

    /// The owner with the highest weight for the slot, so that few slots move when owners change.
    fn heaviest(&self, slot: Slot) -> u16 {
        let weights = self.owners.iter().map(|owner| weigh(owner, slot));
        let best = weights.enumerate().max_by_key(|(_, weight)| *weight);
        best.and_then(|(place, _)| u16::try_from(place).ok())
            .unwrap_or(0)
    }
}

/// The rendezvous weight. Without the incarnation, so that a restarted node gets its slots back.
fn weigh(owner: &Owner, slot: Slot) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(slot.0.to_be_bytes());
    hash.update(owner.node.as_str().as_bytes());
    hash.finalize().into()
}
