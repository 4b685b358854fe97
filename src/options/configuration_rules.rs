//! Rules between the values of a published configuration.

use crate::{
    options::checked_file::BrokenRule,
    state::configuration::{ClassEntry, Configuration},
};
use std::collections::BTreeSet;

/// Every rule that the configuration breaks.
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
    let mut broken = find_duplicates(services, "name each service differently");
    broken.extend(find_duplicates(names, "name each class differently"));
    broken.extend(find_duplicates(
        host_prefixes,
        "let a host and path prefix belong to one class only",
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

fn find_duplicates(
    names: impl Iterator<Item = (String, String)>,
    suggestion: &str,
) -> Vec<BrokenRule> {
    let mut seen = BTreeSet::new();
    let mut broken = Vec::new();
    for (pointer, name) in names {
        if !seen.insert(name.clone()) {
            let message = format!("`{name}` stands here for the second time");
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
        let suggestion = "give one of them a weight";
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
                "add it to `services`, or correct the name",
            )
        })
        .collect()
}
