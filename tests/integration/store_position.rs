//! Places in a topic of the store, over its eras.

use bolero::check;
use camphorturn::state::store_position::StorePosition;

const fn place(era: u64, offset: u64) -> StorePosition {
    StorePosition { epoch: era, offset }
}

/// Packed places are in the order of their eras, then of their offsets, and lose nothing.
#[test]
fn pack_drawn_places() {
    check!().with_type::<(u16, u32, u16, u32)>().for_each(
        |(era, offset, other_era, other_offset)| {
            let first = place(u64::from(*era), u64::from(*offset));
            let second = place(u64::from(*other_era), u64::from(*other_offset));
            assert_eq!(StorePosition::unpack(first.pack()), first);
            assert_eq!(first.cmp(&second), first.pack().cmp(&second.pack()));
        },
    );
}

/// Guards against an era that doesn't begin at one, such as a time in seconds, and doesn't fit: each read would count as answered in
/// another era.
#[test]
fn pack_era_of_time() {
    let first = place(1_800_000_000, 7);
    assert_eq!(StorePosition::unpack(first.pack()), first);
    assert!(first.pack() < place(1_800_000_001, 0).pack());
}

#[test]
fn pack_without_era() {
    assert_eq!(place(0, 7).pack(), 7);
    assert_eq!(place(0, 7).pack() + 1, place(0, 8).pack());
}

#[test]
fn is_of_earlier_era_unknown_place() {
    let later = place(2, 0).pack();
    assert!(!StorePosition::is_of_earlier_epoch(0, later));
    assert!(StorePosition::is_of_earlier_epoch(
        place(1, 9).pack(),
        later
    ));
    assert!(!StorePosition::is_of_earlier_epoch(
        later,
        place(2, 5).pack()
    ));
}
