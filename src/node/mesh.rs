//! How a node comes to know the others: runs the membership and does what it asks for.

use crate::{
    coordination::{
        membership::{TICK_PERIOD, actions::MembershipAction},
        routing::UpstreamFacts,
    },
    events::event::Event,
    node::{
        core::NodeCore,
        log_following::{note_peer_log, share_state, take_shared_state},
    },
    protocol::{gossip::Gossip, load_report::UpstreamCondition},
    state::{
        log_record::{Leave, LogRecordKind},
        member::Member,
        membership::{MemberState, MembershipRecord},
    },
    transport::platform::{ReaderCommand, ReaderRole},
};
use std::{net::SocketAddr, rc::Rc};
use tokio::task::spawn_local;

/// Gets to know other nodes, and stays in touch with them, until dropped.
pub async fn run_mesh(core: Rc<NodeCore>) {
    take_member(&core, &core.me.clone(), MemberState::Serving);
    let ticks = core.timers.every(TICK_PERIOD);
    let mut role = ReaderRole::Reading;
    while ticks.recv_async().await.is_ok() {
        let now = core.timers.now();
        let serving = core.takes_work();
        let actions = {
            let mut membership = core.membership.borrow_mut();
            let mut actions = membership.set_serving(serving, now);
            actions.extend(membership.on_tick(now));
            actions
        };
        perform(&core, actions);
        role = change_role(&core, role);
    }
}

/// Few nodes of an availability zone read the log; the rest learn from them.
fn change_role(core: &NodeCore, role: ReaderRole) -> ReaderRole {
    let wanted = if core.membership.borrow().is_log_reader() {
        ReaderRole::Reading
    } else {
        ReaderRole::Standby
    };
    if wanted != role {
        core.log.command(ReaderCommand::SetRole(wanted));
        let event = match wanted {
            ReaderRole::Reading => Event::ReaderStarted {},
            ReaderRole::Standby => Event::ReaderEnded {},
        };
        core.recorder.record(event, None);
    }
    wanted
}

/// Does what the membership asks for.
pub fn perform(core: &Rc<NodeCore>, actions: Vec<MembershipAction>) {
    for action in actions {
        match action {
            MembershipAction::SendGossip { to, gossip } => {
                spawn_local(send_gossip(Rc::clone(core), to, gossip));
            }
            MembershipAction::Broadcast(gossip) => broadcast(core, &gossip),
            MembershipAction::ContactSeed(address) => {
                spawn_local(contact_seed(Rc::clone(core), address));
            }
            MembershipAction::MemberUp(member, state) => {
                record_joined(core, &member);
                take_member(core, &member, state);
            }
            MembershipAction::MemberChanged(member, state) => {
                record_changed(core, &member, state);
                take_member(core, &member, state);
            }
            MembershipAction::MemberGone(member) => drop_member(core, &member),
            MembershipAction::Append(record) => core.log.append(describe_record(record)),
            // The other process has the later incarnation: this one must not go on as the member.
            MembershipAction::Superseded(_) => core.request_stop(),
        }
    }
}

fn describe_record(record: MembershipRecord) -> LogRecordKind {
    match record {
        MembershipRecord::Join(member) => LogRecordKind::Join(member),
        MembershipRecord::Leave { name, incarnation } => LogRecordKind::Leave(Leave {
            node: name,
            incarnation,
        }),
    }
}

async fn send_gossip(core: Rc<NodeCore>, to: Member, gossip: Box<Gossip>) {
    let Some(peers) = core.peers.get() else {
        return;
    };
    let sent = core.timers.now();
    let answered = peers.gossip(&to, &gossip).await;
    let now = core.timers.now();
    let actions = if let Ok(reply) = answered {
        take_shared_state(&core, &reply.state);
        note_peer_log(&core, &reply.log, sent);
        core.membership.borrow_mut().on_reply(&to, &reply, now)
    } else {
        let mut membership = core.membership.borrow_mut();
        membership.on_peer_failure(&to.name, to.incarnation, now)
    };
    perform(&core, actions);
}

fn broadcast(core: &Rc<NodeCore>, gossip: &Gossip) {
    let Some(peers) = core.peers.get() else {
        return;
    };
    for member in peers.connected() {
        let gossip = Box::new(gossip.clone());
        spawn_local(send_gossip(Rc::clone(core), member, gossip));
    }
}

async fn contact_seed(core: Rc<NodeCore>, address: SocketAddr) {
    let Some(peers) = core.peers.get() else {
        return;
    };
    if let Ok(member) = peers.introduce(address).await {
        let now = core.timers.now();
        let actions = core.membership.borrow_mut().on_introduced(&member, now);
        perform(&core, actions);
    }
}

/// Answers a message from another node.
pub fn answer_gossip(core: &Rc<NodeCore>, from: &Member, gossip: &Gossip) -> Gossip {
    take_shared_state(core, &gossip.state);
    let now = core.timers.now();
    let (mut reply, actions) = core.membership.borrow_mut().on_gossip(from, gossip, now);
    if let Some(after) = gossip.wants_state_after {
        reply.state = share_state(core, after);
    }
    perform(core, actions);
    reply
}

fn record_joined(core: &NodeCore, member: &Member) {
    let event = Event::MemberJoined {
        member: member.name.clone(),
        incarnation: member.incarnation,
        service: member.service.clone(),
        availability_zone: member.availability_zone.clone(),
    };
    core.recorder.record(event, None);
}

fn record_changed(core: &NodeCore, member: &Member, state: MemberState) {
    let name = member.name.clone();
    let incarnation = member.incarnation;
    let event = match state {
        MemberState::Suspected => Event::MemberSuspected {
            member: name,
            incarnation,
        },
        MemberState::Dead => Event::MemberLost {
            member: name,
            incarnation,
        },
        MemberState::Draining => Event::MemberLeft {
            member: name,
            incarnation,
        },
        MemberState::Joining | MemberState::Serving => Event::MemberRecovered {
            member: name,
            incarnation,
        },
    };
    core.recorder.record(event, None);
}

/// Adds a member to those that calls may go to, or takes newer facts of it.
pub fn take_member(core: &NodeCore, member: &Member, state: MemberState) {
    let facts = describe_upstream(member, state);
    core.members
        .borrow_mut()
        .insert(member.name.clone(), member.clone());
    let mut routers = core.routers.borrow_mut();
    if let Some(router) = routers.get_mut(&member.service) {
        router.upsert_upstream(facts, core.timers.now());
    }
}

fn drop_member(core: &NodeCore, member: &Member) {
    core.members.borrow_mut().remove(&member.name);
    let mut routers = core.routers.borrow_mut();
    if let Some(router) = routers.get_mut(&member.service) {
        router.remove_upstream(&member.name);
    }
    if let Some(peers) = core.peers.get() {
        peers.close(&member.name);
    }
}

/// What routers are told of a member.
#[must_use]
pub fn describe_upstream(member: &Member, state: MemberState) -> UpstreamFacts {
    let condition = match state {
        MemberState::Serving => UpstreamCondition::Serving,
        // One node's trouble to reach it is no proof: it keeps the small share of a cold start.
        MemberState::Suspected => UpstreamCondition::Warming,
        MemberState::Draining => UpstreamCondition::Draining,
        MemberState::Joining | MemberState::Dead => UpstreamCondition::Down,
    };
    UpstreamFacts {
        node: member.name.clone(),
        availability_zone: member.availability_zone.clone(),
        region: member.region.clone(),
        slots: member.slots,
        condition,
        incarnation: member.incarnation,
    }
}
