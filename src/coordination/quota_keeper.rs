//! Keepers of the quotas of organisations.
//!
//! Each organisation has several keepers ([`quota_shares`](crate::coordination::quota_shares)). A keeper counts the requests for which
//! it grants credit in a token bucket of its own, which holds an equal share of the quota: an entry node asks it for credit before it
//! sends a request to an upstream. Equal shares for all nodes would not work, since an organisation sends a few requests a second
//! through hundreds of nodes.
//!
//! The tolerated excess is divided: a part enlarges the buckets, since a burst that is split among keepers is used unevenly; a part is
//! a reserve for entry nodes that can't reach some of the keepers; a part is for entry nodes that reach no keeper
//! ([`quota_credits`](crate::coordination::quota_credits)); the rest covers credit that is used some time after it was granted.

use crate::{
    coordination::quota_shares::{QuotaSettings, WHOLE_TOKEN_EXCESS_SHARE},
    state::{names::OrganisationName, organisations::Quota, timestamp::Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Share of the tolerated excess that enlarges the buckets of all keepers together.
const BUCKET_EXCESS_SHARE: f64 = 0.2;
/// Share of the tolerated excess that the reserves of all keepers together grant within a window.
const RESERVE_EXCESS_SHARE: f64 = 0.3;
/// Share of the tolerated excess that the buckets of all keepers together hold when they are restarted. Their earlier processes may have
/// spent everything that they held; with nothing at all, a small organisation would be refused for seconds after a loss of all nodes.
const RESTART_EXCESS_SHARE: f64 = 0.2;
/// Least capacity of a bucket, in tokens, if there are so few keepers that the excess bears it. The part above one token is not lost
/// when a request arrives later than the next token.
const MIN_CAPACITY: f64 = 2.0;
/// Most credits that one node gets near the limit, if it uses as many within the lifetime of credit.
const FEW_CREDITS: f64 = 3.0;
/// Share of the bucket that is reserved for requests that can be answered in time.
const RESERVED_SHARE: f64 = 0.25;
/// Maximum `Retry-After` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Share of a quota that a keeper grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperShare {
    /// Number of keepers; each grants an equal share.
    pub keepers: usize,
    /// Since when this node grants its share: its start, or the end of the settling time after it joined.
    pub since: Timestamp,
    /// Whether the bucket is full at that time. True only at the first start of the whole mesh: a node that is restarted doesn't
    /// know what it granted before.
    pub starts_full: bool,
}

/// What an entry node asks a keeper for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditDemand {
    /// Number of credits that can be used soon; at least 1.
    pub wanted: u32,
    /// Whether the request can hardly be answered within its latency target.
    pub is_late: bool,
    /// Whether the entry node can't reach some of the keepers.
    pub lacks_keepers: bool,
}

/// Answer of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Number of requests that may be sent.
    pub credits: u32,
    /// Without credits, the time after which the organisation has credit again, in milliseconds.
    pub retry_after_ms: u64,
}

/// Token buckets of the organisations whose quota this node keeps.
#[derive(Clone, Debug, Default)]
pub struct QuotaKeeper {
    buckets: HashMap<OrganisationName, TokenBucket>,
}

impl QuotaKeeper {
    /// Grants credits of an organisation that has this quota, from this node's share of it.
    pub fn grant(
        &mut self,
        organisation: &OrganisationName,
        quota: Quota,
        share: KeeperShare,
        demand: CreditDemand,
        settings: &QuotaSettings,
        now: Timestamp,
    ) -> CreditGrant {
        let limits = ShareLimits::new(&quota, share.keepers, settings);
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert_with(|| TokenBucket::open(limits, share));
        bucket.refill(now);
        bucket.set_limits(limits);
        bucket.take(demand, settings.window, now)
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

/// Limits of one keeper.
#[derive(Clone, Copy, Debug)]
struct ShareLimits {
    /// Tokens a second.
    rate: f64,
    /// Rate of the whole quota, in requests per second.
    quota_rate: f64,
    /// Most tokens that the bucket holds.
    capacity: f64,
    /// Tokens of a bucket that is opened after a restart.
    restart_tokens: f64,
    /// Most credits that the reserve grants within a window.
    reserve: usize,
}

impl ShareLimits {
    fn new(quota: &Quota, keepers: usize, settings: &QuotaSettings) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "few keepers")]
        let keepers = keepers.max(1) as f64;
        let excess = settings.tolerated_excess(quota);
        // A quota without a burst still permits one request at a time.
        let burst = f64::from(quota.burst.max(1));
        // A single keeper has the whole burst and needs no compensation.
        let added = excess * BUCKET_EXCESS_SHARE * (1.0 - 1.0 / keepers);
        let least = ((burst + excess * WHOLE_TOKEN_EXCESS_SHARE) / keepers).min(MIN_CAPACITY);
        let least = if keepers > 1.0 { least } else { 1.0 };
        let reserve = excess * RESERVE_EXCESS_SHARE / keepers;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number, and the cast saturates"
        )]
        let reserve = if keepers > 1.0 { reserve as usize } else { 0 };
        let capacity = ((burst + added) / keepers).max(least);
        Self {
            rate: quota.requests_per_second() / keepers,
            quota_rate: quota.requests_per_second(),
            capacity,
            restart_tokens: capacity.min(excess * RESTART_EXCESS_SHARE / keepers),
            reserve,
        }
    }
}

/// Credit of one organisation.
#[derive(Clone, Debug)]
struct TokenBucket {
    limits: ShareLimits,
    tokens: f64,
    refilled: Timestamp,
    /// Times at which the reserve granted credits within the last window, oldest first.
    reserve_grants: VecDeque<Timestamp>,
    /// Time for which the refused client that returns last was told to return.
    last_return: Timestamp,
}

impl TokenBucket {
    fn open(limits: ShareLimits, share: KeeperShare) -> Self {
        Self {
            limits,
            tokens: if share.starts_full {
                limits.capacity
            } else {
                limits.restart_tokens
            },
            refilled: share.since,
            reserve_grants: VecDeque::new(),
            last_return: share.since,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let added = self.limits.rate * now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.limits.capacity);
        self.refilled = self.refilled.max(now);
    }

    /// Replaces the limits. Tokens above a lowered capacity are lost.
    fn set_limits(&mut self, limits: ShareLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(limits.capacity);
    }

    /// Takes credits. More than a few are granted only while the bucket is more than half full: near the limit, credit that one node
    /// holds and doesn't use would be missing elsewhere.
    ///
    /// A client that was refused returns, and is late by then. If it used credit near the limit, a request that would have been in
    /// time would be refused for it, and its client would be late as well.
    fn take(&mut self, demand: CreditDemand, window: Duration, now: Timestamp) -> CreditGrant {
        let capacity = self.limits.capacity;
        let reserved = if demand.is_late {
            (capacity * RESERVED_SHARE).min(capacity - 1.0)
        } else {
            0.0
        };
        if self.tokens < 1.0 + reserved {
            if demand.lacks_keepers && !demand.is_late && self.take_reserve(window, now) {
                return CreditGrant {
                    credits: 1,
                    retry_after_ms: 0,
                };
            }
            return CreditGrant {
                credits: 0,
                retry_after_ms: self.plan_return(now),
            };
        }
        let few = self.tokens.min(FEW_CREDITS);
        let spare = (self.tokens - capacity / 2.0).max(few);
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

    fn take_reserve(&mut self, window: Duration, now: Timestamp) -> bool {
        let grants = &mut self.reserve_grants;
        while grants.front().is_some_and(|time| now.since(*time) > window) {
            grants.pop_front();
        }
        let is_granted = grants.len() < self.limits.reserve;
        if is_granted {
            grants.push_back(now);
        }
        is_granted
    }

    /// `Retry-After` of a refusal, in milliseconds. Consecutive refusals are one token of the whole quota apart, so that clients don't
    /// retry at the same time: each of them was refused by all keepers, which all count it.
    fn plan_return(&mut self, now: Timestamp) -> u64 {
        let missing = (1.0 - self.tokens).max(0.0);
        let next_token = now + Duration::from_secs_f64(missing / self.limits.rate);
        let latest = now + MAX_RETRY_AFTER;
        let after_last = self.last_return + Duration::from_secs_f64(1.0 / self.limits.quota_rate);
        self.last_return = next_token.max(after_last).min(latest);
        let wait = self.last_return.since(now).as_millis();
        u64::try_from(wait).unwrap_or(u64::MAX)
    }
}
