//! A hybrid logical clock: orders causes before effects across nodes whose wall clocks disagree.

use serde::{Deserialize, Serialize};

/// Bits of a stamp that count events within a millisecond.
const COUNTER_BITS: u32 = 16;
/// Stamps further ahead than this, in milliseconds, are not taken over.
const MAX_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

/// A point in causal order: milliseconds of some wall clock and a counter, as one number.
///
/// If event A can have caused event B, A's stamp is the lower one. The reverse does not hold.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CausalStamp(pub u64);

impl CausalStamp {
    /// The first stamp of a millisecond.
    #[must_use]
    pub const fn at_millis(wall_millis: u64) -> Self {
        Self(wall_millis << COUNTER_BITS)
    }

    /// The millisecond that the stamp belongs to.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

/// The clock of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct CausalClock {
    last: CausalStamp,
}

impl CausalClock {
    /// The stamp of a new event: above all stamps given or observed before.
    pub fn advance(&mut self, wall_millis: u64) -> CausalStamp {
        let next = CausalStamp(self.last.0.saturating_add(1));
        self.last = next.max(CausalStamp::at_millis(wall_millis));
        self.last
    }

    /// The stamp to send with a message: no lower than that of any event so far.
    #[must_use]
    pub const fn current(&self) -> CausalStamp {
        self.last
    }

    /// Takes over the stamp that came with a message, so that later events are stamped above it.
    ///
    /// A stamp more than a day ahead is left out: one process with a broken clock would otherwise
    /// drive the clocks of all others to the end of their range, where order is lost for good. It
    /// is noticed as effects of that one process that stand before their causes.
    pub fn observe(&mut self, stamp: CausalStamp, wall_millis: u64) {
        if stamp.millis() <= wall_millis.saturating_add(MAX_LEAD_MS) {
            self.last = self.last.max(stamp);
        }
    }
}
