//! A node of the simulated mesh.

use crate::quota_mesh::simulation::SETTINGS;
use camphorturn::{
    coordination::{
        quota_credits::QuotaCredits,
        quota_keeper::QuotaKeeper,
        quota_shares::{Keeper, KeeperMembers},
    },
    state::{
        names::{AvailabilityZoneName, OrganisationName},
        timestamp::Timestamp,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Range,
};

pub struct Node {
    number: usize,
    zones: u8,
    pub keeper: QuotaKeeper,
    pub credits: QuotaCredits,
    pub started: u64,
    /// When the node ends for good.
    pub runs_until: u64,
    pub first_start: bool,
    /// Whether the node joined a running mesh.
    pub joined: bool,
    pub cut_off: Range<u64>,
    pub stalled: Range<u64>,
    /// Until when a keeper isn't asked.
    pub backoff: BTreeMap<usize, u64>,
    known: BTreeSet<usize>,
    generation: u64,
    members: KeeperMembers,
    /// Keepers found last: the greatest number of keepers, the generation, and the keepers.
    found: Option<(usize, u64, Vec<Keeper>)>,
}

pub fn organisation() -> OrganisationName {
    "marina".into()
}

pub fn get_address(node: usize) -> SocketAddr {
    let host = u8::try_from(node).expect("few nodes");
    SocketAddr::from(([10, 0, 0, host], 7_660))
}

fn get_number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3].into(),
        SocketAddr::V6(_) => unreachable!("all addresses are of IPv4"),
    }
}

pub fn get_zone(node: usize, zones: u8) -> u8 {
    u8::try_from(node % usize::from(zones)).expect("few zones")
}

fn name_zone(node: usize, zones: u8) -> AvailabilityZoneName {
    format!("zone-{}", get_zone(node, zones)).as_str().into()
}

impl Node {
    pub fn new(number: usize, zones: u8) -> Self {
        Self {
            number,
            zones,
            keeper: QuotaKeeper::default(),
            credits: QuotaCredits::default(),
            started: 0,
            runs_until: u64::MAX,
            first_start: true,
            joined: false,
            cut_off: 0..0,
            stalled: 0..0,
            backoff: BTreeMap::new(),
            known: BTreeSet::new(),
            generation: 0,
            members: KeeperMembers::default(),
            found: None,
        }
    }

    /// Restarts the node, which knows the other nodes from the store and nothing else.
    pub fn restart(&mut self, started: u64) {
        let known: Vec<usize> = self.known.iter().copied().collect();
        let fresh = Self::new(self.number, self.zones);
        *self = Self {
            started,
            first_start: false,
            joined: self.joined,
            runs_until: self.runs_until,
            cut_off: self.cut_off.clone(),
            stalled: self.stalled.clone(),
            ..fresh
        };
        self.learn(&known, started);
    }

    pub fn is_running(&self, now: u64) -> bool {
        (self.started..self.runs_until).contains(&now)
    }

    pub fn stalled_until(&self, now: u64) -> Option<u64> {
        self.stalled.contains(&now).then_some(self.stalled.end)
    }

    pub fn learn(&mut self, nodes: &[usize], now: u64) {
        self.known.extend(nodes);
        self.change(now);
    }

    pub fn add(&mut self, node: usize, now: u64) {
        self.known.insert(node);
        self.change(now);
    }

    pub fn remove(&mut self, node: usize, now: u64) {
        self.known.remove(&node);
        self.change(now);
    }

    fn change(&mut self, now: u64) {
        self.generation += 1;
        self.update_members(now);
    }

    fn update_members(&mut self, now: u64) {
        let zones: Vec<(SocketAddr, AvailabilityZoneName)> = self
            .known
            .iter()
            .map(|node| (get_address(*node), name_zone(*node, self.zones)))
            .collect();
        let present = zones.iter().map(|(address, zone)| (*address, zone));
        self.members
            .update(self.generation, present, &SETTINGS, Timestamp(now));
        self.found = None;
    }

    fn find(&mut self, most: usize, now: u64) -> Vec<Keeper> {
        if self.members.needs_update(self.generation, Timestamp(now)) {
            self.update_members(now);
        }
        if let Some((known_most, generation, found)) = &self.found
            && (*known_most, *generation) == (most, self.generation)
        {
            return found.clone();
        }
        let found = self.members.find_keepers(&organisation(), most);
        self.found = Some((most, self.generation, found.clone()));
        found
    }

    /// The keepers by rank.
    pub fn find_keepers(&mut self, most: usize, now: u64) -> Vec<usize> {
        let found = self.find(most, now);
        found
            .iter()
            .map(|keeper| get_number(keeper.address))
            .collect()
    }

    /// The keepers in the order in which this node asks them.
    pub fn list_keepers(&mut self, most: usize, now: u64) -> Vec<usize> {
        let mut found = self.find(most, now);
        let zone = name_zone(self.number, self.zones);
        self.members
            .order_for_entry(&mut found, get_address(self.number), &zone);
        found
            .iter()
            .map(|keeper| get_number(keeper.address))
            .collect()
    }
}
