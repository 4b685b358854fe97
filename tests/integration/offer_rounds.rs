//! Choice of the nodes of a zone that a node offers the version in force to.

use camphorturn::{
    coordination::{
        offer_rounds::{OfferRounds, RingNode},
        store_reading::order_ring,
    },
    state::{configuration::ConfigurationVersion, timestamp::Timestamp},
};
use std::{net::SocketAddr, time::Duration};

const VERSION: ConfigurationVersion = ConfigurationVersion(6);
const NEXT: ConfigurationVersion = ConfigurationVersion(7);
const START: Timestamp = Timestamp(1_000_000);

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn nodes(numbers: impl IntoIterator<Item = u8>) -> Vec<SocketAddr> {
    numbers.into_iter().map(node).collect()
}

/// Ring of the given nodes; those in `having` have the version.
fn ring(numbers: impl IntoIterator<Item = u8>, having: &[u8]) -> Vec<RingNode> {
    let ring = numbers.into_iter().map(|number| RingNode {
        address: node(number),
        has_version: having.contains(&number),
    });
    ring.collect()
}

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

#[test]
fn plan_tree_offers_once() {
    let mut rounds = OfferRounds::default();
    let offered = rounds.plan_tree(VERSION, nodes(0..100).into_iter());
    assert_eq!(offered, nodes(0..100));
    let again = rounds.plan_tree(VERSION, nodes(0..100).into_iter());
    assert_eq!(again, []);
    let joined = rounds.plan_tree(VERSION, nodes(98..102).into_iter());
    assert_eq!(joined, nodes(100..102));
}

#[test]
fn plan_tree_new_version() {
    let mut rounds = OfferRounds::default();
    rounds.plan_tree(VERSION, nodes(0..3).into_iter());
    let offered = rounds.plan_tree(NEXT, nodes(0..3).into_iter());
    assert_eq!(offered, nodes(0..3));
}

#[test]
fn plan_checks_successor_has_version() {
    let mut rounds = OfferRounds::default();
    assert_eq!(rounds.plan_checks(VERSION, &ring(1..9, &[1]), START), []);
    assert_eq!(rounds.plan_checks(VERSION, &[], START), []);
}

#[test]
fn plan_checks_repeats_after_pauses() {
    let mut rounds = OfferRounds::default();
    let lacking = ring([1], &[]);
    assert_eq!(rounds.plan_checks(VERSION, &lacking, START), nodes([1]));
    let mut due = 0;
    for pause in [400, 800, 1_600, 3_200, 6_400, 8_000, 8_000, 8_000] {
        due += pause;
        assert_eq!(rounds.plan_checks(VERSION, &lacking, at(due - 1)), []);
        assert_eq!(rounds.plan_checks(VERSION, &lacking, at(due)), nodes([1]));
    }
}

/// Failure: the nodes after a lost one keep the older version. The node before it offers the version only to the lost one, and no
/// node offers it to the ones after.
#[test]
fn plan_checks_beyond_unresponsive_nodes() {
    let mut rounds = OfferRounds::default();
    let lacking = ring(1..20, &[]);
    let first = rounds.plan_checks(VERSION, &lacking, START);
    assert_eq!(first, nodes([1]));
    let second = rounds.plan_checks(VERSION, &lacking, at(500));
    assert_eq!(second, nodes([1, 2]));
    let third = rounds.plan_checks(VERSION, &lacking, at(1_000));
    assert_eq!(third, nodes([2, 3]));
    let mut offered = Vec::new();
    for round in 3..40 {
        offered.extend(rounds.plan_checks(VERSION, &lacking, at(500 * round)));
    }
    offered.sort_unstable();
    offered.dedup();
    assert_eq!(offered, nodes(1..9), "at most eight");
}

#[test]
fn plan_checks_stops_at_node_with_version() {
    let mut rounds = OfferRounds::default();
    let lacking = ring(1..9, &[3]);
    for round in 0..10 {
        let offered = rounds.plan_checks(VERSION, &lacking, at(500 * round));
        assert!(!offered.contains(&node(4)), "{offered:?}");
    }
}

#[test]
fn plan_checks_new_version() {
    let mut rounds = OfferRounds::default();
    let lacking = ring(1..9, &[]);
    rounds.plan_checks(VERSION, &lacking, START);
    rounds.plan_checks(VERSION, &lacking, at(400));
    assert_eq!(rounds.plan_checks(NEXT, &lacking, at(401)), nodes([1]));
}

/// For any addresses, each node is the successor of exactly one other.
#[test]
fn order_ring_one_predecessor_per_node() {
    bolero::check!()
        .with_type::<Vec<(u8, u16)>>()
        .for_each(|addresses| {
            let mut all: Vec<SocketAddr> = addresses
                .iter()
                .map(|(host, port)| SocketAddr::from(([10, 0, 0, *host], *port)))
                .collect();
            all.sort_unstable();
            all.dedup();
            if all.len() < 2 {
                return;
            }
            let next = all.iter().map(|own_address| {
                let ring = order_ring(*own_address, all.iter().copied());
                assert_eq!(ring.len(), all.len() - 1);
                ring[0]
            });
            let mut next: Vec<SocketAddr> = next.collect();
            next.sort_unstable();
            assert_eq!(next, all);
        });
}
