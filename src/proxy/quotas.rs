//! Quotas of organisations at a node: as an entry node it obtains credit for requests, as a keeper it grants credit to others.

mod entry_side;
mod keeper_side;
mod stalls;

pub use entry_side::{obtain_credit, return_credit};
pub use keeper_side::answer_credit_request;
pub use stalls::watch_for_stalls;

use crate::{
    coordination::{
        quota_credits::QuotaCredits,
        quota_keeper::QuotaKeeper,
        quota_shares::{Keeper, KeeperMembers, most_keepers},
    },
    proxy::{core::ProxyCore, quotas::stalls::StallWatch},
    state::{
        organisations::{Organisation, Quota},
        timestamp::Timestamp,
    },
};
use std::cell::{Cell, RefCell};

/// Quota state of a node.
#[derive(Default)]
pub struct Quotas {
    keeper: RefCell<QuotaKeeper>,
    credits: RefCell<QuotaCredits>,
    members: RefCell<KeeperMembers>,
    stalls: StallWatch,
    /// Whether the store held a record of this node at the first read; `None` before it. The record may be the one that this process has
    /// written: a restarted node can't tell it from that of the earlier process.
    was_member: Cell<Option<bool>>,
    /// Until when no further line tells that no keeper was reached.
    unreachable_logged_until: Cell<Timestamp>,
}

impl Quotas {
    /// Number of organisations whose quota this node keeps or has kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.keeper.borrow().len()
    }

    /// Records at the first read of the nodes' records whether the store held one of this node.
    pub fn record_first_read(&self, was_member: bool) {
        if self.was_member.get().is_none() {
            self.was_member.set(Some(was_member));
        }
    }
}

/// The keepers of an organisation's quota, by rank.
fn find_keepers(core: &ProxyCore, organisation: &Organisation, quota: &Quota) -> Vec<Keeper> {
    update_members(core);
    let most = most_keepers(quota, &core.limits().quota);
    let members = core.quotas.members.borrow();
    members.find_keepers(&organisation.name, most)
}

/// Takes over changes of the known nodes. A node whose upstream is leaving ends soon.
fn update_members(core: &ProxyCore) {
    let now = core.timers.now();
    let directory = core.directory.borrow();
    let mut members = core.quotas.members.borrow_mut();
    if !members.needs_update(directory.generation(), now) {
        return;
    }
    let own_address = core.settings.peer_address;
    let staying = directory.nodes.values().map(|node| &node.record);
    let staying = staying.filter(|record| !record.leaving);
    let staying = staying.map(|record| (record.address, &record.availability_zone));
    let own = (!directory.nodes.contains_key(&own_address))
        .then_some((own_address, &core.settings.availability_zone));
    let settings = core.limits().quota;
    members.update(directory.generation(), staying.chain(own), &settings, now);
}
