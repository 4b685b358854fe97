//! Messages of a handover: the former owner of slots tells the next one all that it knows of their keys.

use crate::state::{
    key_table::{
        entry::{ExportedSlot, RunEnd},
        key::Slot,
    },
    ownership::{EpochNumber, Owner},
};
use std::time::Duration;

/// Slots that went to one other owner and are to be handed over to it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HandoverDue {
    /// The next owner.
    pub to: Owner,
    /// The epoch in which it became the owner.
    pub epoch: EpochNumber,
    /// The slots.
    pub slots: Vec<Slot>,
}

impl HandoverDue {
    /// Adds a slot to the handover to `to`.
    pub(super) fn add(due: &mut Vec<Self>, to: &Owner, epoch: EpochNumber, slot: Slot) {
        match due.iter_mut().find(|one| one.to == *to) {
            Some(one) => one.slots.push(slot),
            None => due.push(Self {
                to: to.clone(),
                epoch,
                slots: vec![slot],
            }),
        }
    }
}

/// All that an owner knew of the slots that it gave up. It runs no key of theirs any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handover<A> {
    /// The former owner.
    pub from: Owner,
    /// The epoch that took the slots from it.
    pub epoch: EpochNumber,
    /// The slots and their keys.
    pub slots: Vec<ExportedSlot<A>>,
}

/// What became of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HandoverAnswer {
    /// Taken over: the slots are run from now on.
    Taken,
    /// The receiver has not read the epoch yet: send it again shortly.
    Early,
    /// The slots have moved on, or came from another owner: nothing to do.
    Stale,
}

/// Part of a handover that is sent in one message: one slot. Its sender is known by the connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotHandover<A> {
    /// The epoch that took the slot from the sender.
    pub epoch: EpochNumber,
    /// The slot and its keys.
    pub slot: ExportedSlot<A>,
}

/// Bytes of one key in a message, apart from its answer.
const MESSAGE_BYTES_PER_KEY: usize = 128;

/// Makes a slot fit into a message of `limit` bytes: the oldest answers are left out, then, if there
/// are too many keys, the oldest keys.
///
/// A larger message would break the connection at the receiver. The floor is raised above each key
/// that is left out, so that its repeat is not taken for a new call and run twice.
#[must_use]
pub fn fit_slot<A>(mut exported: ExportedSlot<A>, limit: usize) -> ExportedSlot<A> {
    exported.keys.sort_by_key(|key| key.key);
    let most_keys = limit / 2 / MESSAGE_BYTES_PER_KEY;
    let surplus = exported.keys.len().saturating_sub(most_keys);
    for dropped in exported.keys.drain(..surplus) {
        let above = dropped.key.issued() + Duration::from_millis(1);
        exported.floor = exported.floor.max(above);
    }
    let mut left = limit / 2;
    for key in exported.keys.iter_mut().rev() {
        if let RunEnd::Answered { bytes, .. } = key.end {
            match left.checked_sub(bytes) {
                Some(rest) => left = rest,
                None => key.end = RunEnd::RanWithoutAnswer,
            }
        }
    }
    exported
}
