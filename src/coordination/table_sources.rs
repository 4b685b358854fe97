//! Decides from which node a newer routing table is fetched, and which offers are forwarded to further nodes.
//!
//! A new version is offered along a distribution tree of the nodes of a zone (see [`super::fanout`]). A node that lacks the
//! version fetches it once, from the node that offered it, and then offers it to the nodes after it. Requests between nodes also
//! carry the version in force at the sender. Such reports lead to nodes of any zone, and many nodes would fetch from the same one,
//! so a report is used only if no offer arrives in time.

use crate::state::{configuration::ConfigurationVersion, timestamp::Timestamp};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};

/// Time that a node waits for an offer after a request has reported a newer version. With links of 10 to 200 Mbit/s, half of 60
/// nodes have a change of 1,400 routes 270 ms after the first reader; a node that waits less fetches from another zone.
const OFFER_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of nodes whose reports are remembered; the latest are kept.
const MAX_REPORTS: usize = 8;

/// Offer of a version by a node that has it in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableOffer {
    /// Address at which the offering node answers other nodes.
    pub from: SocketAddr,
    /// Version in force at the offering node.
    pub version: ConfigurationVersion,
    /// Nodes that the receiver offers the version to next.
    pub forward_to: Vec<SocketAddr>,
}

/// Next step towards the newest reported version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Fetch the version from the node that offered it.
    FetchOffered(SocketAddr, ConfigurationVersion),
    /// Fetch the version from a node that reported it with a request, unless an offer arrives during the fetch.
    FetchReported(SocketAddr, ConfigurationVersion),
    /// Plan again at this time, or earlier when an offer arrives.
    Wait(Timestamp),
    /// The newest reported version is in force, or no node is left to fetch it from.
    Done,
}

/// Nodes that have offered or reported versions not yet in force here.
#[derive(Debug, Default)]
pub struct TableSources {
    highest_reported: ConfigurationVersion,
    /// Offers that no fetch has been started for.
    offers: Vec<TableOffer>,
    /// Versions that nodes reported with requests, oldest report first.
    reports: VecDeque<(SocketAddr, ConfigurationVersion)>,
    /// Time of the first report of the highest version.
    reported_since: Option<Timestamp>,
    /// Offers that a fetch has been started for, and that have not been forwarded.
    fetched_offers: Vec<TableOffer>,
}

impl TableSources {
    /// Highest version that another node has offered or reported.
    #[must_use]
    pub const fn highest_reported(&self) -> ConfigurationVersion {
        self.highest_reported
    }

    /// Records an offer received along the distribution tree.
    pub fn record_offer(&mut self, offer: TableOffer) {
        self.highest_reported = self.highest_reported.max(offer.version);
        self.offers.push(offer);
    }

    /// Records the version reported with a request or its response. Returns whether it is newer than `own_version`, the version
    /// in force here.
    pub fn record_report(
        &mut self,
        from: SocketAddr,
        version: ConfigurationVersion,
        own_version: ConfigurationVersion,
        now: Timestamp,
    ) -> bool {
        if version <= own_version {
            return false;
        }
        if version > self.highest_reported {
            self.highest_reported = version;
            self.reported_since = Some(now);
        }
        self.reports.retain(|(known, _)| *known != from);
        self.reports.push_back((from, version));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reported_since.get_or_insert(now);
        true
    }

    /// Returns the next step while version `own_version` is in force here.
    pub fn plan_next_step(
        &mut self,
        own_version: ConfigurationVersion,
        now: Timestamp,
    ) -> FetchStep {
        if self.highest_reported <= own_version {
            self.reports.clear();
            self.reported_since = None;
            return FetchStep::Done;
        }
        let next = self
            .offers
            .iter()
            .position(|offer| offer.version > own_version);
        if let Some(next) = next {
            let offer = self.offers.remove(next);
            let (from, version) = (offer.from, offer.version);
            self.fetched_offers.push(offer);
            return FetchStep::FetchOffered(from, version);
        }
        self.reports.retain(|(_, version)| *version > own_version);
        let Some((from, version)) = self.reports.back().copied() else {
            self.reported_since = None;
            return FetchStep::Done;
        };
        // Before a node has fetched its first table, no node record contains it, so no node offers it anything.
        let has_no_table = own_version == ConfigurationVersion::default();
        let due = self.reported_since.map(|since| since + OFFER_WAIT);
        if let Some(due) = due.filter(|due| *due > now && !has_no_table) {
            return FetchStep::Wait(due);
        }
        self.reports.pop_back();
        FetchStep::FetchReported(from, version)
    }

    /// Removes and returns the offers to forward now: those not newer than `own_version`, the version in force here, and those that
    /// a fetch has been started for, whether or not it succeeded: a node whose fetch fails must not keep the version from the
    /// nodes after it.
    pub fn take_forwardable_offers(
        &mut self,
        own_version: ConfigurationVersion,
    ) -> Vec<TableOffer> {
        let is_not_newer = |offer: &mut TableOffer| offer.version <= own_version;
        let mut forwardable: Vec<TableOffer> = self.offers.extract_if(.., is_not_newer).collect();
        forwardable.append(&mut self.fetched_offers);
        forwardable
    }
}
