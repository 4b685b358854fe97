//! To which nodes of its zone a reader offers the version in force, and when again.

use camphorturn::{
    coordination::offer_rounds::{OfferRound, OfferRounds},
    state::{configuration::ConfigurationVersion, moment::Moment},
};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

const VERSION: ConfigurationVersion = ConfigurationVersion(6);
const NEXT: ConfigurationVersion = ConfigurationVersion(7);
const START: Moment = Moment(1_000_000);
/// Most direct offers of a round.
const DIRECT: usize = 32;

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn nodes(numbers: impl IntoIterator<Item = u8>) -> Vec<SocketAddr> {
    numbers.into_iter().map(node).collect()
}

fn reachable(numbers: impl IntoIterator<Item = u8>) -> Vec<(SocketAddr, bool)> {
    numbers
        .into_iter()
        .map(|number| (node(number), true))
        .collect()
}

fn unreachable(numbers: impl IntoIterator<Item = u8>) -> Vec<(SocketAddr, bool)> {
    numbers
        .into_iter()
        .map(|number| (node(number), false))
        .collect()
}

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

#[test]
fn plan_round_nobody_lacking() {
    let mut rounds = OfferRounds::default();
    let round = rounds.plan_round(VERSION, &[], START);
    assert_eq!(round, OfferRound::default());
}

#[test]
fn plan_round_first_along_tree() {
    let mut rounds = OfferRounds::default();
    let mut lacking = reachable(0..100);
    lacking.extend(unreachable(200..203));
    let round = rounds.plan_round(VERSION, &lacking, START);
    assert_eq!(round.along_tree, nodes(0..100));
    assert_eq!(round.directly, nodes(200..203));
}

#[test]
fn plan_round_again_after_pauses() {
    for lacking in [reachable([1]), unreachable([1])] {
        let mut rounds = OfferRounds::default();
        let first = rounds.plan_round(VERSION, &lacking, START);
        assert_ne!(first, OfferRound::default());
        let mut due = 0;
        for pause in [400, 800, 1_600, 3_200, 6_400, 8_000, 8_000, 8_000] {
            due += pause;
            let early = rounds.plan_round(VERSION, &lacking, at(due - 1));
            assert_eq!(early, OfferRound::default());
            let round = rounds.plan_round(VERSION, &lacking, at(due));
            assert_eq!(round.along_tree, []);
            assert_eq!(round.directly, nodes([1]));
        }
    }
}

/// Symptom: a reader is busy with hundreds of connections at once. Cause: it offers a version to each node that it can't reach.
#[test]
fn plan_round_most_direct_offers() {
    let mut rounds = OfferRounds::default();
    let lacking = unreachable(0..80);
    let mut seen = BTreeSet::new();
    for expected in [DIRECT, DIRECT, 80 - 2 * DIRECT, 0] {
        let round = rounds.plan_round(VERSION, &lacking, START);
        assert_eq!(round.along_tree, []);
        assert_eq!(round.directly.len(), expected);
        seen.extend(round.directly);
    }
    assert_eq!(seen, nodes(0..80).into_iter().collect());
}

/// Those that were left over keep their pause.
#[test]
fn plan_round_most_direct_offers_again() {
    let mut rounds = OfferRounds::default();
    let lacking = reachable(0..40);
    let first = rounds.plan_round(VERSION, &lacking, START);
    assert_eq!(first.along_tree, nodes(0..40));
    let second = rounds.plan_round(VERSION, &lacking, at(400));
    assert_eq!(second.directly, nodes(0..32));
    let rest = rounds.plan_round(VERSION, &lacking, at(900));
    assert_eq!(rest.directly, nodes(32..40));
    let third = rounds.plan_round(VERSION, &lacking, at(1_200));
    assert_eq!(third.directly, nodes(0..32));
    let rest = rounds.plan_round(VERSION, &lacking, at(1_699));
    assert_eq!(rest, OfferRound::default());
    let rest = rounds.plan_round(VERSION, &lacking, at(1_700));
    assert_eq!(rest.directly, nodes(32..40));
}

#[test]
fn plan_round_new_version() {
    let mut rounds = OfferRounds::default();
    let lacking = reachable([1, 2]);
    rounds.plan_round(VERSION, &lacking, START);
    rounds.plan_round(VERSION, &lacking, at(400));
    let round = rounds.plan_round(NEXT, &lacking, at(401));
    assert_eq!(round.along_tree, nodes([1, 2]));
    assert_eq!(round.directly, []);
    let early = rounds.plan_round(NEXT, &lacking, at(800));
    assert_eq!(early, OfferRound::default());
    let again = rounds.plan_round(NEXT, &lacking, at(801));
    assert_eq!(again.directly, nodes([1, 2]));
}

#[test]
fn plan_round_without_those_who_have_it() {
    let mut rounds = OfferRounds::default();
    rounds.plan_round(VERSION, &reachable([1, 2, 3]), START);
    let round = rounds.plan_round(VERSION, &reachable([2]), at(400));
    assert_eq!(round.along_tree, []);
    assert_eq!(round.directly, nodes([2]));
    let round = rounds.plan_round(VERSION, &[], at(10_000));
    assert_eq!(round, OfferRound::default());
    // A node that starts anew lacks it again.
    let round = rounds.plan_round(VERSION, &reachable([1]), at(10_001));
    assert_eq!(round.along_tree, nodes([1]));
}

#[test]
fn plan_round_node_that_joins() {
    let mut rounds = OfferRounds::default();
    rounds.plan_round(VERSION, &reachable([1]), START);
    let round = rounds.plan_round(VERSION, &reachable([1, 2]), at(100));
    assert_eq!(round.along_tree, nodes([2]));
    assert_eq!(round.directly, []);
}
