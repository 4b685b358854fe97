//! What keeps keyed calls of this node's service from being run, for operators and readiness checks.

use crate::{
    node::{core::NodeCore, keyed_calls::read_clocks},
    protocol::load_report::UpstreamCondition,
    state::membership::MemberState,
};

/// Why keyed calls of this node's service may end as unknown at present; none if they are well.
#[must_use]
pub fn find_ownership_problem(core: &NodeCore) -> Option<String> {
    if !has_keyed_class(core) {
        return None;
    }
    let directory = core.keyed.directory.borrow();
    let own = directory.own();
    let owners = own.view().owners().len();
    let serving = count_serving(core);
    if owners < serving {
        return Some(format!(
            "keyed calls: {owners} of {serving} serving nodes own keys so far"
        ));
    }
    let unsettled = own.unsettled_slots(read_clocks(core));
    if unsettled > 0 {
        return Some(format!(
            "keyed calls: {unsettled} slots wait for the end of a takeover"
        ));
    }
    None
}

fn has_keyed_class(core: &NodeCore) -> bool {
    let configuration = core.configuration();
    let service = configuration.content.find_service(&core.me.service);
    service.is_some_and(|service| service.classes.iter().any(|class| class.key.is_used()))
}

fn count_serving(core: &NodeCore) -> usize {
    let membership = core.membership.borrow();
    let members = membership.members(core.timers.now());
    let others = members.filter(|(member, state)| {
        *state == MemberState::Serving && member.service == core.me.service
    });
    let own = matches!(
        core.load_report().condition,
        UpstreamCondition::Serving | UpstreamCondition::Warming
    );
    others.count() + usize::from(own)
}
