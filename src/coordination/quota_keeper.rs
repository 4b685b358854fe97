//! Keepers of the quotas of organisations.
//!
//! Each organisation has a keeper, the first reachable node by rendezvous hashing. It counts the requests of all nodes in a token
//! bucket: an entry node asks it for credit before it sends a request to an upstream, and refuses the request without credit.
//! Equal shares for all nodes would not work, since an organisation sends a few requests a second through hundreds of nodes.
//!
//! If a keeper is lost, the next node by rank grants credit. It doesn't know what was spent, and for a moment the former keeper may
//! still grant credit as well. So a bucket that another node may have kept before begins with few tokens and is refilled slowly
//! at first. What both grant then stays within the excess over the quota that operators tolerate.

use crate::{
    coordination::rendezvous::{find_first_nodes, rank_node},
    state::{names::OrganisationName, organisations::Quota, timestamp::Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use xxhash_rust::xxh64::xxh64;

/// Number of nodes that may keep the quota of an organisation. If none of them can be reached, the node is cut off from the mesh
/// rather than the others are lost.
pub const KEEPER_CANDIDATES: usize = 4;
/// Seed of the hash that ranks the keepers. Any value works, as long as all nodes use the same.
const RANK_SEED: u64 = 1;
/// Upper bound of the ranks that rendezvous hashing gives.
const MAX_RANK: f64 = 18_446_744_073_709_551_615.0;
/// How long a former keeper that can't be reached may still grant credit, until it notices that it is cut off, with a margin.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// A bucket that no node has asked for this time may have been kept by another node meanwhile.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Share of the tolerated excess that a keeper grants at once while another node may grant credit as well.
const HANDOVER_BURST_SHARE: f64 = 0.15;
/// Share of the tolerated excess by which such a keeper's bucket is refilled within a window.
const HANDOVER_RATE_SHARE: f64 = 0.05;
/// Most credits that one node gets near the limit, if it uses as many within the lifetime of credit.
const FEW_CREDITS: f64 = 3.0;
/// Share of the bucket that is reserved for requests that can be answered in time.
const RESERVED_SHARE: f64 = 0.25;
/// Longest time after which a refused client is told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How far the quotas may be exceeded, set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the period in which requests are counted.
    pub window: Duration,
    /// Share of the permitted requests in a window by which they may be exceeded.
    pub overage: f64,
    /// Number of requests in a window by which the quota may be exceeded besides.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaSettings {
    /// Number of requests in a window by which an organisation may exceed its quota.
    #[must_use]
    pub fn tolerated_excess(&self, quota: &Quota) -> f64 {
        self.overage * quota.permitted_within(self.window) + self.slack
    }
}

/// Whether another node may have granted credit of an organisation within the last window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperTenure {
    /// No other node has: this one has ranked first for the whole window, or the mesh has just started for the first time.
    Established,
    /// Another node may have, and may still grant credit.
    Recent,
}

/// What an entry node asks a keeper for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditDemand {
    /// Number of credits that can be used soon; at least 1.
    pub wanted: u32,
    /// Whether the request can hardly be answered within its latency target.
    pub is_late: bool,
}

/// Answer of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Number of requests that may be sent.
    pub credits: u32,
    /// Without credits, the time after which the organisation has credit again, in milliseconds.
    pub retry_after_ms: u64,
}

/// The nodes that may keep the quota of an organisation, by rank.
#[must_use]
pub fn find_keepers(
    organisation: &OrganisationName,
    nodes: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    find_first_nodes(hash_organisation(organisation), nodes, KEEPER_CANDIDATES)
}

/// Rank of a node for an organisation, from 0 to 1: evenly distributed over the nodes, and independent of other organisations.
#[must_use]
pub fn rank_node_for(organisation: &OrganisationName, node: SocketAddr) -> f64 {
    let rank = rank_node(hash_organisation(organisation), node);
    #[expect(clippy::cast_precision_loss, reason = "a rank needs few digits")]
    let rank = rank as f64;
    rank / MAX_RANK
}

fn hash_organisation(organisation: &OrganisationName) -> u64 {
    xxh64(organisation.as_str().as_bytes(), RANK_SEED)
}

/// Token buckets of the organisations whose quota this node keeps.
#[derive(Clone, Debug, Default)]
pub struct QuotaKeeper {
    buckets: HashMap<OrganisationName, TokenBucket>,
}

impl QuotaKeeper {
    /// Grants credits of an organisation that has this quota.
    pub fn grant(
        &mut self,
        organisation: &OrganisationName,
        quota: Quota,
        demand: CreditDemand,
        tenure: KeeperTenure,
        settings: &QuotaSettings,
        now: Timestamp,
    ) -> CreditGrant {
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert_with(|| TokenBucket::open(quota, tenure, settings, now));
        let is_idle = now.since(bucket.refilled) > MAX_IDLE_TIME;
        if is_idle && !bucket.is_sole && tenure == KeeperTenure::Recent {
            bucket.begin_handover(now);
        }
        bucket.set_quota(quota);
        bucket.refill(tenure, settings, now);
        bucket.take(demand, now)
    }

    /// Whether the other candidates have to be told that this node keeps the quota: one of them may have kept it since `gap`, the end
    /// of the last period without contact. What another one granted more than a window ago doesn't matter.
    #[must_use]
    pub fn needs_confirmation(
        &self,
        organisation: &OrganisationName,
        gap: Timestamp,
        settings: &QuotaSettings,
        now: Timestamp,
    ) -> bool {
        match self.buckets.get(organisation) {
            Some(bucket) => bucket.confirmed < gap,
            None => now.since(gap) <= settings.window,
        }
    }

    /// Records that all other candidates that can be reached know that this node keeps the quota, and grant no credit any more.
    /// `tenure` is `Recent` if one of them has granted credit within the last window, or if this node has been restarted.
    pub fn confirm(
        &mut self,
        organisation: &OrganisationName,
        quota: Quota,
        tenure: KeeperTenure,
        settings: &QuotaSettings,
        now: Timestamp,
    ) {
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert_with(|| TokenBucket::open(quota, tenure, settings, now));
        bucket.confirm(tenure, settings, now);
    }

    /// Whether this node has granted credit of an organisation within a period until now.
    #[must_use]
    pub fn has_granted(
        &self,
        organisation: &OrganisationName,
        period: Duration,
        now: Timestamp,
    ) -> bool {
        let bucket = self.buckets.get(organisation);
        bucket.is_some_and(|bucket| now.since(bucket.refilled) <= period)
    }

    /// Records that another node, which precedes this one as keeper of an organisation's quota, grants credit.
    pub fn record_other_keeper(&mut self, organisation: &OrganisationName, now: Timestamp) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.begin_handover(now);
        }
    }

    /// Number of organisations whose quota this node keeps or has kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether this node has kept no quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// Credit of one organisation.
#[derive(Clone, Debug)]
struct TokenBucket {
    quota: Quota,
    tokens: f64,
    refilled: Timestamp,
    /// Until when another keeper may grant credit as well.
    handover_until: Timestamp,
    /// Whether all other candidates that can be reached know that this node keeps the quota.
    is_sole: bool,
    /// When they were told.
    confirmed: Timestamp,
    /// Time for which the refused client that returns last was told to return.
    last_return: Timestamp,
}

impl TokenBucket {
    fn open(quota: Quota, tenure: KeeperTenure, settings: &QuotaSettings, now: Timestamp) -> Self {
        let mut bucket = Self {
            quota,
            tokens: 0.0,
            refilled: now,
            handover_until: now,
            is_sole: false,
            confirmed: now,
            last_return: now,
        };
        bucket.tokens = match tenure {
            KeeperTenure::Established => bucket.capacity(),
            KeeperTenure::Recent => {
                bucket.begin_handover(now);
                bucket.handover_capacity(settings)
            }
        };
        bucket
    }

    /// From now on, another keeper may grant credit as well.
    fn begin_handover(&mut self, now: Timestamp) {
        self.handover_until = now + HANDOVER_TIME;
        self.is_sole = false;
    }

    /// From now on, no other keeper grants credit. What another one has granted within the window is missing here.
    fn confirm(&mut self, tenure: KeeperTenure, settings: &QuotaSettings, now: Timestamp) {
        if tenure == KeeperTenure::Recent {
            self.tokens = self.tokens.min(self.handover_capacity(settings));
            self.refilled = now;
        }
        self.handover_until = now;
        self.is_sole = true;
        self.confirmed = now;
    }

    /// Replaces the quota. Tokens above a lowered burst are lost.
    fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Most tokens that the bucket holds. A quota without a burst still permits one request at a time.
    fn capacity(&self) -> f64 {
        f64::from(self.quota.burst.max(1))
    }

    /// Most tokens that the bucket holds if another node may have kept the quota before.
    fn handover_capacity(&self, settings: &QuotaSettings) -> f64 {
        let excess = settings.tolerated_excess(&self.quota);
        self.capacity()
            .min((excess * HANDOVER_BURST_SHARE).max(1.0))
    }

    fn refill(&mut self, tenure: KeeperTenure, settings: &QuotaSettings, now: Timestamp) {
        let rate = self.quota.requests_per_second();
        let excess = settings.tolerated_excess(&self.quota) * HANDOVER_RATE_SHARE;
        let handover_rate = rate.min(excess / settings.window.as_secs_f64());
        let handover_end = self.handover_until.min(now);
        let handover_time = handover_end.since(self.refilled);
        let sole_time = now.since(self.refilled.max(handover_end));
        let added = handover_rate * handover_time.as_secs_f64() + rate * sole_time.as_secs_f64();
        let capacity = match tenure {
            KeeperTenure::Established => self.capacity(),
            KeeperTenure::Recent if self.is_sole => self.capacity(),
            KeeperTenure::Recent => self.handover_capacity(settings),
        };
        self.tokens = (self.tokens + added).min(capacity);
        self.refilled = self.refilled.max(now);
    }

    /// Takes credits. More than a few are granted only while the bucket is more than half full: near the limit, credit that one node
    /// holds and doesn't use would be missing elsewhere.
    ///
    /// A client that was refused returns, and is late by then. If it used credit near the limit, a request that would have been in
    /// time would be refused for it, and its client would be late as well.
    fn take(&mut self, demand: CreditDemand, now: Timestamp) -> CreditGrant {
        let reserved = if demand.is_late {
            self.capacity() * RESERVED_SHARE
        } else {
            0.0
        };
        if self.tokens < 1.0 + reserved {
            return CreditGrant {
                credits: 0,
                retry_after_ms: self.plan_return(now),
            };
        }
        let few = self.tokens.min(FEW_CREDITS);
        let spare = (self.tokens - self.capacity() / 2.0).max(few);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number, and the cast saturates"
        )]
        let credits = demand.wanted.clamp(1, spare as u32);
        self.tokens -= f64::from(credits);
        CreditGrant {
            credits,
            retry_after_ms: 0,
        }
    }

    /// Time until a refused client should return, in milliseconds. Each refused client is told a time of its own, one token apart.
    fn plan_return(&mut self, now: Timestamp) -> u64 {
        let per_token = 1.0 / self.quota.requests_per_second();
        let missing = (1.0 - self.tokens).max(0.0);
        let next_token = now + Duration::from_secs_f64(missing * per_token);
        let latest = now + MAX_RETRY_AFTER;
        let after_last = self.last_return + Duration::from_secs_f64(per_token);
        self.last_return = next_token.max(after_last).min(latest);
        let wait = self.last_return.since(now).as_millis();
        u64::try_from(wait).unwrap_or(u64::MAX)
    }
}
