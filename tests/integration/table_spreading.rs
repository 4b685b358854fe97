//! How a new routing table reaches all nodes of a mesh, in virtual time over links of 10 to 200 Mbit/s.

mod calls;
mod glue;
mod mesh;
mod network;
mod tables;

use camphorturn::state::{configuration::ConfigurationVersion, timestamp::Timestamp};
use mesh::{Mesh, Plan};
use std::{rc::Rc, time::Duration};
use tables::{Tables, build_service, build_table};

/// When the first version is published.
const PUBLISHED: Timestamp = Timestamp(1_000_000);
/// Longest time until a version is in force at all nodes, from the first that has it.
const BOUND: Duration = Duration::from_millis(2_500);
/// The same in a mesh of 870 nodes.
const LARGE_BOUND: Duration = Duration::from_secs(8);
/// Time that is played after the last publication.
const PLAYED: Duration = Duration::from_secs(12);
/// Routes and services before and after a large publication, and after the small one that follows.
const SIZES: [(usize, usize); 3] = [(19, 12), (1_419, 12), (1_420, 12)];
/// Changes of the configuration a second at the size to design for: 2,700 a day.
const CHANGES: f64 = 2_700.0 / 86_400.0;
/// Bytes a second that a node may spend on control.
const CONTROL_BYTES: f64 = 3_000.0;
/// Bytes that come in with a check or its answer: heads, a version, what opens a connection.
const CHECK_BYTES: usize = 320;
/// Pause of a node between requests to others.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

const PLAN: Plan = Plan {
    nodes: 60,
    zones: 3,
    seed: 0,
    dark_one_in: 0,
    loses_readers: false,
    request_pause: None,
};
const LARGE: Plan = Plan {
    nodes: 870,
    zones: 5,
    ..PLAN
};

/// Plays publications of one version after the other.
fn play(plan: Plan, tables: &Rc<Tables>, pause: Duration) -> Mesh {
    let mut mesh = Mesh::new(plan, tables, ConfigurationVersion(1));
    let mut at = PUBLISHED;
    for version in 2..=tables.newest().0 {
        mesh.publish(ConfigurationVersion(version), at);
        at = at + pause;
    }
    mesh.run(at + PLAYED);
    mesh
}

fn large_change() -> Rc<Tables> {
    Rc::new(Tables::new(&SIZES[..2]))
}

fn small_change() -> Rc<Tables> {
    Rc::new(Tables::new(&SIZES[1..]))
}

/// What came of a publication.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Nodes that are not dark and lack it.
    lacking: usize,
    /// From the first node that had it to the last.
    took: Duration,
    /// Most copies that one node took in beyond one a version and one for each question that failed.
    surplus: usize,
    failed: usize,
    /// Of a mean node.
    bytes_in: usize,
    most_bytes_in: usize,
    most_bytes_out: usize,
}

fn judge(mesh: &Mesh, version: ConfigurationVersion) -> Outcome {
    let first = mesh.nodes.iter().filter_map(|node| node.had(version)).min();
    let first = first.expect("a reader has it");
    let versions = usize::try_from(version.0 - 1).expect("few versions");
    let mut outcome = Outcome::default();
    for (number, node) in mesh.nodes.iter().enumerate() {
        outcome.bytes_in += mesh.network.bytes_in(number) / mesh.nodes.len();
        outcome.most_bytes_in = outcome.most_bytes_in.max(mesh.network.bytes_in(number));
        outcome.most_bytes_out = outcome.most_bytes_out.max(mesh.network.bytes_out(number));
        if node.is_dark() {
            continue;
        }
        match node.had(version) {
            Some(at) => outcome.took = outcome.took.max(at.since(first)),
            None => outcome.lacking += 1,
        }
        let surplus = node.copies.saturating_sub(versions + node.failed);
        outcome.surplus = outcome.surplus.max(surplus);
        outcome.failed += node.failed;
    }
    outcome
}

/// Plays a plan with several seeds; all nodes that are not dark have the version in time, each by one copy.
fn check_all(
    plan: Plan,
    tables: &Rc<Tables>,
    seeds: impl IntoIterator<Item = u64>,
    bound: Duration,
) -> Vec<Outcome> {
    let play_seed = |seed| {
        let plan = Plan { seed, ..plan };
        let mesh = play(plan, tables, Duration::from_millis(1_500));
        let outcome = judge(&mesh, tables.newest());
        assert_eq!(outcome.lacking, 0, "{plan:?}: {outcome:?}");
        assert!(outcome.took <= bound, "{plan:?}: {outcome:?}");
        assert_eq!(outcome.surplus, 0, "{plan:?}: {outcome:?}");
        outcome
    };
    seeds.into_iter().map(play_seed).collect()
}

/// Bytes that a node takes in at most for a change of so many: that once, what it takes to offer and ask, and two checks by
/// the node before it with the answers to two of its own.
const fn byte_bound(change: usize) -> usize {
    change + change / 20 + 6_000 + 4 * CHECK_BYTES
}

/// Plays one change in meshes of three sizes and prints its figures; those of docs/CAPACITY.md come from here:
/// `cargo test --test integration spread_ -- --nocapture`.
fn check_change(name: &str, tables: &Rc<Tables>) -> Vec<Outcome> {
    let change = tables.size_of_change(ConfigurationVersion(1), tables.newest());
    let change = change.expect("it is newer");
    let sizes = [
        (60, 3, 8, BOUND),
        (300, 5, 2, LARGE_BOUND),
        (870, 5, 2, LARGE_BOUND),
    ];
    let mut all = Vec::new();
    for (nodes, zones, seeds, bound) in sizes {
        let plan = Plan {
            nodes,
            zones,
            ..PLAN
        };
        for outcome in check_all(plan, tables, 0..seeds, bound) {
            println!("{name}, {change} B, {nodes} nodes: {outcome:?}");
            assert_eq!(outcome.failed, 0, "{outcome:?}");
            assert!(outcome.most_bytes_in <= byte_bound(change), "{outcome:?}");
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

/// A service more than 100, none of whose 400 routes move.
fn service_more() -> Rc<Tables> {
    let mut next = build_table(2, 400, 100);
    next.services.push(build_service(100));
    Rc::new(Tables::of(vec![build_table(1, 400, 100), next]))
}

/// 100 services and 400 routes, one more 2,700 times a day.
#[test]
fn spread_usual_changes() {
    let route_more = Rc::new(Tables::new(&[(399, 100), (400, 100)]));
    let whole = route_more.size_of_change(ConfigurationVersion(0), route_more.newest());
    println!("whole table of 400 routes: {whole:?} B");
    for (name, tables) in [
        ("a route more of 400", route_more),
        ("a service more of 100", service_more()),
    ] {
        for outcome in check_change(name, &tables) {
            let bytes = outcome.most_bytes_in + outcome.most_bytes_out;
            let bytes = f64::from(u32::try_from(bytes).expect("few bytes"));
            println!("{name}: at most {:.0} B/s in and out", bytes * CHANGES);
            assert!(bytes * CHANGES <= CONTROL_BYTES);
        }
    }
}

/// Symptom: a route more is answered 404 for seconds. Sequence: it is published while 1,400 others are still on their way.
/// Cause: all of them are told again.
#[test]
fn spread_small_after_large_change() {
    let tables = Rc::new(Tables::new(&SIZES));
    check_all(PLAN, &tables, 0..8, BOUND);
    check_all(LARGE, &tables, 0..1, LARGE_BOUND);
}

/// Requests tell versions too, and so lead many nodes to the same.
#[test]
fn spread_with_requests() {
    let request_pause = Some(REQUEST_PAUSE);
    let plan = Plan {
        request_pause,
        ..PLAN
    };
    check_all(plan, &large_change(), 0..8, BOUND);
    let plan = Plan {
        request_pause,
        ..LARGE
    };
    check_all(plan, &large_change(), 0..1, LARGE_BOUND);
}

/// Symptom: nodes lack a version. Sequence: a node that is to pass it on is dark. Cause: the nodes behind it aren't told.
#[test]
fn spread_past_dark_nodes() {
    let dark_one_in = 8;
    let plan = Plan {
        dark_one_in,
        ..PLAN
    };
    check_all(plan, &large_change(), 0..8, BOUND);
    let plan = Plan {
        dark_one_in,
        ..LARGE
    };
    check_all(plan, &large_change(), 0..2, LARGE_BOUND);
}

/// Symptom: most nodes of a zone lack a version. Sequence: a reader offers it and is lost before it is asked. Cause: the other
/// reader took it from a node that was offered it, so its own read brings nothing new and it tells nobody.
#[test]
fn spread_from_lost_reader_in_quiet_mesh() {
    let plan = Plan {
        loses_readers: true,
        ..PLAN
    };
    check_all(plan, &large_change(), 0..8, BOUND);
    let plan = Plan {
        loses_readers: true,
        ..LARGE
    };
    check_all(plan, &large_change(), 0..2, LARGE_BOUND);
}

/// Symptom: a node or two lack a version, though both readers offered it. Sequence: a reader takes the other's offer, passes it
/// on in its own name and is lost. Cause: it stands in the middle of the other's tree, so the nodes behind it have heard of
/// the version from nobody else. The seeds are those of 0 to 199 in which that happens.
#[test]
fn spread_past_lost_reader_in_quiet_mesh() {
    let plan = Plan {
        loses_readers: true,
        ..PLAN
    };
    check_all(plan, &large_change(), [81, 111, 130], BOUND);
}

/// Symptom: nodes lack a version. Sequence: a reader offers it and is lost before it is asked, while requests tell of the
/// version. Cause: nodes that heard of it wait for an offer that does not come.
#[test]
fn spread_from_lost_reader_with_requests() {
    let plan = Plan {
        loses_readers: true,
        request_pause: Some(REQUEST_PAUSE),
        ..PLAN
    };
    check_all(plan, &large_change(), 0..8, BOUND);
    let plan = Plan {
        loses_readers: true,
        request_pause: Some(REQUEST_PAUSE),
        ..LARGE
    };
    check_all(plan, &large_change(), 0..1, LARGE_BOUND);
}

#[test]
fn play_is_the_same_each_time() {
    let plan = Plan {
        dark_one_in: 8,
        request_pause: Some(REQUEST_PAUSE),
        ..PLAN
    };
    let describe = || {
        let mesh = play(plan, &large_change(), Duration::ZERO);
        let nodes = mesh.nodes.iter();
        let taken: Vec<_> = nodes.map(|node| node.in_force.clone()).collect();
        format!("{taken:?} {:?}", judge(&mesh, ConfigurationVersion(2)))
    };
    assert_eq!(describe(), describe());
}
