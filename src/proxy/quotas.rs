//! Quotas of organisations at a node: as an entry node it obtains credit for requests, as a keeper it grants credit to others.

use crate::{
    coordination::{
        quota_credits::{CreditDecision, MeshPosition, QuotaCredits},
        quota_keeper::{
            CreditDemand, CreditGrant, KeeperTenure, QuotaKeeper, find_keepers, rank_node_for,
        },
    },
    protocol::hop::{CreditRequest, StateMessage},
    proxy::{
        core::ProxyCore,
        events::ProxyEvent,
        mesh_contact::{is_silent, record_peer_contact},
        state_messages::{ask_state, exchange_state},
    },
    state::{
        known_node::KnownNode,
        names::OrganisationName,
        organisations::{Organisation, Quota},
        timestamp::Timestamp,
    },
    transport::outgoing::SendError,
};
use futures::future::join_all;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Longest time that a request waits for the answers of keepers. It is much longer than a round trip between zones, and short enough
/// that a request is still in time after one keeper didn't answer.
const ASKING_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of times that a keeper tells another candidate, and how long it waits for the answer each time.
const ANNOUNCEMENTS: usize = 2;
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a node asks no keeper after it could reach none.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(300);

/// Quota state of a node.
#[derive(Default)]
pub struct Quotas {
    keeper: RefCell<QuotaKeeper>,
    credits: RefCell<QuotaCredits>,
    /// Until when no keeper is asked.
    cut_off_until: Cell<Timestamp>,
}

impl Quotas {
    /// Number of organisations whose quota this node keeps or has kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.keeper.borrow().len()
    }
}

/// Credit for one request, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditOutcome {
    /// Without credit, the time after which there is some.
    pub refused: Option<Duration>,
    /// The node that was asked last; none if none was.
    pub keeper: Option<SocketAddr>,
}

/// Obtains credit for a request of an organisation. `is_late` is [`CreditDemand::is_late`].
pub async fn obtain_credit(
    core: &ProxyCore,
    organisation: &Organisation,
    is_late: bool,
) -> CreditOutcome {
    let Some(quota) = organisation.quota else {
        return CreditOutcome {
            refused: None,
            keeper: None,
        };
    };
    let now = core.timers.now();
    let decision = core
        .quotas
        .credits
        .borrow_mut()
        .decide(&organisation.name, now);
    let (decision, keeper) = match decision {
        CreditDecision::Ask { wanted } => {
            let demand = CreditDemand { wanted, is_late };
            ask_keepers(core, organisation, quota, demand).await
        }
        decided => (decided, None),
    };
    let refused = match decision {
        CreditDecision::Refused { retry_after } => Some(retry_after),
        CreditDecision::Spent | CreditDecision::Ask { .. } => None,
    };
    CreditOutcome { refused, keeper }
}

/// Returns the credit of a request that wasn't executed and never will be.
pub fn return_credit(core: &ProxyCore, organisation: &Organisation) {
    if organisation.quota.is_some() {
        let now = core.timers.now();
        let mut credits = core.quotas.credits.borrow_mut();
        credits.return_credit(&organisation.name, now);
    }
}

/// Asks the keepers by rank until one answers. Returns the decision and the node that made it.
async fn ask_keepers(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    demand: CreditDemand,
) -> (CreditDecision, Option<SocketAddr>) {
    if core.timers.now() >= core.quotas.cut_off_until.get() {
        let timeout = core.timers.after(ASKING_TIMEOUT);
        let granted = tokio::select! {
            granted = find_grant(core, organisation, quota, demand) => granted,
            _ = timeout.recv_async() => None,
        };
        let now = core.timers.now();
        if let Some((grant, keeper)) = granted {
            let mut credits = core.quotas.credits.borrow_mut();
            let decision = credits.apply_grant(&organisation.name, grant, now);
            return (decision, Some(keeper));
        }
        core.quotas.cut_off_until.set(now + CUT_OFF_PAUSE);
        core.log(&ProxyEvent::KeepersUnreachable {
            organisation: organisation.name.clone(),
        });
    }
    (decide_cut_off(core, organisation, quota), None)
}

async fn find_grant(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    demand: CreditDemand,
) -> Option<(CreditGrant, SocketAddr)> {
    for keeper in list_keepers(core, &organisation.name) {
        if keeper == core.settings.peer_address {
            let grant = grant_confirmed(core, organisation, quota, demand).await?;
            return Some((grant, keeper));
        }
        let request = CreditRequest {
            organisation: organisation.name.clone(),
            wanted: demand.wanted,
            is_late: demand.is_late,
            is_forwarded: false,
        };
        if let Some(grant) = ask_keeper(core, keeper, request).await {
            return Some((grant, keeper));
        }
    }
    None
}

/// Asks one node for credit; `None` without an answer, or if it can't be reached.
async fn ask_keeper(
    core: &ProxyCore,
    keeper: SocketAddr,
    request: CreditRequest,
) -> Option<CreditGrant> {
    if !is_reachable(core, keeper) {
        return None;
    }
    let mut attempt = AskedKeeper {
        core,
        keeper,
        organisation: request.organisation.clone(),
        result: AskResult::Unanswered,
    };
    let message = StateMessage {
        credit_request: Some(request),
        ..StateMessage::default()
    };
    let answer = ask_state(core, keeper, &message).await;
    attempt.result = match &answer {
        Ok(_) => AskResult::Answered,
        Err(SendError::NotSent) => AskResult::Unreachable,
        Err(_) => AskResult::Unanswered,
    };
    answer.ok()?.credit_grant
}

/// What came of a message to a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskResult {
    Answered,
    /// No connection could be opened: the node has ended or is cut off.
    Unreachable,
    /// The node has not answered in time. It may be busy, and grant credit to others.
    Unanswered,
}

/// A keeper that was asked. If it hasn't answered when this is dropped, it gets no requests for a while.
struct AskedKeeper<'a> {
    core: &'a ProxyCore,
    keeper: SocketAddr,
    organisation: OrganisationName,
    result: AskResult,
}

impl Drop for AskedKeeper<'_> {
    fn drop(&mut self) {
        if self.result != AskResult::Unreachable {
            record_other_keeper(self.core, &self.organisation);
        }
        let now = self.core.timers.now();
        let mut directory = self.core.directory.borrow_mut();
        let Some(node) = directory.nodes.get_mut(&self.keeper) else {
            return;
        };
        if self.result == AskResult::Answered {
            node.reset_backoff();
            self.core.contact.record_peer(now);
        } else {
            node.record_unreachable(now);
        }
    }
}

fn is_reachable(core: &ProxyCore, address: SocketAddr) -> bool {
    let directory = core.directory.borrow();
    let node = directory.nodes.get(&address);
    node.is_some_and(|node| node.backoff_until <= core.timers.now())
}

/// Records that a node which precedes this one as keeper may have granted credit.
fn record_other_keeper(core: &ProxyCore, organisation: &OrganisationName) {
    let now = core.timers.now();
    let mut keeper = core.quotas.keeper.borrow_mut();
    keeper.record_other_keeper(organisation, now);
}

/// The nodes that may keep the quota of an organisation, by rank. Nodes whose upstream is leaving end soon.
fn list_keepers(core: &ProxyCore, organisation: &OrganisationName) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let is_staying = |node: &&KnownNode| !node.record.leaving;
    let staying = directory.nodes.values().filter(is_staying);
    let staying = staying.map(|node| node.record.address);
    let own_address = core.settings.peer_address;
    let own = (!directory.nodes.contains_key(&own_address)).then_some(own_address);
    find_keepers(organisation, staying.chain(own))
}

/// Decides without a keeper: this node is cut off, or all keepers have been lost at once.
fn decide_cut_off(core: &ProxyCore, organisation: &Organisation, quota: Quota) -> CreditDecision {
    let (limits, now) = (core.limits(), core.timers.now());
    let mesh = MeshPosition {
        nodes: core.directory.borrow().nodes.len(),
        node_rank: rank_node_for(&organisation.name, core.settings.peer_address),
    };
    let is_permitted = core.quotas.credits.borrow_mut().spend_unconfirmed(
        &organisation.name,
        &quota,
        mesh,
        &limits.quota,
        now,
    );
    if is_permitted {
        return CreditDecision::Spent;
    }
    CreditDecision::Refused {
        retry_after: CUT_OFF_PAUSE,
    }
}

/// Answers a node that asks for credit. `None` if the organisation isn't known here or has no quota, or if a node that precedes this
/// one as keeper doesn't answer in time.
pub async fn answer_credit_request(
    core: &ProxyCore,
    request: CreditRequest,
) -> Option<CreditGrant> {
    record_peer_contact(core);
    let organisation = find_organisation(core, &request.organisation)?;
    let quota = organisation.quota?;
    if !request.is_forwarded
        && let Some(grant) = forward_to_preceding(core, &request).await
    {
        return Some(grant);
    }
    let demand = CreditDemand {
        wanted: request.wanted,
        is_late: request.is_late,
    };
    grant_confirmed(core, &organisation, quota, demand).await
}

/// Forwards a request to the nodes that precede this one as keepers, for a sender that doesn't know or can't reach them. Two nodes
/// that grant credit of the same organisation would exceed its quota.
async fn forward_to_preceding(core: &ProxyCore, request: &CreditRequest) -> Option<CreditGrant> {
    let own_address = core.settings.peer_address;
    let keepers = list_keepers(core, &request.organisation);
    for keeper in keepers
        .into_iter()
        .take_while(|keeper| *keeper != own_address)
    {
        let forwarded = CreditRequest {
            is_forwarded: true,
            ..request.clone()
        };
        if let Some(grant) = ask_keeper(core, keeper, forwarded).await {
            return Some(grant);
        }
    }
    None
}

fn find_organisation(core: &ProxyCore, name: &OrganisationName) -> Option<Rc<Organisation>> {
    let routes = core.routes()?;
    routes.organisations()?.find_by_name(name).cloned()
}

/// Grants credit as the keeper; `None` if this node is cut off.
async fn grant_confirmed(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    demand: CreditDemand,
) -> Option<CreditGrant> {
    let rank = find_own_rank(core, &organisation.name);
    let needs_confirmation =
        is_silent(core) || rank == Some(0) && is_unconfirmed(core, organisation);
    if needs_confirmation && !confirm_keeper(core, organisation, quota, rank).await {
        return None;
    }
    Some(grant_locally(core, organisation, quota, demand, rank))
}

/// Whether another node may have kept the quota of an organisation since this node was started or cut off.
fn is_unconfirmed(core: &ProxyCore, organisation: &Organisation) -> bool {
    let restarted = (!core.settings.first_start).then_some(core.started);
    let Some(gap) = restarted.max(core.contact.since()) else {
        return false;
    };
    let (limits, now) = (core.limits(), core.timers.now());
    let keeper = core.quotas.keeper.borrow();
    keeper.needs_confirmation(&organisation.name, gap, &limits.quota, now)
}

fn grant_locally(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    demand: CreditDemand,
    rank: Option<usize>,
) -> CreditGrant {
    let (limits, now) = (core.limits(), core.timers.now());
    let tenure = find_tenure(core, rank, now);
    let mut keeper = core.quotas.keeper.borrow_mut();
    let kept_before = keeper.len();
    let name = &organisation.name;
    let grant = keeper.grant(name, quota, demand, tenure, &limits.quota, now);
    if keeper.len() > kept_before {
        log_kept(core, name, tenure);
    }
    grant
}

fn log_kept(core: &ProxyCore, organisation: &OrganisationName, tenure: KeeperTenure) {
    core.log(&ProxyEvent::QuotaKept {
        organisation: organisation.clone(),
        recent: tenure == KeeperTenure::Recent,
    });
}

/// Tells the other candidates that this node keeps the quota of an organisation; false if this node is cut off. The node may have
/// been restarted or cut off, and one of them may have kept the quota meanwhile. A candidate that doesn't answer has ended, or is
/// cut off and grants no credit.
async fn confirm_keeper(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    rank: Option<usize>,
) -> bool {
    let own_address = core.settings.peer_address;
    let mut others = list_keepers(core, &organisation.name);
    others.retain(|keeper| *keeper != own_address);
    let message = StateMessage {
        quota_taken: (rank == Some(0)).then(|| organisation.name.clone()),
        sender: Some(own_address),
        ..StateMessage::default()
    };
    let told = others
        .iter()
        .map(|keeper| announce_keeper(core, *keeper, &message));
    let answers = join_all(told).await;
    if is_silent(core) {
        return false;
    }
    let (limits, now) = (core.limits(), core.timers.now());
    let tenure = if answers.contains(&Some(true)) {
        KeeperTenure::Recent
    } else {
        find_tenure(core, rank, now)
    };
    if rank == Some(0) {
        let mut keeper = core.quotas.keeper.borrow_mut();
        keeper.confirm(&organisation.name, quota, tenure, &limits.quota, now);
        log_kept(core, &organisation.name, tenure);
    }
    true
}

/// Sends the message of a keeper, twice if it isn't answered soon. Returns whether the other node has granted credit within the last
/// window; `None` without an answer.
async fn announce_keeper(core: &ProxyCore, to: SocketAddr, message: &StateMessage) -> Option<bool> {
    for _ in 0..ANNOUNCEMENTS {
        let timeout = core.timers.after(ANNOUNCEMENT_TIMEOUT);
        let answer = tokio::select! {
            answer = exchange_state(core, to, message) => answer,
            _ = timeout.recv_async() => None,
        };
        if let Some((answer, _)) = answer {
            record_peer_contact(core);
            return answer.quota_was_kept;
        }
    }
    None
}

/// Leaves the quota of an organisation to a node that precedes this one as keeper, and answers whether this node has granted credit
/// of it within the last window.
pub fn hand_over_quota(
    core: &ProxyCore,
    organisation: &OrganisationName,
    to: Option<SocketAddr>,
) -> bool {
    record_peer_contact(core);
    let now = core.timers.now();
    let mut directory = core.directory.borrow_mut();
    if let Some(node) = to.and_then(|to| directory.nodes.get_mut(&to)) {
        node.reset_backoff();
    }
    drop(directory);
    let mut keeper = core.quotas.keeper.borrow_mut();
    let was_kept = keeper.has_granted(organisation, core.limits().quota.window, now);
    keeper.record_other_keeper(organisation, now);
    was_kept
}

/// Rank of this node among the keepers of an organisation's quota; `None` if it is none of them.
fn find_own_rank(core: &ProxyCore, organisation: &OrganisationName) -> Option<usize> {
    let own_address = core.settings.peer_address;
    let keepers = list_keepers(core, organisation);
    keepers.iter().position(|keeper| *keeper == own_address)
}

/// Whether another node may have granted credit of the organisation within the last window. None has if this node ranks first and
/// has run for so long, or if the whole mesh has just started for the first time.
fn find_tenure(core: &ProxyCore, rank: Option<usize>, now: Timestamp) -> KeeperTenure {
    let has_run_long = now.since(core.started) > core.limits().quota.window;
    if rank == Some(0) && (has_run_long || core.settings.first_start) {
        KeeperTenure::Established
    } else {
        KeeperTenure::Recent
    }
}
