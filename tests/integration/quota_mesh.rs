//! Quotas over many nodes in virtual time: drawn loads, delays, lost messages, killed keepers and nodes that are cut off.

mod bound;
mod simulation;

use simulation::{Event, Mesh, Plan, SECOND_MICROS};
use std::time::Duration;

fn draw_plan(seed: u64, bytes: [u8; 8]) -> Plan {
    let [nodes, rate, load, delay, loss, kills, cut_off, burst] = bytes;
    Plan {
        seed,
        nodes: 3 + nodes % 98,
        rate: 1 + u32::from(rate) % 160,
        load: 0.2 + f64::from(load) / 255.0 * 8.0,
        delay_micros: 200 + u64::from(delay) * 150,
        loss: f64::from(loss % 4) * 0.01,
        kills: kills % 3,
        cut_off: usize::from(cut_off % 4)
            .max(usize::from(cut_off % 4) * (3 + usize::from(nodes % 98)) / 12),
        burst: burst % 2 == 0,
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
            let mut mesh = Mesh::new(Plan {
                seed,
                nodes,
                rate,
                load: 0.0,
                delay_micros: 2_000,
                loss: 0.0,
                kills: 0,
                cut_off: 0,
                burst: false,
            });
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
    let mut mesh = Mesh::new(Plan {
        seed: 7,
        nodes: 89,
        rate: 8,
        load: 0.0,
        delay_micros: 2_000,
        loss: 0.0,
        kills: 0,
        cut_off: 0,
        burst: false,
    });
    for number in 0..150 {
        let entry = mesh.draw_entry();
        mesh.schedule(1_000_000 + number * 666, Event::Arrive(entry));
    }
    mesh.run();
    mesh.assert_bound();
    assert!(
        (8..=12).contains(&mesh.admitted.len()),
        "{}",
        mesh.admitted.len()
    );
}

/// Failure: a third of the nodes are cut off when an organisation begins to send eight times its limit. Each of them admits a request,
/// which together are more than the tolerated excess.
#[test]
fn admit_flood_while_many_nodes_are_cut_off() {
    for seed in 0..10 {
        let mut mesh = Mesh::new(Plan {
            seed,
            nodes: 89,
            rate: 12,
            load: 8.0,
            delay_micros: 2_000,
            loss: 0.02,
            kills: 0,
            cut_off: 29,
            burst: false,
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
            seed,
            nodes: 89,
            rate: 236,
            load: 8.0,
            delay_micros: 2_000,
            loss: 0.0,
            kills: 0,
            cut_off: 0,
            burst: false,
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
