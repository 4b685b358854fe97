//! Idempotency keys as the key table sees them, and wall-clock time.

use std::{
    ops::{Add, Sub},
    time::Duration,
};
use uuid::Uuid;

/// Milliseconds since the Unix epoch, by the wall clock of one VM.
///
/// NB: the wall clocks of two VMs differ; comparing their readings needs a bound on that difference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallMillis(pub u64);

impl Add<Duration> for WallMillis {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(whole_millis_up(span)))
    }
}

impl Sub<Duration> for WallMillis {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(whole_millis_up(span)))
    }
}

/// Milliseconds of a span, rounded up, so that a bound never shrinks by rounding.
fn whole_millis_up(span: Duration) -> u64 {
    u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Bits of a version 7 UUID below its time of issue.
const BITS_BELOW_TIME: u32 = 80;

/// An idempotency key. Its order is the order of issue, because the time leads its bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(u128);

impl KeyId {
    /// The key in a version 7 UUID; none for other versions, whose time of issue can't be read.
    #[must_use]
    pub fn from_uuid(uuid: Uuid) -> Option<Self> {
        (uuid.get_version_num() == 7).then(|| Self(uuid.as_u128()))
    }

    /// A key from its time of issue and the bits below it.
    #[must_use]
    pub fn from_parts(issued: WallMillis, rest: u128) -> Self {
        let below = rest & ((1 << BITS_BELOW_TIME) - 1);
        Self((u128::from(issued.0) << BITS_BELOW_TIME) | below)
    }

    /// When the caller's clock says that the key was issued.
    #[must_use]
    pub fn issued(self) -> WallMillis {
        let millis = self.0 >> BITS_BELOW_TIME;
        WallMillis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// The key's bytes, most significant first.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Which of `count` slots the key falls into, by its lowest, random bits.
    #[must_use]
    pub fn slot(self, count: u16) -> Slot {
        let number = self.0 % u128::from(count.max(1));
        Slot(u16::try_from(number).unwrap_or(0))
    }
}

/// One of the parts into which the keys of a service are divided among its owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u16);

/// Digest of everything in a request that must be equal when its key is used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub [u8; 16]);
