//! The operators' pages list every key of the schema and every exit code.

use camphorturn::options::{checked_file::CONFIGURATION_SCHEMA, exit_code::ExitCode};
use serde_json::Value;
use std::fs;

fn read_page(name: &str) -> String {
    let path = format!("{}/docs/operators/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("a readable page")
}

/// Renders the table of a schema, with one row for each key in the order of the schema.
fn render_table(schema: &str) -> String {
    let schema: Value = serde_json::from_str(schema).expect("the schema is JSON");
    let mut rows = vec![
        "| Key | Values | Default | Meaning |".to_owned(),
        "| --- | --- | --- | --- |".to_owned(),
    ];
    render_rows(&schema, "", &mut rows);
    rows.join("\n")
}

fn render_rows(schema: &Value, prefix: &str, rows: &mut Vec<String>) {
    let required: Vec<&str> = schema["required"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    for (key, property) in schema["properties"].as_object().into_iter().flatten() {
        let path = format!("{prefix}{key}");
        if property.get("properties").is_none() {
            let default = render_default(property, required.contains(&key.as_str()));
            let values = render_values(property);
            let meaning = property["description"].as_str().expect("a description");
            rows.push(format!("| `{path}` | {values} | {default} | {meaning}. |"));
        }
        render_rows(property, &format!("{path}."), rows);
        render_rows(&property["items"], &format!("{path}[]."), rows);
    }
}

fn render_default(property: &Value, required: bool) -> String {
    match property.get("default") {
        Some(default) => format!("`{default}`"),
        None if required => "required".to_owned(),
        None => "none".to_owned(),
    }
}

fn render_values(property: &Value) -> String {
    if let Some(enum_values) = property["enum"].as_array() {
        let enum_values: Vec<String> = enum_values
            .iter()
            .map(|enum_value| format!("`{enum_value}`"))
            .collect();
        return enum_values.join(", ");
    }
    let type_name = match &property["type"] {
        Value::Array(type_names) => type_names[0].as_str(),
        type_name => type_name.as_str(),
    };
    let type_name = type_name.expect("a type");
    match (&property["minimum"], &property["maximum"]) {
        (Value::Number(minimum), Value::Number(maximum)) => {
            format!("{type_name}, {minimum} to {maximum}")
        }
        (_, Value::Number(maximum)) => format!("{type_name}, above 0 to {maximum}"),
        _ => match property["format"].as_str() {
            Some(_) => "IP:PORT".to_owned(),
            None => type_name.to_owned(),
        },
    }
}

#[test]
fn settings_page_has_all_schema_keys() {
    let page = read_page("settings.md");
    let table = render_table(CONFIGURATION_SCHEMA);
    assert!(
        page.contains(&table),
        "put this table into the page:\n{table}"
    );
}

#[test]
fn exit_codes_page_has_all_codes() {
    let page = read_page("exit-codes.md");
    let row_count = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(row_count, ExitCode::ALL.len());
    for code in ExitCode::ALL {
        let row_start = format!("| `{}` | {code:?} |", code as u8);
        assert!(page.contains(&row_start), "{row_start}");
    }
}
