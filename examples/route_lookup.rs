//! Measures how long the lookup of a route takes, by the number of routes of a host.
//!
//! Nine in ten request paths match a route, the others match none. Their order is random. `--seconds N` sets the duration
//! for each number of routes.

use camphorturn::state::{
    configuration::ConfigurationVersion,
    routing_table::{ClientLimits, Route, RouteIndex, RoutingTable, WeightedService},
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use std::{
    env,
    hint::black_box,
    rc::Rc,
    time::{Duration, Instant},
};

/// Numbers of routes of the host: few, many, and more than the largest configurations have.
const ROUTE_COUNTS: [usize; 3] = [20, 1_400, 5_600];
const HOST: &str = "shop.example";
/// A fixed seed, so that the order of the paths is the same each time.
const SEED: u64 = 7;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let seconds = arguments
        .iter()
        .position(|argument| argument == "--seconds")
        .and_then(|at| arguments.get(at + 1)?.parse().ok())
        .unwrap_or(2);
    println!("| routes | lookups | ns per lookup | us to build the index |");
    println!("|---|---|---|---|");
    for route_count in ROUTE_COUNTS {
        measure_lookups(route_count, Duration::from_secs(seconds));
    }
}

fn measure_lookups(route_count: usize, duration: Duration) {
    let table = build_table(route_count);
    let started = Instant::now();
    let index = RouteIndex::new(table);
    let build_micros = started.elapsed().as_micros();
    let paths = build_request_paths(route_count);
    let (mut lookups, mut paths_with_route) = (0_u128, 0_u128);
    let started = Instant::now();
    while started.elapsed() < duration {
        for path in &paths {
            let route = black_box(&index).find_route(HOST, black_box(path));
            paths_with_route += u128::from(route.is_some());
        }
        lookups += paths.len() as u128;
    }
    let nanos_per_lookup = started.elapsed().as_nanos() / lookups;
    assert!(paths_with_route > 0, "no path has a route");
    println!("| {route_count} | {lookups} | {nanos_per_lookup} | {build_micros} |");
}

fn build_path_prefix(number: usize) -> String {
    format!("/part-{}/unit-{number}/", number % 7)
}

fn build_request_paths(route_count: usize) -> Vec<String> {
    let mut paths: Vec<String> = (0..route_count)
        .map(|number| match number % 10 {
            0 => format!("/other-{number}/orders/{number}/lines"),
            _ => format!("{}orders/{number}/lines", build_path_prefix(number)),
        })
        .collect();
    paths.shuffle(&mut StdRng::seed_from_u64(SEED));
    paths
}

fn build_table(route_count: usize) -> RoutingTable {
    let build_route = |number: usize| Route {
        class: format!("unit-{number}").as_str().into(),
        host: HOST.into(),
        path_prefix: build_path_prefix(number).into(),
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
    };
    RoutingTable {
        version: ConfigurationVersion(1),
        routes: (0..route_count).map(build_route).map(Rc::new).collect(),
        services: Vec::new(),
        limits: ClientLimits::default(),
        organisations: None,
    }
}
