//! Runs a seed with the tool.

use std::process::Command;

const TOOL: &str = env!("CARGO_BIN_EXE_camphorturn-soak");

/// Runs one seed and asserts that no check found a violation.
pub fn run_seed(seed: &str, seconds: &str, nodes: &str) {
    let output = Command::new(TOOL)
        .args(["run", "--seed", seed, "--seconds", seconds])
        .args(["--nodes", nodes])
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
