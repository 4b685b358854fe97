//! Rules of a published configuration that its JSON schema can't express.

use crate::{
    options::checked_file::RuleViolation,
    state::configuration::{ClassEntry, Configuration, OrganisationEntry},
};
use std::collections::BTreeSet;

/// Returns all violations of these rules in a configuration.
///
/// The names of services, the names of classes, and the pairs of host and path prefix must be unique. Each class
/// must refer only to services that exist, must have a service with a weight above 0, and must not have a timeout
/// below its target.
#[must_use]
pub fn check_configuration_rules(configuration: &Configuration) -> Vec<RuleViolation> {
    let services = configuration.services.iter().enumerate();
    let services = services
        .map(|(index, service)| (format!("/services/{index}/name"), service.name.to_string()));
    let indexed_classes = || configuration.classes.iter().enumerate();
    let names = indexed_classes()
        .map(|(index, class)| (format!("/classes/{index}/name"), class.name.to_string()));
    let host_prefixes = indexed_classes().map(|(index, class)| {
        let host = class.host.to_ascii_lowercase();
        let pointer = format!("/classes/{index}/path_prefix");
        (pointer, format!("{host}{}", class.path_prefix))
    });
    let mut violations = find_duplicates(services, "give each service a unique name");
    violations.extend(find_duplicates(names, "give each class a unique name"));
    violations.extend(find_duplicates(
        host_prefixes,
        "use each pair of host and path prefix in one class only",
    ));
    let service_names: BTreeSet<&str> = configuration
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    for (index, class) in indexed_classes() {
        let pointer = format!("/classes/{index}");
        violations.extend(check_class(&pointer, class));
        violations.extend(find_unknown_services(&pointer, class, &service_names));
    }
    violations.extend(check_organisations(
        configuration.organisations.as_deref().unwrap_or_default(),
    ));
    violations
}

/// Names must be unique, a key must stand only once, and a burst needs a rate. Keys are shown by their fingerprints.
fn check_organisations(organisations: &[OrganisationEntry]) -> Vec<RuleViolation> {
    let indexed = || organisations.iter().enumerate();
    let names = indexed().map(|(index, organisation)| {
        let pointer = format!("/organisations/{index}/name");
        (pointer, organisation.name.to_string())
    });
    let keys = indexed().flat_map(|(index, organisation)| {
        let keys = organisation.api_keys.iter().enumerate();
        keys.map(move |(position, key)| {
            let pointer = format!("/organisations/{index}/api_keys/{position}");
            (pointer, format!("key {}", key.digest().fingerprint()))
        })
    });
    let mut violations = find_duplicates(names, "give each organisation a unique name");
    violations.extend(find_duplicates(
        keys,
        "give each key to one organisation only",
    ));
    for (index, organisation) in indexed() {
        if organisation.burst > 0 && organisation.requests_per_minute.is_none() {
            violations.push(RuleViolation::conflict(
                format!("/organisations/{index}/burst"),
                "a burst without a rate limits nothing".to_owned(),
                "add `requests_per_minute`, or remove `burst`",
            ));
        }
    }
    violations
}

/// Finds repeated names. `names` holds pairs of the JSON pointer to a name and the name.
fn find_duplicates(
    names: impl Iterator<Item = (String, String)>,
    suggestion: &str,
) -> Vec<RuleViolation> {
    let mut seen_names = BTreeSet::new();
    let mut violations = Vec::new();
    for (pointer, name) in names {
        if !seen_names.insert(name.clone()) {
            let message = format!("`{name}` is used more than once");
            violations.push(RuleViolation::conflict(pointer, message, suggestion));
        }
    }
    violations
}

fn check_class(pointer: &str, class: &ClassEntry) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    if class.timeout_ms < class.target_ms {
        let message = format!(
            "the timeout of {} ms is shorter than the target of {} ms",
            class.timeout_ms, class.target_ms
        );
        let suggestion = "raise `timeout_ms` or lower `target_ms`";
        let pointer = format!("{pointer}/timeout_ms");
        violations.push(RuleViolation::conflict(pointer, message, suggestion));
    }
    if class.services.iter().all(|share| share.weight == 0) {
        let message = "no service of the class has a weight above 0".to_owned();
        let suggestion = "give at least one service a weight above 0";
        let pointer = format!("{pointer}/services");
        violations.push(RuleViolation::conflict(pointer, message, suggestion));
    }
    violations
}

fn find_unknown_services(
    pointer: &str,
    class: &ClassEntry,
    service_names: &BTreeSet<&str>,
) -> Vec<RuleViolation> {
    let shares = class.services.iter().enumerate();
    shares
        .filter(|(_, share)| !service_names.contains(share.name.as_str()))
        .map(|(index, share)| {
            let message = format!("no service is named `{}`", share.name);
            let pointer = format!("{pointer}/services/{index}/name");
            RuleViolation::conflict(
                pointer,
                message,
                "add the service to `services`, or correct the name",
            )
        })
        .collect()
}
