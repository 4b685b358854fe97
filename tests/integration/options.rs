//! Checks of configurations, and agreement of schema, types and sample.

use bolero::check;
use camphorturn::{
    options::{
        checked_file::{CONFIGURATION_SCHEMA, check_configuration, validate_configuration},
        findings::Findings,
        json_document::{JsonDocument, join_pointer},
    },
    state::{
        configuration::{Configuration, ConfigurationVersion},
        names::ServiceName,
        routing_table::RouteIndex,
    },
};
use serde_json::{Value, json};
use std::{collections::BTreeSet, fmt::Debug, time::Duration};

const SAMPLE: &str = include_str!("../../samples/configuration.jsonc");

fn format_findings<T: Debug>(checked: Result<T, Findings>) -> Vec<String> {
    let findings = checked.expect_err("should have findings");
    findings.0.iter().map(ToString::to_string).collect()
}

fn check_and_format(text: &str) -> Vec<String> {
    format_findings(check_configuration("c.jsonc", text))
}

fn parse_sample() -> Value {
    let document = JsonDocument::parse("sample", SAMPLE).expect("the sample is JSON with comments");
    document.value().clone()
}

fn parse_schema() -> Value {
    serde_json::from_str(CONFIGURATION_SCHEMA).expect("the schema is JSON")
}

/// Collects every key of a schema, as the JSON pointer of the key in a document and its subschema. For arrays, the
/// pointer is that in the first element.
fn list_schema_keys(schema: &Value, pointer: &str, keys: &mut Vec<(String, Value)>) {
    for (key, property) in schema["properties"].as_object().into_iter().flatten() {
        let pointer = join_pointer(pointer, key);
        keys.push((pointer.clone(), property.clone()));
        list_schema_keys(property, &pointer, keys);
        list_schema_keys(&property["items"], &format!("{pointer}/0"), keys);
    }
}

fn remove_key(document: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer to a key");
    let object = document.pointer_mut(parent).and_then(Value::as_object_mut);
    object.expect("an object").remove(key);
}

fn set_key(document: &mut Value, pointer: &str, value: Value) {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer to a key");
    let object = document.pointer_mut(parent).and_then(Value::as_object_mut);
    object.expect("an object").insert(key.to_owned(), value);
}

/// Returns the keys that the type accepts in the object at `pointer`. They are read from the error message about an
/// unknown key; `get_error` tries to deserialize a document and returns this message.
fn list_typed_keys(
    document: &Value,
    pointer: &str,
    get_error: fn(Value) -> String,
) -> BTreeSet<String> {
    let mut document = document.clone();
    set_key(
        &mut document,
        &join_pointer(pointer, "no-such-key"),
        json!(1),
    );
    let message = get_error(document);
    let quoted = message.split('`').skip(1).step_by(2);
    quoted.skip(1).map(str::to_owned).collect()
}

fn assert_same_keys(
    schema: &Value,
    document: &Value,
    pointer: &str,
    get_error: fn(Value) -> String,
) {
    let properties = schema["properties"].as_object();
    if let Some(properties) = properties {
        let known: BTreeSet<String> = properties.keys().cloned().collect();
        assert_eq!(
            known,
            list_typed_keys(document, pointer, get_error),
            "{pointer}"
        );
    }
    for (key, property) in properties.into_iter().flatten() {
        let pointer = join_pointer(pointer, key);
        assert_same_keys(property, document, &pointer, get_error);
        assert_same_keys(
            &property["items"],
            document,
            &format!("{pointer}/0"),
            get_error,
        );
    }
}

#[test]
fn schema_has_same_keys_as_types() {
    let get_error = |value| {
        serde_json::from_value::<Configuration>(value)
            .unwrap_err()
            .to_string()
    };
    assert_same_keys(&parse_schema(), &parse_sample(), "", get_error);
}

#[test]
fn schema_has_same_defaults_as_types() {
    let mut keys = Vec::new();
    list_schema_keys(&parse_schema(), "", &mut keys);
    let parse = |value: Value| serde_json::from_value::<Configuration>(value).expect("complete");
    for (pointer, property) in keys {
        let Some(default) = property.get("default") else {
            continue;
        };
        let (mut without_key, mut with_default) = (parse_sample(), parse_sample());
        set_key(&mut with_default, &pointer, default.clone());
        if without_key.pointer(&pointer).is_some() {
            remove_key(&mut without_key, &pointer);
        }
        assert_eq!(parse(without_key), parse(with_default), "{pointer}");
    }
}

#[test]
fn sample_has_all_schema_keys() {
    let mut keys = Vec::new();
    list_schema_keys(&parse_schema(), "", &mut keys);
    let sample = SAMPLE;
    for (pointer, _) in keys {
        let key = pointer.rsplit('/').next().expect("a key");
        assert!(sample.contains(&format!("\"{key}\":")), "{pointer}");
    }
}

#[test]
fn check_sample_has_no_findings() {
    let sample = check_configuration("sample", SAMPLE).expect("the sample is right");
    assert_eq!(sample.classes.len(), 2);
    assert_eq!(validate_configuration("request", &sample), Ok(()));
}

#[test]
fn build_table_finds_published_routes() {
    let sample = check_configuration("sample", SAMPLE).expect("the sample is right");
    let index = RouteIndex::new(sample.build_table(ConfigurationVersion(7)));
    assert_eq!(index.table().version, ConfigurationVersion(7));
    let host = "Frontdesk.kneadwise.example:80";
    let booking = index.find_route(host, "/bookings/7").expect("a route");
    assert_eq!(booking.class.as_str(), "bookings");
    assert_eq!(booking.target, Duration::from_millis(400));
    assert!(!booking.idempotent);
    let lookup = index.find_route(host, "/slots").expect("a route");
    assert_eq!(lookup.class.as_str(), "lookups");
    assert_eq!(
        lookup.pick_service(0.95).map(ServiceName::as_str),
        Some("frontdesk-canary")
    );
    let service = "frontdesk-canary".into();
    assert_eq!(
        index
            .find_service(&service)
            .map(|configuration| configuration.health_path.as_str()),
        Some("/health")
    );
}

#[test]
fn check_reports_all_findings() {
    let text = SAMPLE
        .replace("\"health_path\"", "\"health_pat\"")
        .replace("\"target_ms\": 400", "\"target_ms\": \"400\"")
        .replace("\"timeout_ms\": 1000,\n", "")
        .replace(
            "\"path_prefix\": \"/bookings/\"",
            "\"path_prefix\": \"bookings\"",
        );
    let findings = check_and_format(&text);
    assert_eq!(findings.len(), 4, "{findings:#?}");
    assert!(findings[0].starts_with("c.jsonc:5:28: $.services[0].health_pat: unknown key"));
    assert!(
        findings[0].ends_with("did you mean `health_path`?"),
        "{findings:#?}"
    );
    assert!(findings[1].contains("$.classes[0].path_prefix: not allowed"));
    assert!(findings[2].contains("$.classes[0].target_ms: wrong type"));
    assert!(findings[3].contains("$.classes[1].timeout_ms: key `timeout_ms` is missing"));
}

#[test]
fn check_rules_reports_conflicts() {
    let text = SAMPLE
        .replace("\"name\": \"lookups\"", "\"name\": \"bookings\"")
        .replace("\"timeout_ms\": 2000", "\"timeout_ms\": 399")
        .replace("\"path_prefix\": \"/\"", "\"path_prefix\": \"/bookings/\"")
        .replace(
            "[{ \"name\": \"frontdesk\" }]",
            "[{ \"name\": \"desk\", \"weight\": 0 }]",
        )
        .replace(
            "{ \"name\": \"frontdesk-canary\" },",
            "{ \"name\": \"frontdesk\" },",
        );
    let findings = check_and_format(&text);
    let expected = [
        "$.services[1].name: conflict: `frontdesk` is used more than once",
        "$.classes[0].services: conflict: no service of the class has a weight",
        "$.classes[0].services[0].name: conflict: no service is named `desk`",
        "$.classes[0].timeout_ms: conflict: the timeout of 399 ms",
        "$.classes[1].name: conflict: `bookings` is used more than once",
        "$.classes[1].path_prefix: conflict: `frontdesk.kneadwise.example/bookings/` is used",
        "$.classes[1].services[1].name: conflict: no service is named `frontdesk-canary`",
    ];
    assert_eq!(findings.len(), expected.len(), "{findings:#?}");
    for expected_text in expected {
        assert!(
            findings.iter().any(|line| line.contains(expected_text)),
            "{expected_text} in {findings:#?}"
        );
    }
}

/// Failure: a key of a faulty configuration is printed, and ends in the log of a build server.
#[test]
fn check_organisations_hides_keys() {
    let first = "sample-key-of-2026-11";
    let second = "sample-key-of-2026-12";
    let faults = [
        (
            format!("\"{second}\""),
            format!("\"{first}\""),
            "used more than once",
        ),
        (
            format!("\"{second}\""),
            "\"with space\"".to_owned(),
            "not allowed",
        ),
        (format!("\"{second}\""), "\"\"".to_owned(), "not allowed"),
        (
            format!("\"{second}\""),
            format!("\"{}\"", "x".repeat(201)),
            "not allowed",
        ),
        (
            format!("[\"{first}\", \"{second}\"]"),
            format!("{{ \"{first}\": 1 }}"),
            "wrong type",
        ),
        (
            "\"requests_per_minute\": 9000,".to_owned(),
            String::new(),
            "a burst without a rate",
        ),
        ("9000".to_owned(), "-1".to_owned(), "not allowed"),
        ("9000".to_owned(), "1e999".to_owned(), ""),
        (
            "\"prairie-clinics\"".to_owned(),
            "\"two\\nlines\"".to_owned(),
            "not allowed",
        ),
    ];
    for (from, to, expected) in faults {
        let text = SAMPLE.replace(&from, &to);
        assert_ne!(text, SAMPLE, "{from}");
        let findings = check_and_format(&text);
        assert!(!findings.is_empty(), "{to}");
        assert!(
            findings.iter().any(|line| line.contains(expected)),
            "{findings:#?}"
        );
        for secret in [first, second, "with space", "xxxx"] {
            assert!(
                !findings.iter().any(|line| line.contains(secret)),
                "{findings:#?}"
            );
        }
    }
}

#[test]
fn check_organisations_reports_all() {
    let organisation = "{ \"name\": \"prairie-clinics\", \"api_keys\": [\"sample-key-of-2026-12\"], \"burst\": 2 },";
    let text = SAMPLE.replace(
        "\"organisations\": [",
        &format!("\"organisations\": [{organisation}"),
    );
    let findings = check_and_format(&text);
    let expected = [
        "$.organisations[0].burst: conflict: a burst without a rate",
        "$.organisations[1].name: conflict: `prairie-clinics` is used more than once",
        "$.organisations[1].api_keys[1]: conflict: `key ",
    ];
    assert_eq!(findings.len(), expected.len(), "{findings:#?}");
    for expected_text in expected {
        assert!(
            findings.iter().any(|line| line.contains(expected_text)),
            "{findings:#?}"
        );
    }
}

/// Failure: the history of publications shows the keys themselves.
#[test]
fn list_changes_shows_key_fingerprints() {
    let before = check_configuration("sample", SAMPLE).expect("the sample is right");
    let text = SAMPLE
        .replace("sample-key-of-2026-11", "sample-key-of-2027-01")
        .replace("9000", "600");
    let after = check_configuration("sample", &text).expect("right");
    let changes = after.list_changes(&before);
    assert_eq!(changes.len(), 3, "{changes:#?}");
    assert!(
        changes.iter().any(|line| line.ends_with(" added")),
        "{changes:#?}"
    );
    assert!(
        changes.iter().any(|line| line.ends_with(" revoked")),
        "{changes:#?}"
    );
    assert!(
        changes
            .iter()
            .any(|line| line.contains("600 requests a minute")),
        "{changes:#?}"
    );
    assert!(
        !changes.iter().any(|line| line.contains("sample-key")),
        "{changes:#?}"
    );
    assert!(!format!("{after:?}").contains("sample-key"));
}

#[test]
fn check_syntax_errors() {
    assert!(check_and_format("{\n  \"services\": \n}")[0].starts_with("c.jsonc:"));
    let empty = check_and_format("");
    assert!(empty[0].starts_with("c.jsonc:1:1: $: syntax: the file is empty"));
    let findings = check_and_format("{ \"services\": [], \"services\": [] }");
    assert!(
        findings
            .iter()
            .any(|line| line.contains("duplicate key `services`"))
    );
}

#[test]
fn check_decimal_number_is_wrong_type() {
    let findings = check_and_format(&SAMPLE.replace("\"target_ms\": 400", "\"target_ms\": 400.0"));
    assert_eq!(findings.len(), 1, "{findings:#?}");
    assert!(findings[0].contains("wrong type"), "{findings:#?}");
}

#[test]
fn list_changes_names_all() {
    let before = check_configuration("sample", SAMPLE).expect("the sample is right");
    let text = SAMPLE
        .replace("\"target_ms\": 150", "\"target_ms\": 120")
        .replace("frontdesk-canary", "trial");
    let after = check_configuration("sample", &text).expect("right");
    let changes = after.list_changes(&before);
    assert!(changes.contains(&"service trial added".to_owned()));
    assert!(changes.contains(&"service frontdesk-canary dropped".to_owned()));
    assert!(changes.contains(&"class lookups: target_ms 120 instead of 150".to_owned()));
    assert_eq!(after.list_changes(&after), [""; 0]);
}

#[test]
fn check_any_text_gives_findings_with_positions() {
    check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        assert_valid_positions(&text);
        assert_valid_positions(&format!("{{ \"services\": {text} }}"));
    });
}

#[test]
fn check_damaged_sample_gives_findings_with_positions() {
    check!()
        .with_type::<(u16, u16, u8)>()
        .for_each(|(from, to, byte)| {
            let mut bytes = SAMPLE.as_bytes().to_vec();
            let from = usize::from(*from) % bytes.len();
            let to = from + usize::from(*to) % (bytes.len() - from).min(64);
            bytes.splice(from..to, [*byte]);
            assert_valid_positions(&String::from_utf8_lossy(&bytes));
        });
}

fn assert_valid_positions(text: &str) {
    let Err(findings) = check_configuration("any", text) else {
        return;
    };
    assert!(!findings.0.is_empty());
    let lines = text.split('\n').count();
    for finding in findings.0 {
        assert!((1..=lines).contains(&finding.position.line), "{finding}");
        assert!(finding.position.column >= 1, "{finding}");
    }
}
