//! Credit of organisations at an entry node.
//!
//! Credit that a keeper of a quota has granted and that isn't used lapses soon: the keeper counts it as spent, and requests that
//! use it late would add to those of a later window. The same holds for credit that a request returns: its lifetime still begins with
//! the grant.

use crate::{
    coordination::{quota_keeper::CreditGrant, quota_shares::QuotaSettings},
    state::{names::OrganisationName, organisations::Quota, timestamp::Timestamp},
};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// How long credit is valid.
const CREDIT_LIFETIME: Duration = Duration::from_millis(200);
/// Period in which an organisation's requests are counted, to predict how many come soon.
const USE_PERIOD: Duration = Duration::from_secs(1);
/// Share of the requests of a period for which credit is asked in advance: those that are expected within half of the lifetime of
/// credit.
const ADVANCE_SHARE: f64 = 0.1;
/// A refusal of a keeper holds for further requests for the time until it has credit again, divided by this number, and not longer
/// than the maximum. The keeper isn't asked meanwhile: hundreds of nodes that ask for each request of an organisation far beyond its
/// limit would keep it busy.
const REFUSAL_VALIDITY_DIVISOR: u32 = 4;
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Number of organisations up to which those without recent requests are remembered.
const MIN_PRUNED_ACCOUNTS: usize = 256;
/// Time without requests after which an organisation may be forgotten; longer than the window of any quota in use.
const MAX_IDLE_ACCOUNT_TIME: Duration = Duration::from_mins(1);
/// Number of keepers whose refusals are remembered for an organisation; more than there are, since keepers change.
const MAX_REFUSALS: usize = 16;
/// Divisor of a node's equal share of a quota, the most that it may use while it can reach no keeper.
const CUT_OFF_DIVISOR: f64 = 2.0;
/// Share of the tolerated excess that all nodes together may use while they can reach no keeper. Any number of them may be cut off,
/// and the keepers may grant the whole quota to the others.
const CUT_OFF_EXCESS_SHARE: f64 = 0.15;

/// Place of a node in the mesh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeshPosition {
    /// Number of known nodes.
    pub nodes: usize,
    /// Rank of the node for an organisation, from 0 to 1; see [`rank_node_for`](crate::coordination::quota_shares::rank_node_for).
    pub node_rank: f64,
}

/// Decision on a request of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// The request may be sent. It has used one credit.
    Spent {
        /// When a keeper granted the credit.
        granted: Timestamp,
    },
    /// A keeper has to be asked for credit.
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
    /// When the oldest of the credits was granted.
    granted: Timestamp,
    /// Until when requests are refused without asking, since all keepers have refused.
    refused_until: Timestamp,
    /// Time for which refused clients are told to return.
    next_credit: Timestamp,
    /// The last answers without credit of keepers that aren't asked for a while.
    refusals: Vec<KeeperRefusal>,
    /// Times of the last requests, oldest first.
    uses: VecDeque<Timestamp>,
    /// Times of the last requests that were sent without asking a keeper, oldest first.
    unconfirmed: VecDeque<Timestamp>,
}

/// Answer of a keeper without credit.
#[derive(Clone, Copy, Debug)]
struct KeeperRefusal {
    keeper: SocketAddr,
    /// Until when the keeper isn't asked.
    until: Timestamp,
    /// When the keeper has credit again; `None` if the asked node doesn't keep the quota.
    next_credit: Option<Timestamp>,
}

impl QuotaCredits {
    /// Decides on a request that arrives now.
    pub fn decide(&mut self, organisation: &OrganisationName, now: Timestamp) -> CreditDecision {
        let account = self.find_account(organisation, now);
        account.record_use(now);
        if let Some(granted) = account.spend(now) {
            return CreditDecision::Spent { granted };
        }
        if now < account.refused_until {
            let retry_after = account.next_credit.since(now);
            return CreditDecision::Refused { retry_after };
        }
        CreditDecision::Ask {
            wanted: account.predict_uses(),
        }
    }

    /// Whether a keeper may be asked for credit: it has refused none lately.
    #[must_use]
    pub fn may_ask(
        &self,
        organisation: &OrganisationName,
        keeper: SocketAddr,
        now: Timestamp,
    ) -> bool {
        let account = self.accounts.get(organisation);
        let mut refusals = account.iter().flat_map(|account| &account.refusals);
        !refusals.any(|refusal| refusal.keeper == keeper && now < refusal.until)
    }

    /// Applies the answer of a keeper on behalf of a request, which was asked at `asked`. `None` without credit: the next keeper is to be
    /// asked.
    pub fn apply_grant(
        &mut self,
        organisation: &OrganisationName,
        keeper: SocketAddr,
        grant: CreditGrant,
        asked: Timestamp,
        now: Timestamp,
    ) -> Option<CreditDecision> {
        let account = self.find_account(organisation, now);
        if let Some(remaining) = grant.credits.checked_sub(1) {
            account.add_credits(remaining, asked, now);
            account.refused_until = now;
            return Some(CreditDecision::Spent { granted: asked });
        }
        let retry_after = Duration::from_millis(grant.retry_after_ms);
        account.record_refusal(KeeperRefusal {
            keeper,
            until: now + (retry_after / REFUSAL_VALIDITY_DIVISOR).min(MAX_REFUSAL_TIME),
            next_credit: Some(now + retry_after),
        });
        None
    }

    /// Records that a node answered that it doesn't keep the quota.
    pub fn record_no_keeper(
        &mut self,
        organisation: &OrganisationName,
        node: SocketAddr,
        now: Timestamp,
    ) {
        let account = self.find_account(organisation, now);
        account.record_refusal(KeeperRefusal {
            keeper: node,
            until: now + MAX_REFUSAL_TIME,
            next_credit: None,
        });
    }

    /// Refuses a request after none of the `asked` keepers had credit, and further ones until the first of them may be asked again.
    /// `None` if none of them has refused: no keeper was reached.
    pub fn refuse(
        &mut self,
        organisation: &OrganisationName,
        asked: &[SocketAddr],
        now: Timestamp,
    ) -> Option<CreditDecision> {
        let account = self.find_account(organisation, now);
        let refusals = account.refusals.iter();
        let refusals = refusals.filter(|refusal| asked.contains(&refusal.keeper));
        let refused = refusals.filter_map(|refusal| Some((refusal.until, refusal.next_credit?)));
        let (until, next_credit) =
            refused.reduce(|first, other| (first.0.min(other.0), first.1.min(other.1)))?;
        account.refused_until = until;
        account.next_credit = next_credit;
        let retry_after = next_credit.since(now);
        Some(CreditDecision::Refused { retry_after })
    }

    /// Returns the credit of a request that wasn't executed. The next request of the organisation may use it within the lifetime that
    /// began when a keeper granted it at `granted`.
    pub fn return_credit(
        &mut self,
        organisation: &OrganisationName,
        granted: Timestamp,
        now: Timestamp,
    ) {
        self.find_account(organisation, now)
            .add_credits(1, granted, now);
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

    /// Uses a credit. Returns when it was granted; `None` if there is none.
    fn spend(&mut self, now: Timestamp) -> Option<Timestamp> {
        if now >= self.granted + CREDIT_LIFETIME {
            self.credits = 0;
        }
        self.credits = self.credits.checked_sub(1)?;
        Some(self.granted)
    }

    fn add_credits(&mut self, credits: u32, granted: Timestamp, now: Timestamp) {
        if now >= self.granted + CREDIT_LIFETIME {
            self.credits = 0;
        }
        if credits == 0 || now >= granted + CREDIT_LIFETIME {
            return;
        }
        self.granted = if self.credits == 0 {
            granted
        } else {
            self.granted.min(granted)
        };
        self.credits += credits;
    }

    fn record_refusal(&mut self, refusal: KeeperRefusal) {
        self.refusals.retain(|known| known.keeper != refusal.keeper);
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.remove(0);
        }
        self.refusals.push(refusal);
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
