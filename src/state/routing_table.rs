//! Routing table: maps a request to a class of work and its services, by host and longest matching path prefix.

use crate::state::{
    configuration::ConfigurationVersion,
    names::{ClassName, ServiceName},
    organisations::{Organisation, OrganisationIndex},
};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

/// One of the services among which the requests of a route are split.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight; the service gets requests in proportion to its share of the sum of all weights.
    pub weight: u32,
}

/// A route: assigns requests below a path prefix of a host to a class of work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name of the class of work, unique in the table.
    pub class: ClassName,
    /// Value of the Host header, without port, in lower case.
    pub host: ArcStr,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: ArcStr,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// Longest time that a client waits for an answer.
    pub timeout: Duration,
    /// Latency target: time within which a request is to be answered.
    pub target: Duration,
    /// Priority among the classes of a service; 0 is served first.
    pub priority: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u16,
    /// Services that requests are sent to; never empty.
    pub services: Vec<WeightedService>,
    /// Whether requests need no API key of an organisation.
    #[serde(rename = "public", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

impl Route {
    /// Picks the service at `position` (0 to 1) of the sum of all weights. `None` if all weights are 0.
    #[must_use]
    pub fn pick_service(&self, position: f64) -> Option<&ServiceName> {
        let sum: f64 = self
            .services
            .iter()
            .map(|part| f64::from(part.weight))
            .sum();
        let mut remaining = position.clamp(0.0, 1.0) * sum;
        let found = self.services.iter().find(|part| {
            remaining -= f64::from(part.weight);
            remaining < 0.0
        });
        let last = || self.services.iter().rfind(|part| part.weight > 0);
        found.or_else(last).map(|part| &part.service)
    }
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceConfiguration {
    /// Name of the service.
    pub name: ServiceName,
    /// Path on which upstreams of the service report their health and load.
    pub health_path: ArcStr,
    /// Limit for upstreams that are warming up; `None` if they can take the full load at once.
    #[serde(rename = "when_cold", default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupLimit>,
}

/// Limit for an upstream that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WarmupLimit {
    /// Requests per minute that one upstream can take while it is warming up.
    pub requests_per_minute: u32,
    /// How long the warm-up takes.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// Limits for connections and requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration, in the form in which nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Version of the configuration; rises with every change.
    pub version: ConfigurationVersion,
    /// All routes, in no particular order.
    pub routes: Vec<Rc<Route>>,
    /// All services.
    pub services: Vec<ServiceConfiguration>,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// All organisations, in no particular order. `None` if requests need no API key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<Rc<Organisation>>>,
}

/// A routing table with indexes to look up routes and organisations.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    table: RoutingTable,
    hosts: HashMap<ArcStr, HostRoutes>,
    organisations: Option<OrganisationIndex>,
}

impl RouteIndex {
    /// Indexes the routes of a table by host and path prefix, and its organisations by key and name.
    #[must_use]
    pub fn new(table: RoutingTable) -> Self {
        let mut hosts: HashMap<ArcStr, HostRoutes> = HashMap::new();
        for route in &table.routes {
            hosts.entry(route.host.clone()).or_default().add(route);
        }
        let organisations = table.organisations.as_deref().map(OrganisationIndex::new);
        Self {
            table,
            hosts,
            organisations,
        }
    }

    /// The organisations; `None` if requests need no API key.
    #[must_use]
    pub fn organisations(&self) -> Option<&OrganisationIndex> {
        self.organisations.as_ref()
    }

    /// The indexed table.
    #[must_use]
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Finds the configuration of a service.
    #[must_use]
    pub fn find_service(&self, service: &ServiceName) -> Option<&ServiceConfiguration> {
        let mut services = self.table.services.iter();
        services.find(|known| known.name == *service)
    }

    /// Finds the route of `host` with the longest path prefix that matches `path`. A port in `host` is ignored. If the
    /// table doesn't have this host, its lower-case form is looked up.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.find(path)
    }
}

/// The routes of one host, by path prefix.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<ArcStr, Rc<Route>>,
    prefix_ends: BTreeSet<PrefixEnd>,
}

impl HostRoutes {
    /// Adds a route, unless another route has the same prefix.
    fn add(&mut self, route: &Rc<Route>) {
        self.prefix_ends.insert(PrefixEnd::of(&route.path_prefix));
        let prefix = route.path_prefix.clone();
        self.by_prefix
            .entry(prefix)
            .or_insert_with(|| Rc::clone(route));
    }

    fn find(&self, path: &str) -> Option<&Rc<Route>> {
        let prefixes = self
            .prefix_ends
            .iter()
            .filter_map(|end| end.find_prefix(path));
        let mut routes = prefixes.filter_map(|prefix| self.by_prefix.get(prefix));
        routes.next()
    }
}

/// Length and last byte of a path prefix. Ordered by length, the longest first.
///
/// A path is looked up only at lengths where a prefix of the table may end. A client may send a path with thousands of slashes,
/// and looking up the path up to each slash would take time proportional to the square of its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PrefixEnd {
    length: Reverse<usize>,
    /// Usually a slash; `None` if the prefix is empty.
    last_byte: Option<u8>,
}

impl PrefixEnd {
    fn of(prefix: &str) -> Self {
        Self {
            length: Reverse(prefix.len()),
            last_byte: prefix.bytes().last(),
        }
    }

    /// The part of `path` up to this length, if it ends in the same byte as the prefix.
    fn find_prefix(self, path: &str) -> Option<&str> {
        let start = path.get(..self.length.0)?;
        (start.bytes().last() == self.last_byte).then_some(start)
    }
}
