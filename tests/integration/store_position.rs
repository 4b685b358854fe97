//! Places in a topic of the store, over its eras.

use bolero::check;
use camphorturn::state::store_position::StorePosition;

const fn place(era: u64, offset: u64) -> StorePosition {
    StorePosition { era, offset }
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

#[test]
fn pack_without_era() {
    assert_eq!(place(0, 7).pack(), 7);
    assert_eq!(place(0, 7).pack() + 1, place(0, 8).pack());
}

#[test]
fn is_of_earlier_era_unknown_place() {
    let later = place(2, 0).pack();
    assert!(!StorePosition::is_of_earlier_era(0, later));
    assert!(StorePosition::is_of_earlier_era(place(1, 9).pack(), later));
    assert!(!StorePosition::is_of_earlier_era(later, place(2, 5).pack()));
}
