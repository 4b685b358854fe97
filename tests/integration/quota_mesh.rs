//! Quotas over many nodes in virtual time: drawn loads, delays, lost messages, killed keepers and nodes that are cut off.

mod bound;
mod faults;
mod node;
mod simulation;

use simulation::{Event, Mesh, Plan, SECOND_MICROS};
use std::time::Duration;

fn draw_plan(seed: u64, bytes: [u8; 8]) -> Plan {
    let [nodes, rate, load, delay, loss, kills, cut_off, burst] = bytes;
    Plan {
        seed,
        nodes: 3 + nodes % 98,
        zones: 1 + burst / 2 % 4,
        rate: 1 + u32::from(rate) % 160,
        load: 0.2 + f64::from(load) / 255.0 * 8.0,
        delay_micros: 200 + u64::from(delay) * 150,
        loss: f64::from(loss % 4) * 0.01,
        kills: kills % 3,
        cut_off: usize::from(cut_off % 4)
            .max(usize::from(cut_off % 4) * (3 + usize::from(nodes % 98)) / 12),
        burst: burst % 2 == 0,
        stalls: kills / 3 % 4,
        changes: cut_off / 4 % 3,
        returns: f64::from(loss / 4 % 4) * 0.1,
    }
}

/// Failure: an organisation exceeds its quota and the tolerated excess in some window, because several nodes grant credit at once,
/// a new keeper doesn't know what was spent, or nodes that are cut off admit too much.
#[test]
fn admit_within_bound_over_random_meshes() {
    bolero::check!()
        .with_type::<(u64, [u8; 8])>()
        .with_iterations(150)
        .with_test_time(Duration::from_mins(2))
        .for_each(|(seed, bytes)| {
            let mut mesh = Mesh::new(draw_plan(*seed, *bytes));
            mesh.is_split = seed % 2 == 0;
            mesh.draw_events();
            mesh.run();
            mesh.assert_bound();
        });
}

/// Failure: requests are refused although the organisation stays within its quota and the keeper can be reached.
#[test]
fn admit_all_below_limit() {
    for (seed, nodes) in [(1, 9), (2, 89), (3, 200)] {
        for rate in [3, 8, 40, 156] {
            let mut mesh = Mesh::new(Plan::calm(seed, nodes, rate));
            let interval = SECOND_MICROS / u64::from(rate) + 1;
            for number in 0..u64::from(rate) * 20 {
                let entry = mesh.draw_entry();
                mesh.schedule(number * interval, Event::Arrive(entry));
            }
            mesh.run();
            assert_eq!(mesh.refused, 0, "{nodes} nodes, {rate} a second");
            mesh.assert_bound();
        }
    }
}

/// Failure: thirty times the usual requests come within 100 ms through 89 nodes, and each node admits a few.
#[test]
fn admit_flood_through_many_nodes() {
    let mut mesh = Mesh::new(Plan::calm(7, 89, 8));
    for number in 0..150 {
        let entry = mesh.draw_entry();
        mesh.schedule(1_000_000 + number * 666, Event::Arrive(entry));
    }
    mesh.run();
    mesh.assert_bound();
    assert!(
        (8..=12).contains(&mesh.starts.len()),
        "{}",
        mesh.starts.len()
    );
}

/// Failure: a third of the nodes are cut off when an organisation begins to send eight times its limit. Each of them admits a request,
/// which together are more than the tolerated excess.
#[test]
fn admit_flood_while_many_nodes_are_cut_off() {
    for seed in 0..10 {
        let mut mesh = Mesh::new(Plan {
            load: 8.0,
            loss: 0.02,
            cut_off: 29,
            ..Plan::calm(seed, 89, 12)
        });
        for number in 0..29 {
            mesh.nodes[number * 3].cut_off = 5_500_000..9_500_000;
        }
        for number in 0..480 {
            let entry = mesh.draw_entry();
            mesh.schedule(6_000_000 + number * 10_000, Event::Arrive(entry));
        }
        mesh.run();
        mesh.assert_bound();
    }
}

/// Failure: the mesh is split while an organisation floods it, the first keeper grants the whole quota on its side, and the second one on
/// the other.
#[test]
fn admit_flood_while_mesh_is_split() {
    for seed in 0..4 {
        let mut mesh = Mesh::new(Plan {
            load: 8.0,
            ..Plan::calm(seed, 89, 236)
        });
        mesh.is_split = true;
        let first = mesh.keepers[0];
        let second = mesh.keepers[1];
        for number in 0..89 {
            if number == first || number != second && number % 9 < 4 {
                mesh.nodes[number].cut_off = 5_500_000..13_500_000;
            }
        }
        mesh.draw_events();
        mesh.run();
        mesh.assert_bound();
    }
}

/// Failure: a zone is cut off, or a fifth of the nodes stall, and requests of an organisation that is well below its quota are refused,
/// because the keepers that remain grant too little.
#[test]
fn admit_nearly_all_below_quota_under_faults() {
    for rate in [2, 3, 8, 40, 156, 236] {
        for is_cut in [true, false] {
            let (mut refused, mut total) = (0, 0);
            for seed in 0..4 {
                let mut mesh = Mesh::new(Plan::calm(seed, 89, rate));
                if is_cut {
                    mesh.is_split = true;
                    mesh.cut_off_zone(1, 5 * SECOND_MICROS..13 * SECOND_MICROS);
                } else {
                    for number in (0..89).step_by(5) {
                        mesh.nodes[number].stalled = 5 * SECOND_MICROS..9 * SECOND_MICROS;
                    }
                }
                mesh.send_evenly(1.0 / 1.6, 20);
                mesh.run();
                mesh.assert_bound();
                refused += mesh.refused;
                total += mesh.refused + mesh.starts.len();
            }
            assert!(
                refused * 100 <= total,
                "{refused} of {total} refused, {rate} a second, cut off: {is_cut}"
            );
        }
    }
}

/// Failure: after the quota was lowered, more than the new one is admitted for longer than a window.
#[test]
fn admit_lowered_quota() {
    for seed in 0..4 {
        let mut mesh = Mesh::new(Plan {
            load: 2.0,
            returns: 0.2,
            ..Plan::calm(seed, 89, 100)
        });
        mesh.draw_events();
        mesh.schedule(4 * SECOND_MICROS, Event::Change(20));
        mesh.run();
        let quota = mesh.quota();
        mesh.assert_bound_from(4 * SECOND_MICROS + 1, &quota);
    }
}

/// Failure: most requests need more than one message to a keeper, or an entry node asks all keepers for each request of an organisation
/// far beyond its quota.
#[test]
fn ask_few_keepers() {
    let mut usual = Mesh::new(Plan::calm(5, 89, 40));
    usual.send_evenly(1.0 / 1.6, 20);
    usual.run();
    let admitted = usual.starts.len();
    assert!(
        usual.messages * 10 <= admitted * 11,
        "{} messages for {admitted} requests",
        usual.messages
    );
    let mut flooded = Mesh::new(Plan::calm(5, 20, 40));
    flooded.send_evenly(50.0, 10);
    flooded.run();
    let requests = flooded.starts.len() + flooded.refused;
    assert!(
        flooded.messages * 2 <= requests,
        "{} messages for {requests} requests",
        flooded.messages
    );
}
