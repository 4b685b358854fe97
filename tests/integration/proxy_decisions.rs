//! Decisions of a node that need no connection: routes, announcements, reads of the store and log lines.

use camphorturn::{
    coordination::{
        fanout::split_receivers,
        local_upstream::{Announcement, AnnouncementEffect, LocalUpstream},
        store_reading::{ReadingRole, is_reader, plan_reading},
    },
    log_reading::line::LogLine,
    options::proxy_settings::LogSettings,
    protocol::store::StoreTopic,
    proxy::{
        directory::{Directory, StateSource},
        events::{LineWriter, ProxyEvent, Severity},
    },
    state::{
        configuration::ConfigurationVersion,
        incarnation_id::IncarnationId,
        known_node::{KnownNode, NodeRecord, StoredRecord},
        rate_limit::RateLimit,
        routing_table::{ClientLimits, Route, RouteIndex, RoutingTable, WeightedService},
        timestamp::Timestamp,
    },
};
use std::{net::SocketAddr, rc::Rc, time::Duration};

fn incarnation(instance: &str, started_ms: Option<u64>) -> IncarnationId {
    IncarnationId {
        instance: instance.to_owned(),
        started_ms,
    }
}

fn announcement(instance: &str, sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        incarnation: incarnation(instance, None),
        service: "desk".into(),
        slots: 6,
        leaving,
        warmup_left: Duration::ZERO,
        sequence,
    }
}

pub fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn record(last: u8, zone: &str, instance: &str) -> NodeRecord {
    NodeRecord {
        name: format!("n{last}").as_str().into(),
        address: address(last),
        service: "desk".into(),
        availability_zone: zone.into(),
        incarnation: incarnation(instance, None),
        slots: 6,
        leaving: false,
        operator_address: None,
    }
}

pub fn known_node(last: u8, zone: &str) -> KnownNode {
    KnownNode::new(StoredRecord {
        revision: 1,
        record: record(last, zone, "i"),
    })
}

fn route(class: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        class: class.into(),
        host: "shop.example".into(),
        path_prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        services: vec![
            WeightedService {
                service: "desk".into(),
                weight: 90,
            },
            WeightedService {
                service: "records".into(),
                weight: 10,
            },
        ],
        is_public: false,
    })
}

fn table(version: u64) -> RoutingTable {
    RoutingTable {
        version: ConfigurationVersion(version),
        routes: vec![route("all", "/a/"), route("part", "/a/b/")],
        services: Vec::new(),
        limits: ClientLimits::default(),
        organisations: None,
    }
}

#[test]
fn find_route_longest_prefix() {
    let index = RouteIndex::new(table(1));
    let class = |host: &str, path: &str| {
        index
            .find_route(host, path)
            .map(|route| route.class.as_str().to_owned())
    };
    assert_eq!(class("shop.example", "/a/b/c").as_deref(), Some("part"));
    assert_eq!(class("Shop.Example:80", "/a/bc").as_deref(), Some("all"));
    assert_eq!(class("shop.example", "/a"), None);
    assert_eq!(class("other.example", "/a/b/"), None);
}

#[test]
fn pick_service_by_weight() {
    let route = route("all", "/a/");
    let picks = (0..1_000_u32).map(|pick| f64::from(pick) / 1_000.0);
    let to_desk = picks
        .filter(|position| {
            route
                .pick_service(*position)
                .is_some_and(|s| s.as_str() == "desk")
        })
        .count();
    assert_eq!(to_desk, 900);
}

#[test]
fn apply_table_never_older() {
    let mut directory = Directory::default();
    assert!(directory.apply_table(table(5)));
    assert!(!directory.apply_table(table(4)));
    assert!(!directory.apply_table(table(5)));
    assert_eq!(directory.version().0, 5);
}

/// Guards against requests to an incarnation of an upstream that has been replaced. A node that is behind sends an old record after
/// the newer one was read from the store; the one that arrived last must not win.
#[test]
fn apply_record_never_older() {
    let mut directory = Directory::default();
    let stored = |revision, instance: &str| StoredRecord {
        revision,
        record: record(1, "a", instance),
    };
    assert!(directory.apply_record(stored(7, "i-2"), StateSource::Store));
    assert!(!directory.apply_record(stored(3, "i-1"), StateSource::Store));
    assert_eq!(
        directory.nodes[&address(1)].record.incarnation.instance,
        "i-2"
    );
}

#[test]
fn build_update_since_known_version() {
    let mut directory = Directory::default();
    directory.apply_table(table(5));
    directory.apply_own_record(record(1, "a", "i"));
    let mut build_update = |version, has_records| {
        directory.build_update_since(ConfigurationVersion(version), has_records)
    };
    assert_eq!(build_update(5, false).change, None);
    assert!(build_update(4, false).change.is_some() && build_update(4, false).nodes.is_empty());
    assert_eq!(build_update(0, false).nodes.len(), 1);
    assert!(build_update(0, true).change.is_some() && build_update(0, true).nodes.is_empty());
}

#[test]
fn apply_announcement_in_any_order() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|announcements| {
            let mut upstream = LocalUpstream::default();
            let mut left_instances = Vec::new();
            for (incarnation, sequence, leaving) in announcements {
                let instance = format!("i-{}", incarnation % 4);
                upstream.apply_announcement(announcement(
                    &instance,
                    u64::from(*sequence),
                    *leaving,
                ));
                if upstream.current().is_some_and(|current| current.leaving) {
                    left_instances.extend(
                        upstream
                            .current()
                            .map(|current| current.identity.instance.clone()),
                    );
                }
                let serving = upstream
                    .serving()
                    .map(|current| current.identity.instance.clone());
                assert!(serving.is_none_or(|serving| !left_instances.contains(&serving)));
            }
        });
}

#[test]
fn apply_announcement_stale_sequence() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_announcement(announcement("i-1", 5, false));
    let effect = upstream.apply_announcement(announcement("i-1", 4, true));
    assert_eq!(effect, AnnouncementEffect::Stale);
    assert!(upstream.serving().is_some());
}

/// Guards against a new upstream that gets no requests. The last announcement of its predecessor arrives after the first one of
/// the new upstream and must not make the predecessor the current incarnation.
#[test]
fn apply_announcement_by_former_incarnation() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_announcement(announcement("i-1", 5, false));
    upstream.apply_announcement(announcement("i-2", 1, false));
    let effect = upstream.apply_announcement(announcement("i-1", 6, false));
    assert_eq!(effect, AnnouncementEffect::Stale);
    assert_eq!(
        upstream
            .current()
            .map(|current| current.identity.instance.as_str()),
        Some("i-2")
    );
}

fn announcement_of_incarnation(started_ms: u64, sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        incarnation: incarnation("i-1", Some(started_ms)),
        ..announcement("i-1", sequence, leaving)
    }
}

/// Guards against an upstream that gets no requests after a restart. The upstream drains and starts again under the same instance
/// name, and its sequence numbers begin again; its announcements must not count as late ones of the former incarnation.
#[test]
fn apply_announcement_after_restart_same_instance() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_announcement(announcement_of_incarnation(1_000, 7, true));
    assert!(upstream.serving().is_none());
    let again = upstream.apply_announcement(announcement_of_incarnation(2_000, 1, false));
    assert_eq!(again, AnnouncementEffect::Changed);
    assert_eq!(
        upstream
            .serving()
            .and_then(|current| current.identity.started_ms),
        Some(2_000)
    );
}

/// Guards against late announcements of a former incarnation that replace the state of the current one. The upstream has restarted
/// under the same instance name; the announcement that arrived last must not win.
#[test]
fn apply_announcement_late_from_former_incarnation() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_announcement(announcement_of_incarnation(1_000, 7, false));
    upstream.apply_announcement(announcement_of_incarnation(2_000, 1, false));
    let late = upstream.apply_announcement(announcement_of_incarnation(1_000, 8, true));
    assert_eq!(late, AnnouncementEffect::Stale);
    assert!(!upstream.record_departure(&incarnation("i-1", Some(1_000))));
    assert_eq!(
        upstream
            .serving()
            .and_then(|current| current.identity.started_ms),
        Some(2_000)
    );
    assert!(upstream.record_departure(&incarnation("i-1", Some(2_000))));
    assert!(upstream.serving().is_none());
}

#[test]
fn record_departure_before_first_announcement() {
    let mut upstream = LocalUpstream::default();
    assert!(upstream.record_departure(&incarnation("i-1", None)));
    assert!(!upstream.record_departure(&incarnation("i-1", None)));
    upstream.apply_announcement(announcement("i-1", 9, false));
    assert!(upstream.current().is_none());
}

#[test]
fn is_reader_two_per_zone() {
    let all: Vec<SocketAddr> = (1..=20).map(address).collect();
    let reads =
        |node: &SocketAddr| is_reader(*node, all.iter().copied().filter(|other| other != node));
    assert_eq!(all.iter().filter(|node| reads(node)).count(), 2);
    assert!(is_reader(address(1), std::iter::empty()));
}

#[test]
fn plan_reading_by_node_count() {
    let plan = |role, nodes| plan_reading(role, StoreTopic::Nodes, nodes);
    assert_eq!(plan(ReadingRole::First, 12).pause, Duration::ZERO);
    assert_eq!(plan(ReadingRole::Other, 12).pause, Duration::from_secs(14));
    assert_eq!(plan(ReadingRole::Other, 60).pause, Duration::from_secs(30));
    assert_eq!(plan(ReadingRole::Other, 870).pause, Duration::from_mins(1));
    let pause = |nodes| plan(ReadingRole::First, nodes).records_pause;
    assert_eq!(pause(12), Duration::from_millis(400));
    assert_eq!(pause(870), Duration::from_secs(2));
}

/// Guards against a change of the configuration that takes effect seconds late. The first reader of a zone is lost and the
/// configuration changes; the second reader, which otherwise reads less often, must be reading the configuration at that time.
#[test]
fn plan_reading_second_reader_always_reads_configuration() {
    let plan = plan_reading(ReadingRole::Second, StoreTopic::Configuration, 12);
    assert_eq!(plan.pause, Duration::ZERO);
    // The platform ends a read after 30 seconds at the latest.
    assert!(plan.wait > Duration::ZERO && plan.wait < Duration::from_secs(30));
}

#[test]
fn split_receivers_covers_each_once() {
    for count in 0..=40_u8 {
        let receivers: Vec<SocketAddr> = (0..count).map(address).collect();
        let parts = split_receivers(&receivers);
        assert!(parts.len() <= 4);
        assert_eq!(parts.concat(), receivers);
    }
}

/// Guards against a missing log line about a failure. Many ordinary requests end, then one fails within the same second; the
/// ordinary ones must not use up the budget of lines.
#[test]
fn admit_important_lines_after_ordinary() {
    let lines = LineWriter::new("n1".into(), KEEP_ALL, Timestamp(1));
    let now = Timestamp(1);
    let ordinary = (0..1_000)
        .filter(|_| lines.admit(Severity::Ordinary, now))
        .count();
    let important = (0..1_000)
        .filter(|_| lines.admit(Severity::Important, now))
        .count();
    assert_eq!((ordinary, important), (20, 150));
}

const KEEP_ALL: LogSettings = LogSettings {
    ordinary_one_in: 1,
    kept_lines: 1_000,
};

fn retry_suppressed(request: &str) -> ProxyEvent {
    ProxyEvent::RetrySuppressed {
        request: request.to_owned(),
        service: "desk".into(),
    }
}

/// Guards against requests of which only one node logs lines. Two nodes sample independently of each other, so the sample must be
/// drawn by request and not by line.
#[test]
fn write_samples_same_requests_at_all_nodes() {
    let settings = LogSettings {
        ordinary_one_in: 4,
        kept_lines: 1_000,
    };
    let now = Timestamp(1);
    let list_requests = |node: &str| {
        let lines = LineWriter::new(node.into(), settings, now);
        for number in 0..40 {
            lines.write(&retry_suppressed(&format!("r{number}")), now);
        }
        let (kept, next) = lines.list_kept(0);
        assert_eq!(usize::try_from(next), Ok(kept.len() + 1));
        let requests = kept.iter().map(|line| {
            let line = LogLine::parse(line).expect("a numbered line");
            line.request().expect("a request").to_owned()
        });
        requests.collect::<Vec<String>>()
    };
    let requests = list_requests("n1");
    assert!((1..40).contains(&requests.len()), "{requests:?}");
    assert_eq!(requests, list_requests("n2"));
}

#[test]
fn write_reports_dropped_lines() {
    let lines = LineWriter::new("n1".into(), KEEP_ALL, Timestamp(1));
    let event = ProxyEvent::StateRejected {
        error: "e".to_owned(),
    };
    for _ in 0..200 {
        lines.write(&event, Timestamp(1));
    }
    lines.write(&event, Timestamp(1_000_001));
    let (kept, _) = lines.list_kept(0);
    let parsed: Vec<LogLine> = kept
        .iter()
        .map(|line| LogLine::parse(line).expect("a numbered line"))
        .collect();
    let dropped = parsed.iter().find(|line| line.number == 805);
    assert_eq!(dropped.map(|line| line.number("lines")), Some(50));
    assert!(parsed.iter().zip(1..).all(|(line, seq)| line.seq == seq));
    assert_eq!(parsed.last().map(|line| line.up_ms), Some(1_000));
}

#[test]
fn try_acquire_keeps_to_rate() {
    let mut limit = RateLimit::new(60.0, 60.0);
    let attempts = (0..100_000_u64).map(|step| Timestamp(step * 100));
    let granted = attempts.filter(|now| limit.try_acquire(*now)).count();
    // Ten seconds of the rate, and one burst.
    assert!((659..=661).contains(&granted), "{granted}");
}
