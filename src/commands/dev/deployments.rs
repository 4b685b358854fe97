//! The two sample services of dev mode: a front desk with 6 upstreams and a dock with 3.

use crate::{
    local_mesh::{
        load::CallKind,
        plan::{MeshPlan, ServicePlan},
    },
    state::{
        configuration::{ClassEntry, Configuration, OrganisationEntry, ServiceEntry, ServiceShare},
        names::{AvailabilityZoneName, ClassName, ServiceName},
    },
};
use camphorturn_stand_ins::upstream::ServiceTime;
use http::Method;
use std::time::Duration;

/// An organisation of dev mode, with its only key.
pub struct SamplePartner {
    /// Name of the organisation.
    pub name: &'static str,
    /// Its API key.
    pub api_key: &'static str,
}

/// An organisation within its quota.
pub const ORDINARY_PARTNER: SamplePartner = SamplePartner {
    name: "prairie-clinics",
    api_key: "dev-key-of-prairie-clinics",
};
/// An organisation whose quota is used up by its first request.
pub const LIMITED_PARTNER: SamplePartner = SamplePartner {
    name: "trial-account",
    api_key: "dev-key-of-trial-account",
};

/// Number of slots of every upstream.
const SLOTS_PER_UPSTREAM: u16 = 6;

/// Builds the plan of a mesh with two services in three availability zones each. `seed` determines the random service
/// times of the upstreams.
#[must_use]
pub fn build_booking_mesh_plan(seed: u64) -> MeshPlan {
    let frontdesk = ServicePlan {
        service: ServiceName::from("frontdesk"),
        upstreams: 6,
        slots: SLOTS_PER_UPSTREAM,
        availability_zones: build_zone_names(["yxe-a", "yxe-b", "yqr-a"]),
        service_times: vec![
            build_service_time("/slots/", 3, 0.4),
            build_service_time("/bookings/", 8, 0.4),
        ],
    };
    let dock = ServicePlan {
        service: ServiceName::from("dock"),
        upstreams: 3,
        slots: SLOTS_PER_UPSTREAM,
        availability_zones: build_zone_names(["qc-east-a", "qc-east-b", "qc-east-c"]),
        service_times: vec![
            build_service_time("/berths/", 3, 0.4),
            build_service_time("/tides/", 1, 0.2),
            build_service_time("/confirmations/", 8, 0.4),
        ],
    };
    let mut nodes = frontdesk.build_nodes(seed.wrapping_add(1));
    nodes.extend(dock.build_nodes(seed.wrapping_add(2)));
    MeshPlan {
        configuration: build_booking_configuration(),
        nodes,
    }
}

fn build_zone_names(names: [&str; 3]) -> Vec<AvailabilityZoneName> {
    names.into_iter().map(AvailabilityZoneName::from).collect()
}

fn build_service_time(path_prefix: &str, median_ms: u64, spread: f64) -> ServiceTime {
    ServiceTime {
        path_prefix: path_prefix.to_owned(),
        median: Duration::from_millis(median_ms),
        spread,
    }
}

/// Builds a configuration with the classes of both services.
#[must_use]
pub fn build_booking_configuration() -> Configuration {
    let services = ["frontdesk", "dock"].map(|name| ServiceEntry {
        name: name.into(),
        health_path: arcstr::literal!("/health"),
    });
    Configuration {
        services: services.into(),
        classes: vec![
            build_class("booking", "frontdesk", "/bookings/", 100, 0, false),
            build_class("lookup", "frontdesk", "/slots/", 50, 1, true),
            build_class("confirmation", "dock", "/confirmations/", 100, 0, false),
            build_class("tide", "dock", "/tides/", 25, 1, true),
            build_class("availability", "dock", "/berths/", 50, 2, true),
            ClassEntry {
                public: false,
                ..build_class("partner", "frontdesk", "/slots/partners/", 50, 1, true)
            },
        ],
        organisations: Some(vec![
            build_organisation(&ORDINARY_PARTNER, 6_000, 100),
            build_organisation(&LIMITED_PARTNER, 6, 1),
        ]),
    }
}

fn build_organisation(
    partner: &SamplePartner,
    requests_per_minute: u32,
    burst: u32,
) -> OrganisationEntry {
    OrganisationEntry {
        name: partner.name.into(),
        api_keys: vec![partner.api_key.into()],
        priority: 0,
        requests_per_minute: Some(requests_per_minute),
        burst,
    }
}

fn build_class(
    name: &str,
    service: &str,
    path: &str,
    target_ms: u32,
    priority: u8,
    idempotent: bool,
) -> ClassEntry {
    ClassEntry {
        name: ClassName::from(name),
        host: format!("{service}.example").into(),
        path_prefix: path.into(),
        services: vec![ServiceShare {
            name: service.into(),
            weight: 1,
        }],
        idempotent,
        target_ms,
        timeout_ms: 2_000,
        priority,
        max_attempts: 2,
        public: true,
    }
}

/// Builds a kind of call for every class that needs no API key. Idempotent calls are made four times as often as the others.
#[must_use]
pub fn build_call_kinds(configuration: &Configuration) -> Vec<CallKind> {
    let build = |class: &ClassEntry| CallKind {
        class: class.name.clone(),
        host: class.host.clone(),
        method: if class.idempotent {
            Method::GET
        } else {
            Method::POST
        },
        path: class.path_prefix.to_string(),
        idempotent: class.idempotent,
        target: Duration::from_millis(class.target_ms.into()),
        weight: if class.idempotent { 4 } else { 1 },
    };
    let public = configuration.classes.iter().filter(|class| class.public);
    public.map(build).collect()
}
