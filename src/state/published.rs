//! What folding the platform's log in its order gives: the same state at every reader.

mod changes;
mod memberships;
mod publications;

pub use changes::{Change, FieldChange, compare_configurations};
pub use memberships::{MembershipEffect, Memberships};
pub use publications::{PublicationEntry, Publications, Verdict};

use crate::state::{
    configuration::{Configuration, ConfigurationVersion},
    log_record::{DecodeError, LogRecord, LogRecordKind, Offset},
    member::Member,
    names::ServiceName,
    ownership::OwnershipEpoch,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State after every record below [`FoldedState::next`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FoldedState {
    next: Offset,
    publications: Publications,
    memberships: Memberships,
    epochs: BTreeMap<ServiceName, OwnershipEpoch>,
    /// Records of newer versions that were not understood. A state with such gaps is the worse
    /// base for a reader that would have understood them.
    #[serde(default)]
    skipped: u64,
}

/// A record at its place in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Its position.
    pub offset: Offset,
    /// The log's time of storing, in milliseconds since 1970.
    pub time_ms: u64,
    /// The record, if it could be read.
    pub record: Result<LogRecord, DecodeError>,
}

/// What folding one record did.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldEffect {
    /// The record lies below what was folded before.
    AlreadyFolded,
    /// A publication was accepted or found in conflict.
    Publication(PublicationEntry),
    /// A publication whose id was folded before.
    DuplicatePublication,
    /// A node's record changed the members or was out of date.
    Membership(MembershipEffect),
    /// The owners of a service's keys changed.
    EpochAccepted(OwnershipEpoch),
    /// Another epoch with that number came first.
    EpochRejected(OwnershipEpoch),
    /// A snapshot, which changes nothing for a reader that follows the log.
    SnapshotSeen {
        /// Everything below this offset is in the snapshot.
        next: Offset,
    },
    /// A record that could not be read.
    Skipped(DecodeError),
}

impl FoldedState {
    /// Everything below this offset is folded.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The version in force; 0 before the first publication.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.publications.version()
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        self.publications.content()
    }

    /// Publications, as far as they are remembered.
    #[must_use]
    pub fn publications(&self) -> &Publications {
        &self.publications
    }

    /// Nodes that have joined and not left, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.memberships.present()
    }

    /// Joins and leaves.
    #[must_use]
    pub fn memberships(&self) -> &Memberships {
        &self.memberships
    }

    /// The last accepted epoch of each service that has one.
    #[must_use]
    pub fn epochs(&self) -> &BTreeMap<ServiceName, OwnershipEpoch> {
        &self.epochs
    }

    /// How many records of newer versions were skipped.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Folds the next record. Depends on nothing but the state and the entry.
    pub fn apply(&mut self, entry: LogEntry) -> FoldEffect {
        if entry.offset < self.next {
            return FoldEffect::AlreadyFolded;
        }
        self.next = entry.offset.next();
        let LogRecord { id, kind } = match entry.record {
            Ok(record) => record,
            Err(error) => {
                self.skipped += u64::from(matches!(error, DecodeError::Newer { .. }));
                return FoldEffect::Skipped(error);
            }
        };
        match kind {
            LogRecordKind::Publish(publication) => {
                let folded = self
                    .publications
                    .fold(entry.offset, entry.time_ms, id, publication);
                folded.map_or(FoldEffect::DuplicatePublication, FoldEffect::Publication)
            }
            LogRecordKind::Snapshot(snapshot) => FoldEffect::SnapshotSeen {
                next: snapshot.state.next,
            },
            LogRecordKind::Join(member) => FoldEffect::Membership(self.memberships.join(member)),
            LogRecordKind::Leave(leave) => FoldEffect::Membership(self.memberships.leave(leave)),
            LogRecordKind::OwnershipEpoch(epoch) => self.fold_epoch(epoch),
        }
    }

    /// The first of two proposals with one number wins, in log order.
    fn fold_epoch(&mut self, epoch: OwnershipEpoch) -> FoldEffect {
        let current = self.epochs.get(&epoch.service);
        let current = current.map(|epoch| epoch.epoch).unwrap_or_default();
        if epoch.epoch != current.next() {
            return FoldEffect::EpochRejected(epoch);
        }
        self.epochs.insert(epoch.service.clone(), epoch.clone());
        FoldEffect::EpochAccepted(epoch)
    }
}
