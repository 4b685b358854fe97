//! What turns a routing table into a later one, as nodes tell it each other.
//!
//! A table of thousands of routes changes by a few at a time, and most of its routes agree in all but their name and
//! their path. So a change holds the routes that differ from those of its base, and what routes have in common once. A change
//! without a base holds the whole table in the same form.

use crate::state::{
    configuration::ConfigurationVersion,
    names::ClassName,
    routing_table::{ClientLimits, Route, RoutingTable, ServiceConfiguration, WeightedService},
};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use xxhash_rust::xxh64::Xxh64;

/// Start value of the digests; any will do as long as all nodes have the same.
const DIGEST_SEED: u64 = 0;

/// Why a change can't be used. The whole table can be asked for instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It changes a version that is not in force here.
    #[error("it changes version {0}, which is not in force here")]
    BaseMismatch(u64),
    /// A route refers to terms that the change does not hold.
    #[error("terms {0} are missing")]
    MissingTerms(usize),
    /// What comes of it is not the table that it was made from.
    #[error("the digest of what comes of it differs")]
    ChecksumMismatch,
}

/// What routes of a class of work have in common beside name and place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RouteTerms {
    idempotent: bool,
    timeout: Duration,
    target: Duration,
    priority: u8,
    max_attempts: u16,
    services: Vec<WeightedService>,
}

impl RouteTerms {
    fn of(route: &Route) -> Self {
        Self {
            idempotent: route.idempotent,
            timeout: route.timeout,
            target: route.target,
            priority: route.priority,
            max_attempts: route.max_attempts,
            services: route.services.clone(),
        }
    }

    fn build_route(&self, host: &ArcStr, placed: &PlacedRoute) -> Route {
        Route {
            class: placed.class.clone(),
            host: host.clone(),
            path_prefix: placed.path_prefix.clone(),
            idempotent: self.idempotent,
            timeout: self.timeout,
            target: self.target,
            priority: self.priority,
            max_attempts: self.max_attempts,
            services: self.services.clone(),
        }
    }
}

/// A route that is new or differs from that of the base; in JSON an array, as there may be thousands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PlacedRouteArray", into = "PlacedRouteArray")]
struct PlacedRoute {
    class: ClassName,
    path_prefix: ArcStr,
    /// Place in the list of terms.
    terms: usize,
}

type PlacedRouteArray = (ClassName, ArcStr, usize);

impl From<PlacedRouteArray> for PlacedRoute {
    fn from((class, path_prefix, terms): PlacedRouteArray) -> Self {
        Self {
            class,
            path_prefix,
            terms,
        }
    }
}

impl From<PlacedRoute> for PlacedRouteArray {
    fn from(route: PlacedRoute) -> Self {
        (route.class, route.path_prefix, route.terms)
    }
}

/// What differs among the routes of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HostChange {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    placed: Vec<PlacedRoute>,
    /// Path prefixes of routes that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<ArcStr>,
}

/// What turns a routing table into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Version that it changes; none if it holds the whole table.
    pub base: Option<ConfigurationVersion>,
    /// Version of the table that comes of it.
    pub version: ConfigurationVersion,
    /// Digest of the table that comes of it.
    digest: u64,
    terms: Vec<RouteTerms>,
    hosts: BTreeMap<ArcStr, HostChange>,
    /// All services; none if they are those of the base.
    services: Option<Vec<ServiceConfiguration>>,
    limits: ClientLimits,
}

impl TableChange {
    /// What turns `base` into `table`, or the whole of `table`.
    #[must_use]
    pub fn between(base: Option<&RoutingTable>, table: &RoutingTable) -> Self {
        let mut before = base.map(index_routes).unwrap_or_default();
        let mut terms = TermList::default();
        let mut hosts: BTreeMap<ArcStr, HostChange> = BTreeMap::new();
        for route in &table.routes {
            if before.remove(&key_of(route)) == Some(route) {
                continue;
            }
            let placed = PlacedRoute {
                class: route.class.clone(),
                path_prefix: route.path_prefix.clone(),
                terms: terms.place(RouteTerms::of(route)),
            };
            hosts
                .entry(route.host.clone())
                .or_default()
                .placed
                .push(placed);
        }
        for gone in before.into_values() {
            let change = hosts.entry(gone.host.clone()).or_default();
            change.removed.push(gone.path_prefix.clone());
        }
        let services_differ = base.is_none_or(|base| base.services != table.services);
        Self {
            base: base.map(|base| base.version),
            version: table.version,
            digest: digest_table(table),
            terms: terms.list,
            hosts,
            services: services_differ.then(|| table.services.clone()),
            limits: table.limits,
        }
    }

    /// The table that comes of it. Routes that stay are shared with the base.
    ///
    /// # Errors
    /// If it changes another version, or what comes of it is not the table that it was made from: `base` is then left as
    /// it is, and the whole table is to be asked for.
    pub fn apply(&self, base: Option<&RoutingTable>) -> Result<RoutingTable, ChangeError> {
        let base = self.find_base(base)?;
        let services = self.services.as_ref();
        let services = services.or(base.map(|base| &base.services));
        let mut table = RoutingTable {
            version: self.version,
            routes: base.map_or_else(Vec::new, |base| keep_routes(base, &self.hosts)),
            services: services.cloned().unwrap_or_default(),
            limits: self.limits,
        };
        for (host, change) in &self.hosts {
            for placed in &change.placed {
                let terms = self.terms.get(placed.terms);
                let terms = terms.ok_or(ChangeError::MissingTerms(placed.terms))?;
                let route = terms.build_route(host, placed);
                table.routes.push(Rc::new(route));
            }
        }
        // What a whole table holds doesn't rest on what is known here, and a node of another release may work its digest out
        // otherwise.
        if base.is_some() && digest_table(&table) != self.digest {
            return Err(ChangeError::ChecksumMismatch);
        }
        Ok(table)
    }

    fn find_base<'a>(
        &self,
        base: Option<&'a RoutingTable>,
    ) -> Result<Option<&'a RoutingTable>, ChangeError> {
        let Some(wanted) = self.base else {
            return Ok(None);
        };
        match base.filter(|base| base.version == wanted) {
            Some(base) => Ok(Some(base)),
            None => Err(ChangeError::BaseMismatch(wanted.0)),
        }
    }
}

/// The terms of a change, each once.
#[derive(Default)]
struct TermList {
    list: Vec<RouteTerms>,
    places: HashMap<RouteTerms, usize>,
}

impl TermList {
    fn place(&mut self, terms: RouteTerms) -> usize {
        if let Some(place) = self.places.get(&terms) {
            return *place;
        }
        let place = self.list.len();
        self.list.push(terms.clone());
        self.places.insert(terms, place);
        place
    }
}

/// Host and path prefix, which no two routes of a table share.
type RouteKey<'a> = (&'a str, &'a str);

fn key_of(route: &Route) -> RouteKey<'_> {
    (&route.host, &route.path_prefix)
}

fn index_routes(table: &RoutingTable) -> HashMap<RouteKey<'_>, &Rc<Route>> {
    let routes = table.routes.iter();
    routes.map(|route| (key_of(route), route)).collect()
}

/// The routes of the base that a change neither removes nor replaces.
fn keep_routes(base: &RoutingTable, hosts: &BTreeMap<ArcStr, HostChange>) -> Vec<Rc<Route>> {
    let mut kept = index_routes(base);
    for (host, change) in hosts {
        let placed = change.placed.iter().map(|placed| &placed.path_prefix);
        for path_prefix in placed.chain(&change.removed) {
            kept.remove(&(host.as_str(), path_prefix.as_str()));
        }
    }
    kept.into_values().map(Rc::clone).collect()
}

/// The same for tables that agree in all but the order of their routes.
fn digest_table(table: &RoutingTable) -> u64 {
    let routes = table.routes.iter();
    let sum = routes.fold(0_u64, |sum, route| sum.wrapping_add(digest(route)));
    digest(&(table.version, &table.services, table.limits, sum))
}

fn digest(value: &impl Hash) -> u64 {
    let mut hasher = Xxh64::new(DIGEST_SEED);
    value.hash(&mut hasher);
    hasher.finish()
}
