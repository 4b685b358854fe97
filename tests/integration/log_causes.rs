//! Causes that are derived from the log lines of a failed or late request.

use crate::log_reading::{line, started};
use camphorturn::log_reading::{
    incarnations::split_incarnations,
    request_trace::{RequestTrace, trace_request},
};

/// When n1 and n2 were started, in milliseconds since midnight.
const STARTED_MS: u64 = 1_000;

/// Fields of the line of n1 on the end of request `r1`.
fn ended(end: &str, took: u64, more: &str) -> String {
    format!(
        "\"request\":\"r1\",\"class\":\"lookups\",\"version\":3,\"end\":{end},\"took_ms\":{took},\
         \"target_ms\":300,\"time_left_ms\":2000{more}"
    )
}

/// Fields of the line of n1 on an attempt that it sent to n2.
fn returned(end: &str, took: u64, more: &str) -> String {
    format!(
        "\"request\":\"r1\",\"to\":\"10.0.0.2:1\",\"sent_ms\":1,\"within_ms\":0,\"end\":{end},\
         \"took_ms\":{took}{more}"
    )
}

/// Fields of the line of n2 on the same attempt.
fn executed(end: &str, took: u64, more: &str) -> String {
    format!(
        "\"request\":\"r1\",\"from\":\"10.0.0.1:1\",\"instance\":\"i7\",\"end\":{end},\
         \"took_ms\":{took},\"limit\":4{more}"
    )
}

/// Traces `r1` in the given lines, preceded by the starts of n1 and n2.
fn trace(lines: &[String]) -> RequestTrace {
    let mut all = vec![
        started("n1", (STARTED_MS, 0), "10.0.0.1:1"),
        started("n2", (STARTED_MS, 0), "10.0.0.2:1"),
    ];
    all.extend_from_slice(lines);
    trace_request(
        &split_incarnations(all.iter().map(String::as_str)).incarnations,
        "r1",
    )
}

/// Lines of n1 on the end of the attempt at n2 and on the end of the request, at a wall-clock time in milliseconds.
fn entry_lines(wall: u64, attempt: &str, request: &str) -> [String; 2] {
    let time = (wall, wall - STARTED_MS);
    [
        line("n1", time, 2, 802, attempt),
        line("n1", time, 3, 801, request),
    ]
}

/// Line of n2 on the same attempt, at a wall-clock time in milliseconds.
fn executing_line(wall: u64, attempt: &str) -> String {
    line("n2", (wall, wall - STARTED_MS), 2, 803, attempt)
}

fn assert_cause(trace: &RequestTrace, part: &str) {
    assert!(
        trace.causes.iter().any(|cause| cause.contains(part)),
        "{part} in {trace:#?}"
    );
}

const FULL: &str = "{\"refused\":\"queue_full\"}";

#[test]
fn explain_refused_without_free_slot() {
    let at_n2 = executing_line(2_004, &executed(FULL, 1, ",\"pace_percent\":400"));
    let refused = returned(FULL, 2, ",\"finish_ms\":572");
    let [attempt, end] = entry_lines(2_010, &refused, &ended(FULL, 10, ",\"asked\":1"));
    let trace = trace(&[at_n2, attempt, end]);
    assert_eq!(trace.end, "refused: queue full");
    assert_cause(&trace, "the earliest predicted completion was 572 ms away");
    assert_cause(&trace, "The VM of n2 was slow: work took 400%");
    let events: Vec<u16> = trace.steps.iter().map(|step| step.event).collect();
    assert_eq!(events, [802, 803, 801]);
}

#[test]
fn explain_unknown_after_disconnect() {
    let disconnected = "{\"unknown\":\"upstream_cut\"}";
    let at_n2 = executing_line(2_004, &executed(disconnected, 5, ""));
    let end = ended(disconnected, 10, ",\"arrivals\":1");
    let [attempt, end] = entry_lines(2_010, &returned(disconnected, 7, ""), &end);
    let trace = trace(&[at_n2, attempt, end]);
    assert_cause(&trace, "The local upstream of n2 closed the connection");
    assert_cause(&trace, "(incarnation i7)");
}

#[test]
fn explain_unknown_after_restart() {
    let lost = "{\"unknown\":\"node_lost\"}";
    let end = ended(lost, 10, ",\"arrivals\":1");
    let [attempt, end] = entry_lines(2_010, &returned(lost, 7, ""), &end);
    let trace = trace(&[attempt, end, started("n2", (2_500, 0), "10.0.0.2:1")]);
    assert_cause(&trace, "n2 was restarted at that time");
}

#[test]
fn explain_late_answer() {
    let answered = "{\"answered\":200}";
    let slow = ",\"waited_ms\":120,\"expected_ms\":90,\"pace_percent\":100";
    let at_n2 = executing_line(2_400, &executed(answered, 395, slow));
    let attempt = returned(answered, 400, ",\"waited_ms\":120");
    let end = ended(answered, 402, ",\"arrivals\":1");
    let [attempt, end] = entry_lines(2_405, &attempt, &end);
    let trace = trace(&[at_n2, attempt, end]);
    assert_cause(&trace, "answered 102 ms after its target");
    assert_cause(&trace, "waited 120 ms for a slot and ran for 280 ms");
    assert_cause(&trace, "took 275 ms for work that usually takes 90 ms");
}

#[test]
fn explain_refused_by_stopping_node() {
    let draining = "{\"refused\":\"draining\"}";
    let trace = trace(&[
        line(
            "n1",
            (1_900, 900),
            2,
            852,
            "\"in_progress\":1,\"running\":0",
        ),
        line("n1", (2_010, 1_010), 3, 801, &ended(draining, 0, "")),
    ]);
    assert_cause(&trace, "n1 was stopping");
}

#[test]
fn explain_refused_without_configuration() {
    let no_upstream = "{\"refused\":\"no_upstream\"}";
    let members = ended(no_upstream, 0, "").replace("\"version\":3", "\"version\":0");
    let trace = trace(&[line("n1", (1_010, 10), 2, 801, &members)]);
    assert_cause(&trace, "n1 had no configuration yet");
}

#[test]
fn explain_refused_by_outdated_node() {
    let behind = "{\"refused\":\"configuration_behind\"}";
    let trace = trace(&[line("n1", (1_010, 10), 2, 801, &ended(behind, 0, ""))]);
    assert_cause(
        &trace,
        "n1 had no route for the request and had learned of a newer",
    );
}

#[test]
fn explain_refused_by_node_outdated_for_long() {
    let overdue = "{\"refused\":\"configuration_overdue\"}";
    let trace = trace(&[line("n1", (1_010, 10), 2, 801, &ended(overdue, 0, ""))]);
    assert_cause(&trace, "could not fetch it");
}

#[test]
fn explain_client_left() {
    let left = "\"client_left\"";
    let trace = trace(&[line("n1", (2_010, 1_010), 2, 801, &ended(left, 800, ""))]);
    assert_cause(&trace, "closed its connection after 800 ms");
}

/// Failure: a request ends at its deadline, and its lines don't show what took the time. The attempt is still in progress at the
/// deadline, and only answered attempts are logged.
#[test]
fn explain_deadline_with_attempt_in_progress() {
    let passed = "{\"unknown\":\"deadline_passed\"}";
    let abandoned = returned("\"abandoned\"", 1_990, "");
    let end = ended(passed, 2_000, ",\"asked\":1");
    let [attempt, end] = entry_lines(3_000, &abandoned, &end);
    let silent = trace(&[attempt.clone(), end.clone()]);
    assert_cause(
        &silent,
        "n2 had not answered 1990 ms after the request was sent to it",
    );
    let slow = ",\"waited_ms\":300,\"expected_ms\":90,\"pace_percent\":400";
    let at_n2 = executing_line(3_001, &executed("\"client_left\"", 1_991, slow));
    let logged = trace(&[attempt, end, at_n2]);
    assert_cause(
        &logged,
        "At n2 the request waited 300 ms for a slot and ran for 1690 ms",
    );
    assert_cause(&logged, "The VM of n2 was slow: work took 400%");
}

#[test]
fn explain_stopped_node() {
    let stopping = "{\"unknown\":\"node_stopping\"}";
    let abandoned = returned("\"abandoned\"", 1_990, "");
    let [attempt, end] = entry_lines(3_000, &abandoned, &ended(stopping, 2_000, ""));
    let trace = trace(&[attempt, end]);
    assert_cause(&trace, "was stopped, and its grace period ended");
    assert_cause(&trace, "n2 had not answered 1990 ms");
}

#[test]
fn explain_lists_calls() {
    let members = ended("{\"answered\":200}", 5, "").replace("\"r1\"", "\"r1.c9\"");
    let trace = trace(&[
        line(
            "n1",
            (2_010, 1_010),
            2,
            801,
            &ended("{\"answered\":200}", 10, ""),
        ),
        line("n2", (2_005, 1_005), 2, 801, &members),
    ]);
    let calls: Vec<&str> = trace
        .calls
        .iter()
        .map(|call| call.request.as_str())
        .collect();
    assert_eq!(calls, ["r1.c9"]);
    assert_cause(&trace, "a call that its upstream made: r1.c9");
}

#[test]
fn explain_unknown_request() {
    let trace = trace(&[]);
    assert_eq!((trace.steps.len(), trace.causes.len()), (0, 0));
}

#[test]
fn explain_refused_retry() {
    let retries_exhausted = "{\"refused\":\"repeats_spent\"}";
    let trace = trace(&[line(
        "n1",
        (2_010, 1_010),
        3,
        801,
        &ended(retries_exhausted, 10, ",\"asked\":2"),
    )]);
    assert_eq!(trace.end, "refused: repeats spent");
    assert_cause(
        &trace,
        "the calls that it would have made again were not within the retry budget",
    );
}

#[test]
fn explain_quarantined_request() {
    let refused = "{\"refused\":\"quarantined\"}";
    let end = ended(refused, 0, ",\"asked\":0");
    let trace = trace(&[line("n1", (2_010, 1_010), 3, 801, &end)]);
    assert_eq!(trace.end, "refused: quarantined");
    assert_cause(
        &trace,
        "crashed while they executed a request with the same fingerprint, so such requests are quarantined",
    );
}

#[test]
fn explain_evacuated_zone() {
    let refused = "{\"refused\":\"evacuated\"}";
    let end = ended(refused, 0, ",\"asked\":0");
    let zone = "\"zone\":\"a\",\"position\":4,\"source\":\"store\"";
    let trace = trace(&[
        line("n1", (2_000, 1_000), 2, 836, zone),
        line("n1", (2_010, 1_010), 3, 801, &end),
    ]);
    assert_eq!(trace.end, "refused: evacuated");
    assert_cause(&trace, "were in evacuated availability zones");
    assert_cause(&trace, "zone a was evacuated at that time");
}

#[test]
fn explain_upstream_warming_up() {
    let answered = "{\"answered\":200}";
    let attempt = returned(answered, 600, ",\"waited_ms\":500");
    let end = ended(answered, 605, ",\"asked\":1,\"arrivals\":1");
    let [attempt, end] = entry_lines(2_700, &attempt, &end);
    let warming_up = "\"left_ms\":2900,\"limit\":23";
    let trace = trace(&[line("n2", (2_050, 1_050), 1, 817, warming_up), attempt, end]);
    assert_cause(
        &trace,
        "upstream of n2 was warming up and received at most 23 requests",
    );
}

#[test]
fn explain_crashed_upstream() {
    let crashed = "{\"unknown\":\"upstream_crashed\"}";
    let attempt = returned(crashed, 90, "");
    let end = ended(crashed, 95, ",\"asked\":1");
    let [attempt, end] = entry_lines(2_100, &attempt, &end);
    let at_n2 = executing_line(2_099, &executed(crashed, 89, ""));
    let trace = trace(&[attempt, end, at_n2]);
    assert_cause(
        &trace,
        "The local upstream of n2 crashed while it executed the request (incarnation i7)",
    );
}
