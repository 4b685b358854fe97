//! To which nodes of its zone a node offers the version in force.

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

/// A ring of nodes of which those in `having` have the version.
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
fn plan_tree_each_once() {
    let mut rounds = OfferRounds::default();
    let told = rounds.plan_tree(VERSION, nodes(0..100).into_iter());
    assert_eq!(told, nodes(0..100));
    let again = rounds.plan_tree(VERSION, nodes(0..100).into_iter());
    assert_eq!(again, []);
    let joined = rounds.plan_tree(VERSION, nodes(98..102).into_iter());
    assert_eq!(joined, nodes(100..102));
}

#[test]
fn plan_tree_new_version() {
    let mut rounds = OfferRounds::default();
    rounds.plan_tree(VERSION, nodes(0..3).into_iter());
    let told = rounds.plan_tree(NEXT, nodes(0..3).into_iter());
    assert_eq!(told, nodes(0..3));
}

#[test]
fn plan_checks_next_that_has_it() {
    let mut rounds = OfferRounds::default();
    assert_eq!(rounds.plan_checks(VERSION, &ring(1..9, &[1]), START), []);
    assert_eq!(rounds.plan_checks(VERSION, &[], START), []);
}

#[test]
fn plan_checks_again_after_pauses() {
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

/// Symptom: nodes after a lost one keep the older version. Cause: the one before it asks the lost one, and nobody asks the
/// ones after it.
#[test]
fn plan_checks_beyond_nodes_that_do_not_answer() {
    let mut rounds = OfferRounds::default();
    let lacking = ring(1..20, &[]);
    let first = rounds.plan_checks(VERSION, &lacking, START);
    assert_eq!(first, nodes([1]));
    let second = rounds.plan_checks(VERSION, &lacking, at(500));
    assert_eq!(second, nodes([1, 2]));
    let third = rounds.plan_checks(VERSION, &lacking, at(1_000));
    assert_eq!(third, nodes([2, 3]));
    let mut asked = Vec::new();
    for round in 3..40 {
        asked.extend(rounds.plan_checks(VERSION, &lacking, at(500 * round)));
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, nodes(1..9), "eight at the most");
}

#[test]
fn plan_checks_up_to_who_has_it() {
    let mut rounds = OfferRounds::default();
    let lacking = ring(1..9, &[3]);
    for round in 0..10 {
        let asked = rounds.plan_checks(VERSION, &lacking, at(500 * round));
        assert!(!asked.contains(&node(4)), "{asked:?}");
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

/// Each node is asked by one other, whatever the addresses.
#[test]
fn order_ring_each_node_once() {
    bolero::check!()
        .with_type::<Vec<(u8, u16)>>()
        .for_each(|drawn| {
            let mut all: Vec<SocketAddr> = drawn
                .iter()
                .map(|(host, port)| SocketAddr::from(([10, 0, 0, *host], *port)))
                .collect();
            all.sort_unstable();
            all.dedup();
            if all.len() < 2 {
                return;
            }
            let next = all.iter().map(|own| {
                let ring = order_ring(*own, all.iter().copied());
                assert_eq!(ring.len(), all.len() - 1);
                ring[0]
            });
            let mut next: Vec<SocketAddr> = next.collect();
            next.sort_unstable();
            assert_eq!(next, all);
        });
}
