//! Search for a free slot for one request: first at nodes of the local availability zone, then at nodes of other zones, then in the
//! queue of the node where the request would finish soonest.
//!
//! Load pattern: all upstreams of a service are full for seconds. Each request would ask nodes of other zones in vain, and each
//! attempt carries the request body and costs by the byte. So a recent refusal by such a node counts as its answer to this
//! request too.
//!
//! The search is pure: the caller passes in each answer and the elapsed time, and performs the step that is returned.

use crate::{coordination::placement::PlacementCandidate, state::ablation::Mechanism};
use std::{net::SocketAddr, time::Duration, vec::IntoIter};

/// Maximum number of nodes of the local availability zone asked for an immediately free slot.
pub const MAX_LOCAL_ZONE_NODES: usize = 4;
/// Maximum number of nodes of other zones asked for an immediately free slot. Each attempt costs bytes between zones.
pub const MAX_REMOTE_ZONE_NODES: usize = 2;
/// Maximum number of nodes of other zones asked if the local zone has no node to ask, because it is evacuated or the service has
/// no upstream there.
pub const MAX_REMOTE_ZONE_NODES_WITHOUT_LOCAL: usize = 4;
/// Maximum number of nodes in whose queues one request waits.
pub const MAX_WAITS: u32 = 2;
/// Share of the latency target after which an idempotent request without a response is also sent to a second node.
const HEDGE_SHARE: f64 = 0.6;
/// If a request can finish in the local zone within this share of its latency target, it waits there and other zones aren't asked.
/// The first value holds for a class without payload; the second is added per KB of request and response, because bytes between
/// zones cost money.
const LOCAL_WAIT_SHARE: (f64, f64) = (0.4, 0.08);
/// Upper limit of the share of the latency target that results from [`LOCAL_WAIT_SHARE`].
const MAX_LOCAL_WAIT_SHARE: f64 = 0.95;
/// Minimum and maximum of the `Retry-After` time of a refused request.
pub const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));
/// Largest share of the time until the deadline after which the first clients of a refused request return. The last ones return
/// after twice the time.
const MAX_RETURN_SHARE: f64 = 0.5;

/// Next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Send the request to this node, which refuses it unless a slot is free.
    TryNode(SocketAddr),
    /// Send the request to this node, which queues it if it can finish in time.
    WaitAt {
        /// Address of the node.
        node: SocketAddr,
        /// Time within which the request must finish; otherwise the node refuses it.
        finish_within: Duration,
    },
    /// No node is left that could run the request in time.
    GiveUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    LocalZone,
    RemoteZones,
    Wait,
}

/// Refusal of a request by a node that had no free slot in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Address of the node.
    pub node: SocketAddr,
    /// Whether the node is in the availability zone of the entry node.
    pub in_local_zone: bool,
    /// Time in which the request would have finished there.
    pub finish_in: Duration,
}

/// Time used by a request and left to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchTime {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
}

/// State of the search for one request.
#[derive(Clone, Debug)]
pub struct SlotSearch {
    local_zone: IntoIter<PlacementCandidate>,
    remote_zones: IntoIter<PlacementCandidate>,
    phase: Phase,
    refusals: Vec<Refusal>,
    waits: u32,
    target: Duration,
    /// Share of the target; a request that can finish in the local zone within it waits there.
    local_wait_share: f64,
}

impl SlotSearch {
    /// Starts a search among `candidates`, in the order in which they are asked. `target` is the latency target of the request, and
    /// `kilobytes` the average size of a request of its class together with the response.
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
        let (share, share_per_kb) = if Mechanism::LocalZonePreference.is_disabled() {
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
            local_wait_share: (share + share_per_kb * kilobytes).min(MAX_LOCAL_WAIT_SHARE),
        }
    }

    /// Records that a node has no free slot in time.
    pub fn record_refusal(&mut self, refusal: Refusal) {
        self.refusals.push(refusal);
    }

    /// Records that a node accepts no work at all. If the request was to wait there, the search goes back to the nodes of other
    /// zones, which were skipped because the wait was short enough.
    pub fn continue_in_remote_zones(&mut self) {
        if self.phase == Phase::Wait {
            self.phase = Phase::RemoteZones;
        }
    }

    /// Whether a node has refused the request for lack of a slot, now or shortly before it arrived.
    #[must_use]
    pub fn has_refusals(&self) -> bool {
        !self.refusals.is_empty()
    }

    /// Whether the request was sent to a node to wait in its queue.
    #[must_use]
    pub fn has_waited(&self) -> bool {
        self.waits > 0
    }

    /// Returns the next step.
    pub fn find_next(&mut self, time: SearchTime) -> SearchStep {
        if self.phase == Phase::LocalZone {
            while let Some(next) = self.local_zone.next() {
                // Slots become free within milliseconds, while a request limit delays the next start for longer.
                let Some(finish_in) = next.reported_finish.filter(|_| next.is_limited) else {
                    return SearchStep::TryNode(next.address);
                };
                self.record_refusal(Refusal {
                    node: next.address,
                    in_local_zone: true,
                    finish_in,
                });
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

    /// Whether the request can finish in the local zone so soon that asking other zones isn't worth the bytes.
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

    /// Like [`Self::find_retry_after`], but without a fixed maximum: clients that return before the queue is shorter are refused
    /// again, or take the place of requests that still can be on time. `chance` is a random number from 0 to 1 that spreads the
    /// returns over as long a time again; all of them are before the deadline, which is `remaining` away.
    #[must_use]
    pub fn find_spread_retry_after(&self, remaining: Duration, chance: f64) -> Duration {
        let (min, _) = RETRY_AFTER_RANGE;
        let soonest = self.refusals.iter().map(|refusal| refusal.finish_in).min();
        let wait = soonest.map_or(min, |finish_in| finish_in.saturating_sub(self.target));
        let max = remaining.mul_f64(MAX_RETURN_SHARE).max(min);
        wait.clamp(min, max).mul_f64(1.0 + chance)
    }

    /// Time after which the client of a refused request should retry: when its request could have finished within the target.
    /// `spread` is a random factor of about 1 that keeps clients from retrying at the same time.
    #[must_use]
    pub fn find_retry_after(&self, spread: f64) -> Duration {
        let (min, max) = RETRY_AFTER_RANGE;
        if Mechanism::RetryAfterEstimate.is_disabled() {
            return min.mul_f64(spread);
        }
        let soonest = self.refusals.iter().map(|refusal| refusal.finish_in).min();
        let wait = soonest.map_or(min, |finish_in| finish_in.saturating_sub(self.target));
        wait.clamp(min, max).mul_f64(spread)
    }
}

/// Time after which an idempotent request without a response is also sent to a second node; `target` is its latency target.
#[must_use]
pub fn find_hedge_delay(target: Duration) -> Duration {
    target.mul_f64(HEDGE_SHARE)
}
