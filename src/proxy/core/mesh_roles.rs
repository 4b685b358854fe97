//! The roles of a node in its availability zone and in the mesh. They follow from its position among the reachable nodes.

use crate::{
    coordination::{
        offer_rounds::RingNode,
        store_reading::{
            ReadingPlan, ReadingRole, find_predecessor, find_reading_role, is_first, order_ring,
            plan_reading,
        },
    },
    protocol::store::StoreTopic,
    proxy::core::ProxyCore,
    state::{
        known_node::{KnownNode, NodeRecord},
        timestamp::Timestamp,
    },
};
use std::{net::SocketAddr, time::Duration};

/// How long a node reads the store in place of one that can't reach it. The other node asks again as long as the failure lasts.
const SUBSTITUTE_READING_TIME: Duration = Duration::from_secs(8);

impl ProxyCore {
    /// How this node reads a topic of the store next. A substitute reader reads like the first reader of its zone.
    #[must_use]
    pub fn plan_reading(&self, topic: StoreTopic) -> ReadingPlan {
        let role = if self.is_substitute_reader() {
            ReadingRole::First
        } else {
            self.find_reading_role()
        };
        plan_reading(role, topic, self.directory.borrow().nodes.len())
    }

    fn find_reading_role(&self) -> ReadingRole {
        find_reading_role(
            self.settings.peer_address,
            self.list_zone_nodes().into_iter(),
        )
    }

    /// Whether this node reads the store in place of a node that can't reach it.
    #[must_use]
    pub fn is_substitute_reader(&self) -> bool {
        self.timers.now() < self.substitute_reader_until.get()
    }

    /// Whether this node is one of the nodes that read the store for their zone.
    #[must_use]
    pub fn is_zone_reader(&self) -> bool {
        self.find_reading_role() != ReadingRole::Other
    }

    /// Whether this node ranks first among the reachable nodes and performs the tasks for which one node of the mesh is enough. Two
    /// nodes that know different nodes may both be first.
    #[must_use]
    pub fn is_first_in_mesh(&self) -> bool {
        is_first(
            self.settings.peer_address,
            self.list_reachable(|_| true).into_iter(),
        )
    }

    /// The reachable node directly before this one in the order that all nodes use; none if this one is the first.
    #[must_use]
    pub fn find_predecessor(&self) -> Option<SocketAddr> {
        let others = self.list_reachable(|_| true).into_iter();
        find_predecessor(self.settings.peer_address, others)
    }

    /// Makes this node read the store for its zone for a while, in place of a node that can't reach it.
    pub fn become_substitute_reader(&self) {
        self.substitute_reader_until
            .set(self.timers.now() + SUBSTITUTE_READING_TIME);
    }

    /// The other reachable nodes of the zone, by the addresses on which they accept requests from nodes.
    #[must_use]
    pub fn list_zone_nodes(&self) -> Vec<SocketAddr> {
        let local_zone = &self.settings.availability_zone;
        self.list_reachable(|record| record.availability_zone == *local_zone)
    }

    /// The other reachable nodes of the zone that are not known to have the routing table in force.
    #[must_use]
    pub fn list_zone_nodes_without_table(&self) -> Vec<SocketAddr> {
        let mut nodes = self.list_zone_nodes();
        let directory = self.directory.borrow();
        nodes.retain(|address| !directory.has_version(*address));
        nodes
    }

    /// The other nodes of the zone in ring order, starting with the one after this node. `has_version` returns whether a node is
    /// known to have the state that the caller sends along the ring. Empty if no routing table is in force.
    #[must_use]
    pub fn list_ring(&self, has_version: impl Fn(SocketAddr) -> bool) -> Vec<RingNode> {
        let directory = self.directory.borrow();
        if directory.routes().is_none() {
            return Vec::new();
        }
        let local_zone = &self.settings.availability_zone;
        let known_nodes = directory.nodes.values();
        let zone = known_nodes.filter(|node| node.record.availability_zone == *local_zone);
        let ring = order_ring(
            self.settings.peer_address,
            zone.map(|node| node.record.address),
        );
        let ring_nodes = ring.into_iter().map(|address| RingNode {
            address,
            has_version: has_version(address),
        });
        ring_nodes.collect()
    }

    /// The other reachable nodes whose record matches.
    fn list_reachable(&self, matches: impl Fn(&NodeRecord) -> bool) -> Vec<SocketAddr> {
        let now = self.timers.now();
        let directory = self.directory.borrow();
        let known_nodes = directory.nodes.values();
        known_nodes
            .filter(|node| matches(&node.record))
            .filter(|node| is_reachable(node, now))
            .map(|node| node.record.address)
            .filter(|address| *address != self.settings.peer_address)
            .collect()
    }
}

/// Whether no request to the node has failed since its last success and no backoff is in force.
fn is_reachable(node: &KnownNode, now: Timestamp) -> bool {
    node.consecutive_failures == 0 && node.backoff_until <= now
}
