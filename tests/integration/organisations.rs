//! Organisations in routing tables, and the digests of their keys.

use camphorturn::state::{
    configuration::ConfigurationVersion,
    organisations::{KeyDigest, Organisation, OrganisationIndex, Quota},
    routing_table::{ClientLimits, RouteIndex, RoutingTable},
    table_change::TableChange,
    table_history::TableHistory,
};
use std::rc::Rc;

/// Largest message that tells one changed key, in bytes.
const MAX_KEY_CHANGE_BYTES: usize = 600;

fn organisation(number: usize, key: &str) -> Rc<Organisation> {
    Rc::new(Organisation {
        name: format!("organisation-{number}").as_str().into(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: 1,
        quota: Some(Quota {
            requests_per_minute: 480,
            burst: 8,
        }),
    })
}

fn table(version: u64, organisations: Option<Vec<Rc<Organisation>>>) -> RoutingTable {
    RoutingTable {
        version: ConfigurationVersion(version),
        routes: Vec::new(),
        services: Vec::new(),
        limits: ClientLimits::default(),
        organisations,
    }
}

fn build_organisations(count: usize) -> Vec<Rc<Organisation>> {
    (0..count)
        .map(|number| organisation(number, &format!("key-{number}")))
        .collect()
}

fn sorted(mut table: RoutingTable) -> RoutingTable {
    if let Some(organisations) = &mut table.organisations {
        organisations.sort_by(|left, right| left.name.cmp(&right.name));
    }
    table
}

/// Failure: a change of one key is sent as the whole list of organisations.
#[test]
fn between_one_key_changed() {
    for count in [100, 1_000, 10_000] {
        let base = table(1, Some(build_organisations(count)));
        let mut changed = build_organisations(count);
        changed[count / 2] = organisation(count / 2, "new key");
        changed.remove(0);
        let newer = table(2, Some(changed));
        let change = TableChange::between(Some(&base), &newer);
        let message = serde_json::to_string(&change).expect("a change can be written");
        assert!(
            message.len() < MAX_KEY_CHANGE_BYTES,
            "{} bytes",
            message.len()
        );
        assert!(!message.contains("key-"), "{message}");
        let read: TableChange = serde_json::from_str(&message).expect("a change can be read");
        let applied = read.apply(Some(&base)).expect("the base is right");
        assert_eq!(sorted(applied), sorted(newer));
    }
}

/// Failure: once the last organisation is removed, requests need no key any more.
#[test]
fn between_organisations_removed() {
    let some = table(1, Some(build_organisations(2)));
    let empty = table(2, Some(Vec::new()));
    let none = table(3, None);
    let apply = |base: &RoutingTable, newer: &RoutingTable| {
        let change = TableChange::between(Some(base), newer);
        change
            .apply(Some(base))
            .expect("the base is right")
            .organisations
    };
    assert_eq!(apply(&some, &empty), Some(Vec::new()));
    assert_eq!(apply(&empty, &none), None);
    assert_eq!(apply(&none, &some).map(|list| list.len()), Some(2));
    assert!(RouteIndex::new(empty).organisations().is_some());
}

#[test]
fn replace_if_newer_shares_organisations() {
    let mut history = TableHistory::default();
    history.replace_if_newer(table(1, Some(build_organisations(3))));
    let before = history
        .current()
        .expect("a table")
        .table()
        .organisations
        .clone();
    history.replace_if_newer(table(2, Some(build_organisations(3))));
    let after = history
        .current()
        .expect("a table")
        .table()
        .organisations
        .clone();
    let (before, after) = (before.expect("some"), after.expect("some"));
    assert!(
        before
            .iter()
            .zip(&after)
            .all(|(left, right)| Rc::ptr_eq(left, right))
    );
}

#[test]
fn find_by_key_exact_match() {
    let organisations = build_organisations(3);
    let index = OrganisationIndex::new(&organisations);
    let find = |key: &str| index.find_by_key(&KeyDigest::of(key.as_bytes()));
    assert_eq!(find("key-1"), Some(&organisations[1]));
    for wrong in ["", "key-", "key-11", "KEY-1", "key-1 ", "key-1\0"] {
        assert_eq!(find(wrong), None, "{wrong:?}");
    }
}

#[test]
fn deserialize_digest_any_text() {
    let digest = KeyDigest::of(b"key");
    let text = serde_json::to_string(&digest).expect("a digest can be written");
    assert_eq!(
        serde_json::from_str::<KeyDigest>(&text).expect("the same"),
        digest
    );
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = serde_json::to_string(&String::from_utf8_lossy(bytes)).expect("a text");
        // Must not panic.
        let _ = serde_json::from_str::<KeyDigest>(&text);
    });
}
