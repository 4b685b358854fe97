//! To which nodes of its zone a node offers the version in force beside what passes along the tree. A version is that of the
//! routing table, or the position of the last change of an evacuation.
//!
//! A reader offers a new version along a tree, whatever way it came. Such an offer may not arrive: the head of a part is lost after
//! it took the offer, a node can't be reached for a moment or is not known yet. Such a node would answer by the older
//! version until its next slow read of the store. So each node asks the one after it in a ring of the zone until that has the
//! version, and beyond it while it doesn't answer. That is a message or two a node and change; were the readers to ask
//! all, it would be 3.6 KB/s for each of them at 870 nodes and 2,700 changes a day.

use crate::state::{configuration::ConfigurationVersion, timestamp::Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Pause before a node is asked again, doubled from the first to the second. With links of 10 to 200 Mbit/s all of
/// 60 nodes had a change of 1,400 routes 450 ms after the first.
const PAUSES: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(8));
/// Most nodes after one's own that are asked. Eight in a row are lost at once with a rack, hardly otherwise: the order is
/// that of a hash.
const REACH: usize = 8;

/// Another node of the zone, in the order of the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingNode {
    /// Where it takes messages from nodes.
    pub address: SocketAddr,
    /// Whether it is known to have the version in force.
    pub has_version: bool,
}

#[derive(Clone, Copy, Debug)]
struct Tried {
    pause: Duration,
    again: Timestamp,
}

/// The nodes that were offered the version in force.
#[derive(Debug, Default)]
pub struct OfferRounds<V = ConfigurationVersion> {
    version: V,
    told: BTreeSet<SocketAddr>,
    tried: BTreeMap<SocketAddr, Tried>,
}

impl<V: Copy + Default + PartialEq> OfferRounds<V> {
    /// The nodes that a reader offers `version` along the tree: of those that lack it as far as is known, each once.
    pub fn plan_tree(
        &mut self,
        version: V,
        lacking: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.begin(version);
        lacking
            .filter(|address| self.told.insert(*address))
            .collect()
    }

    /// The nodes that are asked directly now, given the others of the zone from the one after this on.
    pub fn plan_checks(
        &mut self,
        version: V,
        ring: &[RingNode],
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        self.begin(version);
        let mut due = Vec::new();
        for node in ring.iter().take(REACH) {
            if node.has_version {
                break;
            }
            let tried = self.tried.get(&node.address).copied();
            if tried.is_none_or(|tried| tried.again <= now) {
                self.tried.insert(node.address, plan_next(tried, now));
                due.push(node.address);
            }
            // Nobody beyond a node is asked before that one was.
            if tried.is_none() {
                break;
            }
        }
        due
    }

    fn begin(&mut self, version: V) {
        if self.version != version {
            *self = Self {
                version,
                ..Self::default()
            };
        }
    }
}

fn plan_next(tried: Option<Tried>, now: Timestamp) -> Tried {
    let (least, most) = PAUSES;
    let pause = tried.map_or(least, |tried| (tried.pause * 2).min(most));
    Tried {
        pause,
        again: now + pause,
    }
}
