//! Both programs as an operator runs them.

use camphorturn_stand_ins::log_service::LogService;
use serde_json::Value;
use std::{
    net::TcpListener,
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

#[test]
fn publish_then_history() {
    let log = LogService::start().expect("a loopback port is free");
    let address = log.address().to_string();
    let sample = "samples/configuration.jsonc";
    let publish = |based_on: &'static str, file: &str| {
        run(&[
            "publish",
            "--log",
            &address,
            "--author",
            "ana",
            "--note",
            "first",
            "--based-on",
            based_on,
            "--json",
            file,
        ])
    };
    let first = publish("0", sample);
    assert_eq!(first.status.code(), Some(0), "{first:?}");
    let report: Value = serde_json::from_slice(&first.stdout).expect("JSON");
    assert_eq!(report["outcome"], "accepted");
    assert_eq!(report["version"], 1);
    let changed = std::fs::read_to_string(sample).expect("the sample is there");
    let changed = changed.replacen("\"deadline_ms\": 2000", "\"deadline_ms\": 2001", 1);
    let changed = ScratchFile::new("changed.jsonc", &changed);
    assert_eq!(publish("0", changed.name()).status.code(), Some(4));
    let history = run(&["history", "--log", &address, "--json"]);
    assert_eq!(history.status.code(), Some(0));
    let history: Value = serde_json::from_slice(&history.stdout).expect("JSON");
    assert_eq!(history["in_force"], 1);
    assert_eq!(history["publications"][0]["author"], "ana");
}

#[test]
fn publish_with_findings_asks_the_log_nothing() {
    // Symptom: every node refuses or misreads the configuration in force.
    // Sequence: a file with a fault is published; nodes take what the log accepted.
    // Cause: the file is checked after the log was written, or not at all.
    let log = LogService::start().expect("a loopback port is free");
    let address = log.address().to_string();
    let faulty = ScratchFile::new("faulty.jsonc", "{ \"services\": [], \"servces\": 1 }");
    let output = run(&[
        "publish",
        "--log",
        &address,
        "--author",
        "ana",
        "--note",
        "n",
        faulty.name(),
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text_of(&output.stderr).contains("did you mean `services`?"));
    assert!(log.records("camphorturn").is_empty());
}

#[test]
fn publish_and_history_without_log_exit_with_3() {
    let closed = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let closed = closed.expect("a loopback port is free").to_string();
    let sample = "samples/configuration.jsonc";
    let publish = [
        "publish", "--log", &closed, "--limit", "1", "--author", "a", "--note", "n", sample,
    ];
    assert_eq!(run(&publish).status.code(), Some(3));
    let history = ["history", "--log", &closed, "--limit", "1"];
    assert_eq!(run(&history).status.code(), Some(3));
    assert_eq!(run(&["history"]).status.code(), Some(2));
}

#[test]
fn help_does_not_show_the_token() {
    // Symptom: the operators' token stands in a log or on a shared screen.
    // Sequence: the token is in the environment; somebody asks for the help of a command.
    // Cause: the parser prints the values of the variables that it reads with their names.
    let secret = "a-secret-of-operators";
    let closed = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let node = closed.expect("a loopback port is free").to_string();
    for command in ["status", "timeline", "explain", "drain", "publish"] {
        let output = run_with_token(secret, &[command, "--help"]);
        assert_eq!(output.status.code(), Some(0));
        let text = text_of(&output.stdout);
        assert!(text.contains("CAMPHORTURN_TOKEN"), "{text}");
        assert!(!text.contains(secret), "{text}");
    }
    // The variable is read all the same: without a token the arguments were wrong (2).
    let output = run_with_token(secret, &["status", "--node", &node]);
    assert_eq!(output.status.code(), Some(3));
}

fn run_with_token(token: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(TOOL);
    command.env("CAMPHORTURN_TOKEN", token).args(arguments);
    command.output().expect("the program runs")
}
