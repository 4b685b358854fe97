//! The checks of configurations.

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

fn lines_of<T: Debug>(checked: Result<T, Findings>) -> Vec<String> {
    let findings = checked.expect_err("should have findings");
    findings.0.iter().map(ToString::to_string).collect()
}

fn check_lines(text: &str) -> Vec<String> {
    lines_of(check_configuration("c.jsonc", text))
}

fn parse_sample() -> Value {
    let document = JsonDocument::parse("sample", SAMPLE).expect("the sample is JSON with comments");
    document.value().clone()
}

fn parse_schema() -> Value {
    serde_json::from_str(CONFIGURATION_SCHEMA).expect("the schema is JSON")
}

/// Pointer in a document, and subschema, of every key that the schema knows. Of arrays the first element counts.
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

/// Keys that the typed form takes in the object at `pointer`, from the message about an unknown one.
fn list_typed_keys(document: &Value, pointer: &str, read: fn(Value) -> String) -> BTreeSet<String> {
    let mut document = document.clone();
    set_key(
        &mut document,
        &join_pointer(pointer, "no-such-key"),
        json!(1),
    );
    let message = read(document);
    let quoted = message.split('`').skip(1).step_by(2);
    quoted.skip(1).map(str::to_owned).collect()
}

fn compare_keys(schema: &Value, document: &Value, pointer: &str, read: fn(Value) -> String) {
    let properties = schema["properties"].as_object();
    if let Some(properties) = properties {
        let known: BTreeSet<String> = properties.keys().cloned().collect();
        assert_eq!(known, list_typed_keys(document, pointer, read), "{pointer}");
    }
    for (key, property) in properties.into_iter().flatten() {
        let pointer = join_pointer(pointer, key);
        compare_keys(property, document, &pointer, read);
        compare_keys(&property["items"], document, &format!("{pointer}/0"), read);
    }
}

#[test]
fn schema_knows_the_same_keys_as_the_types() {
    let read = |value| {
        serde_json::from_value::<Configuration>(value)
            .unwrap_err()
            .to_string()
    };
    compare_keys(&parse_schema(), &parse_sample(), "", read);
}

#[test]
fn schema_states_the_defaults_of_the_types() {
    let mut keys = Vec::new();
    list_schema_keys(&parse_schema(), "", &mut keys);
    let read = |value: Value| serde_json::from_value::<Configuration>(value).expect("complete");
    for (pointer, property) in keys {
        let Some(default) = property.get("default") else {
            continue;
        };
        let (mut left_out, mut given) = (parse_sample(), parse_sample());
        set_key(&mut given, &pointer, default.clone());
        if left_out.pointer(&pointer).is_some() {
            remove_key(&mut left_out, &pointer);
        }
        assert_eq!(read(left_out), read(given), "{pointer}");
    }
}

#[test]
fn sample_has_every_key() {
    let mut keys = Vec::new();
    list_schema_keys(&parse_schema(), "", &mut keys);
    let sample = SAMPLE;
    for (pointer, _) in keys {
        let key = pointer.rsplit('/').next().expect("a key");
        assert!(sample.contains(&format!("\"{key}\":")), "{pointer}");
    }
}

#[test]
fn check_sample_is_accepted() {
    let sample = check_configuration("sample", SAMPLE).expect("the sample is right");
    assert_eq!(sample.classes.len(), 2);
    assert_eq!(validate_configuration("request", &sample), Ok(()));
}

#[test]
fn build_table_routes_as_published() {
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
            .map(|facts| facts.health_path.as_str()),
        Some("/health")
    );
}

#[test]
fn check_reports_everything_at_once() {
    let text = SAMPLE
        .replace("\"health_path\"", "\"health_pat\"")
        .replace("\"target_ms\": 400", "\"target_ms\": \"400\"")
        .replace("\"timeout_ms\": 1000,\n", "")
        .replace(
            "\"path_prefix\": \"/bookings/\"",
            "\"path_prefix\": \"bookings\"",
        );
    let found = check_lines(&text);
    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(found[0].starts_with("c.jsonc:5:28: $.services[0].health_pat: unknown key"));
    assert!(
        found[0].ends_with("did you mean `health_path`?"),
        "{found:#?}"
    );
    assert!(found[1].contains("$.classes[0].path_prefix: not allowed"));
    assert!(found[2].contains("$.classes[0].target_ms: wrong type"));
    assert!(found[3].contains("$.classes[1].timeout_ms: key `timeout_ms` is missing"));
}

#[test]
fn check_rules_between_values() {
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
    let found = check_lines(&text);
    let expected = [
        "$.services[1].name: conflict: `frontdesk` is used more than once",
        "$.classes[0].services: conflict: no service of the class has a weight",
        "$.classes[0].services[0].name: conflict: no service is named `desk`",
        "$.classes[0].timeout_ms: conflict: the timeout of 399 ms",
        "$.classes[1].name: conflict: `bookings` is used more than once",
        "$.classes[1].path_prefix: conflict: `frontdesk.kneadwise.example/bookings/` is used",
        "$.classes[1].services[1].name: conflict: no service is named `frontdesk-canary`",
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for part in expected {
        assert!(
            found.iter().any(|line| line.contains(part)),
            "{part} in {found:#?}"
        );
    }
}

#[test]
fn check_syntax() {
    assert!(check_lines("{\n  \"services\": \n}")[0].starts_with("c.jsonc:"));
    let empty = check_lines("");
    assert!(empty[0].starts_with("c.jsonc:1:1: $: syntax: the file is empty"));
    let found = check_lines("{ \"services\": [], \"services\": [] }");
    assert!(
        found
            .iter()
            .any(|line| line.contains("duplicate key `services`"))
    );
}

#[test]
fn check_number_with_point() {
    let found = check_lines(&SAMPLE.replace("\"target_ms\": 400", "\"target_ms\": 400.0"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("wrong type"), "{found:#?}");
}

#[test]
fn list_changes_names_each() {
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
fn check_any_text_gives_findings_with_places() {
    check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        assert_valid_positions(&text);
        assert_valid_positions(&format!("{{ \"services\": {text} }}"));
    });
}

#[test]
fn check_cut_and_spliced_sample_gives_findings_with_places() {
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
