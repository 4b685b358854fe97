//! Choice of the node that a newer routing table is fetched from, and of the offers that are forwarded.
//!
//! An offer comes along the distribution tree of the zone, with the nodes that it is forwarded to. A report is the version in
//! force at a node of any zone, sent with its requests.

use bolero::{TypeGenerator, check};
use camphorturn::{
    coordination::table_sources::{FetchStep, TableOffer, TableSources},
    state::{configuration::ConfigurationVersion, timestamp::Timestamp},
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

const OWN_VERSION: ConfigurationVersion = ConfigurationVersion(5);
const NEWER: ConfigurationVersion = ConfigurationVersion(6);
const NEWEST: ConfigurationVersion = ConfigurationVersion(7);
const START: Timestamp = Timestamp(1_000_000);
/// Time that a node waits for an offer after the first report of a version.
const OFFER_WAIT: Duration = Duration::from_millis(300);

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
fn plan_next_step_without_reports() {
    let mut sources = TableSources::default();
    assert_eq!(sources.plan_next_step(OWN_VERSION, START), FetchStep::Done);
    assert!(!sources.record_report(node(1), OWN_VERSION, OWN_VERSION, START));
    assert_eq!(sources.plan_next_step(OWN_VERSION, START), FetchStep::Done);
    assert_eq!(sources.highest_reported(), ConfigurationVersion(0));
}

#[test]
fn plan_next_step_offers_before_reports() {
    let mut sources = TableSources::default();
    assert!(sources.record_report(node(1), NEWER, OWN_VERSION, START));
    sources.record_offer(offer(2, NEWER, &[]));
    sources.record_offer(offer(3, NEWER, &[]));
    let after_wait = START + OFFER_WAIT;
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchOffered(node(2), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchOffered(node(3), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchReported(node(1), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::Done
    );
}

#[test]
fn plan_next_step_report_waits_for_offer() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN_VERSION, START);
    let due = START + OFFER_WAIT;
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, START),
        FetchStep::Wait(due)
    );
    sources.record_report(node(2), NEWER, OWN_VERSION, START + millis(200));
    let before = START + millis(299);
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, before),
        FetchStep::Wait(due)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, due),
        FetchStep::FetchReported(node(2), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, due),
        FetchStep::FetchReported(node(1), NEWER)
    );
    assert_eq!(sources.plan_next_step(OWN_VERSION, due), FetchStep::Done);
}

/// Failure: a node that starts waits for an offer before its first fetch and serves nothing meanwhile, though no other node knows
/// of it.
#[test]
fn plan_next_step_without_own_table() {
    let mut sources = TableSources::default();
    let own_version = ConfigurationVersion::default();
    sources.record_report(node(1), NEWER, own_version, START);
    assert_eq!(
        sources.plan_next_step(own_version, START),
        FetchStep::FetchReported(node(1), NEWER)
    );
}

#[test]
fn plan_next_step_offer_during_wait() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN_VERSION, START);
    let now = START + millis(20);
    assert!(matches!(
        sources.plan_next_step(OWN_VERSION, now),
        FetchStep::Wait(_)
    ));
    sources.record_offer(offer(2, NEWER, &[]));
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, now),
        FetchStep::FetchOffered(node(2), NEWER)
    );
}

/// An offer that arrives during a fetch from a reporting node is used before the remaining reports.
#[test]
fn plan_next_step_offer_during_fetch() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN_VERSION, START);
    sources.record_report(node(2), NEWER, OWN_VERSION, START);
    let after_wait = START + OFFER_WAIT;
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchReported(node(2), NEWER)
    );
    sources.record_offer(offer(3, NEWER, &[]));
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchOffered(node(3), NEWER)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchReported(node(1), NEWER)
    );
}

/// The wait for an offer restarts with each newer version.
#[test]
fn plan_next_step_wait_restarts_with_version() {
    let mut sources = TableSources::default();
    sources.record_report(node(1), NEWER, OWN_VERSION, START);
    assert_eq!(sources.plan_next_step(NEWER, START), FetchStep::Done);
    let later = START + millis(250);
    sources.record_report(node(1), NEWEST, NEWER, later);
    let due = later + OFFER_WAIT;
    assert_eq!(sources.plan_next_step(NEWER, later), FetchStep::Wait(due));
}

#[test]
fn take_forwardable_offers_once_in_force() {
    let mut sources = TableSources::default();
    let (first, second) = (offer(1, NEWER, &[3, 4]), offer(2, NEWER, &[5]));
    sources.record_offer(first.clone());
    sources.record_offer(second.clone());
    assert!(sources.take_forwardable_offers(OWN_VERSION).is_empty());
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, START),
        FetchStep::FetchOffered(node(1), NEWER)
    );
    let mut forwardable = sources.take_forwardable_offers(NEWER);
    forwardable.sort_by_key(|offer| offer.from);
    assert_eq!(forwardable, [first, second]);
    assert!(sources.take_forwardable_offers(NEWER).is_empty());
    assert_eq!(sources.plan_next_step(NEWER, START), FetchStep::Done);
}

/// Failure: a version stops at a node whose fetch fails, because the node forwards an offer only when no source is left, or never.
#[test]
fn take_forwardable_offers_after_failed_fetch() {
    let mut sources = TableSources::default();
    let (failed, newest) = (offer(1, NEWER, &[3]), offer(2, NEWEST, &[4]));
    sources.record_offer(failed.clone());
    sources.record_offer(newest.clone());
    sources.record_report(node(5), NEWEST, OWN_VERSION, START);
    assert!(sources.take_forwardable_offers(OWN_VERSION).is_empty());
    assert!(matches!(
        sources.plan_next_step(OWN_VERSION, START),
        FetchStep::FetchOffered(_, NEWER)
    ));
    assert_eq!(sources.take_forwardable_offers(OWN_VERSION), [failed]);
    assert!(sources.take_forwardable_offers(OWN_VERSION).is_empty());
    assert!(matches!(
        sources.plan_next_step(OWN_VERSION, START),
        FetchStep::FetchOffered(_, NEWEST)
    ));
    assert_eq!(sources.take_forwardable_offers(OWN_VERSION), [newest]);
    assert!(sources.take_forwardable_offers(OWN_VERSION).is_empty());
    let after_wait = START + OFFER_WAIT;
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::FetchReported(node(5), NEWEST)
    );
    assert_eq!(
        sources.plan_next_step(OWN_VERSION, after_wait),
        FetchStep::Done
    );
    assert!(sources.take_forwardable_offers(OWN_VERSION).is_empty());
}

/// Input of the model: an offer, a report, or one step of the fetching node after `pause` milliseconds.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Input {
    Offer { from: u8, version: u8 },
    Report { from: u8, version: u8 },
    Step { succeeds: bool, pause: u8 },
}

#[derive(Default)]
struct FetchingNode {
    sources: TableSources,
    own_version: ConfigurationVersion,
    now: Timestamp,
    /// Number of offers and reports by node; each allows one fetch.
    unfetched: HashMap<SocketAddr, usize>,
    /// Offers that a fetch has been started for since the last forwarding.
    fetched: Vec<(SocketAddr, ConfigurationVersion)>,
    offered: usize,
    forwarded: usize,
}

impl FetchingNode {
    fn apply(&mut self, input: Input) {
        match input {
            Input::Offer { from, version } => {
                let version = ConfigurationVersion(u64::from(version % 8));
                self.sources.record_offer(offer(from % 4, version, &[]));
                *self.unfetched.entry(node(from % 4)).or_default() += 1;
                self.offered += 1;
            }
            Input::Report { from, version } => {
                let version = ConfigurationVersion(u64::from(version % 8));
                let from = node(from % 4);
                let is_newer =
                    self.sources
                        .record_report(from, version, self.own_version, self.now);
                assert_eq!(is_newer, version > self.own_version);
                *self.unfetched.entry(from).or_default() += usize::from(is_newer);
            }
            Input::Step { succeeds, pause } => {
                self.now = self.now + millis(u64::from(pause));
                self.step(succeeds);
            }
        }
    }

    fn step(&mut self, succeeds: bool) -> FetchStep {
        let forwardable = self.sources.take_forwardable_offers(self.own_version);
        let is_fetched = |offer: &TableOffer| self.fetched.contains(&(offer.from, offer.version));
        let (fetched, unfetched): (Vec<_>, Vec<_>) =
            forwardable.iter().partition(|offer| is_fetched(offer));
        assert!(fetched.len() >= self.fetched.len());
        assert!(
            unfetched
                .iter()
                .all(|offer| offer.version <= self.own_version)
        );
        self.fetched.clear();
        self.forwarded += forwardable.len();
        let step = self.sources.plan_next_step(self.own_version, self.now);
        match step {
            FetchStep::FetchOffered(from, version) | FetchStep::FetchReported(from, version) => {
                assert!(version > self.own_version);
                let remaining = self
                    .unfetched
                    .get_mut(&from)
                    .expect("the node reported a version");
                *remaining = remaining
                    .checked_sub(1)
                    .expect("one fetch per offer or report");
                if succeeds {
                    self.own_version = version;
                }
            }
            FetchStep::Wait(until) => {
                assert!(until > self.now && until.since(self.now) <= OFFER_WAIT);
            }
            FetchStep::Done => {}
        }
        if let FetchStep::FetchOffered(from, version) = step {
            self.fetched.push((from, version));
        }
        step
    }
}

/// Each offer or report leads to at most one fetch, and every offer is forwarded in the end.
#[test]
fn plan_next_step_uses_each_source_once() {
    check!().with_type::<Vec<Input>>().for_each(|inputs| {
        let mut node = FetchingNode::default();
        for input in inputs {
            node.apply(*input);
        }
        node.now = node.now + OFFER_WAIT;
        while node.step(false) != FetchStep::Done {}
        assert_eq!(node.forwarded, node.offered);
    });
}
