//! Order in which an entry node asks the nodes of a service, and what it remembers of their refusals.

use crate::proxy_decisions::{address, known_node};
use camphorturn::{
    coordination::placement::order_candidates,
    state::{
        known_node::{KnownNode, NodeLoad},
        timestamp::Timestamp,
    },
};
use std::{net::SocketAddr, time::Duration};

/// Addresses of the nodes of the service `desk`, as an entry node of zone `a` asks them for a slot.
fn find_order(nodes: &[KnownNode], now: Timestamp) -> Vec<SocketAddr> {
    let candidates = order_candidates(
        nodes.iter(),
        (&"desk".into(), &"look".into()),
        &"a".into(),
        || 0.5,
        now,
    );
    let addresses = candidates.iter().map(|candidate| candidate.address);
    addresses.collect()
}

#[test]
fn order_candidates_local_zone_first() {
    let nodes = [known_node(1, "b"), known_node(2, "a"), known_node(3, "a")];
    let mut busy = nodes.clone();
    busy[1].load = Some((
        NodeLoad {
            running: 4,
            limit: 4,
            slowdown_percent: 100,
            ..NodeLoad::default()
        },
        Timestamp(0),
    ));
    assert_eq!(
        find_order(&busy, Timestamp(1)),
        [address(3), address(2), address(1)]
    );
}

#[test]
fn order_candidates_without_unreachable() {
    let mut unreachable = known_node(1, "a");
    unreachable.record_unreachable(Timestamp(0));
    let nodes = [unreachable, known_node(2, "a")];
    let order = |now| find_order(&nodes, now).len();
    assert_eq!(order(Timestamp(1)), 1);
    assert_eq!(order(Timestamp(300_000)), 2);
}

/// Failure: requests go to nodes that have just refused them because their upstream is ejected, or nowhere although no others are left.
#[test]
fn order_candidates_ejected() {
    let second = Duration::from_secs(1);
    let mut nodes = [1, 2, 3].map(|number| known_node(number, "a"));
    nodes[0].record_failing(second, Timestamp(20));
    nodes[1].record_failing(second, Timestamp(10));
    assert_eq!(find_order(&nodes, Timestamp(30)), [address(3)]);
    assert_eq!(
        find_order(&nodes[..2], Timestamp(30)),
        [address(2), address(1)],
        "the node that refused least recently comes first"
    );
    // Only one of them is asked at a time once the waits have passed.
    let later = Timestamp(30) + second;
    assert_eq!(find_order(&nodes, later), [address(2), address(3)]);
    nodes[0].record_accepted(Timestamp(15));
    assert_eq!(find_order(&nodes[..1], later).len(), 1);
    assert!(nodes[0].is_ejected(later), "the request was sent before");
    nodes[0].record_accepted(later);
    nodes[1].record_accepted(later);
    assert_eq!(find_order(&nodes, later).len(), 3);
    nodes[2].record_failing(second, later);
    let mut restarted = nodes[2].record.clone();
    restarted.incarnation.instance = "i-new".to_owned();
    nodes[2].replace_record(restarted);
    assert_eq!(find_order(&nodes, later).len(), 3);
}

/// Guards against late requests while a VM hangs. The VM accepts connections and sends nothing, so no connection is refused or broken;
/// its silence alone must put the node last.
#[test]
fn order_candidates_silent_node_last() {
    let mut silent = known_node(1, "a");
    silent.record_sent_request(Timestamp(0));
    let mut busy = known_node(2, "a");
    busy.record_sent_request(Timestamp(0));
    busy.record_sent_request(Timestamp(0));
    let first = |silent: &KnownNode, busy: &KnownNode, now| {
        let nodes = [silent.clone(), busy.clone()];
        find_order(&nodes, now)[0]
    };
    assert_eq!(first(&silent, &busy, Timestamp(50_000)), address(1));
    busy.record_response(Timestamp(390_000));
    assert_eq!(first(&silent, &busy, Timestamp(400_000)), address(2));
    silent.record_ended_request();
    assert_eq!(silent.silence(Timestamp(400_000)), Duration::ZERO);
}

#[test]
fn reported_finish_expires() {
    let mut known_node = known_node(1, "a");
    let class = "look".into();
    known_node.record_refusal(&class, Duration::from_millis(200), Timestamp(0));
    let later = |millis: u64| Timestamp(millis * 1_000);
    assert_eq!(
        known_node.reported_finish(&class, later(40)),
        Some(Duration::from_millis(160))
    );
    assert_eq!(known_node.reported_finish(&class, later(60)), None);
    assert_eq!(known_node.reported_finish(&"book".into(), later(0)), None);
}
