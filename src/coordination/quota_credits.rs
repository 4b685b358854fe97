//! Credit of organisations at an entry node.
//!
//! Credit that the keeper of a quota has granted and that isn't used lapses soon: the keeper counts it as spent, and requests that
//! use it late would add to those of a later window.

use crate::{
    coordination::quota_keeper::{CreditGrant, QuotaSettings},
    state::{names::OrganisationName, organisations::Quota, timestamp::Timestamp},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// How long credit is valid.
const CREDIT_LIFETIME: Duration = Duration::from_millis(200);
/// Period in which an organisation's requests are counted, to predict how many come soon.
const USE_PERIOD: Duration = Duration::from_secs(1);
/// Share of the requests of a period for which credit is asked in advance: those that are expected within half of the lifetime of
/// credit.
const ADVANCE_SHARE: f64 = 0.1;
/// A refusal of the keeper holds for further requests for the time until the organisation has credit again, divided by this number,
/// and not longer than the maximum. The keeper isn't asked meanwhile: hundreds of nodes that ask for each request of an organisation far
/// beyond its limit would keep it busy.
const REFUSAL_VALIDITY_DIVISOR: u32 = 4;
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Number of organisations up to which those without recent requests are remembered.
const MIN_PRUNED_ACCOUNTS: usize = 256;
/// Time without requests after which an organisation may be forgotten; longer than the window of any quota in use.
const MAX_IDLE_ACCOUNT_TIME: Duration = Duration::from_mins(1);
/// Divisor of a node's equal share of a quota, the most that it may use while it can reach no keeper.
const CUT_OFF_DIVISOR: f64 = 2.0;
/// Share of the tolerated excess that all nodes together may use while they can reach no keeper. Any number of them may be cut off,
/// and the keeper may grant the whole quota to the others.
const CUT_OFF_EXCESS_SHARE: f64 = 0.6;

/// Place of a node in the mesh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeshPosition {
    /// Number of known nodes.
    pub nodes: usize,
    /// Rank of the node for an organisation, from 0 to 1; see [`rank_node_for`](crate::coordination::quota_keeper::rank_node_for).
    pub node_rank: f64,
}

/// Decision on a request of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// The request may be sent. It has used one credit.
    Spent,
    /// The keeper has to be asked for credit.
    Ask {
        /// Number of credits that can be used soon.
        wanted: u32,
    },
    /// The organisation has no credit.
    Refused {
        /// Time after which it has credit again.
        retry_after: Duration,
    },
}

/// Credit of organisations at one entry node.
#[derive(Clone, Debug, Default)]
pub struct QuotaCredits {
    accounts: HashMap<OrganisationName, CreditAccount>,
    /// Number of accounts at which those without recent requests are removed next. It is at least twice the number that remained
    /// the last time, so that removals take a constant time per account.
    prune_at: usize,
}

/// Credit of one organisation.
#[derive(Clone, Debug, Default)]
struct CreditAccount {
    credits: u32,
    credits_expire: Timestamp,
    refused_until: Timestamp,
    /// Time for which refused clients are told to return.
    next_credit: Timestamp,
    /// Times of the last requests, oldest first.
    uses: VecDeque<Timestamp>,
    /// Times of the last requests that were sent without asking a keeper, oldest first.
    unconfirmed: VecDeque<Timestamp>,
}

impl QuotaCredits {
    /// Decides on a request that arrives now.
    pub fn decide(&mut self, organisation: &OrganisationName, now: Timestamp) -> CreditDecision {
        let account = self.find_account(organisation, now);
        account.record_use(now);
        if account.spend(now) {
            return CreditDecision::Spent;
        }
        if now < account.refused_until {
            let retry_after = account.next_credit.since(now);
            return CreditDecision::Refused { retry_after };
        }
        CreditDecision::Ask {
            wanted: account.predict_uses(),
        }
    }

    /// Applies the answer of a keeper on behalf of a request. `CreditDecision::Ask` isn't returned.
    pub fn apply_grant(
        &mut self,
        organisation: &OrganisationName,
        grant: CreditGrant,
        now: Timestamp,
    ) -> CreditDecision {
        let account = self.find_account(organisation, now);
        if let Some(remaining) = grant.credits.checked_sub(1) {
            account.add_credits(remaining, now);
            account.refused_until = now;
            return CreditDecision::Spent;
        }
        let retry_after = Duration::from_millis(grant.retry_after_ms);
        account.refused_until =
            now + (retry_after / REFUSAL_VALIDITY_DIVISOR).min(MAX_REFUSAL_TIME);
        account.next_credit = now + retry_after;
        CreditDecision::Refused { retry_after }
    }

    /// Returns the credit of a request that wasn't executed. The next request of the organisation may use it.
    pub fn return_credit(&mut self, organisation: &OrganisationName, now: Timestamp) {
        self.find_account(organisation, now).add_credits(1, now);
    }

    /// Whether a request may be sent although no keeper can be reached. Each node may use its equal share of a part of the tolerated
    /// excess, and no more than half of its equal share of the quota. If that is less than one request in a window, only some of the
    /// nodes may send one: those whose `node_rank`, from 0 to 1 and different for each node and organisation, is low enough.
    pub fn spend_unconfirmed(
        &mut self,
        organisation: &OrganisationName,
        quota: &Quota,
        mesh: MeshPosition,
        settings: &QuotaSettings,
        now: Timestamp,
    ) -> bool {
        let account = self.find_account(organisation, now);
        drop_older(&mut account.unconfirmed, settings.window, now);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let (used, nodes) = (account.unconfirmed.len() as f64, mesh.nodes.max(1) as f64);
        let quota_share = quota.permitted_within(settings.window) / nodes / CUT_OFF_DIVISOR;
        let excess_share = settings.tolerated_excess(quota) * CUT_OFF_EXCESS_SHARE / nodes;
        let share = quota_share.min(excess_share);
        let may_send_one = mesh.node_rank < excess_share;
        let limit = if may_send_one { share.max(1.0) } else { share };
        let is_permitted = used + 1.0 <= limit;
        if is_permitted {
            account.unconfirmed.push_back(now);
        }
        is_permitted
    }

    fn find_account(
        &mut self,
        organisation: &OrganisationName,
        now: Timestamp,
    ) -> &mut CreditAccount {
        if self.accounts.len() >= self.prune_at.max(MIN_PRUNED_ACCOUNTS) {
            self.accounts.retain(|_, account| account.is_recent(now));
            self.prune_at = 2 * self.accounts.len();
        }
        self.accounts.entry(organisation.clone()).or_default()
    }
}

impl CreditAccount {
    fn record_use(&mut self, now: Timestamp) {
        drop_older(&mut self.uses, USE_PERIOD, now);
        self.uses.push_back(now);
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        let last = self.uses.back().max(self.unconfirmed.back());
        last.is_some_and(|last| now.since(*last) <= MAX_IDLE_ACCOUNT_TIME)
    }

    fn spend(&mut self, now: Timestamp) -> bool {
        if now >= self.credits_expire || self.credits == 0 {
            self.credits = 0;
            return false;
        }
        self.credits -= 1;
        true
    }

    fn add_credits(&mut self, credits: u32, now: Timestamp) {
        if now >= self.credits_expire {
            self.credits = 0;
        }
        if credits > 0 && self.credits == 0 {
            self.credits_expire = now + CREDIT_LIFETIME;
        }
        self.credits += credits;
    }

    fn predict_uses(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a small positive number"
        )]
        let in_advance = (self.uses.len() as f64 * ADVANCE_SHARE) as u32;
        1 + in_advance
    }
}

fn drop_older(times: &mut VecDeque<Timestamp>, period: Duration, now: Timestamp) {
    while times.front().is_some_and(|time| now.since(*time) > period) {
        times.pop_front();
    }
}
