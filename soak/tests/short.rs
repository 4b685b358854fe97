//! Short soaks on real processes, with the same faults on every run.

mod support;

use support::run_seed;

const SECONDS: &str = "4";
const NODES: &str = "4";

#[test]
fn run_short_seed() {
    run_seed("7", SECONDS, NODES);
}

#[test]
fn run_short_seed_with_low_bandwidth() {
    run_seed("8", SECONDS, NODES);
}
