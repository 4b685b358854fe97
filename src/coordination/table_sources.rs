//! From which node a newer routing table is fetched, and whom to tell of it then.
//!
//! One node of a zone offers a new version along a tree (`fanout`); whoever lacks it fetches it from the node that
//! offered it, once, and offers it on. Versions also stand on requests between nodes. These lead to nodes of any zone, many of
//! them to the same, so they count only where no offer comes in time.

use crate::state::{configuration::ConfigurationVersion, timestamp::Timestamp};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};

/// Time that a node waits for an offer after it heard of a version by a request. With links of 10 to 200 Mbit/s half of 60
/// nodes had a change of 1,400 routes 270 ms after the first reader; who asks sooner asks a node of another zone.
const OFFER_PATIENCE: Duration = Duration::from_millis(300);
/// Nodes that are remembered to have told of a version, the latest.
const SOURCES_KEPT: usize = 8;

/// A version that a node has told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableOffer {
    /// The node.
    pub from: SocketAddr,
    /// The version that it has in force.
    pub version: ConfigurationVersion,
    /// Nodes that are to be offered it next.
    pub forward_to: Vec<SocketAddr>,
}

/// What to do about newer versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Ask this node for what is newer, which offers the version.
    FetchOffered(SocketAddr, ConfigurationVersion),
    /// Ask this node, which told of the version by a request; an offer that comes meanwhile goes first.
    FetchReported(SocketAddr, ConfigurationVersion),
    /// Look again then, or when an offer comes.
    Wait(Timestamp),
    /// Nothing is to be fetched, or nobody is left to ask.
    Done,
}

/// Who has told of versions that are not in force here.
#[derive(Debug, Default)]
pub struct TableSources {
    highest_reported: ConfigurationVersion,
    /// Offers whose nodes have not been asked yet.
    offers: Vec<TableOffer>,
    /// Nodes that told of a version by a request.
    hints: VecDeque<(SocketAddr, ConfigurationVersion)>,
    /// When the first of them told of the highest.
    hinted: Option<Timestamp>,
    /// Offers whose nodes have been asked.
    asked: Vec<TableOffer>,
}

impl TableSources {
    /// The highest version heard of.
    #[must_use]
    pub const fn highest_reported(&self) -> ConfigurationVersion {
        self.highest_reported
    }

    /// Takes in an offer along the tree.
    pub fn record_offer(&mut self, offer: TableOffer) {
        self.highest_reported = self.highest_reported.max(offer.version);
        self.offers.push(offer);
    }

    /// Takes in a version that stood on a request or its answer; true if it is above `own`.
    pub fn record_report(
        &mut self,
        from: SocketAddr,
        version: ConfigurationVersion,
        own: ConfigurationVersion,
        now: Timestamp,
    ) -> bool {
        if version <= own {
            return false;
        }
        if version > self.highest_reported {
            self.highest_reported = version;
            self.hinted = Some(now);
        }
        self.hints.retain(|(known, _)| *known != from);
        self.hints.push_back((from, version));
        if self.hints.len() > SOURCES_KEPT {
            self.hints.pop_front();
        }
        self.hinted.get_or_insert(now);
        true
    }

    /// What to do next, with version `own` in force.
    pub fn plan_next_step(&mut self, own: ConfigurationVersion, now: Timestamp) -> FetchStep {
        if self.highest_reported <= own {
            self.hints.clear();
            self.hinted = None;
            return FetchStep::Done;
        }
        let next = self.offers.iter().position(|offer| offer.version > own);
        if let Some(next) = next {
            let offer = self.offers.remove(next);
            let (from, version) = (offer.from, offer.version);
            self.asked.push(offer);
            return FetchStep::FetchOffered(from, version);
        }
        self.hints.retain(|(_, version)| *version > own);
        let Some((from, version)) = self.hints.back().copied() else {
            self.hinted = None;
            return FetchStep::Done;
        };
        // Who knows nothing at all can't be offered anything: it is in no record.
        let knows_nothing = own == ConfigurationVersion::default();
        let due = self.hinted.map(|since| since + OFFER_PATIENCE);
        if let Some(due) = due.filter(|due| *due > now && !knows_nothing) {
            return FetchStep::Wait(due);
        }
        self.hints.pop_back();
        FetchStep::FetchReported(from, version)
    }

    /// Offers that are to go on now: those that are no news with `own` in force, and those whose nodes have been asked.
    pub fn take_forwardable_offers(&mut self, own: ConfigurationVersion) -> Vec<TableOffer> {
        let no_news = |offer: &mut TableOffer| offer.version <= own;
        let mut passable: Vec<TableOffer> = self.offers.extract_if(.., no_news).collect();
        passable.append(&mut self.asked);
        passable
    }
}
