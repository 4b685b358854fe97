//! Obtains credit for the requests of organisations that enter the mesh at this node.

use crate::{
    coordination::{
        quota_credits::{CreditDecision, MeshPosition},
        quota_keeper::{CreditDemand, CreditGrant},
        quota_shares::rank_node_for,
    },
    protocol::hop::{CreditRequest, StateMessage},
    proxy::{
        core::{ProxyCore, increment},
        events::ProxyEvent,
        quotas::{find_keepers, keeper_side::grant_locally},
        state_messages::ask_state,
    },
    state::{
        names::OrganisationName,
        organisations::{Organisation, Quota},
        timestamp::Timestamp,
    },
};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};

/// Longest time that a request waits for the answer of one keeper. It is much longer than a round trip between zones, and short enough
/// that a request is still in time after several keepers didn't answer.
const ASKING_TIMEOUT: Duration = Duration::from_millis(50);
/// `Retry-After` of a refusal if no keeper could be reached, and the minimum interval between two log lines about it.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

/// Credit for one request, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditOutcome {
    /// Without credit, the time after which there is some.
    pub refused: Option<Duration>,
    /// The node that answered last; none if none did.
    pub keeper: Option<SocketAddr>,
    /// When a keeper granted the credit; none if the request was sent without asking one, or needs no credit.
    pub granted: Option<Timestamp>,
}

/// Obtains credit for a request of an organisation. `is_late` is [`CreditDemand::is_late`].
pub async fn obtain_credit(
    core: &ProxyCore,
    organisation: &Organisation,
    is_late: bool,
) -> CreditOutcome {
    let mut outcome = CreditOutcome {
        refused: None,
        keeper: None,
        granted: None,
    };
    let Some(quota) = organisation.quota else {
        return outcome;
    };
    let now = core.timers.now();
    let name = &organisation.name;
    let mut decision = core.quotas.credits.borrow_mut().decide(name, now);
    if let CreditDecision::Ask { wanted } = decision {
        let demand = CreditDemand {
            wanted,
            is_late,
            lacks_keepers: false,
        };
        let asked = ask_keepers(core, organisation, quota, demand).await;
        outcome.keeper = asked.1;
        let Some(asked) = asked.0 else {
            outcome.refused = decide_cut_off(core, organisation, quota);
            return outcome;
        };
        decision = asked;
    }
    match decision {
        CreditDecision::Refused { retry_after } => outcome.refused = Some(retry_after),
        CreditDecision::Spent { granted } => outcome.granted = Some(granted),
        CreditDecision::Ask { .. } => {}
    }
    outcome
}

/// Returns the credit of a request that wasn't executed and never will be.
pub fn return_credit(core: &ProxyCore, organisation: &Organisation, granted: Timestamp) {
    let now = core.timers.now();
    let mut credits = core.quotas.credits.borrow_mut();
    credits.return_credit(&organisation.name, granted, now);
}

/// Asks the keepers until one grants credit. Returns the decision, none if no keeper was reached, and the node that answered last.
async fn ask_keepers(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    mut demand: CreditDemand,
) -> (Option<CreditDecision>, Option<SocketAddr>) {
    let name = &organisation.name;
    let keepers = list_keepers(core, organisation, &quota);
    demand.lacks_keepers = keepers.iter().any(|keeper| is_suspect(core, *keeper));
    let mut last = None;
    let mut waiting: VecDeque<SocketAddr> = keepers.iter().copied().collect();
    waiting.retain(|keeper| may_ask(core, name, *keeper));
    // Keepers that refused before another one was found to be unreachable may still grant from their reserve.
    let mut refused_early = Vec::new();
    while let Some(keeper) = waiting.pop_front() {
        let asked = core.timers.now();
        let answer = if keeper == core.settings.peer_address {
            KeeperAnswer::of(grant_locally(core, organisation, quota, demand))
        } else {
            ask_keeper(core, keeper, name, demand).await
        };
        let now = core.timers.now();
        let mut credits = core.quotas.credits.borrow_mut();
        match answer {
            KeeperAnswer::Unreachable => {
                demand.lacks_keepers = true;
                waiting.extend(refused_early.drain(..));
            }
            KeeperAnswer::NoKeeper => credits.record_no_keeper(name, keeper, now),
            KeeperAnswer::Grant(grant) => {
                last = Some(keeper);
                let decision = credits.apply_grant(name, keeper, grant, asked, now);
                if decision.is_some() {
                    return (decision, last);
                }
                if !demand.lacks_keepers {
                    refused_early.push(keeper);
                }
            }
        }
    }
    let now = core.timers.now();
    let mut credits = core.quotas.credits.borrow_mut();
    (credits.refuse(name, &keepers, now), last)
}

fn may_ask(core: &ProxyCore, organisation: &OrganisationName, keeper: SocketAddr) -> bool {
    let credits = core.quotas.credits.borrow();
    credits.may_ask(organisation, keeper, core.timers.now())
}

/// The keepers in the order in which this node asks them.
fn list_keepers(core: &ProxyCore, organisation: &Organisation, quota: &Quota) -> Vec<SocketAddr> {
    let mut keepers = find_keepers(core, organisation, quota);
    let (own_address, zone) = (core.settings.peer_address, &core.settings.availability_zone);
    let members = core.quotas.members.borrow();
    members.order_for_entry(&mut keepers, own_address, zone);
    keepers.iter().map(|keeper| keeper.address).collect()
}

/// Answer of a node that was asked for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeeperAnswer {
    Grant(CreditGrant),
    /// The node doesn't keep the quota.
    NoKeeper,
    /// No answer in time.
    Unreachable,
}

impl KeeperAnswer {
    fn of(grant: Option<CreditGrant>) -> Self {
        grant.map_or(Self::NoKeeper, Self::Grant)
    }
}

/// Asks one node for credit. A node that doesn't answer in time gets no requests for a while.
async fn ask_keeper(
    core: &ProxyCore,
    keeper: SocketAddr,
    organisation: &OrganisationName,
    demand: CreditDemand,
) -> KeeperAnswer {
    if !is_reachable(core, keeper) {
        return KeeperAnswer::Unreachable;
    }
    hold_suspect(core, keeper);
    increment(&core.counters.credit_requests);
    let message = StateMessage {
        credit_request: Some(CreditRequest {
            organisation: organisation.clone(),
            wanted: demand.wanted,
            is_late: demand.is_late,
            lacks_keepers: demand.lacks_keepers,
        }),
        ..StateMessage::default()
    };
    let timeout = core.timers.after(ASKING_TIMEOUT);
    let answer = tokio::select! {
        answer = ask_state(core, keeper, &message) => answer.ok(),
        _ = timeout.recv_async() => None,
    };
    let now = core.timers.now();
    let mut directory = core.directory.borrow_mut();
    let node = directory.nodes.get_mut(&keeper);
    let Some(answer) = answer else {
        increment(&core.counters.credit_timeouts);
        if let Some(node) = node {
            node.record_unreachable(now);
        }
        return KeeperAnswer::Unreachable;
    };
    if let Some(node) = node {
        node.reset_backoff();
    }
    core.contact.record_peer(now);
    KeeperAnswer::of(answer.credit_grant)
}

/// While one request asks a node that could not be reached before, further requests don't wait for it.
fn hold_suspect(core: &ProxyCore, keeper: SocketAddr) {
    let now = core.timers.now();
    let mut directory = core.directory.borrow_mut();
    if let Some(node) = directory.nodes.get_mut(&keeper)
        && node.consecutive_failures > 0
    {
        node.backoff_until = now + ASKING_TIMEOUT;
    }
}

/// Whether a node could not be reached the last time.
fn is_suspect(core: &ProxyCore, address: SocketAddr) -> bool {
    let directory = core.directory.borrow();
    let node = directory.nodes.get(&address);
    let is_own = address == core.settings.peer_address;
    !is_own && node.is_none_or(|node| node.consecutive_failures > 0)
}

fn is_reachable(core: &ProxyCore, address: SocketAddr) -> bool {
    let directory = core.directory.borrow();
    let is_own = address == core.settings.peer_address;
    let node = directory.nodes.get(&address);
    is_own || node.is_some_and(|node| node.backoff_until <= core.timers.now())
}

/// Decides without a keeper: this node is cut off, or all keepers have been lost at once. Returns the time after which the client is to
/// return if the request is refused.
fn decide_cut_off(core: &ProxyCore, organisation: &Organisation, quota: Quota) -> Option<Duration> {
    let (limits, now) = (core.limits(), core.timers.now());
    if now >= core.quotas.unreachable_logged_until.get() {
        let until = now + UNREACHABLE_PAUSE;
        core.quotas.unreachable_logged_until.set(until);
        core.log(&ProxyEvent::KeepersUnreachable {
            organisation: organisation.name.clone(),
        });
    }
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
    (!is_permitted).then_some(UNREACHABLE_PAUSE)
}
