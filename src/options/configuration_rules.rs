//! Rules between the values of a published configuration.

use crate::{
    options::checked_file::BrokenRule,
    state::{
        class::{Class, HeaderRule, KeyRule, MatchRule},
        configuration::{Configuration, Service},
    },
};
use std::collections::BTreeMap;

/// Every rule that the configuration breaks.
#[must_use]
pub fn check_configuration_rules(configuration: &Configuration) -> Vec<BrokenRule> {
    let services = &configuration.services;
    let names = services
        .iter()
        .enumerate()
        .map(|(index, service)| (format!("/services/{index}/name"), service.name.as_str()));
    let hosts = services.iter().enumerate().flat_map(|(index, service)| {
        let hosts = service.hosts.iter().enumerate();
        hosts.map(move |(host, text)| (format!("/services/{index}/hosts/{host}"), text.as_str()))
    });
    let mut broken = find_repeated(names, "name each service differently");
    broken.extend(find_repeated(hosts, "let a host select one service only"));
    for (index, service) in services.iter().enumerate() {
        broken.extend(check_service(&format!("/services/{index}"), service));
    }
    broken
}

fn find_repeated<'a>(
    named: impl Iterator<Item = (String, &'a str)>,
    suggestion: &str,
) -> Vec<BrokenRule> {
    let mut first_uses: BTreeMap<&str, String> = BTreeMap::new();
    let mut broken = Vec::new();
    for (pointer, name) in named {
        if first_uses.contains_key(name) {
            let message = format!("`{name}` stands here for the second time");
            broken.push(BrokenRule::conflict(pointer, message, suggestion));
        } else {
            first_uses.insert(name, pointer);
        }
    }
    broken
}

fn check_service(pointer: &str, service: &Service) -> Vec<BrokenRule> {
    let names = service.classes.iter().enumerate().map(|(index, class)| {
        (
            format!("{pointer}/classes/{index}/name"),
            class.name.as_str(),
        )
    });
    let mut broken = find_repeated(names, "name each class of a service differently");
    for (index, class) in service.classes.iter().enumerate() {
        let pointer = format!("{pointer}/classes/{index}");
        broken.extend(check_class(&pointer, class));
        broken.extend(find_unreachable_rules(
            &pointer,
            class,
            &service.classes[..index],
        ));
    }
    broken
}

fn check_class(pointer: &str, class: &Class) -> Vec<BrokenRule> {
    let mut broken = Vec::new();
    if class.deadline_ms < class.target.latency_ms {
        let message = format!(
            "the deadline of {} ms is shorter than the target of {} ms",
            class.deadline_ms, class.target.latency_ms
        );
        let suggestion = "raise `deadline_ms` or lower `target.latency_ms`";
        let pointer = format!("{pointer}/deadline_ms");
        broken.push(BrokenRule::conflict(pointer, message, suggestion));
    }
    if class.hedge && !class.idempotent {
        let message = "a hedged call may run twice, and the class is not idempotent".to_owned();
        let suggestion = "set `hedge` to false";
        let pointer = format!("{pointer}/hedge");
        broken.push(BrokenRule::conflict(pointer, message, suggestion));
    }
    broken.extend(check_key_rule(pointer, class));
    broken
}

fn check_key_rule(pointer: &str, class: &Class) -> Option<BrokenRule> {
    let (message, suggestion) = match (class.idempotent, class.key) {
        (true, KeyRule::Required) => (
            "an idempotent class needs no key, and every key costs memory",
            "set `key` to \"none\"",
        ),
        (false, KeyRule::None) => (
            "a caller who repeats a call of this class would run it twice",
            "set `key` to \"required\", or to \"optional\" if not every caller can send one",
        ),
        (true, KeyRule::None | KeyRule::Optional)
        | (false, KeyRule::Optional | KeyRule::Required) => return None,
    };
    let pointer = format!("{pointer}/key");
    Some(BrokenRule::conflict(
        pointer,
        message.to_owned(),
        suggestion,
    ))
}

/// Rules of `class` that never apply: every request that fits them fits an earlier class too.
fn find_unreachable_rules(pointer: &str, class: &Class, earlier: &[Class]) -> Vec<BrokenRule> {
    let catch_all = [MatchRule::default()];
    let mut broken = Vec::new();
    for (index, rule) in rules_of(class, &catch_all).iter().enumerate() {
        let covering = earlier.iter().find(|other| {
            let others = rules_of(other, &catch_all);
            others.iter().any(|other| covers(other, rule))
        });
        if let Some(other) = covering {
            let message = format!("class `{}` before it takes every such request", other.name);
            let suggestion = "move the narrower rule before the wider one";
            let pointer = format!("{pointer}/match/{index}");
            broken.push(BrokenRule::conflict(pointer, message, suggestion));
        }
    }
    broken
}

/// A class without rules matches every request.
fn rules_of<'a>(class: &'a Class, catch_all: &'a [MatchRule]) -> &'a [MatchRule] {
    if class.rules.is_empty() {
        return catch_all;
    }
    &class.rules
}

/// Whether every request that fits `narrow` fits `wide`.
fn covers(wide: &MatchRule, narrow: &MatchRule) -> bool {
    let method_fits = wide.method.is_none() || wide.method == narrow.method;
    let path_fits = wide.path_prefix.as_ref().is_none_or(|prefix| {
        let narrow = narrow.path_prefix.as_ref();
        narrow.is_some_and(|path| path.starts_with(prefix.as_str()))
    });
    let header_fits = wide.header.as_ref().is_none_or(|header| {
        let narrow = narrow.header.as_ref();
        narrow.is_some_and(|other| is_same_header(header, other))
    });
    method_fits && path_fits && header_fits
}

fn is_same_header(one: &HeaderRule, other: &HeaderRule) -> bool {
    one.name.eq_ignore_ascii_case(&other.name) && one.value == other.value
}
