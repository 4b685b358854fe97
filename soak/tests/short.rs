//! Short soaks on real processes, with the same faults on every run.

use std::process::Command;

const TOOL: &str = env!("CARGO_BIN_EXE_camphorturn-soak");

fn run_seed(seed: &str) {
    let output = Command::new(TOOL)
        .args(["run", "--seed", seed, "--seconds", "4", "--nodes", "4"])
        .output()
        .expect("the tool runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(text.starts_with(&format!("seed {seed}: clean")), "{text}");
}

#[test]
fn run_short_seed() {
    run_seed("7");
}

#[test]
fn run_short_seed_with_low_bandwidth() {
    run_seed("8");
}
