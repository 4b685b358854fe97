//! Members and configurations of the size under measurement.

use camphorturn::state::{
    class::{Class, KeyRule, MatchRule, Target},
    configuration::{Configuration, MeasuringBudget, PolicyName, Service},
    member::{Incarnation, Member},
    names::{AvailabilityZoneName, ClassName, NodeName, RegionName, ServiceName},
};

/// Services among which members are spread.
const SERVICES: usize = 100;

/// A member; all numbers differ.
pub fn new_member(number: usize) -> Member {
    let port = 10_000 + u16::try_from(number).expect("a small number");
    Member {
        name: NodeName::from(format!("service-{:03}-{number:04}", number % SERVICES).as_str()),
        incarnation: Incarnation(1_700_000_000_000),
        service: ServiceName::from(format!("service-{:03}", number % SERVICES).as_str()),
        region: RegionName::from(["prairie-west", "qc-east"][number % 2]),
        availability_zone: AvailabilityZoneName::from(["yxe-a", "yxe-b", "yqr-a"][number % 3]),
        peer_address: ([10, 0, 0, 1], port).into(),
        operator_address: ([10, 0, 0, 2], port).into(),
        slots: 6,
    }
}

/// A configuration of so many services with three classes each.
pub fn new_configuration(services: usize) -> Configuration {
    Configuration {
        services: (0..services).map(new_service).collect(),
    }
}

fn new_service(number: usize) -> Service {
    Service {
        name: ServiceName::from(format!("service-{number:03}").as_str()),
        hosts: vec![format!("service-{number:03}.internal")],
        policy: PolicyName::default(),
        measuring: MeasuringBudget::default(),
        retry_share: 0.1,
        classes: ["lookup", "booking", "check"].map(new_class).into(),
    }
}

fn new_class(name: &str) -> Class {
    Class {
        name: ClassName::from(name),
        rules: vec![MatchRule {
            method: Some("GET".to_owned()),
            path_prefix: Some(format!("/{name}")),
            header: None,
        }],
        target: Target {
            latency_ms: 100,
            share: 0.99,
        },
        deadline_ms: 2_000,
        priority: 1,
        idempotent: true,
        key: KeyRule::None,
        hedge: false,
    }
}
