//! Route lookup by host and path.

use bolero::check;
use camphorturn::state::{
    configuration::ConfigurationVersion,
    routing_table::{ClientLimits, Route, RouteIndex, RoutingTable, WeightedService},
};
use std::{cmp::Reverse, rc::Rc, time::Duration};

/// Parts of generated prefixes and paths. There are few of them, so that many paths match a prefix.
const PARTS: [&str; 8] = ["/", "/", "/", "a", "b", "é", "", ""];
/// Hosts of generated routes. Tables from other sources may have a host in upper case.
const ROUTE_HOSTS: [&str; 3] = ["shop.example", "SHOP.example", "desk.example"];
/// `Host` headers as clients write them.
const REQUEST_HOSTS: [&str; 6] = [
    "shop.example",
    "SHOP.example",
    "Shop.Example:8080",
    "desk.example:80",
    "DESK.EXAMPLE",
    "other.example",
];

fn build_route(class: usize, host: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        class: class.to_string().as_str().into(),
        host: host.into(),
        path_prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        services: vec![WeightedService {
            service: "desk".into(),
            weight: 1,
        }],
        is_public: false,
    })
}

fn build_table<'a>(locations: impl IntoIterator<Item = (&'a str, &'a str)>) -> RoutingTable {
    let locations = locations.into_iter().enumerate();
    RoutingTable {
        version: ConfigurationVersion(1),
        routes: locations
            .map(|(class, (host, prefix))| build_route(class, host, prefix))
            .collect(),
        services: Vec::new(),
        limits: ClientLimits::default(),
        organisations: None,
    }
}

/// Finds the route with the longest matching prefix by comparing all routes. Of routes with equally long prefixes, it finds the
/// first in the table.
fn find_by_scan<'a>(
    table: &'a RoutingTable,
    host_header: &str,
    path: &str,
) -> Option<&'a Rc<Route>> {
    let name = host_header
        .rsplit_once(':')
        .map_or(host_header, |(name, _port)| name);
    let list_routes = |host: &str| -> Vec<&'a Rc<Route>> {
        let routes = table.routes.iter();
        routes.filter(|route| route.host == host).collect()
    };
    let mut routes = list_routes(name);
    if routes.is_empty() {
        routes = list_routes(&name.to_ascii_lowercase());
    }
    let matching = routes
        .into_iter()
        .filter(|route| path.starts_with(route.path_prefix.as_str()));
    // Of several minimum elements, `min_by_key` returns the first.
    matching.min_by_key(|route| Reverse(route.path_prefix.len()))
}

fn build_path(generated: &[u8]) -> String {
    let parts = generated
        .iter()
        .map(|number| PARTS[usize::from(*number) % 8]);
    parts.collect()
}

fn find_classes<'a>(index: &'a RouteIndex, paths: &[&str]) -> Vec<&'a str> {
    let class = |path: &&str| {
        let found = index.find_route("shop.example", path);
        found.map_or("none", |route| route.class.as_str())
    };
    paths.iter().map(class).collect()
}

#[test]
fn find_route_same_as_scan() {
    check!()
        .with_type::<(Vec<(u8, [u8; 5])>, Vec<[u8; 8]>)>()
        .for_each(|(locations, paths)| {
            let locations: Vec<(&str, String)> = locations
                .iter()
                .map(|(host, prefix)| (ROUTE_HOSTS[usize::from(*host) % 3], build_path(prefix)))
                .collect();
            let table = build_table(
                locations
                    .iter()
                    .map(|(host, prefix)| (*host, prefix.as_str())),
            );
            let index = RouteIndex::new(table.clone());
            let paths_below = locations.iter().map(|(_, prefix)| format!("{prefix}a/b"));
            for path in paths.iter().map(|path| build_path(path)).chain(paths_below) {
                for host_header in REQUEST_HOSTS {
                    assert_eq!(
                        index.find_route(host_header, &path),
                        find_by_scan(&table, host_header, &path),
                        "{host_header} {path}"
                    );
                }
            }
        });
}

#[test]
fn find_route_unusual_prefixes() {
    let prefixes = ["/a", "/a/", "", "/a/bé", "/a/b/"];
    let index = RouteIndex::new(build_table(prefixes.map(|prefix| ("shop.example", prefix))));
    let paths = ["/ab", "/a/", "x", "/a/béc", "/a/bè", "/a/b/é", ""];
    assert_eq!(
        find_classes(&index, &paths),
        ["0", "1", "2", "3", "1", "4", "2"]
    );
}

#[test]
fn find_route_duplicate_prefix_first_wins() {
    let prefixes = ["/a/", "/a/b/", "/a/", "/a/b/"];
    let index = RouteIndex::new(build_table(prefixes.map(|prefix| ("shop.example", prefix))));
    assert_eq!(
        find_classes(&index, &["/a/", "/a/b/c", "/c/"]),
        ["0", "1", "none"]
    );
}
