//! News that a node passes on, each a limited number of times.

use crate::{
    protocol::gossip::{Health, Rumour},
    state::{membership::table::MemberTable, names::NodeName},
};
use std::collections::BTreeMap;

/// Estimated bytes of rumours that one message holds at most.
const MESSAGE_BUDGET: usize = 700;
/// Estimated bytes of a rumour with and without description.
const DESCRIBED_COST: usize = 260;
const PLAIN_COST: usize = 90;
/// Each rumour is sent this often, times the binary logarithm of the number of members.
const SENDS_FACTOR: u32 = 2;

/// Meeting a node that knows the news counts as this many sends.
const KNOWN_WEIGHT: u32 = 3;

struct News {
    sent: u32,
    /// The member's run is new, so that receivers may not know its description.
    described: bool,
}

/// Members on which there is news.
#[derive(Default)]
pub struct RumourQueue {
    news: BTreeMap<NodeName, News>,
}

impl RumourQueue {
    /// Starts passing on what the table holds of a member.
    pub fn add(&mut self, name: &NodeName, described: bool) {
        let described = described
            || self
                .news
                .get(name)
                .is_some_and(|news| news.described && news.sent == 0);
        let news = News { sent: 0, described };
        self.news.insert(name.clone(), news);
    }

    /// Stops passing on news of a member.
    pub fn remove(&mut self, name: &NodeName) {
        self.news.remove(name);
    }

    /// Notes that another node knows all of the news already: less need to go on telling it.
    pub fn damp(&mut self, member_count: usize) {
        let limit = sends_limit(member_count);
        self.news.retain(|_, news| {
            news.sent += KNOWN_WEIGHT;
            news.sent < limit
        });
    }

    /// The rumours for one message, the least often sent first.
    pub fn take(&mut self, table: &MemberTable) -> Vec<Rumour> {
        let limit = sends_limit(table.iter().count());
        let mut order: Vec<(u32, NodeName)> = self
            .news
            .iter()
            .map(|(name, news)| (news.sent, name.clone()))
            .collect();
        order.sort();
        let mut budget = MESSAGE_BUDGET;
        let mut rumours = Vec::new();
        for (_, name) in order {
            let Some((news, record)) = self.news.get_mut(&name).zip(table.get(&name)) else {
                self.news.remove(&name);
                continue;
            };
            let described = news.described && record.health != Health::Dead;
            let cost = if described {
                DESCRIBED_COST
            } else {
                PLAIN_COST
            };
            let Some(left) = budget.checked_sub(cost) else {
                break;
            };
            budget = left;
            rumours.push(record.to_rumour(described));
            news.sent += 1;
            if news.sent >= limit {
                self.news.remove(&name);
            }
        }
        rumours
    }
}

fn sends_limit(member_count: usize) -> u32 {
    SENDS_FACTOR * (member_count.max(1).ilog2() + 1)
}
