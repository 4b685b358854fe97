//! Bytes of other writers, where nodes expect records, configurations and heartbeats.

use serde_json::{Value, json};

/// No text, and no JSON either.
const UNREADABLE: &[u8] = b"\xff\xfe\x00{\"name\":\xc3";

/// Whose place foreign bytes take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignPlace {
    /// The record of the node.
    OwnRecord,
    /// A record beside those of nodes.
    OtherRecord,
    /// The configuration, until the operator writes it again.
    Configuration,
    /// A record beside the configuration.
    OtherConfiguration,
    /// A heartbeat of the node's upstream.
    Heartbeat,
}

/// How bytes differ from what is expected in their place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// They are no text.
    Unreadable,
    /// This field is missing, counted over the end.
    Missing(usize),
    /// This field has another type, counted over the end.
    OtherType(usize),
}

/// A document with that damage.
#[must_use]
pub fn damage(document: &str, damage: Damage) -> Vec<u8> {
    let (Damage::Missing(field) | Damage::OtherType(field)) = damage else {
        return UNREADABLE.to_vec();
    };
    let Ok(Value::Object(mut fields)) = serde_json::from_str(document) else {
        return UNREADABLE.to_vec();
    };
    let name = fields.keys().cycle().nth(field).cloned();
    if let Some(name) = name {
        let value = fields.remove(&name);
        if let (Damage::OtherType(_), Some(value)) = (damage, value) {
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
