//! What turns a routing table into a later one, and the tables that are kept for it.

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

/// Tables before the one in force that a node keeps.
const EARLIER: u64 = 8;

#[derive(Clone, Debug, TypeGenerator)]
struct DrawnRoute {
    host: u8,
    path: u8,
    class: u8,
    service: u8,
    weight: u8,
    terms: u8,
}

#[derive(Clone, Debug, TypeGenerator)]
enum Edit {
    Add(DrawnRoute),
    Remove(u8),
    Replace(u8, DrawnRoute),
    MoveToService(u8, u8),
    Weigh(u8, u8),
    Swap(u8, u8),
    ServicePath(u8),
    AddService(u8),
    Body(u8),
}

/// A table and what is done to it to get the next one.
#[derive(Clone, Debug, TypeGenerator)]
struct DrawnPair {
    base: Vec<DrawnRoute>,
    services: u8,
    edits: Vec<Edit>,
}

impl DrawnPair {
    fn build(&self) -> (RoutingTable, RoutingTable) {
        let routes = self.base.iter().map(build_route).map(Rc::new);
        let base = RoutingTable {
            version: ConfigurationVersion(7),
            routes: routes.collect(),
            services: (0..self.services % 4).map(build_service).collect(),
            limits: ClientLimits::default(),
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
        warm_up: None,
    }
}

fn build_route(drawn: &DrawnRoute) -> Route {
    let first = WeightedService {
        service: service_name(drawn.service),
        weight: u32::from(drawn.weight % 3),
    };
    let second = WeightedService {
        service: service_name(drawn.service / 4),
        weight: 1,
    };
    let services = if drawn.weight > 127 {
        vec![first, second]
    } else {
        vec![first]
    };
    Route {
        class: ClassName::from(format!("class-{}", drawn.class).as_str()),
        host: ArcStr::from(format!("host-{}", drawn.host % 3)),
        path_prefix: ArcStr::from(format!("/{}/", drawn.path % 16)),
        idempotent: drawn.terms & 1 == 0,
        timeout: Duration::from_millis(u64::from(drawn.terms / 2 % 3)),
        target: Duration::from_millis(u64::from(drawn.terms / 8 % 2)),
        priority: drawn.terms / 16 % 2,
        max_attempts: u16::from(drawn.terms / 32 % 2),
        services,
    }
}

fn apply_edit(table: &mut RoutingTable, edit: &Edit) {
    let routes = &mut table.routes;
    let count = routes.len();
    let place = |number: &u8| (count > 0).then(|| usize::from(*number) % count);
    match edit {
        Edit::Add(drawn) => routes.push(Rc::new(build_route(drawn))),
        Edit::Remove(number) => {
            place(number).map(|place| routes.remove(place));
        }
        Edit::Replace(number, drawn) => {
            if let Some(place) = place(number) {
                routes[place] = Rc::new(build_route(drawn));
            }
        }
        Edit::MoveToService(number, service) => {
            if let Some(place) = place(number) {
                Rc::make_mut(&mut routes[place]).services[0].service = service_name(*service);
            }
        }
        Edit::Weigh(number, weight) => {
            if let Some(place) = place(number) {
                Rc::make_mut(&mut routes[place]).services[0].weight = u32::from(*weight);
            }
        }
        Edit::Swap(one, other) => {
            if let (Some(one), Some(other)) = (place(one), place(other)) {
                routes.swap(one, other);
            }
        }
        Edit::ServicePath(number) => {
            if let Some(facts) = table.services.first_mut() {
                facts.health_path = ArcStr::from(format!("/health-{number}"));
            }
        }
        Edit::AddService(number) => table.services.push(build_service(*number)),
        Edit::Body(bytes) => table.limits.max_body_bytes = usize::from(*bytes),
    }
}

fn has_twins(table: &RoutingTable) -> bool {
    let mut seen = HashSet::new();
    let mut routes = table.routes.iter();
    !routes.all(|route| seen.insert((&route.host, &route.path_prefix)))
}

/// A table with its routes in a fixed order.
fn sorted(mut table: RoutingTable) -> RoutingTable {
    table
        .routes
        .sort_by_cached_key(|route| format!("{route:?}"));
    table
}

fn over_json(change: &TableChange) -> TableChange {
    let text = serde_json::to_vec(change).expect("a change can be written");
    serde_json::from_slice(&text).expect("a change can be read")
}

#[test]
fn apply_gives_the_table() {
    check!().with_type::<DrawnPair>().for_each(|pair| {
        let (base, table) = pair.build();
        let change = TableChange::between(Some(&base), &table);
        assert_eq!(over_json(&change), change);
        match over_json(&change).apply(Some(&base)) {
            Ok(applied) => assert_eq!(sorted(applied), sorted(table)),
            Err(error) => {
                assert_eq!(error, ChangeError::ChecksumMismatch);
                assert!(has_twins(&base) || has_twins(&table));
            }
        }
    });
}

#[test]
fn apply_whole_table() {
    check!().with_type::<DrawnPair>().for_each(|pair| {
        let (base, table) = pair.build();
        let change = over_json(&TableChange::between(None, &table));
        let expected = sorted(table);
        for known in [None, Some(&base)] {
            let applied = change.apply(known).expect("a whole table needs no base");
            assert_eq!(sorted(applied), expected);
        }
    });
}

#[test]
fn apply_keeps_routes_shared() {
    check!().with_type::<DrawnPair>().for_each(|pair| {
        let (base, table) = pair.build();
        let change = over_json(&TableChange::between(Some(&base), &table));
        if has_twins(&base) || has_twins(&table) {
            return;
        }
        let applied = change.apply(Some(&base)).expect("it fits");
        let stays = |route: &&Rc<Route>| base.routes.contains(*route);
        for route in applied.routes.iter().filter(stays) {
            assert!(base.routes.iter().any(|known| Rc::ptr_eq(known, route)));
        }
    });
}

/// Symptom: a node routes by a table that nobody published. Sequence: it gets a change to a version that it hasn't, or its
/// table of that version is another one. Cause: the change is applied all the same.
#[test]
fn apply_to_another_base() {
    check!()
        .with_type::<(DrawnPair, DrawnPair)>()
        .for_each(|(pair, other)| {
            let (base, table) = pair.build();
            let change = TableChange::between(Some(&base), &table);
            let (mut other, _) = other.build();
            if let Ok(applied) = change.apply(Some(&other)) {
                assert_eq!(sorted(applied), sorted(table));
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

/// Changes the part of a value with this number: drops an element of a list, or makes another of a scalar.
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

/// Symptom: a node routes by a table that nobody published. Cause: a change that was damaged is applied.
#[test]
fn apply_tampered() {
    check!()
        .with_type::<(DrawnPair, u16)>()
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
                assert_eq!(sorted(applied), sorted(table));
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
    }
}

/// As many routes as the version, in strings of their own, as a store gives them.
fn numbered_table(version: u64) -> RoutingTable {
    RoutingTable {
        version: ConfigurationVersion(version),
        routes: (0..version).map(numbered_route).map(Rc::new).collect(),
        services: vec![build_service(0)],
        limits: ClientLimits::default(),
    }
}

#[test]
fn apply_tampered_digest() {
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
fn take_never_older() {
    check!().with_type::<Vec<u8>>().for_each(|versions| {
        let mut history = TableHistory::default();
        for version in versions {
            let before = history.version();
            let version = ConfigurationVersion(u64::from(*version % 32));
            let taken = history.replace_if_newer(numbered_table(version.0));
            assert_eq!(taken, version > before);
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
    let expected = sorted(numbered_table(LAST));
    for version in 0..LAST {
        let asked = ConfigurationVersion(version);
        let change = history.change_since(asked).expect("it is older");
        let is_kept = version >= LAST - EARLIER;
        assert_eq!(change.base, is_kept.then_some(asked));
        let base = numbered_table(version);
        let applied = change.apply(Some(&base)).expect("it fits");
        assert_eq!(sorted(applied), expected);
    }
    for version in [LAST, LAST + 1] {
        assert_eq!(history.change_since(ConfigurationVersion(version)), None);
    }
}

/// Symptom: a node answers with a change that leads to a former version. Cause: what was told before is kept over a take.
#[test]
fn change_since_after_take() {
    let mut history = TableHistory::default();
    for version in 1..=6 {
        history.replace_if_newer(numbered_table(version));
        for older in 0..version {
            let change = history.change_since(ConfigurationVersion(older));
            let leads_to = change.map(|change| change.version);
            assert_eq!(leads_to, Some(ConfigurationVersion(version)));
        }
    }
}

/// Symptom: a node grows by a table of thousands of routes with each change. Cause: the tables that are kept share nothing.
#[test]
fn take_shares_routes() {
    let mut history = TableHistory::default();
    history.replace_if_newer(numbered_table(5));
    let first = Rc::clone(history.current().expect("a table"));
    let mut next = numbered_table(6);
    Rc::make_mut(&mut next.routes[2]).priority = 0;
    history.replace_if_newer(next);
    let second = history.current().expect("a table");
    for place in [0, 1, 3, 4] {
        let (before, now) = (&first.table().routes[place], &second.table().routes[place]);
        assert!(Rc::ptr_eq(before, now));
    }
    assert_eq!(second.table().routes[2].priority, 0);
    assert_eq!(first.table().routes[2].priority, 1);
}
