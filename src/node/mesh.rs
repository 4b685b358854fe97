//! How a node comes to know the others and the configuration.

use crate::{
    coordination::routing::{Router, RouterSettings, UpstreamFacts},
    events::{event::Event, reasons::ConfigurationSource},
    node::core::{ConfigurationInForce, NodeCore},
    protocol::load_report::UpstreamCondition,
    state::{configuration::Service, member::Member, names::NodeName},
    transport::peers::PeerConnections,
};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Duration,
};

/// How often seeds that are not known yet are asked who they are.
const INTRODUCTION_PERIOD: Duration = Duration::from_millis(200);

/// Gets to know other nodes until dropped.
pub async fn run_mesh(core: Rc<NodeCore>) {
    take_member(&core, &core.me.clone());
    let ticks = core.timers.every(INTRODUCTION_PERIOD);
    while ticks.recv_async().await.is_ok() {
        let connected = core
            .peers
            .get()
            .map(PeerConnections::connected)
            .unwrap_or_default();
        for member in connected {
            take_member(&core, &member);
        }
        for seed in core.settings.peers.seeds.clone() {
            let known = core
                .members
                .borrow()
                .values()
                .any(|member| member.peer_address == seed);
            let Some(peers) = core.peers.get().filter(|_| !known) else {
                continue;
            };
            if let Ok(member) = peers.introduce(seed).await {
                take_member(&core, &member);
            }
        }
    }
}

/// Adds a member, or takes newer facts of it.
pub fn take_member(core: &NodeCore, member: &Member) {
    core.members
        .borrow_mut()
        .insert(member.name.clone(), member.clone());
    let mut routers = core.routers.borrow_mut();
    if let Some(router) = routers.get_mut(&member.service) {
        router.upsert_upstream(describe_upstream(member), core.timers.now());
    }
}

fn describe_upstream(member: &Member) -> UpstreamFacts {
    UpstreamFacts {
        node: member.name.clone(),
        availability_zone: member.availability_zone.clone(),
        region: member.region.clone(),
        slots: member.slots,
        condition: UpstreamCondition::Serving,
        incarnation: member.incarnation,
    }
}

/// Puts a configuration in force at this node. Calls in progress keep the class they began with.
pub fn apply_configuration(
    core: &NodeCore,
    configuration: ConfigurationInForce,
    source: ConfigurationSource,
) {
    let version = configuration.version;
    let present = core.configuration().version;
    if version <= present {
        if version < present {
            let event = Event::ConfigurationIgnored {
                offered: version,
                version: present,
            };
            core.recorder.record(event, None);
        }
        return;
    }
    if let Some(service) = configuration.content.find_service(&core.me.service) {
        core.execution.borrow_mut().set_classes(&service.classes);
    }
    for service in &configuration.content.services {
        update_router(core, service);
    }
    *core.configuration.borrow_mut() = Rc::new(configuration);
    core.recorder
        .record(Event::ConfigurationInForce { version, source }, None);
}

fn update_router(core: &NodeCore, service: &Service) {
    let settings = RouterSettings {
        policy: service.policy,
        availability_zone: core.me.availability_zone.clone(),
        region: core.me.region.clone(),
        measuring: service.measuring,
        target: service.strictest_target(),
    };
    let mut routers = core.routers.borrow_mut();
    if let Some(router) = routers.get_mut(&service.name) {
        router.update_settings(settings);
        return;
    }
    let mut router = Router::new(settings, seed_of(&core.me.name, core.me.incarnation.0));
    for member in core.members.borrow().values() {
        if member.service == service.name {
            router.upsert_upstream(describe_upstream(member), core.timers.now());
        }
    }
    routers.insert(service.name.clone(), router);
}

/// Nodes that start together must not choose alike, so the seed depends on the node.
fn seed_of(name: &NodeName, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    incarnation.hash(&mut hasher);
    hasher.finish()
}
