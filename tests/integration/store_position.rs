//! Positions in a topic of the store, across epochs.

use bolero::check;
use camphorturn::state::store_position::StorePosition;

const fn position(epoch: u64, offset: u64) -> StorePosition {
    StorePosition { epoch, offset }
}

/// Packed positions are ordered by epoch, then by offset, and unpack to the same position.
#[test]
fn pack_keeps_order_and_value() {
    check!().with_type::<(u16, u32, u16, u32)>().for_each(
        |(epoch, offset, other_epoch, other_offset)| {
            let first = position(u64::from(*epoch), u64::from(*offset));
            let second = position(u64::from(*other_epoch), u64::from(*other_offset));
            assert_eq!(StorePosition::unpack(first.pack()), first);
            assert_eq!(first.cmp(&second), first.pack().cmp(&second.pack()));
        },
    );
}

/// Failure: an epoch that doesn't start at 1, such as a Unix time in seconds, doesn't fit into a packed position. Each read would
/// then seem to be answered in another epoch.
#[test]
fn pack_epoch_of_unix_time() {
    let first = position(1_800_000_000, 7);
    assert_eq!(StorePosition::unpack(first.pack()), first);
    assert!(first.pack() < position(1_800_000_001, 0).pack());
}

#[test]
fn pack_without_epoch() {
    assert_eq!(position(0, 7).pack(), 7);
    assert_eq!(position(0, 7).pack() + 1, position(0, 8).pack());
}

#[test]
fn is_of_earlier_epoch_unknown_position() {
    let later = position(2, 0).pack();
    assert!(!StorePosition::is_of_earlier_epoch(0, later));
    assert!(StorePosition::is_of_earlier_epoch(
        position(1, 9).pack(),
        later
    ));
    assert!(!StorePosition::is_of_earlier_epoch(
        later,
        position(2, 5).pack()
    ));
}
