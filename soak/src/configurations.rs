//! The configurations that the operator publishes. Each version keeps all routes of the one before and adds some.

use crate::organisations::build_organisations;
use rand::{Rng, RngExt};
use serde_json::{Value, json};

/// Services of the upstreams. The first serves the routes of the first configuration; added routes alternate by version.
pub const SERVICES: [&str; 2] = ["desk", "records"];

/// The sequence of published configurations.
#[derive(Clone, Debug, Default)]
pub struct Configurations {
    /// Number of routes that each version after the first has added.
    added_routes: Vec<usize>,
}

/// A random request for a route of one of the configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawnRequest {
    /// Version that added the route; 0 is the first, whose routes every version has.
    pub route_version: u64,
    /// Whether requests of the route may be executed more than once.
    pub idempotent: bool,
    /// Path, which ends with the request id.
    pub target: String,
}

impl Configurations {
    /// Adds a version with `routes` more routes.
    pub fn add_version(&mut self, routes: usize) {
        self.added_routes.push(routes);
    }

    /// The newest version; 0 is the first.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.added_routes.len() as u64
    }

    /// Draws a request. Half of the requests use the newest version: right after a change they show whether it is in force.
    pub fn draw_request(&self, rng: &mut impl Rng, id: &str) -> DrawnRequest {
        let newest_version = self.added_routes.len();
        let version = if rng.random_range(0..2) == 0 {
            newest_version
        } else {
            rng.random_range(0..=newest_version)
        };
        let idempotent = rng.random_range(0..2) == 0;
        let added_routes = version.checked_sub(1).map(|index| self.added_routes[index]);
        let (route_version, target) = match added_routes {
            _ if !idempotent => (0, format!("/book/{id}")),
            None => (0, format!("/look/{id}")),
            Some(added_routes) => {
                let route = rng.random_range(0..added_routes);
                (version as u64, format!("/v{version}-{route}/{id}"))
            }
        };
        DrawnRequest {
            route_version,
            idempotent,
            target,
        }
    }

    /// The newest version as the JSON document that the operator writes into the store.
    #[must_use]
    pub fn build_document(&self) -> String {
        let mut paths = vec![
            build_path("look", "safe", SERVICES[0]),
            build_path("book", "non_idempotent", SERVICES[0]),
        ];
        for (index, added_routes) in self.added_routes.iter().enumerate() {
            let version = index + 1;
            let service = SERVICES[usize::from(version.is_multiple_of(2))];
            let names = (0..*added_routes).map(|route| format!("v{version}-{route}"));
            paths.extend(names.map(|name| build_path(&name, "safe", service)));
        }
        let service = |name| json!({ "name": name, "health_path": "/health", "max_connections": 260, "warmup_s": 3, "warmup_per_s": 10 });
        json!({
            "version": format!("{:08x}", self.newest_version() + 1), "base_version": "00000000",
            "services": SERVICES.map(service),
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "tenants": build_organisations(self.newest_version()),
            "virtual_hosts": [{ "host": "shop.example", "paths": paths }],
        })
        .to_string()
    }
}

fn build_path(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_s": 2,
        "latency_target_s": 0.3, "priority": 1, "service": service, "max_attempts": 2,
    })
}
