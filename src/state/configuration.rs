//! The configuration that operators publish: services, and classes of work with their latency targets.

use crate::state::{
    names::{ClassName, OrganisationName, ServiceName},
    organisations::{KeyDigest, Organisation, Quota},
    routing_table::{ClientLimits, Route, RoutingTable, ServiceConfiguration, WeightedService},
};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, rc::Rc, time::Duration};

/// Default path of the health check of upstreams.
const DEFAULT_HEALTH_PATH: ArcStr = arcstr::literal!("/health");
/// Default maximum number of upstreams that one request may be sent to.
const DEFAULT_MAX_ATTEMPTS: u16 = 2;
/// Default weight of a service among those of a class.
const DEFAULT_WEIGHT: u32 = 1;

const fn default_max_attempts() -> u16 {
    DEFAULT_MAX_ATTEMPTS
}

const fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

const fn default_health_path() -> ArcStr {
    DEFAULT_HEALTH_PATH
}

/// Version of the configuration. Rises with every accepted publication; 0 is the empty configuration before the first one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

/// A service in the published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service, unique in the configuration.
    pub name: ServiceName,
    /// Path on which upstreams of the service report their health and load.
    #[serde(default = "default_health_path")]
    pub health_path: ArcStr,
}

/// One of the services that share the requests of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// Name of the service.
    pub name: ServiceName,
    /// Weight; the service gets requests in proportion to its share of the sum of all weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A class of work in the published configuration: which requests belong to it, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Name of the class, unique in the configuration.
    pub name: ClassName,
    /// Value of the Host header, without port.
    pub host: ArcStr,
    /// Prefix of the path; begins and ends with a slash. Of several matching prefixes the longest applies.
    pub path_prefix: ArcStr,
    /// Services that requests of the class are sent to; never empty.
    pub services: Vec<ServiceShare>,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// Latency target, in milliseconds: 99 of 100 requests are to be answered within it.
    pub target_ms: u32,
    /// Longest time that a client waits for an answer, in milliseconds.
    pub timeout_ms: u32,
    /// Priority among the classes of a service; 0 is served first.
    #[serde(default)]
    pub priority: u8,
    /// Maximum number of upstreams that one request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u16,
    /// Whether its requests need no API key of an organisation.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// An organisation in the published configuration: a customer with API keys of its own, and a limit on its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Name of the organisation, unique in the configuration.
    pub name: OrganisationName,
    /// API keys that identify its requests. Each belongs to one organisation only.
    pub api_keys: Vec<ApiKey>,
    /// Priority among the organisations, before that of the class; 0 is served first.
    #[serde(default)]
    pub priority: u8,
    /// Sustained rate of requests per minute, over all nodes; `None` if it is not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_minute: Option<u32>,
    /// Number of requests that may exceed the sustained rate at once.
    #[serde(default)]
    pub burst: u32,
}

/// An API key. Its text appears only in the configuration itself.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(ArcStr);

impl ApiKey {
    /// Digest of the key.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(self.0.as_bytes())
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(ArcStr::from(text))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.digest().fmt(f)
    }
}

/// The complete published configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// All services.
    pub services: Vec<ServiceEntry>,
    /// All classes of work.
    pub classes: Vec<ClassEntry>,
    /// All organisations. Without the key, requests need no API key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<OrganisationEntry>>,
}

impl Configuration {
    /// Builds the routing table of this configuration.
    #[must_use]
    pub fn build_table(&self, version: ConfigurationVersion) -> RoutingTable {
        let build_service = |service: &ServiceEntry| ServiceConfiguration {
            name: service.name.clone(),
            health_path: service.health_path.clone(),
            warmup: None,
        };
        RoutingTable {
            version,
            routes: self.classes.iter().map(build_route).map(Rc::new).collect(),
            services: self.services.iter().map(build_service).collect(),
            limits: ClientLimits::default(),
            organisations: self.organisations.as_ref().map(|organisations| {
                let built = organisations.iter().map(build_organisation);
                built.map(Rc::new).collect()
            }),
        }
    }

    /// Differences from an earlier configuration, one line for each change.
    #[must_use]
    pub fn list_changes(&self, earlier: &Self) -> Vec<String> {
        let mut changes = list_service_changes(self, earlier);
        changes.extend(list_class_changes(self, earlier));
        changes.extend(list_organisation_changes(self, earlier));
        changes
    }
}

fn build_organisation(entry: &OrganisationEntry) -> Organisation {
    Organisation {
        name: entry.name.clone(),
        keys: entry.api_keys.iter().map(ApiKey::digest).collect(),
        priority: entry.priority,
        quota: entry.requests_per_minute.map(|requests| Quota {
            requests_per_minute: requests.into(),
            burst: entry.burst,
        }),
    }
}

fn build_route(class: &ClassEntry) -> Route {
    let build_share = |share: &ServiceShare| WeightedService {
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
        services: class.services.iter().map(build_share).collect(),
        is_public: class.public,
    }
}

/// Indexes entries by name. Of several entries with the same name the last one is kept.
fn index_by_name<Name: Ord, Entry>(
    entries: &[Entry],
    name: impl Fn(&Entry) -> &Name,
) -> BTreeMap<&Name, &Entry> {
    entries.iter().map(|entry| (name(entry), entry)).collect()
}

fn list_service_changes(newer: &Configuration, earlier: &Configuration) -> Vec<String> {
    let (newer, earlier) = (
        index_by_name(&newer.services, |entry| &entry.name),
        index_by_name(&earlier.services, |entry| &entry.name),
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
        index_by_name(&newer.classes, |entry| &entry.name),
        index_by_name(&earlier.classes, |entry| &entry.name),
    );
    let mut changes = Vec::new();
    for (name, entry) in &newer {
        match earlier.get(name) {
            None => changes.push(format!("class {name} added")),
            Some(before) => changes.extend(list_field_changes(name, entry, before)),
        }
    }
    let dropped = earlier.keys().filter(|name| !newer.contains_key(*name));
    changes.extend(dropped.map(|name| format!("class {name} dropped")));
    changes
}

/// The changes of organisations. Keys are shown by their fingerprints.
fn list_organisation_changes(newer: &Configuration, earlier: &Configuration) -> Vec<String> {
    let (newer, earlier) = (
        index_by_name(
            newer.organisations.as_deref().unwrap_or_default(),
            |entry| &entry.name,
        ),
        index_by_name(
            earlier.organisations.as_deref().unwrap_or_default(),
            |entry| &entry.name,
        ),
    );
    let mut changes = Vec::new();
    for (name, entry) in &newer {
        match earlier.get(name) {
            None => changes.push(format!("organisation {name} added")),
            Some(before) => changes.extend(list_organisation_field_changes(name, entry, before)),
        }
    }
    let dropped = earlier.keys().filter(|name| !newer.contains_key(*name));
    changes.extend(dropped.map(|name| format!("organisation {name} dropped")));
    changes
}

fn list_organisation_field_changes(
    name: &OrganisationName,
    entry: &OrganisationEntry,
    before: &OrganisationEntry,
) -> Vec<String> {
    let has_key = |entry: &OrganisationEntry, key: &ApiKey| entry.api_keys.contains(key);
    let added = entry.api_keys.iter().filter(|key| !has_key(before, key));
    let removed = before.api_keys.iter().filter(|key| !has_key(entry, key));
    let added = added.map(|key| ("added", key));
    let keys = added.chain(removed.map(|key| ("revoked", key)));
    let mut changes: Vec<String> = keys
        .map(|(what, key)| {
            let fingerprint = key.digest().fingerprint();
            format!("organisation {name}: key {fingerprint} {what}")
        })
        .collect();
    if (entry.priority, entry.burst, entry.requests_per_minute)
        != (before.priority, before.burst, before.requests_per_minute)
    {
        changes.push(format!(
            "organisation {name}: {} instead of {}",
            describe_limits(entry),
            describe_limits(before)
        ));
    }
    changes
}

fn describe_limits(entry: &OrganisationEntry) -> String {
    let (priority, burst) = (entry.priority, entry.burst);
    match entry.requests_per_minute {
        Some(rate) => format!("priority {priority}, {rate} requests a minute, burst {burst}"),
        None => format!("priority {priority}, no limit"),
    }
}

fn list_field_changes(name: &ClassName, entry: &ClassEntry, before: &ClassEntry) -> Vec<String> {
    let fields = |entry: &ClassEntry| {
        // Can't fail: the type has only fields that JSON can represent.
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
