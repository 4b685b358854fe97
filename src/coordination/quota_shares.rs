//! Which nodes keep the quota of an organisation, and which share of it each of them grants.
//!
//! An organisation has several keepers at the same time, two in each availability zone. Each grants an equal, fixed share whatever it
//! knows of the other keepers, so all keepers together never exceed the quota, on any side of a partition. A keeper that is killed,
//! stalled or cut off removes only its own share.
//!
//! Nodes learn of a change of the known nodes at different times. A node that is gone counts for a while longer, and a node that joins
//! grants nothing for as long, so that a former keeper and its successor don't grant the same share. A node whose record is in the
//! store at its first read can't tell whether it joined or was restarted; it grants its share at once, from a bucket that is nearly
//! empty.

use crate::{
    coordination::rendezvous::rank_node,
    state::{
        names::{AvailabilityZoneName, OrganisationName},
        organisations::Quota,
        timestamp::Timestamp,
    },
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use xxhash_rust::xxh64::xxh64;

/// Keepers of an organisation in each availability zone.
pub const KEEPERS_PER_ZONE: usize = 2;
/// Fewest keepers of an organisation, if there are enough nodes. Fewer would lose too large a share with one node.
pub const MIN_KEEPERS: usize = 4;
/// Most keepers of an organisation. An entry node asks all of them before it refuses a request.
const MAX_KEEPERS: usize = 10;
/// Share of the tolerated excess that may be used to give each keeper a whole token.
pub const WHOLE_TOKEN_EXCESS_SHARE: f64 = 0.35;
/// Number of windows for which a node that is gone still counts, and for which a node that joined grants nothing.
const SETTLING_WINDOWS: u32 = 2;
/// Seed of the hash that ranks the keepers. Any value works, as long as all nodes use the same.
const RANK_SEED: u64 = 1;
/// Upper bound of the ranks that rendezvous hashing gives.
const MAX_RANK: f64 = 18_446_744_073_709_551_615.0;

/// How far the quotas may be exceeded, set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the period in which requests are counted.
    pub window: Duration,
    /// Share of the permitted requests in a window by which they may be exceeded.
    pub overage: f64,
    /// Number of requests in a window by which the quota may be exceeded besides.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaSettings {
    /// Number of requests in a window by which an organisation may exceed its quota.
    #[must_use]
    pub fn tolerated_excess(&self, quota: &Quota) -> f64 {
        self.overage * quota.permitted_within(self.window) + self.slack
    }
}

/// Time for which a node that is gone still counts, and for which a node that joined grants nothing.
#[must_use]
pub fn settling_time(settings: &QuotaSettings) -> Duration {
    settings.window * SETTLING_WINDOWS
}

/// Most keepers of a quota. A bucket of less than one token would never grant, so a small quota has no more keepers than its burst and
/// a part of the tolerated excess provide with one token each.
#[must_use]
pub fn most_keepers(quota: &Quota, settings: &QuotaSettings) -> usize {
    let excess = settings.tolerated_excess(quota) * WHOLE_TOKEN_EXCESS_SHARE;
    let tokens = f64::from(quota.burst.max(1)) + excess;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number, and the cast saturates"
    )]
    let whole = tokens as usize;
    whole.clamp(1, MAX_KEEPERS)
}

/// A node that keeps the quota of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// Address at which it accepts messages of nodes.
    pub address: SocketAddr,
    /// Number of its availability zone at this node.
    zone: usize,
    rank: u64,
}

/// The nodes that may keep quotas, by availability zone.
#[derive(Clone, Debug, Default)]
pub struct KeeperMembers {
    members: BTreeMap<SocketAddr, Member>,
    /// Names of the zones; a zone's place is its number.
    names: Vec<AvailabilityZoneName>,
    /// The members of each zone.
    zones: Vec<Vec<HashedNode>>,
    /// When the next node that is gone stops counting.
    next_removal: Option<Timestamp>,
    /// Number of the last state of the known nodes that was applied.
    generation: Option<u64>,
}

/// A node with the hash of its address. Hundreds of nodes are ranked for a request, so addresses are hashed only when the known nodes
/// change.
#[derive(Clone, Copy, Debug)]
struct HashedNode {
    address: SocketAddr,
    hash: u64,
}

#[derive(Clone, Debug)]
struct Member {
    zone: AvailabilityZoneName,
    gone_since: Option<Timestamp>,
}

impl KeeperMembers {
    /// Whether [`update`](Self::update) has to be called before the keepers are looked up. `generation` rises with each change of
    /// the known nodes.
    #[must_use]
    pub fn needs_update(&self, generation: u64, now: Timestamp) -> bool {
        let is_removal_due = self.next_removal.is_some_and(|due| due <= now);
        self.generation != Some(generation) || is_removal_due
    }

    /// Replaces the known nodes that are not leaving. Those that are missing now count for the settling time.
    pub fn update<'a>(
        &mut self,
        generation: u64,
        present: impl Iterator<Item = (SocketAddr, &'a AvailabilityZoneName)>,
        settings: &QuotaSettings,
        now: Timestamp,
    ) {
        let settling = settling_time(settings);
        for member in self.members.values_mut() {
            member.gone_since = member.gone_since.or(Some(now));
        }
        for (address, zone) in present {
            let member = Member {
                zone: zone.clone(),
                gone_since: None,
            };
            self.members.insert(address, member);
        }
        self.members
            .retain(|_, member| member.gone_since.is_none_or(|gone| now < gone + settling));
        let removals = self.members.values().filter_map(|member| member.gone_since);
        self.next_removal = removals.min().map(|gone| gone + settling);
        self.generation = Some(generation);
        self.group_by_zone();
    }

    fn group_by_zone(&mut self) {
        self.names.clear();
        self.zones.clear();
        for (address, member) in &self.members {
            let number = self.names.iter().position(|name| *name == member.zone);
            let number = number.unwrap_or_else(|| {
                self.names.push(member.zone.clone());
                self.zones.push(Vec::new());
                self.zones.len() - 1
            });
            self.zones[number].push(HashedNode {
                address: *address,
                hash: rank_node(RANK_SEED, *address),
            });
        }
    }

    /// The keepers of an organisation's quota, at most `most`, by rank. Takes a few operations a node.
    ///
    /// A node that joins never lowers their number, since the other nodes learn of it at different times and would grant larger
    /// shares meanwhile.
    #[must_use]
    pub fn find_keepers(&self, organisation: &OrganisationName, most: usize) -> Vec<Keeper> {
        let subject = hash_organisation(organisation);
        let mut keepers = Vec::with_capacity(MAX_KEEPERS + MIN_KEEPERS);
        let mut others = Vec::new();
        for (zone, nodes) in self.zones.iter().enumerate() {
            let first = find_first_of_zone(subject, zone, nodes);
            let (chosen, rest) = first.split_at(first.len().min(KEEPERS_PER_ZONE));
            keepers.extend_from_slice(chosen);
            others.extend_from_slice(rest);
        }
        let missing = MIN_KEEPERS.saturating_sub(keepers.len());
        others.sort_unstable_by_key(Keeper::order);
        keepers.extend(others.into_iter().take(missing));
        keepers.sort_unstable_by_key(Keeper::order);
        keepers.truncate(most);
        keepers
    }

    /// Sorts keepers in the order in which an entry node asks them: itself, those of its zone, then those of other zones. Which of
    /// a zone comes first depends on the entry node.
    pub fn order_for_entry(
        &self,
        keepers: &mut [Keeper],
        entry: SocketAddr,
        zone: &AvailabilityZoneName,
    ) {
        let own_zone = self.names.iter().position(|name| name == zone);
        keepers.sort_by_cached_key(|keeper| {
            let is_elsewhere = Some(keeper.zone) != own_zone;
            let rank = rank_node(keeper.rank, entry);
            (keeper.address != entry, is_elsewhere, rank)
        });
    }
}

impl Keeper {
    fn order(&self) -> (u64, SocketAddr) {
        (self.rank, self.address)
    }
}

/// The first nodes of a zone by rank, as many as there may be keepers in it.
fn find_first_of_zone(subject: u64, zone: usize, nodes: &[HashedNode]) -> Vec<Keeper> {
    let mut first: Vec<Keeper> = Vec::with_capacity(MIN_KEEPERS + 1);
    for node in nodes {
        let rank = mix(subject ^ node.hash);
        let is_full = first.len() == MIN_KEEPERS;
        if is_full && first.last().is_some_and(|last| last.rank < rank) {
            continue;
        }
        let keeper = Keeper {
            address: node.address,
            zone,
            rank,
        };
        let position = first.partition_point(|known| known.order() < keeper.order());
        first.insert(position, keeper);
        first.truncate(MIN_KEEPERS);
    }
    first
}

/// Mixes the bits of the hashes of an organisation and a node: the finalizer of `SplitMix64`, a bijection.
const fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Rank of a node for an organisation, from 0 to 1: evenly distributed over the nodes, and independent of other organisations.
#[must_use]
pub fn rank_node_for(organisation: &OrganisationName, node: SocketAddr) -> f64 {
    let rank = rank_node(hash_organisation(organisation), node);
    #[expect(clippy::cast_precision_loss, reason = "a rank needs few digits")]
    let rank = rank as f64;
    rank / MAX_RANK
}

fn hash_organisation(organisation: &OrganisationName) -> u64 {
    xxh64(organisation.as_str().as_bytes(), RANK_SEED)
}
