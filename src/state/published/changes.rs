//! What differs between two configurations, for people who read a conflict or the history.

use crate::state::{
    class::Class,
    configuration::{Configuration, Service},
    names::{ClassName, ServiceName},
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

/// Most differences that are kept for one publication.
const CHANGE_LIMIT: usize = 20;

/// A field with another value than before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Earlier value as JSON text.
    pub before: String,
    /// Later value as JSON text.
    pub after: String,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A service is new.
    ServiceAdded(ServiceName),
    /// A service is gone.
    ServiceRemoved(ServiceName),
    /// A field of a service differs.
    ServiceField(ServiceName, FieldChange),
    /// A class is new.
    ClassAdded(ServiceName, ClassName),
    /// A class is gone.
    ClassRemoved(ServiceName, ClassName),
    /// A field of a class differs.
    ClassField(ServiceName, ClassName, FieldChange),
    /// So many more differences that are not listed.
    More(usize),
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.field, self.before, self.after)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceAdded(service) => write!(f, "{service}: added"),
            Self::ServiceRemoved(service) => write!(f, "{service}: removed"),
            Self::ServiceField(service, change) => write!(f, "{service}: {change}"),
            Self::ClassAdded(service, class) => write!(f, "{service}/{class}: added"),
            Self::ClassRemoved(service, class) => write!(f, "{service}/{class}: removed"),
            Self::ClassField(service, class, change) => write!(f, "{service}/{class}: {change}"),
            Self::More(count) => write!(f, "{count} more"),
        }
    }
}

/// Lists what differs, in the order of names, with a bound on the length.
#[must_use]
pub fn compare_configurations(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    for old in &before.services {
        match after.find_service(&old.name) {
            Some(new) => compare_services(old, new, &mut changes),
            None => changes.push(Change::ServiceRemoved(old.name.clone())),
        }
    }
    let added = after
        .services
        .iter()
        .filter(|service| before.find_service(&service.name).is_none());
    changes.extend(added.map(|service| Change::ServiceAdded(service.name.clone())));
    let extra = changes.len().saturating_sub(CHANGE_LIMIT);
    if extra > 0 {
        changes.truncate(CHANGE_LIMIT);
        changes.push(Change::More(extra));
    }
    changes
}

fn compare_services(old: &Service, new: &Service, changes: &mut Vec<Change>) {
    let name = &old.name;
    let fields = compare_fields(&fields_of(old), &fields_of(new));
    let fields = fields
        .into_iter()
        .filter(|change| change.field != "classes");
    changes.extend(fields.map(|change| Change::ServiceField(name.clone(), change)));
    for class in &old.classes {
        match new.find_class(&class.name) {
            Some(later) => compare_classes(name, class, later, changes),
            None => changes.push(Change::ClassRemoved(name.clone(), class.name.clone())),
        }
    }
    let added = new
        .classes
        .iter()
        .filter(|class| old.find_class(&class.name).is_none());
    changes.extend(added.map(|class| Change::ClassAdded(name.clone(), class.name.clone())));
}

fn compare_classes(service: &ServiceName, old: &Class, new: &Class, changes: &mut Vec<Change>) {
    let fields = compare_fields(&fields_of(old), &fields_of(new));
    let fields = fields
        .into_iter()
        .map(|change| Change::ClassField(service.clone(), old.name.clone(), change));
    changes.extend(fields);
}

fn fields_of(value: &impl Serialize) -> Map<String, Value> {
    match serde_json::to_value(value) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    }
}

fn compare_fields(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<FieldChange> {
    let differing = new
        .iter()
        .filter(|(field, value)| old.get(*field) != Some(*value));
    differing
        .map(|(field, value)| FieldChange {
            field: field.clone(),
            before: old.get(field).unwrap_or(&Value::Null).to_string(),
            after: value.to_string(),
        })
        .collect()
}
