//! Upstreams that say in an answer that they are leaving: reading it, and what a node remembers of it.

use camphorturn::{
    options::proxy_settings::HeaderNames,
    protocol::leaving_report::{UnreadableLeaving, read_leaving_report},
    state::{
        incarnation_id::IncarnationId,
        known_node::{KnownNode, NodeRecord, StoredRecord},
        request_rate::{LimitReport, RequestRate},
        timestamp::Timestamp,
    },
};
use http::{HeaderMap, HeaderValue};
use std::net::SocketAddr;

fn build_record(instance: &str) -> NodeRecord {
    NodeRecord {
        name: "n1".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        service: "desk".into(),
        availability_zone: "a".into(),
        incarnation: IncarnationId {
            instance: instance.to_owned(),
            started_ms: Some(1),
        },
        slots: 6,
        leaving: false,
        operator_address: None,
    }
}

#[test]
fn read_leaving_report_values() {
    let names = HeaderNames::default_names();
    for (values, report) in [
        (vec![], Ok(false)),
        (vec!["1"], Ok(true)),
        (vec![" true "], Ok(true)),
        (vec!["0"], Ok(false)),
        (vec!["maybe"], Err(UnreadableLeaving)),
        (vec!["maybe", "1"], Ok(true)),
        (vec!["0", ""], Err(UnreadableLeaving)),
    ] {
        let mut headers = HeaderMap::new();
        for (name, value) in names.leaving.iter().zip(&values) {
            headers.insert(name, HeaderValue::from_str(value).expect("a valid value"));
        }
        assert_eq!(read_leaving_report(&names, &headers), report, "{values:?}");
    }
}

/// Failure: what an incarnation of an upstream said in its answers is held against the next one.
#[test]
fn replace_record_forgets_reports_of_earlier_incarnation() {
    let mut node = KnownNode::new(StoredRecord {
        revision: 1,
        record: build_record("i-1"),
    });
    node.record_leaving();
    let limit = LimitReport::Named(RequestRate(2_000));
    node.request_limit.record(limit, Timestamp(0), Timestamp(0));
    node.replace_record(build_record("i-1"));
    assert!(node.is_leaving());
    assert!(node.request_limit.rate().is_some());
    node.replace_record(build_record("i-2"));
    assert!(!node.is_leaving());
    assert_eq!(node.request_limit.rate(), None);
}
