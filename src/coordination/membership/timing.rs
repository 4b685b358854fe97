//! When things are due.

use crate::state::moment::Moment;
use std::time::Duration;

/// Spans and numbers that operators may set; the defaults are the ones that were measured.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// Time between two heartbeats of a node. What the membership costs is inverse to it.
    pub heartbeat: Duration,
    /// Members to which urgent news is sent at the next tick.
    pub urgent_fanout: usize,
    /// A member that enough others suspect is dead after this time, in which it can contradict.
    pub confirmed_timeout: Duration,
    /// A member that too few others suspect is dead after this time.
    pub unconfirmed_timeout: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            urgent_fanout: 4,
            confirmed_timeout: Duration::from_secs(4),
            unconfirmed_timeout: Duration::from_secs(15),
        }
    }
}

/// Moments at which something is due next.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    pub gossip: Moment,
    pub dead_retry: Moment,
    pub seed: Moment,
    pub join: Moment,
    pub reconcile: Moment,
    pub state_request: Moment,
    pub bury: Moment,
    pub last_tick: Option<Moment>,
    /// Failures before this moment say more of this process than of the others.
    pub grace_until: Moment,
}
