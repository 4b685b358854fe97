//! Looking up the route of a request.

use bolero::check;
use camphorturn::state::{
    configuration::ConfigurationVersion,
    routing_table::{ClientLimits, Route, RouteIndex, RoutingTable, WeightedService},
};
use std::{cmp::Reverse, rc::Rc, time::Duration};

/// Pieces that drawn prefixes and paths are put together from: few, so that many of them fit.
const PIECES: [&str; 8] = ["/", "/", "/", "a", "b", "é", "", ""];
/// Hosts of drawn routes. Tables from elsewhere may hold one in upper case.
const HOSTS: [&str; 3] = ["shop.example", "SHOP.example", "desk.example"];
/// Hosts as clients write them.
const ASKED: [&str; 6] = [
    "shop.example",
    "SHOP.example",
    "Shop.Example:8080",
    "desk.example:80",
    "DESK.EXAMPLE",
    "other.example",
];

fn route(class: usize, host: &str, prefix: &str) -> Rc<Route> {
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
    })
}

fn table<'a>(places: impl IntoIterator<Item = (&'a str, &'a str)>) -> RoutingTable {
    let places = places.into_iter().enumerate();
    RoutingTable {
        version: ConfigurationVersion(1),
        routes: places
            .map(|(class, (host, prefix))| route(class, host, prefix))
            .collect(),
        services: Vec::new(),
        limits: ClientLimits::default(),
    }
}

/// The route with the longest prefix, the first in the table among those of one length, by looking at all of them.
fn search<'a>(table: &'a RoutingTable, asked: &str, path: &str) -> Option<&'a Rc<Route>> {
    let name = asked.rsplit_once(':').map_or(asked, |(name, _port)| name);
    let of = |host: &str| -> Vec<&'a Rc<Route>> {
        let routes = table.routes.iter();
        routes.filter(|route| route.host == host).collect()
    };
    let mut routes = of(name);
    if routes.is_empty() {
        routes = of(&name.to_ascii_lowercase());
    }
    let fitting = routes
        .into_iter()
        .filter(|route| path.starts_with(route.path_prefix.as_str()));
    // Of several least ones `min_by_key` gives the first.
    fitting.min_by_key(|route| Reverse(route.path_prefix.len()))
}

fn spell(drawn: &[u8]) -> String {
    let pieces = drawn.iter().map(|at| PIECES[usize::from(*at) % 8]);
    pieces.collect()
}

fn classes_at<'a>(index: &'a RouteIndex, paths: &[&str]) -> Vec<&'a str> {
    let class = |path: &&str| {
        let found = index.find_route("shop.example", path);
        found.map_or("none", |route| route.class.as_str())
    };
    paths.iter().map(class).collect()
}

#[test]
fn find_same_as_search() {
    check!()
        .with_type::<(Vec<(u8, [u8; 5])>, Vec<[u8; 8]>)>()
        .for_each(|(places, paths)| {
            let places: Vec<(&str, String)> = places
                .iter()
                .map(|(host, prefix)| (HOSTS[usize::from(*host) % 3], spell(prefix)))
                .collect();
            let table = table(places.iter().map(|(host, prefix)| (*host, prefix.as_str())));
            let index = RouteIndex::new(table.clone());
            let below = places.iter().map(|(_, prefix)| format!("{prefix}a/b"));
            for path in paths.iter().map(|path| spell(path)).chain(below) {
                for asked in ASKED {
                    assert_eq!(
                        index.find_route(asked, &path),
                        search(&table, asked, &path),
                        "{asked} {path}"
                    );
                }
            }
        });
}

#[test]
fn find_odd_prefix() {
    let prefixes = ["/a", "/a/", "", "/a/bé", "/a/b/"];
    let index = RouteIndex::new(table(prefixes.map(|prefix| ("shop.example", prefix))));
    let paths = ["/ab", "/a/", "x", "/a/béc", "/a/bè", "/a/b/é", ""];
    assert_eq!(
        classes_at(&index, &paths),
        ["0", "1", "2", "3", "1", "4", "2"]
    );
}

#[test]
fn find_first_of_same_prefix() {
    let prefixes = ["/a/", "/a/b/", "/a/", "/a/b/"];
    let index = RouteIndex::new(table(prefixes.map(|prefix| ("shop.example", prefix))));
    assert_eq!(
        classes_at(&index, &["/a/", "/a/b/c", "/c/"]),
        ["0", "1", "none"]
    );
}
