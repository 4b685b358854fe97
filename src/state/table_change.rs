//! Differences between two versions of a routing table, which nodes send each other instead of whole tables.
//!
//! A table of thousands of routes changes by a few routes at a time, and most routes differ only in their class and path. So a
//! change holds only the routes that differ from its base table, and lists settings that routes have in common once. A change
//! without a base holds the complete table in the same form.

use crate::state::{
    configuration::ConfigurationVersion,
    names::{ClassName, OrganisationName},
    organisations::Organisation,
    routing_table::{ClientLimits, Route, RoutingTable, ServiceConfiguration, WeightedService},
};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use xxhash_rust::xxh64::Xxh64;

/// Seed of the checksums. Any value works, as long as all nodes use the same.
const CHECKSUM_SEED: u64 = 0;

/// Why a change can't be applied. The complete table can be requested instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change is based on this version, which isn't in force on this node.
    #[error("the change is based on version {0}, which is not in force on this node")]
    BaseMismatch(u64),
    /// A route refers to an entry, by this index, that the list of route settings doesn't have.
    #[error("route settings {0} are missing")]
    MissingSettings(usize),
    /// The resulting table isn't the one that the change was computed from.
    #[error("the checksum of the resulting table differs")]
    ChecksumMismatch,
}

/// Settings of a route, which many routes have in common: all but its class, host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RouteSettings {
    idempotent: bool,
    timeout: Duration,
    target: Duration,
    priority: u8,
    max_attempts: u16,
    services: Vec<WeightedService>,
    #[serde(rename = "public", default, skip_serializing_if = "std::ops::Not::not")]
    is_public: bool,
}

impl RouteSettings {
    fn of(route: &Route) -> Self {
        Self {
            idempotent: route.idempotent,
            timeout: route.timeout,
            target: route.target,
            priority: route.priority,
            max_attempts: route.max_attempts,
            services: route.services.clone(),
            is_public: route.is_public,
        }
    }

    fn build_route(&self, host: &ArcStr, changed: &PlacedRoute) -> Route {
        Route {
            class: changed.class.clone(),
            host: host.clone(),
            path_prefix: changed.path_prefix.clone(),
            idempotent: self.idempotent,
            timeout: self.timeout,
            target: self.target,
            priority: self.priority,
            max_attempts: self.max_attempts,
            services: self.services.clone(),
            is_public: self.is_public,
        }
    }
}

/// A route that is new or differs from that of the base. In JSON it is an array, to keep thousands of them short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PlacedRouteArray", into = "PlacedRouteArray")]
struct PlacedRoute {
    class: ClassName,
    path_prefix: ArcStr,
    /// Index in the list of settings.
    settings: usize,
}

type PlacedRouteArray = (ClassName, ArcStr, usize);

impl From<PlacedRouteArray> for PlacedRoute {
    fn from((class, path_prefix, settings): PlacedRouteArray) -> Self {
        Self {
            class,
            path_prefix,
            settings,
        }
    }
}

impl From<PlacedRoute> for PlacedRouteArray {
    fn from(route: PlacedRoute) -> Self {
        (route.class, route.path_prefix, route.settings)
    }
}

/// Differences in the routes of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HostChange {
    /// Routes that are new or differ.
    #[serde(rename = "placed", default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<PlacedRoute>,
    /// Path prefixes of removed routes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<ArcStr>,
}

/// The change from one version of a routing table to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Version that the change is based on; `None` if it holds the complete table.
    pub base: Option<ConfigurationVersion>,
    /// Version of the resulting table.
    pub version: ConfigurationVersion,
    /// Checksum of the resulting table.
    #[serde(rename = "digest")]
    checksum: u64,
    /// Settings that the routes of the change refer to.
    #[serde(rename = "terms")]
    settings: Vec<RouteSettings>,
    /// Changed routes, by host.
    hosts: BTreeMap<ArcStr, HostChange>,
    /// All services; `None` if they are the same as in the base.
    services: Option<Vec<ServiceConfiguration>>,
    limits: ClientLimits,
    /// Organisations that are new, differ or are removed; `None` if requests need no API key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    organisations: Option<OrganisationChange>,
}

impl TableChange {
    /// The change from `base` to `table`. Without a base, the change holds the complete `table`.
    #[must_use]
    pub fn between(base: Option<&RoutingTable>, table: &RoutingTable) -> Self {
        let mut before = base.map(index_routes).unwrap_or_default();
        let mut settings = SettingsList::default();
        let mut hosts: BTreeMap<ArcStr, HostChange> = BTreeMap::new();
        for route in &table.routes {
            if before.remove(&get_route_key(route)) == Some(route) {
                continue;
            }
            let changed = PlacedRoute {
                class: route.class.clone(),
                path_prefix: route.path_prefix.clone(),
                settings: settings.find_or_add(RouteSettings::of(route)),
            };
            hosts
                .entry(route.host.clone())
                .or_default()
                .changed
                .push(changed);
        }
        for removed in before.into_values() {
            let change = hosts.entry(removed.host.clone()).or_default();
            change.removed.push(removed.path_prefix.clone());
        }
        let services_differ = base.is_none_or(|base| base.services != table.services);
        Self {
            base: base.map(|base| base.version),
            version: table.version,
            checksum: compute_checksum(table),
            settings: settings.list,
            hosts,
            services: services_differ.then(|| table.services.clone()),
            limits: table.limits,
            organisations: table.organisations.as_ref().map(|organisations| {
                let before = base.and_then(|base| base.organisations.as_deref());
                OrganisationChange::between(before.unwrap_or_default(), organisations)
            }),
        }
    }

    /// Applies the change to `base` and returns the resulting table. Unchanged routes are shared with the base.
    ///
    /// # Errors
    /// If the change is based on another version, is incomplete, or results in another table than it was computed from. The caller
    /// keeps `base` and requests the complete table.
    pub fn apply(&self, base: Option<&RoutingTable>) -> Result<RoutingTable, ChangeError> {
        let base = self.find_base(base)?;
        let services = self.services.as_ref();
        let services = services.or(base.map(|base| &base.services));
        let mut table = RoutingTable {
            version: self.version,
            routes: base.map_or_else(Vec::new, |base| list_unchanged_routes(base, &self.hosts)),
            services: services.cloned().unwrap_or_default(),
            limits: self.limits,
            organisations: self.organisations.as_ref().map(|change| {
                let before = base.and_then(|base| base.organisations.as_deref());
                change.apply(before.unwrap_or_default())
            }),
        };
        for (host, change) in &self.hosts {
            for changed in &change.changed {
                let settings = self.settings.get(changed.settings);
                let settings = settings.ok_or(ChangeError::MissingSettings(changed.settings))?;
                let route = settings.build_route(host, changed);
                table.routes.push(Rc::new(route));
            }
        }
        // A complete table doesn't depend on the table known here, so it isn't checked: a node of another release may compute the
        // checksum differently.
        if base.is_some() && compute_checksum(&table) != self.checksum {
            return Err(ChangeError::ChecksumMismatch);
        }
        Ok(table)
    }

    fn find_base<'a>(
        &self,
        base: Option<&'a RoutingTable>,
    ) -> Result<Option<&'a RoutingTable>, ChangeError> {
        let Some(base_version) = self.base else {
            return Ok(None);
        };
        match base.filter(|base| base.version == base_version) {
            Some(base) => Ok(Some(base)),
            None => Err(ChangeError::BaseMismatch(base_version.0)),
        }
    }
}

/// Differences in the organisations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OrganisationChange {
    /// Organisations that are new or differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<Rc<Organisation>>,
    /// Names of removed organisations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<OrganisationName>,
}

impl OrganisationChange {
    fn between(base: &[Rc<Organisation>], organisations: &[Rc<Organisation>]) -> Self {
        let mut before: HashMap<&OrganisationName, &Rc<Organisation>> = base
            .iter()
            .map(|organisation| (&organisation.name, organisation))
            .collect();
        let mut changed = organisations.to_vec();
        changed.retain(|organisation| before.remove(&organisation.name) != Some(organisation));
        let removed = before.into_keys().cloned().collect();
        Self { changed, removed }
    }

    /// Applies the change to the organisations of the base. Unchanged ones are shared with the base.
    fn apply(&self, base: &[Rc<Organisation>]) -> Vec<Rc<Organisation>> {
        let changed = self.changed.iter().map(|organisation| &organisation.name);
        let replaced: HashSet<&OrganisationName> = changed.chain(&self.removed).collect();
        let kept = base
            .iter()
            .filter(|organisation| !replaced.contains(&organisation.name));
        kept.chain(&self.changed).cloned().collect()
    }
}

/// The settings of a change, each once.
#[derive(Default)]
struct SettingsList {
    list: Vec<RouteSettings>,
    indices: HashMap<RouteSettings, usize>,
}

impl SettingsList {
    fn find_or_add(&mut self, settings: RouteSettings) -> usize {
        if let Some(index) = self.indices.get(&settings) {
            return *index;
        }
        let index = self.list.len();
        self.list.push(settings.clone());
        self.indices.insert(settings, index);
        index
    }
}

/// Host and path prefix. No two routes of a table have the same.
type RouteKey<'a> = (&'a str, &'a str);

fn get_route_key(route: &Route) -> RouteKey<'_> {
    (&route.host, &route.path_prefix)
}

fn index_routes(table: &RoutingTable) -> HashMap<RouteKey<'_>, &Rc<Route>> {
    let routes = table.routes.iter();
    routes.map(|route| (get_route_key(route), route)).collect()
}

/// The routes of the base that a change neither removes nor replaces.
fn list_unchanged_routes(
    base: &RoutingTable,
    hosts: &BTreeMap<ArcStr, HostChange>,
) -> Vec<Rc<Route>> {
    let mut kept = index_routes(base);
    for (host, change) in hosts {
        let changed = change.changed.iter().map(|changed| &changed.path_prefix);
        for path_prefix in changed.chain(&change.removed) {
            kept.remove(&(host.as_str(), path_prefix.as_str()));
        }
    }
    kept.into_values().map(Rc::clone).collect()
}

/// Checksum of a table. It doesn't depend on the order of the routes and the organisations.
fn compute_checksum(table: &RoutingTable) -> u64 {
    let sum = sum_hashes(&table.routes);
    let organisations = table.organisations.as_deref().map(sum_hashes);
    let summary = (table.version, &table.services, table.limits, sum);
    match organisations {
        Some(organisations) => hash_value(&(summary, organisations)),
        None => hash_value(&summary),
    }
}

fn sum_hashes(values: &[impl Hash]) -> u64 {
    let hashes = values.iter().map(hash_value);
    hashes.fold(0, u64::wrapping_add)
}

fn hash_value(value: &impl Hash) -> u64 {
    let mut hasher = Xxh64::new(CHECKSUM_SEED);
    value.hash(&mut hasher);
    hasher.finish()
}
