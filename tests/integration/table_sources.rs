//! From which node a newer routing table is fetched, and whom to tell of it then.

use bolero::{TypeGenerator, check};
use camphorturn::{
    coordination::table_sources::{FetchStep, TableOffer, TableSources},
    state::{configuration::ConfigurationVersion, timestamp::Timestamp},
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

const OWN: ConfigurationVersion = ConfigurationVersion(5);
const NEWER: ConfigurationVersion = ConfigurationVersion(6);
const NEWEST: ConfigurationVersion = ConfigurationVersion(7);
const START: Timestamp = Timestamp(1_000_000);
/// Time that a hint waits for an offer.
const PATIENCE: Duration = Duration::from_millis(300);

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn offer(from: u8, version: ConfigurationVersion, forward_to: &[u8]) -> TableOffer {
    TableOffer {
        from: node(from),
        version,
        forward_to: forward_to.iter().copied().map(node).collect(),
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn take_step_nothing_heard() {
    let mut sources = TableSources::default();
    assert_eq!(sources.plan_next_step(OWN, START), FetchStep::Done);
    assert!(!sources.record_report(node(1), OWN, OWN, START));
    assert_eq!(sources.plan_next_step(OWN, START), FetchStep::Done);
    assert_eq!(sources.highest_reported(), ConfigurationVersion(0));
}

#[test]
fn take_step_offers_before_hints() {
    let mut sources = TableSources::default();
    assert!(sources.record_report(node(1), NEWER, OWN, START));
    sources.record_offer(offer(2, NEWER, &[]));
    sources.record_offer(offer(3, NEWER, &[]));
    let late = START + PATIENCE;
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchOffered(node(2), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchOffered(node(3), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchReported(node(1), NEWER)
    );
    assert_eq!(sources.plan_next_step(OWN, late), FetchStep::Done);
}

#[test]
fn take_step_hint_waits() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN, START);
    let due = START + PATIENCE;
    assert_eq!(sources.plan_next_step(OWN, START), FetchStep::Wait(due));
    sources.record_report(node(2), NEWER, OWN, START + millis(200));
    let before = START + millis(299);
    assert_eq!(sources.plan_next_step(OWN, before), FetchStep::Wait(due));
    assert_eq!(
        sources.plan_next_step(OWN, due),
        FetchStep::FetchReported(node(2), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN, due),
        FetchStep::FetchReported(node(1), NEWER)
    );
    assert_eq!(sources.plan_next_step(OWN, due), FetchStep::Done);
}

/// Symptom: a node that starts serves nothing for long. Cause: it waits for an offer, though no other node knows it.
#[test]
fn take_step_hint_to_an_empty_node() {
    let mut sources = TableSources::default();
    let own = ConfigurationVersion::default();
    sources.record_report(node(1), NEWER, own, START);
    assert_eq!(
        sources.plan_next_step(own, START),
        FetchStep::FetchReported(node(1), NEWER)
    );
}

#[test]
fn take_step_offer_during_wait() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN, START);
    let now = START + millis(20);
    assert!(matches!(
        sources.plan_next_step(OWN, now),
        FetchStep::Wait(_)
    ));
    sources.record_offer(offer(2, NEWER, &[]));
    assert_eq!(
        sources.plan_next_step(OWN, now),
        FetchStep::FetchOffered(node(2), NEWER)
    );
}

/// An offer that comes while a node that was heard of is asked goes before all others that were heard of.
#[test]
fn take_step_offer_during_question() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN, START);
    sources.record_report(node(2), NEWER, OWN, START);
    let late = START + PATIENCE;
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchReported(node(2), NEWER)
    );
    sources.record_offer(offer(3, NEWER, &[]));
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchOffered(node(3), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchReported(node(1), NEWER)
    );
}

/// A wait for an offer begins anew with each version.
#[test]
fn take_step_wait_of_the_next_version() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN, START);
    assert_eq!(sources.plan_next_step(NEWER, START), FetchStep::Done);
    let later = START + millis(250);
    sources.record_report(node(1), NEWEST, NEWER, later);
    let due = later + PATIENCE;
    assert_eq!(sources.plan_next_step(NEWER, later), FetchStep::Wait(due));
}

#[test]
fn take_passable_once_in_force() {
    let mut sources = TableSources::default();
    let (first, second) = (offer(1, NEWER, &[3, 4]), offer(2, NEWER, &[5]));
    sources.record_offer(first.clone());
    sources.record_offer(second.clone());
    assert!(sources.take_forwardable_offers(OWN).is_empty());
    assert_eq!(
        sources.plan_next_step(OWN, START),
        FetchStep::FetchOffered(node(1), NEWER)
    );
    let mut passable = sources.take_forwardable_offers(NEWER);
    passable.sort_by_key(|offer| offer.from);
    assert_eq!(passable, [first, second]);
    assert!(sources.take_forwardable_offers(NEWER).is_empty());
    assert_eq!(sources.plan_next_step(NEWER, START), FetchStep::Done);
}

/// Symptom: a version stops at a node that can't fetch it. Cause: the nodes behind it are told only when it has nobody left
/// to ask, or never.
#[test]
fn take_passable_asked_in_vain() {
    let mut sources = TableSources::default();
    let (failed, newest) = (offer(1, NEWER, &[3]), offer(2, NEWEST, &[4]));
    sources.record_offer(failed.clone());
    sources.record_offer(newest.clone());
    sources.record_report(node(5), NEWEST, OWN, START);
    assert!(sources.take_forwardable_offers(OWN).is_empty());
    assert!(matches!(
        sources.plan_next_step(OWN, START),
        FetchStep::FetchOffered(_, NEWER)
    ));
    assert_eq!(sources.take_forwardable_offers(OWN), [failed]);
    assert!(sources.take_forwardable_offers(OWN).is_empty());
    assert!(matches!(
        sources.plan_next_step(OWN, START),
        FetchStep::FetchOffered(_, NEWEST)
    ));
    assert_eq!(sources.take_forwardable_offers(OWN), [newest]);
    assert!(sources.take_forwardable_offers(OWN).is_empty());
    let late = START + PATIENCE;
    assert_eq!(
        sources.plan_next_step(OWN, late),
        FetchStep::FetchReported(node(5), NEWEST)
    );
    assert_eq!(sources.plan_next_step(OWN, late), FetchStep::Done);
    assert!(sources.take_forwardable_offers(OWN).is_empty());
}

/// What nodes tell, and how the asking ends.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Told {
    Offer { from: u8, version: u8 },
    Hint { from: u8, version: u8 },
    Step { succeeds: bool, pause: u8 },
}

#[derive(Default)]
struct Follower {
    sources: TableSources,
    own: ConfigurationVersion,
    now: Timestamp,
    /// Offers and hints by node, each good for one question.
    told: HashMap<SocketAddr, usize>,
    /// Nodes whose offers were asked since the last passing on.
    asked: Vec<(SocketAddr, ConfigurationVersion)>,
    offered: usize,
    passed_on: usize,
}

impl Follower {
    fn take(&mut self, told: Told) {
        match told {
            Told::Offer { from, version } => {
                let version = ConfigurationVersion(u64::from(version % 8));
                self.sources.record_offer(offer(from % 4, version, &[]));
                *self.told.entry(node(from % 4)).or_default() += 1;
                self.offered += 1;
            }
            Told::Hint { from, version } => {
                let version = ConfigurationVersion(u64::from(version % 8));
                let from = node(from % 4);
                let news = self
                    .sources
                    .record_report(from, version, self.own, self.now);
                assert_eq!(news, version > self.own);
                *self.told.entry(from).or_default() += usize::from(news);
            }
            Told::Step { succeeds, pause } => {
                self.now = self.now + millis(u64::from(pause));
                self.step(succeeds);
            }
        }
    }

    fn step(&mut self, succeeds: bool) -> FetchStep {
        let passable = self.sources.take_forwardable_offers(self.own);
        let is_asked = |offer: &TableOffer| self.asked.contains(&(offer.from, offer.version));
        let (asked, unasked): (Vec<_>, Vec<_>) = passable.iter().partition(|offer| is_asked(offer));
        assert!(asked.len() >= self.asked.len());
        assert!(unasked.iter().all(|offer| offer.version <= self.own));
        self.asked.clear();
        self.passed_on += passable.len();
        let step = self.sources.plan_next_step(self.own, self.now);
        match step {
            FetchStep::FetchOffered(from, version) | FetchStep::FetchReported(from, version) => {
                assert!(version > self.own);
                let left = self.told.get_mut(&from).expect("it told of a version");
                *left = left.checked_sub(1).expect("it was asked before");
                if succeeds {
                    self.own = version;
                }
            }
            FetchStep::Wait(until) => {
                assert!(until > self.now && until.since(self.now) <= PATIENCE);
            }
            FetchStep::Done => {}
        }
        if let FetchStep::FetchOffered(from, version) = step {
            self.asked.push((from, version));
        }
        step
    }
}

/// No offer is asked more than once, and none is lost: each goes on in the end.
#[test]
fn take_step_each_source_once() {
    check!().with_type::<Vec<Told>>().for_each(|told| {
        let mut follower = Follower::default();
        for told in told {
            follower.take(*told);
        }
        follower.now = follower.now + PATIENCE;
        while follower.step(false) != FetchStep::Done {}
        assert_eq!(follower.passed_on, follower.offered);
    });
}
