//! The operator's configurations, as the platform has them: each keeps all routes and adds some.

use rand::{Rng, RngExt};
use serde_json::{Value, json};

/// The service that callers' requests go to, and the one beside it.
pub const SERVICES: [&str; 2] = ["desk", "records"];

/// What each configuration after the first has added.
#[derive(Clone, Debug, Default)]
pub struct Configurations {
    added: Vec<usize>,
}

/// A request for a route that some configuration has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawnTarget {
    /// The configuration; 0 is the first one, whose routes all have.
    pub route_version: u64,
    /// Whether the route is for what may run twice.
    pub idempotent: bool,
    /// Path and id.
    pub target: String,
}

impl Configurations {
    /// Adds one with that many more routes.
    pub fn add(&mut self, routes: usize) {
        self.added.push(routes);
    }

    /// The newest; 0 is the first one.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.added.len() as u64
    }

    /// Draws a route. Half of the requests go to the newest ones: right after a change these tell whether it is in force.
    pub fn draw_target(&self, random: &mut impl Rng, id: &str) -> DrawnTarget {
        let newest = self.added.len();
        let version = if random.random_range(0..2) == 0 {
            newest
        } else {
            random.random_range(0..=newest)
        };
        let idempotent = random.random_range(0..2) == 0;
        let added = version.checked_sub(1).map(|index| self.added[index]);
        let (route_version, target) = match added {
            _ if !idempotent => (0, format!("/book/{id}")),
            None => (0, format!("/look/{id}")),
            Some(added) => {
                let route = random.random_range(0..added);
                (version as u64, format!("/v{version}-{route}/{id}"))
            }
        };
        DrawnTarget {
            route_version,
            idempotent,
            target,
        }
    }

    /// The newest, as the operator writes it.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut paths = vec![
            describe_path("look", "safe", SERVICES[0]),
            describe_path("book", "non_idempotent", SERVICES[0]),
        ];
        for (index, added) in self.added.iter().enumerate() {
            let version = index + 1;
            let service = SERVICES[usize::from(version.is_multiple_of(2))];
            let names = (0..*added).map(|route| format!("v{version}-{route}"));
            paths.extend(names.map(|name| describe_path(&name, "safe", service)));
        }
        let service = |name| json!({ "name": name, "health_path": "/health", "max_connections": 260, "warmup_s": 3, "warmup_per_s": 10 });
        json!({
            "version": format!("{:08x}", self.newest() + 1), "base_version": "00000000",
            "services": SERVICES.map(service),
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "virtual_hosts": [{ "host": "shop.example", "paths": paths }],
        })
        .to_string()
    }
}

fn describe_path(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_s": 2,
        "latency_target_s": 0.3, "priority": 1, "service": service, "max_attempts": 2,
    })
}
