//! Seeds that once showed a fault, with the same faults on every run.

mod support;

use support::run_seed;

const SECONDS: &str = "8";
const NODES: &str = "6";

/// Failure: an upstream in warm-up gets more requests in a second than it tolerates, since requests that arrive late join those of the
/// next second.
#[test]
fn run_seed_9710() {
    run_seed("9710", SECONDS, NODES);
}

/// The same failure; a restarted node also wrote twice that its upstream warms up.
#[test]
fn run_seed_9743() {
    run_seed("9743", SECONDS, NODES);
}

/// Failure: a restarted node that knows no configuration sends an upstream in warm-up requests without a limit.
#[test]
fn run_seed_9811() {
    run_seed("9811", SECONDS, NODES);
}

/// Failure: a planned stop ends a connection on which a request has just arrived.
#[test]
fn run_seed_9927() {
    run_seed("9927", SECONDS, NODES);
}
