//! Places in a topic of the store.

/// Bits of a packed place that hold the offset; as many hold the era.
const OFFSET_BITS: u32 = 32;

/// A place in a topic of the store.
///
/// A store that comes back from a copy loses its last records and gives their offsets out again, in its next era. An offset
/// identifies a record only together with the era; of two places, the one of the later era is the later one.
///
/// Places are passed on packed into one number, which keeps that order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Rises each time the store comes back from a copy; 0 if the store doesn't tell. Below 2^32.
    pub epoch: u64,
    /// Number of the record in its topic. Below 2^32.
    pub offset: u64,
}

impl StorePosition {
    /// The place of a packed number.
    #[must_use]
    pub const fn unpack(packed: u64) -> Self {
        Self {
            epoch: packed >> OFFSET_BITS,
            offset: packed & ((1 << OFFSET_BITS) - 1),
        }
    }

    /// Whether a packed place is known and of an earlier era than another one.
    #[must_use]
    pub const fn is_of_earlier_epoch(packed: u64, other: u64) -> bool {
        packed > 0 && Self::unpack(packed).epoch < Self::unpack(other).epoch
    }

    /// The place as one number: the era in the upper bits, the offset in the lower ones.
    #[must_use]
    pub const fn pack(self) -> u64 {
        self.epoch << OFFSET_BITS | self.offset
    }
}
