//! Changes between versions of a routing table, and the earlier tables that are kept to compute them.

use arcstr::ArcStr;
use bolero::{TypeGenerator, check};
use camphorturn::state::{
    configuration::ConfigurationVersion,
    names::{ClassName, ServiceName},
    routing_table::{ClientLimits, Route, RoutingTable, ServiceConfiguration, WeightedService},
    table_change::{ChangeError, TableChange},
    table_history::TableHistory,
};
use serde_json::Value;
use std::{collections::HashSet, rc::Rc, time::Duration};

/// Number of earlier tables that a node keeps.
const KEPT_TABLES: u64 = 8;

#[derive(Clone, Debug, TypeGenerator)]
struct GeneratedRoute {
    host: u8,
    path: u8,
    class: u8,
    service: u8,
    weight: u8,
    settings: u8,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Edit {
    Add(GeneratedRoute),
    Remove(u8),
    Replace(u8, GeneratedRoute),
    MoveToService(u8, u8),
    SetWeight(u8, u8),
    SwapRoutes(u8, u8),
    SetHealthPath(u8),
    AddService(u8),
    SetMaxBody(u8),
}

/// A table, and the edits that turn it into the next version.
#[derive(Clone, Debug, TypeGenerator)]
struct GeneratedPair {
    base: Vec<GeneratedRoute>,
    services: u8,
    edits: Vec<Edit>,
}

impl GeneratedPair {
    fn build(&self) -> (RoutingTable, RoutingTable) {
        let routes = self.base.iter().map(build_route).map(Rc::new);
        let base = RoutingTable {
            version: ConfigurationVersion(7),
            routes: routes.collect(),
            services: (0..self.services % 4).map(build_service).collect(),
            limits: ClientLimits::default(),
            organisations: None,
        };
        let mut table = base.clone();
        table.version = ConfigurationVersion(8);
        for edit in &self.edits {
            apply_edit(&mut table, edit);
        }
        (base, table)
    }
}

fn service_name(number: u8) -> ServiceName {
    ServiceName::from(format!("service-{}", number % 4).as_str())
}

fn build_service(number: u8) -> ServiceConfiguration {
    ServiceConfiguration {
        name: service_name(number),
        health_path: ArcStr::from("/health"),
        warmup: None,
    }
}

fn build_route(generated: &GeneratedRoute) -> Route {
    let first = WeightedService {
        service: service_name(generated.service),
        weight: u32::from(generated.weight % 3),
    };
    let second = WeightedService {
        service: service_name(generated.service / 4),
        weight: 1,
    };
    let services = if generated.weight > 127 {
        vec![first, second]
    } else {
        vec![first]
    };
    Route {
        class: ClassName::from(format!("class-{}", generated.class).as_str()),
        host: ArcStr::from(format!("host-{}", generated.host % 3)),
        path_prefix: ArcStr::from(format!("/{}/", generated.path % 16)),
        idempotent: generated.settings & 1 == 0,
        timeout: Duration::from_millis(u64::from(generated.settings / 2 % 3)),
        target: Duration::from_millis(u64::from(generated.settings / 8 % 2)),
        priority: generated.settings / 16 % 2,
        max_attempts: u16::from(generated.settings / 32 % 2),
        services,
        is_public: false,
    }
}

fn apply_edit(table: &mut RoutingTable, edit: &Edit) {
    let routes = &mut table.routes;
    let count = routes.len();
    let find_index = |number: &u8| (count > 0).then(|| usize::from(*number) % count);
    match edit {
        Edit::Add(generated) => routes.push(Rc::new(build_route(generated))),
        Edit::Remove(number) => {
            find_index(number).map(|index| routes.remove(index));
        }
        Edit::Replace(number, generated) => {
            if let Some(index) = find_index(number) {
                routes[index] = Rc::new(build_route(generated));
            }
        }
        Edit::MoveToService(number, service) => {
            if let Some(index) = find_index(number) {
                Rc::make_mut(&mut routes[index]).services[0].service = service_name(*service);
            }
        }
        Edit::SetWeight(number, weight) => {
            if let Some(index) = find_index(number) {
                Rc::make_mut(&mut routes[index]).services[0].weight = u32::from(*weight);
            }
        }
        Edit::SwapRoutes(one, other) => {
            if let (Some(one), Some(other)) = (find_index(one), find_index(other)) {
                routes.swap(one, other);
            }
        }
        Edit::SetHealthPath(number) => {
            if let Some(service) = table.services.first_mut() {
                service.health_path = ArcStr::from(format!("/health-{number}"));
            }
        }
        Edit::AddService(number) => table.services.push(build_service(*number)),
        Edit::SetMaxBody(bytes) => table.limits.max_body_bytes = usize::from(*bytes),
    }
}

fn has_duplicate_routes(table: &RoutingTable) -> bool {
    let mut seen = HashSet::new();
    let mut routes = table.routes.iter();
    !routes.all(|route| seen.insert((&route.host, &route.path_prefix)))
}

/// Sorts the routes of a table, to compare tables regardless of their order.
fn sort_routes(mut table: RoutingTable) -> RoutingTable {
    table
        .routes
        .sort_by_cached_key(|route| format!("{route:?}"));
    table
}

/// Encodes a change as JSON and decodes it.
fn round_trip_json(change: &TableChange) -> TableChange {
    let text = serde_json::to_vec(change).expect("a change can be written");
    serde_json::from_slice(&text).expect("a change can be read")
}

#[test]
fn apply_results_in_table() {
    check!().with_type::<GeneratedPair>().for_each(|pair| {
        let (base, table) = pair.build();
        let change = TableChange::between(Some(&base), &table);
        assert_eq!(round_trip_json(&change), change);
        match round_trip_json(&change).apply(Some(&base)) {
            Ok(applied) => assert_eq!(sort_routes(applied), sort_routes(table)),
            Err(error) => {
                assert_eq!(error, ChangeError::ChecksumMismatch);
                assert!(has_duplicate_routes(&base) || has_duplicate_routes(&table));
            }
        }
    });
}

#[test]
fn apply_complete_table() {
    check!().with_type::<GeneratedPair>().for_each(|pair| {
        let (base, table) = pair.build();
        let change = round_trip_json(&TableChange::between(None, &table));
        let expected = sort_routes(table);
        for known in [None, Some(&base)] {
            let applied = change.apply(known).expect("a complete table needs no base");
            assert_eq!(sort_routes(applied), expected);
        }
    });
}

#[test]
fn apply_keeps_routes_shared() {
    check!().with_type::<GeneratedPair>().for_each(|pair| {
        let (base, table) = pair.build();
        let change = round_trip_json(&TableChange::between(Some(&base), &table));
        if has_duplicate_routes(&base) || has_duplicate_routes(&table) {
            return;
        }
        let applied = change
            .apply(Some(&base))
            .expect("it is based on this table");
        let is_unchanged = |route: &&Rc<Route>| base.routes.contains(*route);
        for route in applied.routes.iter().filter(is_unchanged) {
            assert!(base.routes.iter().any(|known| Rc::ptr_eq(known, route)));
        }
    });
}

/// Failure: a node routes by a table that nobody published, because it applies a change that is based on a version that it doesn't
/// have, or on a different table of the same version.
#[test]
fn apply_to_different_base() {
    check!()
        .with_type::<(GeneratedPair, GeneratedPair)>()
        .for_each(|(pair, other)| {
            let (base, table) = pair.build();
            let change = TableChange::between(Some(&base), &table);
            let (mut other, _) = other.build();
            if let Ok(applied) = change.apply(Some(&other)) {
                assert_eq!(sort_routes(applied), sort_routes(table));
            }
            other.version = ConfigurationVersion(6);
            assert_eq!(
                change.apply(Some(&other)),
                Err(ChangeError::BaseMismatch(7))
            );
            assert_eq!(change.apply(None), Err(ChangeError::BaseMismatch(7)));
        });
}

/// Number of parts of a value that `tamper` can change.
fn count_parts(value: &Value) -> usize {
    match value {
        Value::Array(list) => list.len() + list.iter().map(count_parts).sum::<usize>(),
        Value::Object(members) => members.values().map(count_parts).sum(),
        Value::Null => 0,
        _ => 1,
    }
}

/// Changes the part of a value with this number: removes an element of a list, or modifies a scalar. Returns whether it found the
/// part.
fn tamper(value: &mut Value, number: &mut usize) -> bool {
    match value {
        Value::Array(list) => {
            if *number < list.len() {
                list.remove(*number);
                return true;
            }
            *number -= list.len();
            return list.iter_mut().any(|part| tamper(part, number));
        }
        Value::Object(members) => return members.values_mut().any(|part| tamper(part, number)),
        Value::Null => return false,
        _ if *number > 0 => {
            *number -= 1;
            return false;
        }
        Value::Bool(flag) => *flag = !*flag,
        Value::String(text) => text.push('x'),
        Value::Number(count) => *count = (count.as_u64().unwrap_or(0) ^ 1).into(),
    }
    true
}

/// Failure: a node routes by a table that nobody published, because it applies a corrupted change.
#[test]
fn apply_tampered() {
    check!()
        .with_type::<(GeneratedPair, u16)>()
        .for_each(|(pair, number)| {
            let (base, table) = pair.build();
            let change = TableChange::between(Some(&base), &table);
            let mut value = serde_json::to_value(&change).expect("a change can be written");
            let mut number = usize::from(*number) % count_parts(&value);
            assert!(tamper(&mut value, &mut number));
            let Ok(tampered) = serde_json::from_value::<TableChange>(value) else {
                return;
            };
            assert_ne!(tampered, change);
            if let Ok(applied) = tampered.apply(Some(&base)) {
                assert_eq!(sort_routes(applied), sort_routes(table));
            }
        });
}

fn numbered_route(number: u64) -> Route {
    Route {
        class: ClassName::from(format!("class-{number}").as_str()),
        host: ArcStr::from("host"),
        path_prefix: ArcStr::from(format!("/{number}/")),
        idempotent: true,
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(100),
        priority: 1,
        max_attempts: 2,
        services: vec![WeightedService {
            service: service_name(0),
            weight: 1,
        }],
        is_public: false,
    }
}

/// A table with as many routes as its version. As in tables read from the store, no strings are shared with other tables.
fn numbered_table(version: u64) -> RoutingTable {
    RoutingTable {
        version: ConfigurationVersion(version),
        routes: (0..version).map(numbered_route).map(Rc::new).collect(),
        services: vec![build_service(0)],
        limits: ClientLimits::default(),
        organisations: None,
    }
}

#[test]
fn apply_tampered_checksum() {
    let (base, table) = (numbered_table(3), numbered_table(4));
    let change = TableChange::between(Some(&base), &table);
    for member in ["digest", "version"] {
        let mut value = serde_json::to_value(&change).expect("a change can be written");
        let count = value[member].as_u64().expect("a number");
        value[member] = (count ^ 1).into();
        let tampered: TableChange = serde_json::from_value(value).expect("a change");
        assert_eq!(
            tampered.apply(Some(&base)),
            Err(ChangeError::ChecksumMismatch)
        );
    }
}

#[test]
fn replace_if_newer_generated_versions() {
    check!().with_type::<Vec<u8>>().for_each(|versions| {
        let mut history = TableHistory::default();
        for version in versions {
            let before = history.version();
            let version = ConfigurationVersion(u64::from(*version % 32));
            let is_replaced = history.replace_if_newer(numbered_table(version.0));
            assert_eq!(is_replaced, version > before);
            assert_eq!(history.version(), version.max(before));
            let routes = history.current().map_or(0, |now| now.table().routes.len());
            assert_eq!(routes as u64, history.version().0);
        }
    });
}

#[test]
fn change_since_each_version() {
    const LAST: u64 = 12;
    let mut history = TableHistory::default();
    assert_eq!(history.change_since(ConfigurationVersion(0)), None);
    for version in 1..=LAST {
        history.replace_if_newer(numbered_table(version));
    }
    let expected = sort_routes(numbered_table(LAST));
    for version in 0..LAST {
        let base_version = ConfigurationVersion(version);
        let change = history.change_since(base_version).expect("it is older");
        let is_kept = version >= LAST - KEPT_TABLES;
        assert_eq!(change.base, is_kept.then_some(base_version));
        let base = numbered_table(version);
        let applied = change
            .apply(Some(&base))
            .expect("it is based on this table");
        assert_eq!(sort_routes(applied), expected);
    }
    for version in [LAST, LAST + 1] {
        assert_eq!(history.change_since(ConfigurationVersion(version)), None);
    }
}

/// Failure: a node answers with a change that results in an earlier version, because computed changes are kept after a newer table
/// was put in force.
#[test]
fn change_since_after_replace() {
    let mut history = TableHistory::default();
    for version in 1..=6 {
        history.replace_if_newer(numbered_table(version));
        for older in 0..version {
            let change = history.change_since(ConfigurationVersion(older));
            let result_version = change.map(|change| change.version);
            assert_eq!(result_version, Some(ConfigurationVersion(version)));
        }
    }
}

/// Failure: the memory of a node grows by a table of thousands of routes with each change, because kept tables share no routes.
#[test]
fn replace_if_newer_shares_routes() {
    let mut history = TableHistory::default();
    history.replace_if_newer(numbered_table(5));
    let first = Rc::clone(history.current().expect("a table"));
    let mut next = numbered_table(6);
    Rc::make_mut(&mut next.routes[2]).priority = 0;
    history.replace_if_newer(next);
    let second = history.current().expect("a table");
    for index in [0, 1, 3, 4] {
        let (before, now) = (&first.table().routes[index], &second.table().routes[index]);
        assert!(Rc::ptr_eq(before, now));
    }
    assert_eq!(second.table().routes[2].priority, 0);
    assert_eq!(first.table().routes[2].priority, 1);
}
