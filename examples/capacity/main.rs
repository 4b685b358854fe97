//! Measures how the cost of each structure grows with the size of the mesh, for docs/CAPACITY.md:
//! `cargo run --release --example capacity -- --json`, and with `--nodes` for real nodes instead.

mod configuration;
mod gossip;
mod keys;
mod memory;
mod nodes;
mod operators;
mod samples;
mod upstreams;

use crate::{
    configuration::ConfigurationCost, gossip::GossipCost, keys::KeyCost, operators::OperatorCost,
    upstreams::ChoiceCost,
};
use serde::Serialize;
use std::{env, fmt::Debug};

/// Members for which the cost of membership is measured.
const MEMBER_COUNTS: [usize; 5] = [5, 50, 200, 400, 870];
/// Services for which the cost of a configuration is measured.
const SERVICE_COUNTS: [usize; 4] = [2, 10, 50, 100];
/// Upstreams of one service for which the cost of a choice is measured.
const UPSTREAM_COUNTS: [usize; 4] = [3, 6, 9, 50];
/// Keys for which the table's cost is measured.
const KEY_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];

/// All that was measured.
#[derive(Debug, Serialize)]
struct Costs {
    gossip: Vec<GossipCost>,
    configuration: Vec<ConfigurationCost>,
    choice: Vec<ChoiceCost>,
    keys: Vec<KeyCost>,
    operators: Vec<OperatorCost>,
    /// Growth of the process by the full rings of events of one node. Measured first, since later
    /// growth is hidden by memory that was freed before.
    ring_bytes: u64,
}

/// Real nodes in this process.
const NODE_COUNTS: [usize; 4] = [5, 10, 20, 40];

fn main() {
    if has_argument("--nodes") {
        print(&NODE_COUNTS.map(nodes::measure));
    } else {
        print(&measure_structures());
    }
}

fn measure_structures() -> Costs {
    let ring_bytes = operators::measure_rings();
    Costs {
        ring_bytes,
        gossip: MEMBER_COUNTS.map(gossip::measure).into(),
        configuration: SERVICE_COUNTS.map(configuration::measure).into(),
        choice: UPSTREAM_COUNTS.map(upstreams::measure).into(),
        keys: KEY_COUNTS.map(keys::measure).into(),
        operators: MEMBER_COUNTS.map(operators::measure).into(),
    }
}

fn print<T: Serialize + Debug>(costs: &T) {
    if has_argument("--json") {
        println!(
            "{}",
            serde_json::to_string_pretty(costs).expect("plain numbers")
        );
    } else {
        println!("{costs:#?}");
    }
}

fn has_argument(name: &str) -> bool {
    env::args().any(|argument| argument == name)
}
