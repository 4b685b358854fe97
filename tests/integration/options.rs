//! The checks of the settings file.

use camphorturn::options::checked_file::check_node_settings;
use std::time::Duration;

const SAMPLE: &str = include_str!("../../samples/node-settings.jsonc");

fn findings_of(text: &str) -> Vec<String> {
    let findings = check_node_settings("node.jsonc", text).expect_err("should have findings");
    findings.0.iter().map(ToString::to_string).collect()
}

#[test]
fn check_node_settings_sample_is_accepted() {
    let settings = check_node_settings("sample", SAMPLE).expect("the sample is right");
    assert_eq!(settings.upstream.slots, 6);
    assert_eq!(settings.stop.bound, Duration::from_secs(30));
    assert_eq!(settings.peer_address().to_string(), "10.20.1.11:8081");
    assert!(!format!("{settings:?}").contains("random-text"));
}

#[test]
fn check_node_settings_reports_everything_at_once() {
    let text = SAMPLE
        .replace("\"max_calls\": 2000", "\"max_cals\": 2000")
        .replace("\"slots\": 6", "\"slots\": \"six\"")
        .replace("\"bound_ms\": 30000", "\"bound_ms\": -1")
        .replace("    \"region\": \"prairie-west\",\n", "");
    let found = findings_of(&text);
    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(found[0].starts_with("node.jsonc:3:3: $.node.region: key `region` is missing"));
    assert!(found[1].starts_with("node.jsonc:10:5: $.callers.max_cals: unknown key"));
    assert!(
        found[1].ends_with("did you mean `max_calls`?"),
        "{found:#?}"
    );
    assert!(found[2].contains("$.upstream.slots: wrong type"));
    assert!(found[3].contains("$.stop.bound_ms: not allowed"));
}

#[test]
fn check_node_settings_conflicts() {
    let text = SAMPLE
        .replace("0.0.0.0:8082", "0.0.0.0:8081")
        .replace("\"renew_ms\": 5000", "\"renew_ms\": 9000");
    let found = findings_of(&text);
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(found[0].contains("$.operators.listen: conflict: 0.0.0.0:8081 is taken"));
    assert!(found[1].contains("$.leases.renew_ms: conflict"));
}

#[test]
fn check_node_settings_syntax() {
    assert!(findings_of("{\n  \"node\": \n}")[0].starts_with("node.jsonc:"));
    assert!(findings_of("")[0].starts_with("node.jsonc:1:1: $: syntax: the file is empty"));
    let found = findings_of("{ \"stop\": {}, \"stop\": {} }");
    assert!(
        found
            .iter()
            .any(|line| line.contains("`stop` stands twice"))
    );
}
