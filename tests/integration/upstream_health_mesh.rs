//! A mesh of 57 upstreams and 71 entry nodes in virtual time, through the decisions of the nodes: placement, search for a slot,
//! admission and verdict. Each entry node has few requests and hears mostly of the upstreams in its zone.

mod simulation;

use camphorturn::coordination::upstream_health::HealthState;
use simulation::{Fault, Mesh, UPSTREAMS, Upstream, ZONES};

/// Number of runs of each case.
const SEEDS: u64 = 2;

/// 14 of the 57 upstreams, of all zones.
fn is_one_of_14(upstream: usize) -> bool {
    upstream % 4 == (upstream / 4) % 4 && upstream < 56
}

/// Failure: upstreams that fail most of their requests keep getting them for as long as the fault lasts.
#[test]
fn run_with_failing_upstreams() {
    assert_eq!(
        (0..UPSTREAMS)
            .filter(|number| is_one_of_14(*number))
            .count(),
        14
    );
    for share in [0.7, 1.0] {
        for seed in 0..SEEDS {
            let faults = |number| {
                if is_one_of_14(number) {
                    Fault::Fails(share)
                } else {
                    Fault::None
                }
            };
            let before = Mesh::new(false, seed, faults).run().counts;
            let mesh = Mesh::new(true, seed, faults).run();
            let counts = &mesh.counts;
            let usual = Mesh::new(false, seed, |_| Fault::None).run().counts.failed;
            let (more_before, more) = (before.failed - usual, counts.failed.saturating_sub(usual));
            assert!(
                more < 233 && more * 5 < more_before,
                "{share}, {seed}: {more_before} -> {more} more failed executions, {} refusals, {} lost",
                counts.refused,
                counts.lost
            );
            assert!(counts.ejected.keys().all(|number| is_one_of_14(*number)));
            assert_eq!(counts.lost, 0);
            // All have returned at the end.
            let serving = |state: &Upstream| state.health.state(mesh.now) == HealthState::Serving;
            assert!(mesh.upstreams.iter().all(serving));
        }
    }
}

/// Failure: upstreams that don't answer, or take many times as long as usual, hold requests one after the other.
#[test]
fn run_with_silent_upstreams() {
    for fault in [Fault::Silent, Fault::Slow] {
        for seed in 0..SEEDS {
            let faults = |number| {
                if is_one_of_14(number) {
                    fault
                } else {
                    Fault::None
                }
            };
            let before = Mesh::new(false, seed, faults).run().counts;
            let counts = Mesh::new(true, seed, faults).run().counts;
            assert!(
                counts.silent * 2 < before.silent,
                "{fault:?}, {seed}: {} -> {} executions without an answer, {} refusals",
                before.silent,
                counts.silent,
                counts.refused
            );
            assert!(counts.ejected.keys().all(|number| is_one_of_14(*number)));
        }
    }
}

/// Failure: upstreams are ejected in quiet times.
#[test]
fn run_without_fault() {
    for seed in 0..SEEDS {
        let counts = Mesh::new(true, seed, |_| Fault::None).run().counts;
        assert_eq!(
            (counts.ejected.len(), counts.refused, counts.lost),
            (0, 0, 0)
        );
    }
}

/// Failure: all or half of the upstreams fail alike, for instance because a called service fails, and too many are ejected.
#[test]
fn run_with_many_failing_upstreams() {
    for (share, is_failing, max_ejected) in [
        (0.7, (|_| true) as fn(usize) -> bool, 2),
        (1.0, |_| true, 2),
        (0.5, |_| true, 2),
        (0.7, |number| (number / ZONES).is_multiple_of(2), 24),
    ] {
        for seed in 0..SEEDS {
            let faults = |number| {
                if is_failing(number) {
                    Fault::Fails(share)
                } else {
                    Fault::None
                }
            };
            let counts = Mesh::new(true, seed, faults).run().counts;
            assert_eq!(counts.lost, 0);
            assert!(
                counts.most_ejected <= max_ejected,
                "{share}, {seed}: {} ejected at once, {} refusals",
                counts.most_ejected,
                counts.refused
            );
        }
    }
}
