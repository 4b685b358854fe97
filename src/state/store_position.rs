//! Positions of records in a topic of the store.

/// Bits of a packed position that hold the offset; the other 32 hold the epoch.
const OFFSET_BITS: u32 = 32;

/// Position of a record in a topic of the store.
///
/// A store that is restored from a backup loses its latest records and assigns their offsets again, in a new epoch. An
/// offset therefore identifies a record only together with the epoch. Of two positions, the one with the higher epoch is the
/// later one.
///
/// Nodes exchange positions packed into one number, which has the same order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Rises each time the store is restored from a backup; 0 if the store doesn't report an epoch. Below 2^32.
    pub epoch: u64,
    /// Number of the record in its topic. Below 2^32.
    pub offset: u64,
}

impl StorePosition {
    /// Unpacks a position.
    #[must_use]
    pub const fn unpack(packed: u64) -> Self {
        Self {
            epoch: packed >> OFFSET_BITS,
            offset: packed & ((1 << OFFSET_BITS) - 1),
        }
    }

    /// Whether a packed position is known (not 0) and of an earlier epoch than `other`, which is packed too.
    #[must_use]
    pub const fn is_of_earlier_epoch(packed: u64, other: u64) -> bool {
        packed > 0 && Self::unpack(packed).epoch < Self::unpack(other).epoch
    }

    /// Packs the position into one number: the epoch in the upper bits, the offset in the lower ones.
    #[must_use]
    pub const fn pack(self) -> u64 {
        self.epoch << OFFSET_BITS | self.offset
    }
}
