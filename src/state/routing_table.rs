//! Which service a request belongs to: routes by host and longest path prefix.

use crate::state::{
    configuration::ConfigurationVersion,
    names::{ClassName, ServiceName},
};
use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

/// One of the services that share a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// One route: the class of work of the requests below a path prefix of a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name of the class of work, unique in the table.
    pub class: ClassName,
    /// Value of the Host header, without port, in lower case.
    pub host: ArcStr,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: ArcStr,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth its full value.
    pub target: Duration,
    /// Rank among the classes of a service; 0 is served first.
    pub priority: u8,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u16,
    /// Where requests go; never empty.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The service at `position` of the sum of weights; `position` is from 0 up to 1.
    #[must_use]
    pub fn pick_service(&self, position: f64) -> Option<&ServiceName> {
        let sum: f64 = self
            .services
            .iter()
            .map(|part| f64::from(part.weight))
            .sum();
        let mut rest = position.clamp(0.0, 1.0) * sum;
        let found = self.services.iter().find(|part| {
            rest -= f64::from(part.weight);
            rest < 0.0
        });
        let last = || self.services.iter().rfind(|part| part.weight > 0);
        found.or_else(last).map(|part| &part.service)
    }
}

/// What operators tell of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceConfiguration {
    /// The service.
    pub name: ServiceName,
    /// Path on which its upstreams answer whether they are well, and with what load.
    pub health_path: ArcStr,
    /// What its upstreams tolerate when they are cold; none if that is as much as when they are warm.
    #[serde(rename = "when_cold", default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUpLimit>,
}

/// What operators tell of the upstreams of a service that are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WarmUpLimit {
    /// Requests a minute that one of them tolerates.
    pub requests_per_minute: u32,
    /// How long it is cold.
    #[serde(rename = "lasts")]
    pub duration: Duration,
}

/// Bounds on what clients send and how long they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest body in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time that a connection may be idle.
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

/// A whole configuration as nodes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Rises with every change.
    pub version: ConfigurationVersion,
    /// All routes, in no particular order.
    pub routes: Vec<Rc<Route>>,
    /// All services.
    pub services: Vec<ServiceConfiguration>,
    /// Bounds on clients.
    pub limits: ClientLimits,
}

/// A table made ready for looking up routes.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    table: RoutingTable,
    hosts: HashMap<ArcStr, HostRoutes>,
}

impl RouteIndex {
    /// Sorts the routes of a table by host and prefix.
    #[must_use]
    pub fn new(table: RoutingTable) -> Self {
        let mut hosts: HashMap<ArcStr, HostRoutes> = HashMap::new();
        for route in &table.routes {
            hosts.entry(route.host.clone()).or_default().add(route);
        }
        Self { table, hosts }
    }

    /// The table it was made from.
    #[must_use]
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// What operators tell of a service.
    #[must_use]
    pub fn find_service(&self, service: &ServiceName) -> Option<&ServiceConfiguration> {
        let mut services = self.table.services.iter();
        services.find(|facts| facts.name == *service)
    }

    /// The route with the longest prefix of `path` among those of `host`. A port is ignored.
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

/// The routes of one host by their prefixes.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<ArcStr, Rc<Route>>,
    ends: BTreeSet<PrefixEnd>,
}

impl HostRoutes {
    /// The first route of a prefix stays.
    fn add(&mut self, route: &Rc<Route>) {
        self.ends.insert(PrefixEnd::of(&route.path_prefix));
        let prefix = route.path_prefix.clone();
        self.by_prefix
            .entry(prefix)
            .or_insert_with(|| Rc::clone(route));
    }

    fn find(&self, path: &str) -> Option<&Rc<Route>> {
        let fitting = self.ends.iter().filter_map(|end| end.cut(path));
        let mut found = fitting.filter_map(|prefix| self.by_prefix.get(prefix));
        found.next()
    }
}

/// Where a prefix ends, the longest first. A path is looked up only where a prefix may end: a client's path may have
/// thousands of slashes, and looking up each start of it would take time by the square of its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PrefixEnd {
    length: Reverse<usize>,
    /// Mostly a slash; none if the prefix is empty.
    last: Option<u8>,
}

impl PrefixEnd {
    fn of(prefix: &str) -> Self {
        Self {
            length: Reverse(prefix.len()),
            last: prefix.bytes().last(),
        }
    }

    /// The start of `path` up to there, if it ends in the same byte.
    fn cut(self, path: &str) -> Option<&str> {
        let start = path.get(..self.length.0)?;
        (start.bytes().last() == self.last).then_some(start)
    }
}
