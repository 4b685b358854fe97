//! Simulates how a new routing table reaches all nodes of a mesh, in virtual time over links of 10 to 200 Mbit/s.

mod calls;
mod fetching;
mod mesh;
mod network;
mod tables;

use camphorturn::state::{configuration::ConfigurationVersion, timestamp::Timestamp};
use mesh::{Mesh, Plan};
use std::{rc::Rc, time::Duration};
use tables::{Tables, build_service, build_table};

/// Time at which the first new version is published.
const FIRST_PUBLISHED_AT: Timestamp = Timestamp(1_000_000);
/// Longest allowed time from the first node that has a version in force to the last one.
const MAX_DISTRIBUTION_TIME: Duration = Duration::from_millis(2_500);
/// Longest allowed time in the larger meshes, of 300 and of 870 nodes.
const LARGE_MAX_DISTRIBUTION_TIME: Duration = Duration::from_secs(8);
/// Time that is simulated after the last publication.
const TIME_AFTER_LAST_PUBLICATION: Duration = Duration::from_secs(12);
/// Numbers of routes and services before a large publication, after it, and after the small one that follows.
const SIZES: [(usize, usize); 3] = [(19, 12), (1_419, 12), (1_420, 12)];
/// Changes of the configuration per second at the size that the software is designed for: 2,700 per day.
const CHANGES_PER_SECOND: f64 = 2_700.0 / 86_400.0;
/// Bytes per second that a node may send and receive for control traffic.
const MAX_CONTROL_BYTES_PER_SECOND: f64 = 3_000.0;
/// Bytes received with a check or its answer: headers, a version and the opening of a connection.
const CHECK_BYTES: usize = 320;
/// Pause between the requests of a node to other nodes.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

const SMALL_PLAN: Plan = Plan {
    nodes: 60,
    zones: 3,
    seed: 0,
    down_one_in: 0,
    loses_readers: false,
    request_pause: None,
};
const LARGE_PLAN: Plan = Plan {
    nodes: 870,
    zones: 5,
    ..SMALL_PLAN
};

/// Simulates the publication of one version after the other.
fn simulate(plan: Plan, tables: &Rc<Tables>, pause: Duration) -> Mesh {
    let mut mesh = Mesh::new(plan, tables, ConfigurationVersion(1));
    let mut at = FIRST_PUBLISHED_AT;
    for version in 2..=tables.newest().0 {
        mesh.publish(ConfigurationVersion(version), at);
        at = at + pause;
    }
    mesh.run(at + TIME_AFTER_LAST_PUBLICATION);
    mesh
}

fn large_change() -> Rc<Tables> {
    Rc::new(Tables::new(&SIZES[..2]))
}

fn small_change() -> Rc<Tables> {
    Rc::new(Tables::new(&SIZES[1..]))
}

/// Result of a simulated publication.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Number of nodes that are up and lack the version.
    nodes_without_version: usize,
    /// Time from the first node that had the version in force to the last.
    distribution_time: Duration,
    /// Largest number of tables that one node received beyond one per version and one per failed fetch.
    surplus: usize,
    /// Failed fetches of all nodes.
    failed_fetches: usize,
    /// Bytes that a node received on average.
    bytes_in: usize,
    most_bytes_in: usize,
    most_bytes_out: usize,
}

fn evaluate(mesh: &Mesh, version: ConfigurationVersion) -> Outcome {
    let first = mesh
        .nodes
        .iter()
        .filter_map(|node| node.in_force_since(version))
        .min();
    let first = first.expect("a reader has the version");
    let versions = usize::try_from(version.0 - 1).expect("few versions");
    let mut outcome = Outcome::default();
    for (number, node) in mesh.nodes.iter().enumerate() {
        outcome.bytes_in += mesh.network.bytes_in(number) / mesh.nodes.len();
        outcome.most_bytes_in = outcome.most_bytes_in.max(mesh.network.bytes_in(number));
        outcome.most_bytes_out = outcome.most_bytes_out.max(mesh.network.bytes_out(number));
        if node.is_down() {
            continue;
        }
        match node.in_force_since(version) {
            Some(at) => outcome.distribution_time = outcome.distribution_time.max(at.since(first)),
            None => outcome.nodes_without_version += 1,
        }
        let surplus = node
            .received_tables
            .saturating_sub(versions + node.failed_fetches);
        outcome.surplus = outcome.surplus.max(surplus);
        outcome.failed_fetches += node.failed_fetches;
    }
    outcome
}

/// Simulates a plan with several seeds. Checks that all nodes that are up get the newest version in time, by one fetch each.
fn check_all(
    plan: Plan,
    tables: &Rc<Tables>,
    seeds: impl IntoIterator<Item = u64>,
    max_time: Duration,
) -> Vec<Outcome> {
    let simulate_seed = |seed| {
        let plan = Plan { seed, ..plan };
        let mesh = simulate(plan, tables, Duration::from_millis(1_500));
        let outcome = evaluate(&mesh, tables.newest());
        assert_eq!(outcome.nodes_without_version, 0, "{plan:?}: {outcome:?}");
        assert!(
            outcome.distribution_time <= max_time,
            "{plan:?}: {outcome:?}"
        );
        assert_eq!(outcome.surplus, 0, "{plan:?}: {outcome:?}");
        outcome
    };
    seeds.into_iter().map(simulate_seed).collect()
}

/// Largest number of bytes that a node may receive for a change of this size: the change once, the offers and requests for it, and
/// two checks by its predecessor with the answers to two checks of its own.
const fn max_bytes_in(change: usize) -> usize {
    change + change / 20 + 6_000 + 4 * CHECK_BYTES
}

/// Simulates one change in meshes of three sizes and prints the results. The figures in docs/CAPACITY.md come from here:
/// `cargo test --test integration spread_ -- --nocapture`.
fn check_change(name: &str, tables: &Rc<Tables>) -> Vec<Outcome> {
    let change = tables.size_of_change(ConfigurationVersion(1), tables.newest());
    let change = change.expect("the newest version has changes");
    let sizes = [
        (60, 3, 8, MAX_DISTRIBUTION_TIME),
        (300, 5, 2, LARGE_MAX_DISTRIBUTION_TIME),
        (870, 5, 2, LARGE_MAX_DISTRIBUTION_TIME),
    ];
    let mut all = Vec::new();
    for (nodes, zones, seeds, max_time) in sizes {
        let plan = Plan {
            nodes,
            zones,
            ..SMALL_PLAN
        };
        for outcome in check_all(plan, tables, 0..seeds, max_time) {
            println!("{name}, {change} B, {nodes} nodes: {outcome:?}");
            assert_eq!(outcome.failed_fetches, 0, "{outcome:?}");
            assert!(outcome.most_bytes_in <= max_bytes_in(change), "{outcome:?}");
            all.push(outcome);
        }
    }
    all
}

#[test]
fn spread_large_change() {
    check_change("1,400 routes", &large_change());
}

#[test]
fn spread_small_change() {
    check_change("one route of 1,420", &small_change());
}

/// Tables with 400 routes whose change adds one service to 100. No route changes its service.
fn tables_with_new_service() -> Rc<Tables> {
    let mut next = build_table(2, 400, 100);
    next.services.push(build_service(100));
    Rc::new(Tables::from_versions(vec![build_table(1, 400, 100), next]))
}

/// Meshes with 100 services and 400 routes, in which a route or a service is added 2,700 times a day.
#[test]
fn spread_usual_changes() {
    let added_route = Rc::new(Tables::new(&[(399, 100), (400, 100)]));
    let whole_size = added_route.size_of_change(ConfigurationVersion(0), added_route.newest());
    println!("whole table of 400 routes: {whole_size:?} B");
    for (name, tables) in [
        ("one more route, 400 routes", added_route),
        ("one more service, 100 services", tables_with_new_service()),
    ] {
        for outcome in check_change(name, &tables) {
            let bytes = outcome.most_bytes_in + outcome.most_bytes_out;
            let bytes = f64::from(u32::try_from(bytes).expect("few bytes"));
            println!(
                "{name}: at most {:.0} B/s in and out",
                bytes * CHANGES_PER_SECOND
            );
            assert!(bytes * CHANGES_PER_SECOND <= MAX_CONTROL_BYTES_PER_SECOND);
        }
    }
}

/// Guards against a new route that is answered with 404 for seconds. It is published while a change of 1,400 other routes is
/// still being distributed; if all of these are sent again, the new route is late.
#[test]
fn spread_small_after_large_change() {
    let tables = Rc::new(Tables::new(&SIZES));
    check_all(SMALL_PLAN, &tables, 0..8, MAX_DISTRIBUTION_TIME);
    check_all(LARGE_PLAN, &tables, 0..1, LARGE_MAX_DISTRIBUTION_TIME);
}

/// Guards against many nodes that fetch a table from the same node because requests between nodes report its version too.
#[test]
fn spread_with_requests() {
    let request_pause = Some(REQUEST_PAUSE);
    let plan = Plan {
        request_pause,
        ..SMALL_PLAN
    };
    check_all(plan, &large_change(), 0..8, MAX_DISTRIBUTION_TIME);
    let plan = Plan {
        request_pause,
        ..LARGE_PLAN
    };
    check_all(plan, &large_change(), 0..1, LARGE_MAX_DISTRIBUTION_TIME);
}

/// Guards against nodes that never get a version because a node that is to forward the offer to them is down.
#[test]
fn spread_past_down_nodes() {
    let down_one_in = 8;
    let plan = Plan {
        down_one_in,
        ..SMALL_PLAN
    };
    check_all(plan, &large_change(), 0..8, MAX_DISTRIBUTION_TIME);
    let plan = Plan {
        down_one_in,
        ..LARGE_PLAN
    };
    check_all(plan, &large_change(), 0..2, LARGE_MAX_DISTRIBUTION_TIME);
}

/// Guards against most nodes of a zone lacking a version after a reader offered it and was lost before any node fetched it. The
/// other reader got the version from a node with that offer, so its own read returns nothing new and it offers nothing.
#[test]
fn spread_from_lost_reader_without_requests() {
    let plan = Plan {
        loses_readers: true,
        ..SMALL_PLAN
    };
    check_all(plan, &large_change(), 0..8, MAX_DISTRIBUTION_TIME);
    let plan = Plan {
        loses_readers: true,
        ..LARGE_PLAN
    };
    check_all(plan, &large_change(), 0..2, LARGE_MAX_DISTRIBUTION_TIME);
}

/// Guards against one or two nodes lacking a version although both readers offered it. A reader accepts the offer of the other
/// one, forwards it as its own offer and is lost. It is an inner node of the other reader's distribution tree, so the nodes below it
/// learn of the version from no other node. The seeds are those of 0 to 199 in which that happens.
#[test]
fn spread_past_lost_reader_without_requests() {
    let plan = Plan {
        loses_readers: true,
        ..SMALL_PLAN
    };
    check_all(plan, &large_change(), [81, 111, 130], MAX_DISTRIBUTION_TIME);
}

/// Guards against nodes that lack a version after a reader offered it and was lost before any node fetched it, while requests
/// report the version. Nodes that know of the version only from requests wait for an offer that does not come.
#[test]
fn spread_from_lost_reader_with_requests() {
    let plan = Plan {
        loses_readers: true,
        request_pause: Some(REQUEST_PAUSE),
        ..SMALL_PLAN
    };
    check_all(plan, &large_change(), 0..8, MAX_DISTRIBUTION_TIME);
    let plan = Plan {
        loses_readers: true,
        request_pause: Some(REQUEST_PAUSE),
        ..LARGE_PLAN
    };
    check_all(plan, &large_change(), 0..1, LARGE_MAX_DISTRIBUTION_TIME);
}

#[test]
fn simulate_same_seed() {
    let plan = Plan {
        down_one_in: 8,
        request_pause: Some(REQUEST_PAUSE),
        ..SMALL_PLAN
    };
    let describe = || {
        let mesh = simulate(plan, &large_change(), Duration::ZERO);
        let nodes = mesh.nodes.iter();
        let versions: Vec<_> = nodes.map(|node| node.in_force.clone()).collect();
        format!(
            "{versions:?} {:?}",
            evaluate(&mesh, ConfigurationVersion(2))
        )
    };
    assert_eq!(describe(), describe());
}
