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
pub const NEAR_ASKED: usize = 4;
/// Nodes of other zones asked for a slot at once; each question is paid for by its bytes.
pub const FAR_ASKED: usize = 2;
/// The same where the own zone has no node to ask: it is evacuated, or the service has none there.
pub const FAR_ASKED_ALONE: usize = 4;
/// Times a request may be sent to wait for a slot.
pub const MAX_WAITS: u32 = 2;
/// Share of the target after which an idempotent request is sent to a second node. 0.45 and 0.8 serve no
/// better.
const HEDGE_SHARE: f64 = 0.6;
/// Share of the target within which an answer from the own zone is awaited rather than asked for
/// elsewhere, for a class without bytes; and what each KB of a class adds to it, since its way
/// between zones is paid for. Of 0.1, 0.25, 0.4, 0.55 and 0.7 the middle one serves best where bytes between
/// zones are cheap (0.016 of a day's worth above 0.55) and loses nothing where they are dear.
const NEAR_SHARE: (f64, f64) = (0.4, 0.08);
/// Most of the target that an answer from the own zone may take to be awaited.
const NEAR_SHARE_MOST: f64 = 0.95;
/// When to come back after a refusal, at the least and at the most.
pub const COME_BACK: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));

/// The next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask that node for a slot at once or none.
    AskAtOnce(SocketAddr),
    /// Let the request wait at that node, if it ends there in time.
    WaitAt {
        /// The node.
        node: SocketAddr,
        /// Time within which it is to end.
        within: Duration,
    },
    /// No node is left.
    GiveUp,
}

/// Where in its search a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Near,
    Far,
    Wait,
}

/// A node that refused, and when the request would have ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The node.
    pub node: SocketAddr,
    /// It is in the availability zone of the entry node.
    pub near: bool,
    /// Time in which the request would have ended.
    pub finish: Duration,
}

/// How much time a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchTime {
    /// Since it came.
    pub spent: Duration,
    /// Until its deadline.
    pub left: Duration,
}

/// The search of one request.
#[derive(Clone, Debug)]
pub struct SlotSearch {
    near: IntoIter<PlacementCandidate>,
    far: IntoIter<PlacementCandidate>,
    phase: Phase,
    offers: Vec<Offer>,
    waits: u32,
    target: Duration,
    /// Share of the target within which the own zone is soon enough.
    near_share: f64,
}

impl SlotSearch {
    /// A search among candidates, the ones to ask first in front. `kilobytes` is what a request of the class
    /// takes with its answer.
    #[must_use]
    pub fn begin(candidates: Vec<PlacementCandidate>, target: Duration, kilobytes: f64) -> Self {
        let (near, far): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|candidate| candidate.near);
        let near: Vec<_> = near.into_iter().take(NEAR_ASKED).collect();
        let far_asked = match near.is_empty() {
            _ if Mechanism::CrossZoneRequests.is_disabled() => 0,
            true => FAR_ASKED_ALONE,
            false => FAR_ASKED,
        };
        let far: Vec<_> = far.into_iter().take(far_asked).collect();
        let (share, each_kb) = if Mechanism::LocalZonePreference.is_disabled() {
            (0.0, 0.0)
        } else {
            NEAR_SHARE
        };
        Self {
            near: near.into_iter(),
            far: far.into_iter(),
            phase: Phase::Near,
            offers: Vec::new(),
            waits: 0,
            target,
            near_share: (share + each_kb * kilobytes).min(NEAR_SHARE_MOST),
        }
    }

    /// Notes that a node had no slot in time.
    pub fn note_offer(&mut self, offer: Offer) {
        self.offers.push(offer);
    }

    /// Notes that a node takes no work at all. If the request waited there, the nodes of other zones that were not asked, since the
    /// wait seemed short enough, are asked next.
    pub fn reopen(&mut self) {
        if self.phase == Phase::Wait {
            self.phase = Phase::Far;
        }
    }

    /// Whether a node is known that has no slot in time.
    #[must_use]
    pub fn has_offers(&self) -> bool {
        !self.offers.is_empty()
    }

    /// Whether the request was sent to wait.
    #[must_use]
    pub fn has_waited(&self) -> bool {
        self.waits > 0
    }

    /// The next step.
    pub fn find_next(&mut self, time: SearchTime) -> SearchStep {
        if self.phase == Phase::Near {
            if let Some(next) = self.near.next() {
                return SearchStep::AskAtOnce(next.address);
            }
            self.phase = if self.is_near_soon_enough(time) {
                Phase::Wait
            } else {
                Phase::Far
            };
        }
        if self.phase == Phase::Far {
            while let Some(next) = self.far.next() {
                let Some(finish) = next.told_finish else {
                    return SearchStep::AskAtOnce(next.address);
                };
                self.note_offer(Offer {
                    node: next.address,
                    near: false,
                    finish,
                });
            }
            self.phase = Phase::Wait;
        }
        self.wait_at_soonest(time)
    }

    /// Whether the own zone would answer soon enough that asking another is not worth the bytes.
    fn is_near_soon_enough(&self, time: SearchTime) -> bool {
        let soonest = self.offers.iter().map(|offer| offer.finish).min();
        let soon = self.target.mul_f64(self.near_share);
        soonest.is_some_and(|finish| time.spent + finish <= soon)
    }

    fn wait_at_soonest(&mut self, time: SearchTime) -> SearchStep {
        if self.waits >= MAX_WAITS {
            return SearchStep::GiveUp;
        }
        let penalty = self.target.mul_f64(1.0 - NEAR_SHARE_MOST);
        let cost = |offer: &Offer| offer.finish + if offer.near { Duration::ZERO } else { penalty };
        let soonest = (0..self.offers.len()).min_by_key(|index| cost(&self.offers[*index]));
        let Some(index) = soonest else {
            return SearchStep::GiveUp;
        };
        let offer = self.offers.swap_remove(index);
        let target_left = self.target.saturating_sub(time.spent).min(time.left);
        let within = if offer.finish <= target_left {
            target_left
        } else {
            time.left
        };
        if offer.finish > within {
            return SearchStep::GiveUp;
        }
        self.waits += 1;
        let node = offer.node;
        SearchStep::WaitAt { node, within }
    }

    /// When a refused client should come back: once what kept its request from being in time is over.
    /// `spread`, about 1, keeps clients from coming back together.
    #[must_use]
    pub fn find_come_back(&self, spread: f64) -> Duration {
        let (least, most) = COME_BACK;
        if Mechanism::RetryAfterEstimate.is_disabled() {
            return least.mul_f64(spread);
        }
        let soonest = self.offers.iter().map(|offer| offer.finish).min();
        let wait = soonest.map_or(least, |finish| finish.saturating_sub(self.target));
        wait.clamp(least, most).mul_f64(spread)
    }
}

/// When an idempotent request without an answer is sent to a second node.
#[must_use]
pub fn find_hedge_delay(target: Duration) -> Duration {
    target.mul_f64(HEDGE_SHARE)
}
