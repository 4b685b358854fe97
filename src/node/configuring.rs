//! Puts a configuration in force at this node.

use crate::{
    coordination::{
        ownership::OwnershipSettings,
        retries::RetryBudget,
        routing::{Router, RouterSettings},
    },
    events::{event::Event, reasons::ConfigurationSource},
    node::{
        core::{ConfigurationInForce, NodeCore},
        mesh::describe_upstream,
    },
    options::node_settings::NodeSettings,
    state::{configuration::Service, lease::LeaseTimes, membership::MemberState, names::NodeName},
};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

/// Applies a configuration that is newer than the one in force. Calls in progress keep the class
/// that they began with.
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
        update_budget(core, service);
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
    let now = core.timers.now();
    let mut router = Router::new(settings, seed_of(&core.me.name, core.me.incarnation.0));
    if core.me.service == service.name {
        router.upsert_upstream(describe_upstream(&core.me, MemberState::Serving), now);
    }
    for (member, state) in core.membership.borrow().members(now) {
        if member.service == service.name {
            router.upsert_upstream(describe_upstream(member, state), now);
        }
    }
    routers.insert(service.name.clone(), router);
}

fn update_budget(core: &NodeCore, service: &Service) {
    let mut budgets = core.retry_budgets.borrow_mut();
    if let Some(budget) = budgets.get_mut(&service.name) {
        budget.set_share(service.retry_share);
        return;
    }
    budgets.insert(service.name.clone(), RetryBudget::new(service.retry_share));
}

/// How keys are owned, as the settings say.
#[must_use]
pub fn ownership_settings(settings: &NodeSettings) -> OwnershipSettings {
    let usual = OwnershipSettings::default();
    OwnershipSettings {
        times: LeaseTimes {
            lease: settings.leases.duration,
            ..usual.times
        },
        clock_bound: settings.clock_skew,
        ..usual
    }
}

/// Nodes that start together must not choose alike, so the seed depends on the node.
#[must_use]
pub fn seed_of(name: &NodeName, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    incarnation.hash(&mut hasher);
    hasher.finish()
}
