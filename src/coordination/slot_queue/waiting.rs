//! A request that waits in the queue, and its place among the others.

use crate::{
    coordination::slot_queue::{SlotNumber, fair_order::FairTag},
    state::{ablation::Mechanism, timestamp::Timestamp},
};
use std::time::Duration;

/// Priority, whether the latency target is missed, and the position in the fair order; the lowest starts first.
pub type Rank = (u16, bool, FairTag);

/// Request that waits in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub number: SlotNumber,
    pub priority: u16,
    /// Position in the fair order of the organisations.
    pub fair_tag: FairTag,
    pub expected: Duration,
    /// Latest start to finish within the latency target; none if that was impossible when the request arrived.
    pub latest_on_time_start: Option<Timestamp>,
    /// Latest start to finish before the deadline.
    pub latest_start: Timestamp,
    /// Whether `latest_start` was lowered because the sender ends before the deadline.
    pub ends_early: bool,
}

impl Waiting {
    /// Sort key: within a priority, requests that can still meet their latency target come first. Executing a request that is late
    /// already would make the next one late as well. Among equals, the organisations share the slots.
    pub fn rank(&self, now: Timestamp) -> Rank {
        let priority = if Mechanism::Priorities.is_disabled() {
            0
        } else {
            self.priority
        };
        (priority, self.is_late(now), self.fair_tag)
    }

    pub fn is_late(&self, now: Timestamp) -> bool {
        self.latest_on_time_start.is_none_or(|latest| now > latest)
    }
}
