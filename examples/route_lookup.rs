//! Measures the time of looking up a request's route by the number of routes of one host.
//!
//! Each path lies below one of the routes, in a drawn order; one in ten lies below none of them. `--seconds N` sets the
//! time spent on each size.

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

/// Routes of the host: few, many, and more than the largest configurations have.
const SIZES: [usize; 3] = [20, 1_400, 5_600];
const HOST: &str = "shop.example";
/// Same paths in the same order at every run.
const SEED: u64 = 7;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let seconds = arguments
        .iter()
        .position(|argument| argument == "--seconds")
        .and_then(|at| arguments.get(at + 1)?.parse().ok())
        .unwrap_or(2);
    println!("| routes | lookups | ns a lookup | us to make ready |");
    println!("|---|---|---|---|");
    for size in SIZES {
        run_size(size, Duration::from_secs(seconds));
    }
}

fn run_size(size: usize, span: Duration) {
    let table = build_table(size);
    let began = Instant::now();
    let index = RouteIndex::new(table);
    let ready = began.elapsed().as_micros();
    let paths = draw_paths(size);
    let (mut lookups, mut found) = (0_u128, 0_u128);
    let began = Instant::now();
    while began.elapsed() < span {
        for path in &paths {
            let route = black_box(&index).find_route(HOST, black_box(path));
            found += u128::from(route.is_some());
        }
        lookups += paths.len() as u128;
    }
    let nanos = began.elapsed().as_nanos() / lookups;
    assert!(found > 0, "no path has a route");
    println!("| {size} | {lookups} | {nanos} | {ready} |");
}

fn name(number: usize) -> String {
    format!("/part-{}/unit-{number}/", number % 7)
}

fn draw_paths(size: usize) -> Vec<String> {
    let mut paths: Vec<String> = (0..size)
        .map(|number| match number % 10 {
            0 => format!("/other-{number}/orders/{number}/lines"),
            _ => format!("{}orders/{number}/lines", name(number)),
        })
        .collect();
    paths.shuffle(&mut StdRng::seed_from_u64(SEED));
    paths
}

fn build_table(size: usize) -> RoutingTable {
    let route = |number: usize| Route {
        class: format!("unit-{number}").as_str().into(),
        host: HOST.into(),
        path_prefix: name(number).into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        services: vec![WeightedService {
            service: "desk".into(),
            weight: 1,
        }],
    };
    RoutingTable {
        version: ConfigurationVersion(1),
        routes: (0..size).map(route).map(Rc::new).collect(),
        services: Vec::new(),
        limits: ClientLimits::default(),
    }
}
