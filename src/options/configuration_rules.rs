//! Rules of a published configuration that its JSON schema can't express.

use crate::{
    options::checked_file::BrokenRule,
    state::configuration::{ClassEntry, Configuration},
};
use std::collections::BTreeSet;

/// Returns all violations of these rules in a configuration.
///
/// The names of services, the names of classes, and the pairs of host and path prefix must be unique. Each class
/// must refer only to services that exist, must have a service with a weight above 0, and must not have a timeout
/// below its target.
#[must_use]
pub fn check_configuration_rules(configuration: &Configuration) -> Vec<BrokenRule> {
    let services = configuration.services.iter().enumerate();
    let services = services
        .map(|(index, service)| (format!("/services/{index}/name"), service.name.to_string()));
    let classes = || configuration.classes.iter().enumerate();
    let names =
        classes().map(|(index, class)| (format!("/classes/{index}/name"), class.name.to_string()));
    let host_prefixes = classes().map(|(index, class)| {
        let host = class.host.to_ascii_lowercase();
        let pointer = format!("/classes/{index}/path_prefix");
        (pointer, format!("{host}{}", class.path_prefix))
    });
    let mut broken = find_duplicates(services, "give each service a unique name");
    broken.extend(find_duplicates(names, "give each class a unique name"));
    broken.extend(find_duplicates(
        host_prefixes,
        "use each pair of host and path prefix in one class only",
    ));
    let known: BTreeSet<&str> = configuration
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    for (index, class) in classes() {
        let pointer = format!("/classes/{index}");
        broken.extend(check_class(&pointer, class));
        broken.extend(find_unknown_services(&pointer, class, &known));
    }
    broken
}

/// Finds repeated names. `names` holds pairs of the JSON pointer to a name and the name.
fn find_duplicates(
    names: impl Iterator<Item = (String, String)>,
    suggestion: &str,
) -> Vec<BrokenRule> {
    let mut seen = BTreeSet::new();
    let mut broken = Vec::new();
    for (pointer, name) in names {
        if !seen.insert(name.clone()) {
            let message = format!("`{name}` is used more than once");
            broken.push(BrokenRule::conflict(pointer, message, suggestion));
        }
    }
    broken
}

fn check_class(pointer: &str, class: &ClassEntry) -> Vec<BrokenRule> {
    let mut broken = Vec::new();
    if class.timeout_ms < class.target_ms {
        let message = format!(
            "the timeout of {} ms is shorter than the target of {} ms",
            class.timeout_ms, class.target_ms
        );
        let suggestion = "raise `timeout_ms` or lower `target_ms`";
        let pointer = format!("{pointer}/timeout_ms");
        broken.push(BrokenRule::conflict(pointer, message, suggestion));
    }
    if class.services.iter().all(|share| share.weight == 0) {
        let message = "no service of the class has a weight above 0".to_owned();
        let suggestion = "give at least one service a weight above 0";
        let pointer = format!("{pointer}/services");
        broken.push(BrokenRule::conflict(pointer, message, suggestion));
    }
    broken
}

fn find_unknown_services(
    pointer: &str,
    class: &ClassEntry,
    known: &BTreeSet<&str>,
) -> Vec<BrokenRule> {
    let shares = class.services.iter().enumerate();
    shares
        .filter(|(_, share)| !known.contains(share.name.as_str()))
        .map(|(index, share)| {
            let message = format!("no service is named `{}`", share.name);
            let pointer = format!("{pointer}/services/{index}/name");
            BrokenRule::conflict(
                pointer,
                message,
                "add the service to `services`, or correct the name",
            )
        })
        .collect()
}
