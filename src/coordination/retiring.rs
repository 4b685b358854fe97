//! Decides which node records are removed from the store because their VMs no longer exist.
//!
//! A VM that fails sends no message about it, and after a planned shutdown a record remains that marks the node as leaving. If
//! records were never removed, each replaced VM would leave one for good: it would take memory on all nodes, bytes at each start,
//! and an occasional connection attempt. One node of the mesh does the removal. It isn't elected: each node works out from the
//! nodes it knows whether it is the one.
//!
//! A node whose record is removed gets no requests from other nodes until it has written the record again. So a record is removed
//! only after a long silence of its node, only if other nodes can't reach the node either, and only if the store has no newer
//! record of it. The code is pure: the caller passes in the time and the answers of other nodes.

use crate::state::{names::AvailabilityZoneName, timestamp::Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Time without contact after which a node is suspected to be lost. Longer than the minutes for which regions may lose contact to
/// each other, and than a restart of a VM takes.
const MAX_SILENCE: Duration = Duration::from_mins(30);
/// Time without contact after which a node is suspected to be lost if no node of its availability zone is in contact: the zone is
/// more likely disconnected than lost.
const MAX_ZONE_SILENCE: Duration = Duration::from_hours(24);
/// Interval between two probes of a node that nothing else is received from. At 870 nodes the probing node sends three small
/// messages a second, less than 1 KB/s.
const PROBE_INTERVAL: Duration = Duration::from_mins(5);
/// Number of other nodes that must fail to reach a node before its record is removed.
pub const REQUIRED_CONFIRMATIONS: usize = 2;

/// Node record as needed for tracking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedRecord {
    /// Address at which the node accepts messages from other nodes.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneName,
    /// Revision of the record in the store; a newer record has a higher one.
    pub revision: u64,
}

#[derive(Clone, Debug)]
struct TrackedNode {
    record: TrackedRecord,
    /// Time of the last contact with the node; initially the time at which tracking began.
    last_contact: Timestamp,
    last_probe: Timestamp,
}

/// Last contact with and last probe of each other node.
#[derive(Clone, Debug, Default)]
pub struct RetirementTracker {
    nodes: BTreeMap<SocketAddr, TrackedNode>,
}

impl RetirementTracker {
    /// Replaces the tracked records by those now in the store. A new record, or a newer record of a tracked node, counts as
    /// contact.
    pub fn apply_records(&mut self, records: impl Iterator<Item = TrackedRecord>, now: Timestamp) {
        let mut previous = std::mem::take(&mut self.nodes);
        for record in records {
            let known = previous.remove(&record.address);
            let tracked = known.filter(|known| known.record.revision == record.revision);
            let tracked = tracked.unwrap_or_else(|| TrackedNode {
                record: record.clone(),
                last_contact: now,
                last_probe: now,
            });
            self.nodes.insert(record.address, tracked);
        }
    }

    /// Records contact with a node at time `at`.
    pub fn record_contact(&mut self, address: SocketAddr, at: Timestamp) {
        if let Some(tracked) = self.nodes.get_mut(&address) {
            tracked.last_contact = tracked.last_contact.max(at);
        }
    }

    /// Returns up to `max` nodes that are due for a probe, the ones probed longest ago first, and records them as probed now.
    pub fn take_due_probes(&mut self, max: usize, now: Timestamp) -> Vec<SocketAddr> {
        let is_due = |tracked: &&TrackedNode| {
            now.since(tracked.last_contact) >= PROBE_INTERVAL
                && now.since(tracked.last_probe) >= PROBE_INTERVAL
        };
        let mut due: Vec<(Timestamp, SocketAddr)> = self
            .nodes
            .values()
            .filter(is_due)
            .map(|tracked| (tracked.last_probe, tracked.record.address))
            .collect();
        due.sort_unstable();
        due.truncate(max);
        for (_, address) in &due {
            if let Some(tracked) = self.nodes.get_mut(address) {
                tracked.last_probe = now;
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Number of probes per `interval` that suffices to probe every node once per `PROBE_INTERVAL`.
    #[must_use]
    pub fn count_probes_per_interval(&self, interval: Duration) -> usize {
        let intervals = (PROBE_INTERVAL.as_millis() / interval.as_millis().max(1)).max(1);
        let intervals = usize::try_from(intervals).unwrap_or(usize::MAX);
        self.nodes.len().div_ceil(intervals)
    }

    /// Returns the nodes without contact for so long that they are suspected to be lost. Other nodes must confirm this.
    #[must_use]
    pub fn list_suspects(&self, now: Timestamp) -> Vec<SocketAddr> {
        let zones_in_contact: BTreeSet<&AvailabilityZoneName> = self
            .nodes
            .values()
            .filter(|tracked| now.since(tracked.last_contact) < MAX_SILENCE)
            .map(|tracked| &tracked.record.availability_zone)
            .collect();
        let is_suspect = |tracked: &&TrackedNode| {
            let max_silence = if zones_in_contact.contains(&tracked.record.availability_zone) {
                MAX_SILENCE
            } else {
                MAX_ZONE_SILENCE
            };
            now.since(tracked.last_contact) >= max_silence
        };
        let suspects = self.nodes.values().filter(is_suspect);
        suspects.map(|tracked| tracked.record.address).collect()
    }

    /// Returns the nodes that can be asked whether they reach `suspect`, those of its zone first: the suspect may only be
    /// unreachable from other zones.
    #[must_use]
    pub fn list_confirming_nodes(&self, suspect: SocketAddr, now: Timestamp) -> Vec<SocketAddr> {
        let Some(tracked) = self.nodes.get(&suspect) else {
            return Vec::new();
        };
        let zone = &tracked.record.availability_zone;
        let mut confirming_nodes: Vec<(bool, SocketAddr)> = self
            .nodes
            .values()
            .filter(|tracked| tracked.record.address != suspect)
            .filter(|tracked| now.since(tracked.last_contact) < MAX_SILENCE)
            .map(|tracked| {
                let is_in_other_zone = tracked.record.availability_zone != *zone;
                (is_in_other_zone, tracked.record.address)
            })
            .collect();
        confirming_nodes.sort_unstable();
        confirming_nodes
            .into_iter()
            .map(|(_, address)| address)
            .collect()
    }
}

/// Conclusion from the answers of other nodes about a node that is suspected to be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Enough other nodes answered, and none of them reaches it.
    Unreachable,
    /// At least one other node reaches it.
    Reachable,
    /// Too few other nodes answered.
    Inconclusive,
}

/// Evaluates the answers of other nodes to the question whether they reach the suspect; `None` stands for a node that did not
/// answer. A missing answer proves nothing: if no node answers, the asking node may itself be disconnected.
#[must_use]
pub fn judge_reachability(answers: &[Option<bool>]) -> Reachability {
    if answers.contains(&Some(true)) {
        return Reachability::Reachable;
    }
    let unreachable_answers = answers.iter().filter(|answer| **answer == Some(false));
    if unreachable_answers.count() >= REQUIRED_CONFIRMATIONS {
        Reachability::Unreachable
    } else {
        Reachability::Inconclusive
    }
}
