//! Converts errors of the JSON schema validator to findings with positions and suggestions.

use crate::options::{
    findings::{Finding, Problem},
    json_document::{JsonDocument, join_pointer},
};
use jsonschema::{ValidationError, Validator, error::ValidationErrorKind};
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum edit distance between an unknown key and the known key that is suggested instead.
const MAX_SUGGESTION_DISTANCE: usize = 4;

/// JSON pointer of the part of a document that holds API keys. Findings don't show its values.
const SECRET_POINTER: &str = "/organisations";

/// Returns a finding for every violation of the schema.
pub fn find_schema_errors(document: &JsonDocument, schema: &str) -> Vec<Finding> {
    let schema: Value = serde_json::from_str(schema).expect("the committed schema is JSON");
    build_validator(&schema)
        .iter_errors(document.value())
        .flat_map(|error| make_findings(document, &schema, &error))
        .collect()
}

fn build_validator(schema: &Value) -> Validator {
    jsonschema::options()
        .with_format("socket-address", |text: &str| {
            text.parse::<SocketAddr>().is_ok()
        })
        .should_validate_formats(true)
        .build(schema)
        .expect("the committed schema is a JSON schema")
}

fn make_findings(
    document: &JsonDocument,
    schema: &Value,
    error: &ValidationError<'_>,
) -> Vec<Finding> {
    let pointer = error.instance_path().as_str();
    let subschema = find_subschema(schema, error);
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|key| {
                let problem = Problem::UnknownKey(key.clone());
                let suggestion = suggest_key(key, subschema);
                document.finding_at(&join_pointer(pointer, key), problem, suggestion)
            })
            .collect(),
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let described = subschema.and_then(|schema| schema["properties"].get(key));
            let suggestion = describe(resolve(schema, described), &format!("add `{key}`"));
            let problem = Problem::MissingKey(key.to_owned());
            vec![document.finding_at(&join_pointer(pointer, key), problem, suggestion)]
        }
        kind => {
            let message = describe_error(error);
            let problem = match kind {
                ValidationErrorKind::Type { .. } => Problem::WrongType(message),
                _ => Problem::OutOfRange(message),
            };
            let suggestion = describe(subschema, "change the value");
            vec![document.finding_at(pointer, problem, suggestion)]
        }
    }
}

/// Returns the part of the schema that holds the violated keyword.
fn find_subschema<'a>(schema: &'a Value, error: &ValidationError<'_>) -> Option<&'a Value> {
    let keyword = error.schema_path().as_str();
    schema.pointer(&keyword[..keyword.rfind('/')?])
}

/// Follows the `$ref` of a subschema, if it has one.
fn resolve<'a>(schema: &'a Value, described: Option<&'a Value>) -> Option<&'a Value> {
    let reference = described?.get("$ref").and_then(Value::as_str);
    match reference {
        Some(reference) => schema.pointer(reference.trim_start_matches('#')),
        None => described,
    }
}

fn describe_error(error: &ValidationError<'_>) -> String {
    match error.kind() {
        ValidationErrorKind::Format { format } => {
            let name = format.replace('-', " ");
            format!("{} is not a {name}", error.instance())
        }
        _ if error.instance_path().as_str().starts_with(SECRET_POINTER) => {
            error.masked_with("the value").to_string()
        }
        _ => error.masked_with(error.instance().to_string()).to_string(),
    }
}

/// Appends the description from the schema to a suggestion.
fn describe(subschema: Option<&Value>, action: &str) -> String {
    let description = subschema.and_then(|schema| schema["description"].as_str());
    match description {
        Some(description) => format!("{action}: {}", description.trim_end_matches('.')),
        None => action.to_owned(),
    }
}

fn suggest_key(unknown: &str, subschema: Option<&Value>) -> String {
    let known = subschema.and_then(|schema| schema["properties"].as_object());
    let keys = || known.into_iter().flat_map(|keys| keys.keys());
    let nearest = keys()
        .map(|key| (compute_edit_distance(unknown, key), key))
        .min()
        .filter(|(distance, key)| *distance <= MAX_SUGGESTION_DISTANCE.min(key.len() / 2));
    if let Some((_, key)) = nearest {
        return format!("did you mean `{key}`?");
    }
    let list: Vec<&str> = keys().map(String::as_str).collect();
    format!("remove it; allowed keys: {}", list.join(", "))
}

/// Computes the Levenshtein distance in characters.
fn compute_edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

#[cfg(test)]
mod tests {
    use super::compute_edit_distance;

    #[test]
    fn compute_edit_distance_known_pairs() {
        assert_eq!(compute_edit_distance("", "abc"), 3);
        assert_eq!(compute_edit_distance("listen", "listne"), 2);
        assert_eq!(compute_edit_distance("slots", "slots"), 0);
    }
}
