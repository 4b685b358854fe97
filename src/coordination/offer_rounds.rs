//! To which nodes of its zone a reader offers the version in force, and when again.
//!
//! An offer along a tree may not arrive: the head of a part is lost after it took the offer, a node can't be reached for a
//! moment or is not known yet. Such a node would answer by the older version until its next slow read of the store. So a reader
//! offers again, directly, until it knows of each node that it has the version; whatever way that came here.

use crate::state::{configuration::ConfigurationVersion, moment::Moment};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Pause before a node is offered a version again, doubled from the first to the second. With links of 10 to 200 Mbit/s all of
/// 60 nodes had a change of 1,400 routes 450 ms after the first.
const PAUSES: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(8));
/// Most nodes that are offered a version directly in one round; each is a connection for a node of a tenth of a core.
const DIRECT_OFFERS: usize = 32;

/// Whom to offer the version in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OfferRound {
    /// Nodes that are offered it for the first time and can be reached as far as is known: along the tree.
    pub along_tree: Vec<SocketAddr>,
    /// Nodes that are asked one by one.
    pub directly: Vec<SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct Tried {
    pause: Duration,
    again: Moment,
}

/// The nodes that were offered the version in force and are not known to have it.
#[derive(Debug, Default)]
pub struct OfferRounds {
    version: ConfigurationVersion,
    tried: BTreeMap<SocketAddr, Tried>,
}

impl OfferRounds {
    /// The offers due now, given the nodes of the zone that are not known to have `version`, each with whether it
    /// can be reached as far as is known.
    pub fn plan_round(
        &mut self,
        version: ConfigurationVersion,
        lacking: &[(SocketAddr, bool)],
        now: Moment,
    ) -> OfferRound {
        if self.version != version {
            self.tried.clear();
            self.version = version;
        }
        self.tried
            .retain(|address, _| lacking.iter().any(|(known, _)| known == address));
        let mut round = OfferRound::default();
        for (address, is_reachable) in lacking {
            let tried = self.tried.get(address).copied();
            if tried.is_some_and(|tried| tried.again > now) {
                continue;
            }
            if tried.is_none() && *is_reachable {
                round.along_tree.push(*address);
            } else if round.directly.len() < DIRECT_OFFERS {
                round.directly.push(*address);
            } else {
                continue;
            }
            let (least, most) = PAUSES;
            let pause = tried.map_or(least, |tried| (tried.pause * 2).min(most));
            let again = now + pause;
            self.tried.insert(*address, Tried { pause, again });
        }
        round
    }
}
