//! The mesh that is measured, and its callers.

use super::scenario::Scenario;
use camphorturn::{
    local_mesh::{
        load::CallKind,
        plan::{MeshPlan, ServicePlan, ServiceTimePlan},
    },
    state::{
        class::{Class, KeyRule, MatchRule, Target},
        configuration::{Configuration, MeasuringBudget, PolicyName, Service},
    },
};
use http::Method;
use std::time::Duration;

/// Slots of each upstream.
pub const SLOTS: u16 = 6;
/// Median service time at a healthy upstream.
const MEDIAN_MICROS: u64 = 15_000;
/// Spread of the logarithm of service times.
const SPREAD: f64 = 0.3;
/// Measuring budget of the dock service, as a share of calls.
const DOCK_MEASURING_SHARE: f64 = 0.002;

/// A class of the measured service.
struct ClassPlan {
    name: &'static str,
    method: Method,
    path: &'static str,
    target_ms: u32,
    priority: u8,
    idempotent: bool,
    /// Calls of a hundred.
    weight: u32,
}

fn class_plans() -> [ClassPlan; 3] {
    let check = ClassPlan {
        name: "check",
        method: Method::GET,
        path: "/checks",
        target_ms: 60,
        priority: 3,
        idempotent: true,
        weight: 10,
    };
    let booking = ClassPlan {
        name: "booking",
        method: Method::POST,
        path: "/bookings",
        target_ms: 150,
        priority: 2,
        idempotent: false,
        weight: 20,
    };
    let lookup = ClassPlan {
        name: "lookup",
        method: Method::GET,
        path: "/lookups",
        target_ms: 80,
        priority: 1,
        idempotent: true,
        weight: 70,
    };
    [check, booking, lookup]
}

fn service_name(scenario: Scenario) -> &'static str {
    match scenario {
        Scenario::Dock => "dock",
        _ => "frontdesk",
    }
}

/// The mesh for a scenario under a policy.
#[must_use]
pub fn plan_mesh(scenario: Scenario, policy: PolicyName, seed: u64) -> MeshPlan {
    let name = service_name(scenario);
    let service = ServicePlan {
        service: name.into(),
        upstreams: scenario.upstreams(),
        slots: SLOTS,
        region: "region".into(),
        availability_zones: ["zone-a", "zone-b", "zone-c"].map(Into::into).to_vec(),
        service_times: vec![ServiceTimePlan {
            path_prefix: "/".to_owned(),
            median_micros: MEDIAN_MICROS,
            spread: SPREAD,
        }],
    };
    let mut measuring = MeasuringBudget::default();
    if scenario == Scenario::Dock {
        measuring.capacity_share = DOCK_MEASURING_SHARE;
    }
    let published = Service {
        name: name.into(),
        hosts: Vec::new(),
        policy,
        measuring,
        retry_share: 0.1,
        classes: class_plans().iter().map(build_class).collect(),
    };
    MeshPlan {
        configuration: Configuration {
            services: vec![published],
        },
        nodes: service.nodes(seed),
    }
}

fn build_class(plan: &ClassPlan) -> Class {
    Class {
        name: plan.name.into(),
        rules: vec![MatchRule {
            path_prefix: Some(plan.path.to_owned()),
            ..MatchRule::default()
        }],
        target: Target {
            latency_ms: plan.target_ms,
            share: 0.99,
        },
        deadline_ms: 1_000,
        priority: plan.priority,
        idempotent: plan.idempotent,
        key: KeyRule::None,
        hedge: plan.idempotent,
    }
}

/// The kinds of calls, in the order of the classes.
#[must_use]
pub fn call_kinds(scenario: Scenario) -> Vec<CallKind> {
    class_plans()
        .iter()
        .map(|plan| CallKind {
            service: service_name(scenario).into(),
            class: plan.name.into(),
            method: plan.method.clone(),
            path: plan.path.to_owned(),
            keyed: false,
            idempotent: plan.idempotent,
            target: Duration::from_millis(u64::from(plan.target_ms)),
            weight: plan.weight,
        })
        .collect()
}
