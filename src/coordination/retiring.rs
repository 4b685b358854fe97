//! Which records of nodes are dropped from the store because their VMs are gone.
//!
//! A VM that is lost says nothing, and a planned end leaves a record that says so. Were none ever dropped, each
//! replaced VM would leave one for good: memory at all nodes, bytes at each start, and a try to reach it now
//! and then. One node of the mesh looks after that; nobody is appointed, each works out whether it is the one.
//!
//! A record is dropped late and carefully, since a node without one gets no work from others until it has
//! written it anew: only after long silence, only if other nodes can't reach it either, and only if the
//! store has nothing newer. Pure: each moment and each answer is told.

use crate::state::{names::AvailabilityZoneName, timestamp::Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Silence after which a node counts as gone. Above the minutes for which regions lose each other, and the
/// time that a VM takes to be started anew.
const SILENT_FOR: Duration = Duration::from_mins(30);
/// The same if nothing is heard of its whole availability zone: that is cut off rather than gone.
const ZONE_SILENT_FOR: Duration = Duration::from_hours(24);
/// Time between two questions to a node of which nothing else is heard. At 870 nodes these are three small
/// messages a second of one node, below 1 KB/s.
const ASK_EVERY: Duration = Duration::from_mins(5);
/// Other nodes that must fail to reach it too.
pub const REQUIRED_CONFIRMATIONS: usize = 2;

/// A record as the watch sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedRecord {
    /// Where the node takes messages from nodes.
    pub address: SocketAddr,
    /// Availability zone of its VM.
    pub availability_zone: AvailabilityZoneName,
    /// Place of the record in the order of the store.
    pub revision: u64,
}

#[derive(Clone, Debug)]
struct TrackedNode {
    record: TrackedRecord,
    /// Last sign of the node, or the begin of the watch.
    last_contact: Timestamp,
    last_probe: Timestamp,
}

/// What the watching node knows of the others.
#[derive(Clone, Debug, Default)]
pub struct RetirementTracker {
    nodes: BTreeMap<SocketAddr, TrackedNode>,
}

impl RetirementTracker {
    /// Takes in the records that the store holds now. A new one, or a new record of a known node, counts as a sign of it.
    pub fn apply_records(&mut self, records: impl Iterator<Item = TrackedRecord>, now: Timestamp) {
        let mut before = std::mem::take(&mut self.nodes);
        for record in records {
            let known = before.remove(&record.address);
            let tracked = known.filter(|known| known.record.revision == record.revision);
            let tracked = tracked.unwrap_or_else(|| TrackedNode {
                record: record.clone(),
                last_contact: now,
                last_probe: now,
            });
            self.nodes.insert(record.address, tracked);
        }
    }

    /// Takes in a sign of a node.
    pub fn record_contact(&mut self, address: SocketAddr, at: Timestamp) {
        if let Some(tracked) = self.nodes.get_mut(&address) {
            tracked.last_contact = tracked.last_contact.max(at);
        }
    }

    /// Nodes to be asked now, at most `most`, those that were asked longest ago first. They count as asked.
    pub fn take_due_probes(&mut self, most: usize, now: Timestamp) -> Vec<SocketAddr> {
        let is_due = |tracked: &&TrackedNode| {
            now.since(tracked.last_contact) >= ASK_EVERY
                && now.since(tracked.last_probe) >= ASK_EVERY
        };
        let mut due: Vec<(Timestamp, SocketAddr)> = self
            .nodes
            .values()
            .filter(is_due)
            .map(|tracked| (tracked.last_probe, tracked.record.address))
            .collect();
        due.sort_unstable();
        due.truncate(most);
        for (_, address) in &due {
            if let Some(tracked) = self.nodes.get_mut(address) {
                tracked.last_probe = now;
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Questions that must be asked in each `step` to reach every node in time.
    #[must_use]
    pub fn count_probes_per_interval(&self, step: Duration) -> usize {
        let steps = (ASK_EVERY.as_millis() / step.as_millis().max(1)).max(1);
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        self.nodes.len().div_ceil(steps)
    }

    /// Nodes that count as gone, unless another node can reach them.
    #[must_use]
    pub fn list_suspects(&self, now: Timestamp) -> Vec<SocketAddr> {
        let alive: BTreeSet<&AvailabilityZoneName> = self
            .nodes
            .values()
            .filter(|tracked| now.since(tracked.last_contact) < SILENT_FOR)
            .map(|tracked| &tracked.record.availability_zone)
            .collect();
        let is_gone = |tracked: &&TrackedNode| {
            let bound = if alive.contains(&tracked.record.availability_zone) {
                SILENT_FOR
            } else {
                ZONE_SILENT_FOR
            };
            now.since(tracked.last_contact) >= bound
        };
        let gone = self.nodes.values().filter(is_gone);
        gone.map(|tracked| tracked.record.address).collect()
    }

    /// Nodes that can be asked whether they reach `suspect`, those of its zone first: a link between zones may
    /// be all that is wrong.
    #[must_use]
    pub fn list_confirming_nodes(&self, suspect: SocketAddr, now: Timestamp) -> Vec<SocketAddr> {
        let Some(zone) = self.nodes.get(&suspect) else {
            return Vec::new();
        };
        let zone = &zone.record.availability_zone;
        let mut witnesses: Vec<(bool, SocketAddr)> = self
            .nodes
            .values()
            .filter(|tracked| tracked.record.address != suspect)
            .filter(|tracked| now.since(tracked.last_contact) < SILENT_FOR)
            .map(|tracked| {
                let elsewhere = tracked.record.availability_zone != *zone;
                (elsewhere, tracked.record.address)
            })
            .collect();
        witnesses.sort_unstable();
        witnesses.into_iter().map(|(_, address)| address).collect()
    }
}

/// What other nodes said of one that seems gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// All that answered can't reach it.
    Unreachable,
    /// One of them reaches it.
    Reachable,
    /// Too few of them answered.
    Inconclusive,
}

/// Weighs the answers of witnesses: whether they reach the node; none from one that did not answer. A node that
/// finds no witness in the whole mesh may be the one that is cut off, so silence proves nothing.
#[must_use]
pub fn judge_reachability(answers: &[Option<bool>]) -> Reachability {
    if answers.contains(&Some(true)) {
        return Reachability::Reachable;
    }
    let denied = answers.iter().filter(|answer| **answer == Some(false));
    if denied.count() >= REQUIRED_CONFIRMATIONS {
        Reachability::Unreachable
    } else {
        Reachability::Inconclusive
    }
}
