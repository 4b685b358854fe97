//! The two services of dev mode: a front desk with 6 upstreams and a dock with 3.

use crate::{
    local_mesh::{
        load::CallKind,
        plan::{MeshPlan, ServicePlan, ServiceTimePlan},
    },
    state::{
        class::{Class, KeyRule, MatchRule, Target},
        configuration::{Configuration, Service},
        names::{AvailabilityZoneName, ClassName, RegionName, ServiceName},
    },
};
use http::Method;

/// Slots of every upstream.
const SLOTS: u16 = 6;

/// Two services in two regions with three availability zones each.
#[must_use]
pub fn booking_deployments(seed: u64) -> MeshPlan {
    let frontdesk = ServicePlan {
        service: ServiceName::from("frontdesk"),
        upstreams: 6,
        slots: SLOTS,
        region: RegionName::from("prairie-west"),
        availability_zones: name_zones(["yxe-a", "yxe-b", "yqr-a"]),
        service_times: vec![
            service_time("/slots", 3_000, 0.4),
            service_time("/bookings", 8_000, 0.4),
        ],
    };
    let dock = ServicePlan {
        service: ServiceName::from("dock"),
        upstreams: 3,
        slots: SLOTS,
        region: RegionName::from("qc-east"),
        availability_zones: name_zones(["qc-east-a", "qc-east-b", "qc-east-c"]),
        service_times: vec![
            service_time("/berths", 3_000, 0.4),
            service_time("/tides", 1_000, 0.2),
            service_time("/confirmations", 8_000, 0.4),
        ],
    };
    let mut nodes = frontdesk.nodes(seed.wrapping_add(1));
    nodes.extend(dock.nodes(seed.wrapping_add(2)));
    MeshPlan {
        configuration: booking_configuration(),
        nodes,
    }
}

fn name_zones(names: [&str; 3]) -> Vec<AvailabilityZoneName> {
    names.into_iter().map(AvailabilityZoneName::from).collect()
}

fn service_time(path_prefix: &str, median_micros: u64, spread: f64) -> ServiceTimePlan {
    ServiceTimePlan {
        path_prefix: path_prefix.to_owned(),
        median_micros,
        spread,
    }
}

/// The classes of both services.
#[must_use]
pub fn booking_configuration() -> Configuration {
    let frontdesk = vec![
        build_class("booking", "POST", "/bookings", 100, 3),
        build_class("lookup", "GET", "/slots", 50, 2),
    ];
    let dock = vec![
        build_class("confirmation", "POST", "/confirmations", 100, 3),
        build_class("tide", "GET", "/tides", 25, 2),
        build_class("availability", "GET", "/berths", 50, 1),
    ];
    Configuration {
        services: vec![
            build_service("frontdesk", frontdesk),
            build_service("dock", dock),
        ],
    }
}

fn build_service(name: &str, classes: Vec<Class>) -> Service {
    Service {
        hosts: vec![format!("{name}.example")],
        classes,
        ..Service::named(ServiceName::from(name))
    }
}

fn build_class(name: &str, method: &str, path: &str, target_ms: u32, priority: u8) -> Class {
    let reads = method == "GET";
    Class {
        name: ClassName::from(name),
        rules: vec![MatchRule {
            method: Some(method.to_owned()),
            path_prefix: Some(path.to_owned()),
            header: None,
        }],
        target: Target {
            latency_ms: target_ms,
            share: 0.99,
        },
        deadline_ms: 2_000,
        priority,
        idempotent: reads,
        key: if reads {
            KeyRule::None
        } else {
            KeyRule::Required
        },
        hedge: false,
    }
}

/// A kind of call for every class, reads four times as often as writes.
#[must_use]
pub fn call_kinds(configuration: &Configuration) -> Vec<CallKind> {
    let kinds = configuration.services.iter().flat_map(|service| {
        let build = |class: &Class| build_kind(service, class);
        service.classes.iter().map(build).collect::<Vec<_>>()
    });
    kinds.collect()
}

fn build_kind(service: &Service, class: &Class) -> CallKind {
    let rule = class.rules.first().cloned().unwrap_or_default();
    let method = rule.method.unwrap_or_else(|| Method::GET.to_string());
    CallKind {
        service: service.name.clone(),
        class: class.name.clone(),
        method: method.parse().unwrap_or(Method::GET),
        path: rule.path_prefix.unwrap_or_else(|| "/".to_owned()),
        keyed: class.key != KeyRule::None,
        idempotent: class.idempotent,
        target: class.target.latency(),
        weight: if class.idempotent { 4 } else { 1 },
    }
}
