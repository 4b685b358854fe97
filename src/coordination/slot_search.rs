//! Where a request looks for a slot: nodes of its zone, then of other zones, then the node where it would
//! end soonest.
//!
//! Load pattern answered: all upstreams of a service are full for seconds, and each request would ask nodes of other zones
//! for a slot in vain, with its body, paid for by the byte. What such a node told a moment ago is taken for its answer.
//!
//! Pure: each answer and each moment is told, and the next step returned.

use crate::{coordination::placement::PlacementCandidate, state::ablation::Mechanism};
use std::{net::SocketAddr, time::Duration, vec::IntoIter};

/// Nodes of the own availability zone asked for a slot at once.
pub const MAX_LOCAL_ZONE_NODES: usize = 4;
/// Nodes of other zones asked for a slot at once; each question is paid for by its bytes.
pub const MAX_REMOTE_ZONE_NODES: usize = 2;
/// The same where the own zone has no node to ask: it is evacuated, or the service has none there.
pub const MAX_REMOTE_ZONE_NODES_WITHOUT_LOCAL: usize = 4;
/// Times a request may be sent to wait for a slot.
pub const MAX_WAITS: u32 = 2;
/// Share of the target after which an idempotent request is sent to a second node. 0.45 and 0.8 serve no
/// better.
const HEDGE_SHARE: f64 = 0.6;
/// Share of the target within which an answer from the own zone is awaited rather than asked for
/// elsewhere, for a class without bytes; and what each KB of a class adds to it, since its way
/// between zones is paid for. Of 0.1, 0.25, 0.4, 0.55 and 0.7 the middle one serves best where bytes between
/// zones are cheap (0.016 of a day's worth above 0.55) and loses nothing where they are dear.
const LOCAL_WAIT_SHARE: (f64, f64) = (0.4, 0.08);
/// Most of the target that an answer from the own zone may take to be awaited.
const MAX_LOCAL_WAIT_SHARE: f64 = 0.95;
/// When to come back after a refusal, at the least and at the most.
pub const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));

/// The next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask that node for a slot at once or none.
    TryNode(SocketAddr),
    /// Let the request wait at that node, if it ends there in time.
    WaitAt {
        /// The node.
        node: SocketAddr,
        /// Time within which it is to end.
        finish_within: Duration,
    },
    /// No node is left.
    GiveUp,
}

/// Where in its search a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    LocalZone,
    RemoteZones,
    Wait,
}

/// A node that refused, and when the request would have ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The node.
    pub node: SocketAddr,
    /// It is in the availability zone of the entry node.
    pub in_local_zone: bool,
    /// Time in which the request would have ended.
    pub finish_in: Duration,
}

/// How much time a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchTime {
    /// Since it came.
    pub elapsed: Duration,
    /// Until its deadline.
    pub remaining: Duration,
}

/// The search of one request.
#[derive(Clone, Debug)]
pub struct SlotSearch {
    local_zone: IntoIter<PlacementCandidate>,
    remote_zones: IntoIter<PlacementCandidate>,
    phase: Phase,
    refusals: Vec<Refusal>,
    waits: u32,
    target: Duration,
    /// Share of the target within which the own zone is soon enough.
    local_wait_share: f64,
}

impl SlotSearch {
    /// A search among candidates, the ones to ask first in front. `kilobytes` is what a request of the class
    /// takes with its answer.
    #[must_use]
    pub fn begin(candidates: Vec<PlacementCandidate>, target: Duration, kilobytes: f64) -> Self {
        let (local_zone, remote_zones): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| candidate.in_local_zone);
        let local_zone: Vec<_> = local_zone.into_iter().take(MAX_LOCAL_ZONE_NODES).collect();
        let max_remote_nodes = match local_zone.is_empty() {
            _ if Mechanism::CrossZoneRequests.is_disabled() => 0,
            true => MAX_REMOTE_ZONE_NODES_WITHOUT_LOCAL,
            false => MAX_REMOTE_ZONE_NODES,
        };
        let remote_zones: Vec<_> = remote_zones.into_iter().take(max_remote_nodes).collect();
        let (share, each_kb) = if Mechanism::LocalZonePreference.is_disabled() {
            (0.0, 0.0)
        } else {
            LOCAL_WAIT_SHARE
        };
        Self {
            local_zone: local_zone.into_iter(),
            remote_zones: remote_zones.into_iter(),
            phase: Phase::LocalZone,
            refusals: Vec::new(),
            waits: 0,
            target,
            local_wait_share: (share + each_kb * kilobytes).min(MAX_LOCAL_WAIT_SHARE),
        }
    }

    /// Notes that a node had no slot in time.
    pub fn record_refusal(&mut self, refusal: Refusal) {
        self.refusals.push(refusal);
    }

    /// Notes that a node takes no work at all. If the request waited there, the nodes of other zones that were not asked, since the
    /// wait seemed short enough, are asked next.
    pub fn continue_in_remote_zones(&mut self) {
        if self.phase == Phase::Wait {
            self.phase = Phase::RemoteZones;
        }
    }

    /// Whether a node is known that has no slot in time.
    #[must_use]
    pub fn has_refusals(&self) -> bool {
        !self.refusals.is_empty()
    }

    /// Whether the request was sent to wait.
    #[must_use]
    pub fn has_waited(&self) -> bool {
        self.waits > 0
    }

    /// The next step.
    pub fn find_next(&mut self, time: SearchTime) -> SearchStep {
        if self.phase == Phase::LocalZone {
            if let Some(next) = self.local_zone.next() {
                return SearchStep::TryNode(next.address);
            }
            self.phase = if self.is_local_wait_short_enough(time) {
                Phase::Wait
            } else {
                Phase::RemoteZones
            };
        }
        if self.phase == Phase::RemoteZones {
            while let Some(next) = self.remote_zones.next() {
                let Some(finish_in) = next.reported_finish else {
                    return SearchStep::TryNode(next.address);
                };
                self.record_refusal(Refusal {
                    node: next.address,
                    in_local_zone: false,
                    finish_in,
                });
            }
            self.phase = Phase::Wait;
        }
        self.wait_at_soonest(time)
    }

    /// Whether the own zone would answer soon enough that asking another is not worth the bytes.
    fn is_local_wait_short_enough(&self, time: SearchTime) -> bool {
        let soonest = self.refusals.iter().map(|refusal| refusal.finish_in).min();
        let soon = self.target.mul_f64(self.local_wait_share);
        soonest.is_some_and(|finish_in| time.elapsed + finish_in <= soon)
    }

    fn wait_at_soonest(&mut self, time: SearchTime) -> SearchStep {
        if self.waits >= MAX_WAITS {
            return SearchStep::GiveUp;
        }
        let penalty = self.target.mul_f64(1.0 - MAX_LOCAL_WAIT_SHARE);
        let cost = |refusal: &Refusal| {
            refusal.finish_in
                + if refusal.in_local_zone {
                    Duration::ZERO
                } else {
                    penalty
                }
        };
        let soonest = (0..self.refusals.len()).min_by_key(|index| cost(&self.refusals[*index]));
        let Some(index) = soonest else {
            return SearchStep::GiveUp;
        };
        let refusal = self.refusals.swap_remove(index);
        let target_left = self.target.saturating_sub(time.elapsed).min(time.remaining);
        let finish_within = if refusal.finish_in <= target_left {
            target_left
        } else {
            time.remaining
        };
        if refusal.finish_in > finish_within {
            return SearchStep::GiveUp;
        }
        self.waits += 1;
        let node = refusal.node;
        SearchStep::WaitAt {
            node,
            finish_within,
        }
    }

    /// When a refused client should come back: once what kept its request from being in time is over.
    /// `spread`, about 1, keeps clients from coming back together.
    #[must_use]
    pub fn find_retry_after(&self, spread: f64) -> Duration {
        let (least, most) = RETRY_AFTER_RANGE;
        if Mechanism::RetryAfterEstimate.is_disabled() {
            return least.mul_f64(spread);
        }
        let soonest = self.refusals.iter().map(|refusal| refusal.finish_in).min();
        let wait = soonest.map_or(least, |finish_in| finish_in.saturating_sub(self.target));
        wait.clamp(least, most).mul_f64(spread)
    }
}

/// When an idempotent request without an answer is sent to a second node.
#[must_use]
pub fn find_hedge_delay(target: Duration) -> Duration {
    target.mul_f64(HEDGE_SHARE)
}
