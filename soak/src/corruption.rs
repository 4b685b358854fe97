//! Malformed records, configurations and heartbeats, as a faulty writer could produce them.

use serde_json::{Value, json};

/// Bytes that are neither UTF-8 nor JSON.
const INVALID_JSON: &[u8] = b"\xff\xfe\x00{\"name\":\xc3";

/// Where a malformed document is written. Reports print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptionTarget {
    /// The node's record.
    OwnRecord,
    /// A record in the topic of the nodes' records, under a key of no node.
    OtherRecord,
    /// The configuration; the operator writes a well-formed one right after.
    Configuration,
    /// A record in the topic of the configuration, under a key that nothing uses.
    OtherConfiguration,
    /// A heartbeat of the upstream, sent to the node.
    Heartbeat,
}

/// How a document is malformed. Reports print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// The document is neither UTF-8 nor JSON.
    Unreadable,
    /// The field with this index is missing; the index wraps around at the number of fields.
    Missing(usize),
    /// The field with this index has another type; the index wraps around at the number of fields.
    OtherType(usize),
}

/// Returns a malformed copy of a JSON object.
#[must_use]
pub fn corrupt(document: &str, corruption: Corruption) -> Vec<u8> {
    let (Corruption::Missing(field) | Corruption::OtherType(field)) = corruption else {
        return INVALID_JSON.to_vec();
    };
    let Ok(Value::Object(mut fields)) = serde_json::from_str(document) else {
        return INVALID_JSON.to_vec();
    };
    let name = fields.keys().cycle().nth(field).cloned();
    if let Some(name) = name {
        let value = fields.remove(&name);
        if let (Corruption::OtherType(_), Some(value)) = (corruption, value) {
            fields.insert(name, change_type(&value));
        }
    }
    Value::Object(fields).to_string().into_bytes()
}

fn change_type(value: &Value) -> Value {
    match value {
        Value::String(_) => json!(7),
        Value::Number(_) => json!("seven"),
        Value::Array(_) | Value::Object(_) => json!(true),
        Value::Bool(_) | Value::Null => json!([]),
    }
}
