//! Both programs as an operator runs them.

use serde_json::Value;
use std::{
    path::PathBuf,
    process::{Command, Output},
};

const TOOL: &str = env!("CARGO_BIN_EXE_camphorturn");

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(TOOL);
    command
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    command.output().expect("the program runs")
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file that is removed when the test ends.
struct ScratchFile(PathBuf);

impl ScratchFile {
    fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("the scratch directory is writable");
        Self(path)
    }

    fn name(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn check_samples_exits_with_0() {
    let samples = ["samples/node-settings.jsonc", "samples/configuration.jsonc"];
    let output = run(&["check", samples[0], samples[1]]);
    assert_eq!(output.status.code(), Some(0));
    let text = text_of(&output.stdout);
    assert!(text.contains("samples/node-settings.jsonc: node settings, no findings"));
    assert!(text.contains("samples/configuration.jsonc: configuration, no findings"));
}

#[test]
fn check_findings_in_two_files_exit_with_2() {
    let scratch = ScratchFile::new("two-files.jsonc", "{ \"services\": [], \"servces\": 1 }");
    let output = run(&["check", "--json", scratch.name(), "no-such-file.jsonc"]);
    assert_eq!(output.status.code(), Some(2));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let findings = report["findings"].as_array().expect("findings");
    let kinds: Vec<&str> = findings
        .iter()
        .filter_map(|f| f["problem"]["kind"].as_str())
        .collect();
    assert_eq!(kinds, ["out_of_range", "unknown_key", "unreadable"]);
    assert_eq!(findings[1]["suggestion"], "did you mean `services`?");
    assert_eq!(findings[1]["place"]["column"], 19);
}

#[test]
fn arguments_wrong_exit_with_2() {
    assert_eq!(run(&["chek"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&[]).status.code(), Some(2));
}

#[test]
fn help_and_version_exit_with_0() {
    for arguments in [&["--help"][..], &["--version"], &["check", "--help"]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(!output.stdout.is_empty(), "{arguments:?}");
    }
}

#[test]
fn completion_script_names_the_program() {
    let output = run(&["--bpaf-complete-style-bash"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(text_of(&output.stdout).contains("camphorturn"));
}
