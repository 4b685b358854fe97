//! Grants credit of the organisations whose quota this node keeps.

use crate::{
    coordination::{
        quota_keeper::{CreditDemand, CreditGrant, KeeperShare},
        quota_shares::settling_time,
    },
    protocol::hop::CreditRequest,
    proxy::{
        core::ProxyCore, events::ProxyEvent, mesh_contact::record_peer_contact,
        quotas::find_keepers,
    },
    state::organisations::{Organisation, Quota},
};

/// Answers a node that asks for credit. `None` if the organisation isn't known here or has no quota, or if this node doesn't keep its
/// quota, or if the request may have been waiting while this node was stalled.
pub fn answer_credit_request(core: &ProxyCore, request: &CreditRequest) -> Option<CreditGrant> {
    record_peer_contact(core);
    if core.quotas.stalls.may_be_stale(core.timers.now()) {
        return None;
    }
    let routes = core.routes()?;
    let organisation = routes
        .organisations()?
        .find_by_name(&request.organisation)?;
    let quota = organisation.quota?;
    let demand = CreditDemand {
        wanted: request.wanted,
        is_late: request.is_late,
        lacks_keepers: request.lacks_keepers,
    };
    grant_locally(core, organisation, quota, demand)
}

/// Grants credit of an organisation; `None` if this node doesn't keep its quota.
pub(super) fn grant_locally(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: Quota,
    demand: CreditDemand,
) -> Option<CreditGrant> {
    let share = find_own_share(core, organisation, &quota)?;
    let (limits, now) = (core.limits(), core.timers.now());
    let name = &organisation.name;
    let mut keeper = core.quotas.keeper.borrow_mut();
    let kept_before = keeper.len();
    let grant = keeper.grant(name, quota, share, demand, &limits.quota, now);
    if keeper.len() > kept_before {
        core.log(&ProxyEvent::QuotaKept {
            organisation: name.clone(),
            recent: !share.starts_full,
            keepers: share.keepers,
        });
    }
    Some(grant)
}

/// The share of a quota that this node grants; `None` if it is none of the keepers as far as it knows, or may have become one so lately
/// that a former keeper may still grant the same share.
fn find_own_share(
    core: &ProxyCore,
    organisation: &Organisation,
    quota: &Quota,
) -> Option<KeeperShare> {
    let starts_full = core.settings.first_start;
    let was_member = core.quotas.was_member.get()?;
    let since = if was_member || starts_full {
        core.started
    } else {
        core.started + settling_time(&core.limits().quota)
    };
    if core.timers.now() < since {
        return None;
    }
    let keepers = find_keepers(core, organisation, quota);
    let own_address = core.settings.peer_address;
    let is_keeper = keepers.iter().any(|keeper| keeper.address == own_address);
    is_keeper.then_some(KeeperShare {
        keepers: keepers.len(),
        since,
        starts_full,
    })
}
