//! Routing tables for the simulated meshes, and the sizes of the messages with their changes.

use arcstr::ArcStr;
use camphorturn::{
    protocol::hop::{StateMessage, StoredTable},
    state::{
        configuration::ConfigurationVersion,
        names::{ClassName, ServiceName},
        routing_table::{ClientLimits, Route, RoutingTable, ServiceConfiguration, WeightedService},
        table_history::TableHistory,
    },
};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// Builds a table of `routes` routes that are spread evenly over `services` services.
pub fn build_table(version: u64, routes: usize, services: usize) -> RoutingTable {
    let routes = (0..routes).map(|number| Rc::new(build_route(number, number % services)));
    RoutingTable {
        version: ConfigurationVersion(version),
        routes: routes.collect(),
        services: (0..services).map(build_service).collect(),
        limits: ClientLimits::default(),
        organisations: None,
    }
}

pub fn build_service(number: usize) -> ServiceConfiguration {
    ServiceConfiguration {
        name: service_name(number),
        health_path: ArcStr::from("/health"),
        warmup: None,
    }
}

fn service_name(number: usize) -> ServiceName {
    ServiceName::from(format!("service-{number}").as_str())
}

fn build_route(number: usize, service: usize) -> Route {
    Route {
        class: ClassName::from(format!("pickup-window-{number:04}").as_str()),
        host: ArcStr::from("api.bakery.example"),
        path_prefix: ArcStr::from(format!("/pickup-windows/{number:04}/")),
        idempotent: true,
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(250),
        priority: 1,
        max_attempts: 2,
        services: vec![WeightedService {
            service: service_name(service),
            weight: 1,
        }],
        is_public: false,
    }
}

/// Bytes of the answer with the changes since a version; none if there are no changes.
fn encode_change(history: &mut TableHistory, since: ConfigurationVersion) -> Option<usize> {
    let answer = StateMessage {
        change: Some(history.change_since(since)?),
        stored_table: Some(StoredTable {
            version: ConfigurationVersion(1),
            next: 123_456,
        }),
        ..StateMessage::default()
    };
    let body = serde_json::to_vec(&answer).expect("a message can be encoded");
    Some(body.len())
}

/// The versions that are published in a simulated mesh.
pub struct Tables {
    versions: Vec<RoutingTable>,
    sizes: RefCell<HashMap<(u64, u64), Option<usize>>>,
}

impl Tables {
    /// Versions from 1 on with the given numbers of routes and services.
    pub fn new(sizes: &[(usize, usize)]) -> Self {
        let versions = (1..).zip(sizes);
        let tables =
            versions.map(|(version, (routes, services))| build_table(version, *routes, *services));
        Self::from_versions(tables.collect())
    }

    /// The given versions, oldest first.
    pub fn from_versions(versions: Vec<RoutingTable>) -> Self {
        Self {
            versions,
            sizes: RefCell::default(),
        }
    }

    pub fn newest(&self) -> ConfigurationVersion {
        self.versions.last().expect("a version").version
    }

    /// Bytes of the answer of a node at `peer_version` to a node at version `since`; none if there are no changes.
    pub fn size_of_change(
        &self,
        since: ConfigurationVersion,
        peer_version: ConfigurationVersion,
    ) -> Option<usize> {
        let mut sizes = self.sizes.borrow_mut();
        *sizes.entry((since.0, peer_version.0)).or_insert_with(|| {
            let mut history = TableHistory::default();
            for table in self
                .versions
                .iter()
                .filter(|table| table.version <= peer_version)
            {
                history.replace_if_newer(table.clone());
            }
            encode_change(&mut history, since)
        })
    }
}
