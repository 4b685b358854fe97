//! Tests of the commands of `camphorturn`, run as separate processes.

use bytes::Bytes;
use camphorturn::{
    commands::dev::deployments::build_booking_mesh_plan,
    local_mesh::{
        LOCAL_TOKEN, LocalMesh,
        client::{CallerCall, CallerClient},
        ready::wait_until_ready,
    },
    options::proxy_settings::HeaderNames,
};
use http::{HeaderMap, HeaderValue, Method, header::HOST};
use serde_json::Value;
use std::{
    fs::File,
    net::TcpListener,
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

const SAMPLE: &str = "samples/configuration.jsonc";
/// Time limit for a mesh to become ready; reached only if the test fails.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const TOOL: &str = env!("CARGO_BIN_EXE_camphorturn");

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(TOOL);
    command
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    command.output().expect("the program runs")
}

/// Returns an address at which nothing listens.
fn find_closed_address() -> String {
    let closed = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    closed.expect("a loopback port is free").to_string()
}

fn decode_text(bytes: &[u8]) -> String {
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
fn check_sample_exits_with_0() {
    let output = run(&["check", SAMPLE]);
    assert_eq!(output.status.code(), Some(0));
    let text = decode_text(&output.stdout);
    assert!(text.contains("samples/configuration.jsonc: no findings"));
}

#[test]
fn check_findings_in_two_files_exit_with_2() {
    let scratch = ScratchFile::new(
        "two-files.jsonc",
        "{ \"services\": [], \"servces\": 1, \"classes\": [] }",
    );
    let output = run(&["check", "--json", scratch.name(), "no-such-file.jsonc"]);
    assert_eq!(output.status.code(), Some(2));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let findings = report["findings"].as_array().expect("findings");
    let kinds: Vec<&str> = findings
        .iter()
        .filter_map(|f| f["problem"]["kind"].as_str())
        .collect();
    assert_eq!(
        kinds,
        ["out_of_range", "unknown_key", "out_of_range", "unreadable"]
    );
    assert_eq!(findings[1]["suggestion"], "did you mean `services`?");
    assert_eq!(findings[1]["place"]["column"], 19);
}

#[test]
fn wrong_arguments_exit_with_2() {
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
fn completion_script_names_program() {
    let output = run(&["--bpaf-complete-style-bash"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(decode_text(&output.stdout).contains("camphorturn"));
}

fn start_mesh() -> LocalMesh {
    let mesh = LocalMesh::start(&build_booking_mesh_plan(1)).expect("free ports");
    assert!(
        wait_until_ready(&mesh, READY_TIMEOUT),
        "the mesh was not ready"
    );
    mesh
}

/// Runs a command that connects to the mesh.
fn run_with_mesh(mesh: &LocalMesh, arguments: &[&str]) -> Output {
    let node = mesh.operator_addresses()[0].to_string();
    let access = [arguments[0], "--node", &node, "--token", LOCAL_TOKEN];
    run(&[&access[..], &arguments[1..]].concat())
}

fn parse(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn publish_then_history_and_status() {
    let mesh = start_mesh();
    let common = ["publish", "--author", "ana", "--note", "first", "--json"];
    let publish = |more: &[&str]| run_with_mesh(&mesh, &[&common[..], more].concat());
    let first = publish(&["--based-on", "1", "--wait", "20", SAMPLE]);
    assert_eq!(first.status.code(), Some(0), "{first:?}");
    let report = parse(&first);
    assert_eq!(
        (&report["outcome"], &report["version"]),
        (&"accepted".into(), &2.into())
    );
    assert_eq!(
        report["nodes"]["in_force"].as_array().map(Vec::len),
        Some(9)
    );
    let changed = std::fs::read_to_string(SAMPLE).expect("the sample is there");
    let changed = changed.replacen("\"timeout_ms\": 2000", "\"timeout_ms\": 2001", 1);
    let changed = ScratchFile::new("changed.jsonc", &changed);
    let conflict = publish(&["--based-on", "1", changed.name()]);
    assert_eq!(conflict.status.code(), Some(4));
    let history = run_with_mesh(&mesh, &["history", "--json"]);
    assert_eq!(history.status.code(), Some(0));
    let history = parse(&history);
    assert_eq!(history["in_force"], 2);
    assert_eq!(history["publications"][0]["author"], "ana");
    let status = run_with_mesh(&mesh, &["status"]);
    assert_eq!(status.status.code(), Some(0), "{status:?}");
    let text = decode_text(&status.stdout);
    assert!(
        text.contains("CONFIGURATION VERSION 2 at 9 nodes"),
        "{text}"
    );
    assert!(
        text.lines().all(|line| line.chars().count() <= 80),
        "{text}"
    );
}

/// Failure: every node rejects or misreads the configuration in force, because a file with an error is published and is checked
/// by the nodes only, or not at all.
#[test]
fn publish_with_findings_contacts_no_node() {
    let faulty = ScratchFile::new("faulty.jsonc", "{ \"services\": [], \"servces\": 1 }");
    let closed = find_closed_address();
    let output = run(&[
        "publish",
        "--node",
        &closed,
        "--token",
        "t",
        "--author",
        "ana",
        "--note",
        "n",
        faulty.name(),
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(decode_text(&output.stderr).contains("did you mean `services`?"));
}

#[test]
fn commands_without_a_node_exit_with_3() {
    let closed = find_closed_address();
    let access = ["--node", &closed, "--token", "t"];
    let publish = ["publish", "--author", "a", "--note", "n"];
    let publish = [&publish[..], &access, &[SAMPLE]].concat();
    assert_eq!(run(&publish).status.code(), Some(3));
    for command in ["history", "status", "timeline", "misses"] {
        let arguments = [&[command][..], &access].concat();
        assert_eq!(run(&arguments).status.code(), Some(3), "{command}");
    }
    assert_eq!(run(&["history"]).status.code(), Some(2));
    let missing = run(&["logs", "no-such-file.log"]);
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn drain_finds_node_by_name() {
    let mesh = start_mesh();
    let unknown = run_with_mesh(&mesh, &["drain", "no-such-node"]);
    assert_eq!(unknown.status.code(), Some(2));
    let drained = run_with_mesh(&mesh, &["drain", "--json", "dock-2"]);
    assert_eq!(drained.status.code(), Some(0), "{drained:?}");
    assert_eq!(parse(&drained)["draining"]["condition"]["leaving"], true);
}

#[test]
fn evacuate_and_restore_zone() {
    let mesh = start_mesh();
    let unknown = run_with_mesh(&mesh, &["evacuate", "no-such-zone"]);
    assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    let zone = mesh.nodes[0].plan.availability_zone.to_string();
    let evacuated = run_with_mesh(&mesh, &["evacuate", "--json", &zone]);
    assert_eq!(evacuated.status.code(), Some(0), "{evacuated:?}");
    assert_eq!(parse(&evacuated)["zones"][0], zone.as_str());
    // Evacuations don't change the version of the configuration; its history stays readable.
    assert_eq!(run_with_mesh(&mesh, &["history"]).status.code(), Some(0));
    wait_for_status(&mesh, &format!("evacuated: {zone}"));
    let restored = run_with_mesh(&mesh, &["evacuate", "--take-back", "--json", &zone]);
    assert_eq!(restored.status.code(), Some(0), "{restored:?}");
    assert_eq!(parse(&restored)["zones"].as_array().map(Vec::len), Some(0));
}

/// Polls the status until a line begins with `start`.
fn wait_for_status(mesh: &LocalMesh, start: &str) {
    for _ in 0..200 {
        let status = decode_text(&run_with_mesh(mesh, &["status"]).stdout);
        if status.lines().any(|line| line.trim().starts_with(start)) {
            return;
        }
    }
    panic!("no line {start}");
}

/// Sends one request with this id to the second node. The request is not idempotent, so that it is never retried: on a
/// busy machine a retry would add further events.
fn send_request(mesh: &LocalMesh, id: &'static str) {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("dock.example"));
    headers.insert(
        HeaderNames::default_names().request_id,
        HeaderValue::from_static(id),
    );
    let call = CallerCall {
        method: Method::POST,
        target: "/confirmations/7".to_owned(),
        headers,
        body: Bytes::new(),
    };
    let client = CallerClient::new(mesh.caller_addresses()[1]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    let answer = tokio::task::LocalSet::new().block_on(&runtime, client.call(call));
    assert_eq!(answer.map(|answer| answer.status.as_u16()), Ok(200));
}

#[test]
fn explain_timeline_and_logs_of_running_nodes() {
    let mesh = start_mesh();
    send_request(&mesh, "r-explained");
    let explained = run_with_mesh(&mesh, &["explain", "--json", "r-explained"]);
    assert_eq!(explained.status.code(), Some(0), "{explained:?}");
    let trace = parse(&explained);
    assert_eq!(trace["end"], "answered 200");
    let events: Vec<u64> = trace["steps"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|step| step["event"].as_u64())
        .collect();
    assert_steps(&trace, &events);
    let timeline = run_with_mesh(&mesh, &["timeline", "--event", "851"]);
    assert_eq!(decode_text(&timeline.stdout).lines().count(), 9);
    let misses = parse(&run_with_mesh(
        &mesh,
        &["misses", "--json", "--one-in", "1"],
    ));
    assert_eq!(misses["unreached"].as_array().map(Vec::len), Some(0));
    assert!(misses["total"]["lines"].as_u64() > Some(0), "{misses}");
    let summary = parse(&run_with_mesh(&mesh, &["logs", "--json"]));
    assert_eq!(summary["beliefs"]["node_started"], 9);
    let unknown = run_with_mesh(&mesh, &["explain", "no-such-request"]);
    assert_eq!(unknown.status.code(), Some(1));
}

/// Checks that each of the three events is present and that the end of the request is the last one. Both lines on the
/// attempt may have the same time in milliseconds, in either order.
fn assert_steps(trace: &Value, events: &[u64]) {
    let mut sorted = events.to_vec();
    sorted.sort_unstable();
    assert_eq!(sorted, [801, 802, 803], "{trace}");
    assert_eq!(events.last(), Some(&801), "{trace}");
}

#[test]
fn explain_reads_files_and_standard_input() {
    let mesh = start_mesh();
    send_request(&mesh, "r-from-file");
    let lines = run_with_mesh(&mesh, &["timeline", "--request", "r-from-file", "--json"]);
    assert_eq!(decode_text(&lines.stdout).lines().count(), 3);
    let page = ScratchFile::new("time-line.html", "");
    let written = run_with_mesh(&mesh, &["timeline", "--html", page.name()]);
    assert_eq!(written.status.code(), Some(0), "{written:?}");
    let html = std::fs::read_to_string(page.name()).expect("a page");
    assert!(html.contains("r-from-file") && html.ends_with("</html>\n"));
    let log = ScratchFile::new(
        "one.log",
        "{\"time\":\"2026-12-02T21:00:00Z\",\"level\":\"WARN\",\"event\":801,\"name\":\"request_ended\",\
         \"node\":\"n1\",\"seq\":1,\"up_ms\":5,\"request\":\"r1\",\"end\":{\"refused\":\"no_upstream\"}}\n",
    );
    let from_file = run(&["explain", "r1", log.name()]);
    assert!(decode_text(&from_file.stdout).contains("n1 had no configuration yet"));
    let mut command = Command::new(TOOL);
    command
        .args(["logs"])
        .stdin(File::open(log.name()).expect("the file is there"));
    let from_input = command.output().expect("the program runs");
    assert!(decode_text(&from_input.stdout).contains("1 lines of 1 nodes"));
}

/// A log with two damaged lines: the second is truncated, the fourth isn't a log line of a node.
const DAMAGED: &str = "{\"time\":\"2026-12-02T21:00:00Z\",\"level\":\"WARN\",\"event\":801,\
    \"name\":\"request_ended\",\"node\":\"n1\",\"seq\":1,\"up_ms\":5,\"request\":\"r1\",\
    \"class\":\"lookups\",\"end\":{\"refused\":\"no_upstream\"}}\n\
    {\"time\":\"2026-12-02T21:00:0\n\n\
    panicked at the disk\u{1b}[2J\n\
    {\"time\":\"2026-12-02T21:00:03Z\",\"level\":\"INFO\",\"event\":801,\
    \"name\":\"request_ended\",\"node\":\"n1\",\"seq\":2,\"up_ms\":3005,\"request\":\"r2\",\
    \"class\":\"lookups\",\"end\":{\"answered\":200},\"took_ms\":4,\"target_ms\":300}\n";

#[test]
fn misses_lists_positions_of_damaged_lines() {
    let first = ScratchFile::new("misses-first.log", "");
    let log = ScratchFile::new("misses-damaged.log", DAMAGED);
    let output = run(&["misses", first.name(), log.name()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let warnings = decode_text(&output.stderr);
    let truncated = format!("{}:2: {{\"time\":\"2026-12-02T21:00:0\n", log.name());
    assert!(warnings.contains(&truncated), "{warnings}");
    let other = format!("{}:4: panicked at the disk\u{fffd}[2J\n", log.name());
    assert!(warnings.contains(&other), "{warnings}");
    let view = parse(&run(&["misses", "--json", log.name()]));
    assert_eq!(view["passed_over"][1]["line"], 4, "{view}");
    assert_eq!(view["total"]["lines"], 2, "{view}");
    assert_eq!(view["windows"].as_array().map(Vec::len), Some(2), "{view}");
}

#[test]
fn misses_marks_samples() {
    let log = ScratchFile::new("misses-sampled.log", DAMAGED);
    let text = decode_text(&run(&["misses", log.name()]).stdout);
    assert!(text.contains("a sample, one in 16 requests"), "{text}");
    assert!(text.contains("1 on time (one in 16)"), "{text}");
    assert!(
        text.contains("refused: no upstream, no node asked"),
        "{text}"
    );
    let all = decode_text(&run(&["misses", "--one-in", "1", log.name()]).stdout);
    assert!(all.contains("about 50% on time"), "{all}");
}

#[test]
fn misses_reads_standard_input_and_checks_arguments() {
    let log = ScratchFile::new("misses-input.log", DAMAGED);
    let mut command = Command::new(TOOL);
    command
        .args(["misses", "--window", "1m"])
        .stdin(File::open(log.name()).expect("the file is there"));
    let from_input = command.output().expect("the program runs");
    let warnings = decode_text(&from_input.stderr);
    assert!(warnings.contains("standard input:4: "), "{warnings}");
    assert!(decode_text(&from_input.stdout).contains("Windows of 60000 ms"));
    for wrong in [["--window", "0s"], ["--window", "soon"], ["--one-in", "0"]] {
        let output = run(&["misses", wrong[0], wrong[1], log.name()]);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
    }
    let empty = ScratchFile::new("misses-empty.log", "");
    assert_eq!(run(&["misses", empty.name()]).status.code(), Some(1));
    assert_eq!(run(&["misses", "no-such-file.log"]).status.code(), Some(2));
}

/// Failure: the operators' token appears in a log or on a shared screen. The token is in the environment, somebody requests the
/// help of a command, and the parser prints the environment variables that it reads together with their values.
#[test]
fn help_hides_token() {
    let secret = "a-secret-of-operators";
    let node = find_closed_address();
    for command in [
        "status", "timeline", "explain", "misses", "drain", "evacuate", "publish",
    ] {
        let output = run_with_token(secret, &[command, "--help"]);
        assert_eq!(output.status.code(), Some(0));
        let text = decode_text(&output.stdout);
        assert!(text.contains("CAMPHORTURN_TOKEN"), "{text}");
        assert!(!text.contains(secret), "{text}");
    }
    // The variable is read nevertheless: without a token the exit code would be 2, for wrong arguments.
    let output = run_with_token(secret, &["status", "--node", &node]);
    assert_eq!(output.status.code(), Some(3));
}

fn run_with_token(token: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(TOOL);
    command.env("CAMPHORTURN_TOKEN", token).args(arguments);
    command.output().expect("the program runs")
}
