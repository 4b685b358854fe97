//! What goes into and comes out of the decisions on ownership.

use crate::state::{
    key_table::{KeyTableLimits, entry::RunNumber, key::WallMillis},
    lease::LeaseTimes,
    moment::Moment,
    ownership::{OWNERSHIP_SLOTS, Owner},
};
use std::time::Duration;

/// One reading of both clocks of a VM.
///
/// NB: the wall clock must be read first. A pause between the two readings then makes the bounds that
/// are worked out from them too early, which is safe; the other way round they would be too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockReading {
    /// The wall clock.
    pub wall: WallMillis,
    /// The monotonic clock, read after the wall clock.
    pub now: Moment,
}

/// What all nodes of a service must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OwnershipSettings {
    /// Lengths of leases and waits.
    pub times: LeaseTimes,
    /// Bounds of the key table.
    pub table: KeyTableLimits,
    /// Most that the wall clocks of two VMs differ.
    pub clock_bound: Duration,
}

/// The lengths and bounds that docs/design/at-most-once.md gives the reasons for.
impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            times: LeaseTimes {
                lease: Duration::from_secs(5),
                margin: Duration::from_millis(500),
                outage_cover: Duration::from_mins(2),
            },
            table: KeyTableLimits {
                key_memory: Duration::from_mins(10),
                future_bound: Duration::from_secs(1),
                max_keys: 200_000,
                max_answer_bytes: 32 * 1024 * 1024,
                slots: OWNERSHIP_SLOTS,
            },
            clock_bound: Duration::from_secs(1),
        }
    }
}

/// What a keyed call gets at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run it: whatever happens from here on, no other node runs the key, because it was issued before
    /// the floor of any later owner. The run may therefore start after the lease has ended.
    Run(RunNumber),
    /// The same call runs now.
    InProgress,
    /// The same call ran, with this answer.
    Repeat(A),
    /// The same call ran; its answer is no longer held.
    AnswerGone,
    /// The same call may have run.
    Unknown,
    /// The key was used with another request.
    DifferentRequest,
    /// The key was issued before this owner's knowledge begins.
    TooOld,
    /// The key was issued further in the future than clocks may differ.
    FromTheFuture,
    /// Another node owns the key, as far as is known here.
    NotOwner(Option<Owner>),
    /// This node owns the key and may run it from then on, or earlier after a handover.
    NotReady(Moment),
    /// The lease has lapsed: another node may own the key without this one knowing.
    Lapsed,
}
