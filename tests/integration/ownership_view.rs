//! The fold of ownership records and the division of keys among owners.

use camphorturn::state::{
    key_table::key::{KeyId, Slot, WallMillis},
    member::Incarnation,
    names::{NodeName, ServiceName},
    ownership::{EpochNumber, OWNERSHIP_SLOTS, Owner, OwnershipEpoch, OwnershipView, ProposedBy},
};

fn owner(name: &str, incarnation: u64) -> Owner {
    Owner {
        node: NodeName::from(name),
        incarnation: Incarnation(incarnation),
    }
}

fn record(epoch: u64, owners: &[Owner]) -> OwnershipEpoch {
    OwnershipEpoch {
        service: ServiceName::from("booking"),
        epoch: EpochNumber(epoch),
        owners: owners.to_vec(),
        proposed_by: ProposedBy::Owner,
    }
}

fn nine_owners() -> Vec<Owner> {
    (0..9).map(|n| owner(&format!("node-{n}"), 1)).collect()
}

#[test]
fn fold_accepts_only_the_next_epoch() {
    // Symptom: two nodes own one key.
    // Sequence: two nodes propose epoch 1 with different owners at one moment.
    // Cause: a reader that took the later record would disagree with one that took the earlier.
    let mut view = OwnershipView::new();
    assert!(view.fold(&record(1, &[owner("a", 1)]), OWNERSHIP_SLOTS));
    assert!(!view.fold(&record(1, &[owner("b", 1)]), OWNERSHIP_SLOTS));
    assert!(!view.fold(&record(3, &[owner("b", 1)]), OWNERSHIP_SLOTS));
    assert_eq!(view.owners(), [owner("a", 1)]);
}

#[test]
fn adopt_snapshot_never_goes_back() {
    let mut view = OwnershipView::new();
    assert!(view.adopt_snapshot(&record(7, &[owner("a", 1)]), OWNERSHIP_SLOTS));
    assert!(!view.adopt_snapshot(&record(6, &[owner("b", 1)]), OWNERSHIP_SLOTS));
    assert_eq!(view.epoch(), EpochNumber(7));
}

#[test]
fn owner_of_divides_slots_and_moves_few() {
    let mut view = OwnershipView::new();
    view.fold(&record(1, &nine_owners()), OWNERSHIP_SLOTS);
    let before: Vec<_> = (0..OWNERSHIP_SLOTS)
        .map(|slot| view.owner_of_slot(Slot(slot)).cloned())
        .collect();
    view.fold(&record(2, &nine_owners()[1..]), OWNERSHIP_SLOTS);
    let gone = Some(owner("node-0", 1));
    for (slot, former) in (0..OWNERSHIP_SLOTS).zip(&before) {
        let present = view.owner_of_slot(Slot(slot)).cloned();
        assert!(present != gone && (present == *former || *former == gone));
    }
    for owner in nine_owners() {
        let share = before.iter().flatten().filter(|one| **one == owner).count();
        assert!((10..=60).contains(&share), "{owner:?} owns {share} of 256");
    }
}

#[test]
fn owner_of_is_none_without_owners() {
    let mut view = OwnershipView::new();
    let key = KeyId::from_parts(WallMillis(1), 5);
    assert_eq!(view.owner_of(key), None);
    view.fold(&record(1, &[]), OWNERSHIP_SLOTS);
    assert_eq!(view.owner_of(key), None);
}
