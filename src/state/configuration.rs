//! The configuration that operators publish: services, and classes of work with a target each.

use crate::state::{
    names::{ClassName, ServiceName},
    routing_table::{ClientLimits, Route, RoutingTable, ServiceConfiguration, WeightedService},
};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Path on which upstreams answer whether they are well, unless told otherwise.
const HEALTH_PATH: ArcStr = arcstr::literal!("/health");
/// Most upstreams that one request may be sent to, unless told otherwise.
const MAX_ATTEMPTS: u16 = 2;
/// Weight of a service among those of a class, unless told otherwise.
const WEIGHT: u32 = 1;

const fn default_max_attempts() -> u16 {
    MAX_ATTEMPTS
}

const fn default_weight() -> u32 {
    WEIGHT
}

const fn default_health_path() -> ArcStr {
    HEALTH_PATH
}

/// Rises with every accepted publication; 0 is the empty configuration before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

/// One service as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Unique in the configuration.
    pub name: ServiceName,
    /// Path on which its upstreams answer whether they are well, and with what load.
    #[serde(default = "default_health_path")]
    pub health_path: ArcStr,
}

/// One of the services that share the requests of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// The service.
    pub name: ServiceName,
    /// Its part of the sum of all weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// One class of work as published: which requests belong to it, and what is promised to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Unique in the configuration.
    pub name: ClassName,
    /// Value of the Host header, without port.
    pub host: ArcStr,
    /// Start of the path; begins and ends with a slash. The longest prefix that fits decides.
    pub path_prefix: ArcStr,
    /// Where its requests go; never empty.
    pub services: Vec<ServiceShare>,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Time within which 99 in 100 are to be answered, in milliseconds.
    pub target_ms: u32,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Rank among the classes of a service; 0 is served first.
    #[serde(default)]
    pub priority: u8,
    /// Most upstreams that one request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u16,
}

/// The whole published content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// All services.
    pub services: Vec<ServiceEntry>,
    /// All classes of work.
    pub classes: Vec<ClassEntry>,
}

impl Configuration {
    /// The routing table that nodes put in force.
    #[must_use]
    pub fn build_table(&self, version: ConfigurationVersion) -> RoutingTable {
        let facts = |service: &ServiceEntry| ServiceConfiguration {
            name: service.name.clone(),
            health_path: service.health_path.clone(),
            warm_up: None,
        };
        RoutingTable {
            version,
            routes: self.classes.iter().map(build_route).map(Rc::new).collect(),
            services: self.services.iter().map(facts).collect(),
            limits: ClientLimits::default(),
        }
    }

    /// What differs from an earlier configuration, one line a change.
    #[must_use]
    pub fn list_changes(&self, earlier: &Self) -> Vec<String> {
        let mut changes = list_service_changes(self, earlier);
        changes.extend(list_class_changes(self, earlier));
        changes
    }
}

fn build_route(class: &ClassEntry) -> Route {
    let part = |share: &ServiceShare| WeightedService {
        service: share.name.clone(),
        weight: share.weight,
    };
    Route {
        class: class.name.clone(),
        host: class.host.to_ascii_lowercase().into(),
        path_prefix: class.path_prefix.clone(),
        idempotent: class.idempotent,
        timeout: Duration::from_millis(class.timeout_ms.into()),
        target: Duration::from_millis(class.target_ms.into()),
        priority: class.priority,
        max_attempts: class.max_attempts,
        services: class.services.iter().map(part).collect(),
    }
}

/// Entries by their names; the last of one name counts.
fn by_name<Name: Ord, Entry>(
    entries: &[Entry],
    name: impl Fn(&Entry) -> &Name,
) -> BTreeMap<&Name, &Entry> {
    entries.iter().map(|entry| (name(entry), entry)).collect()
}

fn list_service_changes(newer: &Configuration, earlier: &Configuration) -> Vec<String> {
    let (newer, earlier) = (
        by_name(&newer.services, |entry| &entry.name),
        by_name(&earlier.services, |entry| &entry.name),
    );
    let mut changes = Vec::new();
    for (name, entry) in &newer {
        match earlier.get(name) {
            None => changes.push(format!("service {name} added")),
            Some(before) if before != entry => changes.push(format!(
                "service {name}: health_path {} instead of {}",
                entry.health_path, before.health_path
            )),
            Some(_) => {}
        }
    }
    let dropped = earlier.keys().filter(|name| !newer.contains_key(*name));
    changes.extend(dropped.map(|name| format!("service {name} dropped")));
    changes
}

fn list_class_changes(newer: &Configuration, earlier: &Configuration) -> Vec<String> {
    let (newer, earlier) = (
        by_name(&newer.classes, |entry| &entry.name),
        by_name(&earlier.classes, |entry| &entry.name),
    );
    let mut changes = Vec::new();
    for (name, entry) in &newer {
        match earlier.get(name) {
            None => changes.push(format!("class {name} added")),
            Some(before) => changes.extend(list_fields(name, entry, before)),
        }
    }
    let dropped = earlier.keys().filter(|name| !newer.contains_key(*name));
    changes.extend(dropped.map(|name| format!("class {name} dropped")));
    changes
}

fn list_fields(name: &ClassName, entry: &ClassEntry, before: &ClassEntry) -> Vec<String> {
    let fields = |entry: &ClassEntry| {
        // The type holds nothing that JSON can't.
        let value = serde_json::to_value(entry).unwrap_or_default();
        value.as_object().cloned().unwrap_or_default()
    };
    let (after, before) = (fields(entry), fields(before));
    let changed = after
        .iter()
        .filter(|(key, value)| before.get(*key) != Some(*value));
    changed
        .map(|(key, value)| match before.get(key) {
            Some(old) => format!("class {name}: {key} {value} instead of {old}"),
            None => format!("class {name}: {key} {value}"),
        })
        .collect()
}
