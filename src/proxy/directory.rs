//! The routing table in force at this node and the nodes that it knows.

use crate::{
    protocol::hop::{StateMessage, StoredTable},
    state::{
        configuration::ConfigurationVersion,
        known_node::{KnownNode, NodeRecord, StoredRecord},
        routing_table::{RouteIndex, RoutingTable},
        table_change::{ChangeError, TableChange},
        table_history::TableHistory,
    },
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
};

/// Source of a routing table, a node record or an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// The platform's store.
    Store,
    /// Another node.
    Peer,
    /// An operator, at this node.
    Operator,
}

impl StateSource {
    /// Name of the source in the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Operator => "operator",
        }
    }
}

/// The routing table in force at this node and the nodes that it knows.
#[derive(Default)]
pub struct Directory {
    tables: TableHistory,
    stored_table: Option<StoredTable>,
    /// Known nodes, by the address at which they accept requests from nodes.
    pub nodes: BTreeMap<SocketAddr, KnownNode>,
    /// Versions of the routing table that other nodes are known to have, by address.
    known_versions: BTreeMap<SocketAddr, ConfigurationVersion>,
    /// Revision up to which the store's records of nodes have been read.
    read_position: u64,
    /// Rises with each change of the known records.
    generation: u64,
}

impl Directory {
    /// The routing table in force.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteIndex>> {
        self.tables.current().cloned()
    }

    /// Version of the routing table in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.tables.version()
    }

    /// Puts a table in force if it is newer than the present one. Returns whether it was.
    pub fn apply_table(&mut self, table: RoutingTable) -> bool {
        self.tables.replace_if_newer(table)
    }

    /// Builds the table that results when a change is applied to the one in force.
    ///
    /// # Errors
    /// If the change can't be applied to the table in force; see [`ChangeError`].
    pub fn apply_change(&self, change: &TableChange) -> Result<RoutingTable, ChangeError> {
        change.apply(self.tables.current().map(|current| current.table()))
    }

    /// Records a table that the store holds, unless a later one is already recorded.
    pub fn record_stored_table(&mut self, table: StoredTable) {
        if self
            .stored_table
            .is_none_or(|known| table.next > known.next)
        {
            self.stored_table = Some(table);
        }
    }

    /// The last table that the store is known to hold.
    #[must_use]
    pub const fn stored_table(&self) -> Option<StoredTable> {
        self.stored_table
    }

    /// Clears the recorded table, if the store no longer holds the records after it.
    pub fn clear_stored_table(&mut self) {
        self.stored_table = None;
    }

    /// Position of the configuration topic from which to read, given the table in force; none if it is not known.
    #[must_use]
    pub fn configuration_resume_position(&self) -> Option<u64> {
        let known = self.stored_table;
        known
            .filter(|table| table.version <= self.version())
            .map(|table| table.next)
    }

    /// Applies a record of a node unless a later record of that node is known. Returns whether it changed what is known.
    ///
    /// If a peer sends a record of an unknown node from a part of the store that has already been read here, the store has
    /// deleted the record since. Without this check, peers that have not learned of the deletion would add the node again.
    pub fn apply_record(&mut self, stored: StoredRecord, source: StateSource) -> bool {
        let is_known_part = (1..=self.read_position).contains(&stored.revision);
        let is_unknown = !self.nodes.contains_key(&stored.record.address);
        if source == StateSource::Peer && is_known_part && is_unknown {
            return false;
        }
        let is_changed = match self.nodes.get_mut(&stored.record.address) {
            Some(known) if stored.revision <= known.revision => false,
            Some(known) if is_same_incarnation(&known.record, &stored.record) => {
                let is_changed = known.record != stored.record;
                known.record = stored.record;
                known.revision = stored.revision;
                is_changed
            }
            _ => {
                let address = stored.record.address;
                self.nodes.insert(address, KnownNode::new(stored));
                true
            }
        };
        self.generation += u64::from(is_changed);
        is_changed
    }

    /// A number that rises with each change of the known records.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Compares the known records with the first full read after the store was restored from a backup, and updates their
    /// revisions. Known records stay, since the backup is older. Returns the records that the store has lost or holds in another
    /// state.
    pub fn reconcile_with_restored_store(
        &mut self,
        stored_records: &[StoredRecord],
    ) -> Vec<NodeRecord> {
        let by_address: HashMap<SocketAddr, &StoredRecord> = stored_records
            .iter()
            .map(|stored| (stored.record.address, stored))
            .collect();
        let mut lost_records = Vec::new();
        for (address, known) in &mut self.nodes {
            match by_address.get(address) {
                Some(stored) if stored.record == known.record => known.revision = stored.revision,
                _ => lost_records.push(known.record.clone()),
            }
        }
        lost_records
    }

    /// Applies the record of this node. It has revision 0 until it is read from the store.
    pub fn apply_own_record(&mut self, record: NodeRecord) {
        self.generation += 1;
        if let Some(known) = self.nodes.get_mut(&record.address) {
            known.replace_record(record);
            // Refusals by an earlier incarnation of the upstream don't apply to this one.
            known.reset_backoff();
            return;
        }
        let stored = StoredRecord {
            revision: 0,
            record,
        };
        self.nodes
            .insert(stored.record.address, KnownNode::new(stored));
    }

    /// Records that all records of nodes up to a revision have been read from the store.
    pub fn advance_read_position(&mut self, up_to: u64) {
        self.read_position = self.read_position.max(up_to);
    }

    /// Revision up to which the store's records of nodes have been read, which is the packed position of the next record.
    #[must_use]
    pub const fn read_position(&self) -> u64 {
        self.read_position
    }

    /// Removes the nodes whose stored record has a revision of at most `up_to` and was dropped since. Returns their records.
    pub fn remove_dropped(
        &mut self,
        up_to: u64,
        is_dropped: impl Fn(&NodeRecord) -> bool,
    ) -> Vec<NodeRecord> {
        let stored = |known: &KnownNode| (1..=up_to).contains(&known.revision);
        let nodes = self.nodes.values();
        let dropped = nodes.filter(|known| stored(known) && is_dropped(&known.record));
        let dropped: Vec<NodeRecord> = dropped.map(|known| known.record.clone()).collect();
        self.generation += u64::from(!dropped.is_empty());
        for record in &dropped {
            self.nodes.remove(&record.address);
            self.known_versions.remove(&record.address);
        }
        dropped
    }

    /// The known record of the node at an address.
    #[must_use]
    pub fn find_record(&self, address: SocketAddr) -> Option<NodeRecord> {
        self.nodes.get(&address).map(|known| known.record.clone())
    }

    /// All known records of nodes.
    #[must_use]
    pub fn list_records(&self) -> Vec<StoredRecord> {
        let nodes = self.nodes.values();
        nodes
            .map(|known| StoredRecord {
                revision: known.revision,
                record: known.record.clone(),
            })
            .collect()
    }

    /// Records that a node has a version, so that this version is not offered to it.
    pub fn record_version(&mut self, address: SocketAddr, version: ConfigurationVersion) {
        self.known_versions.insert(address, version);
    }

    /// Whether a node is known to have the version in force here, or a newer one.
    #[must_use]
    pub fn has_version(&self, address: SocketAddr) -> bool {
        let known = self.known_versions.get(&address);
        known.is_some_and(|version| *version >= self.version())
    }

    /// Builds a message with what has changed since `version`. A node that has neither a routing table nor records of nodes also
    /// gets all records.
    pub fn build_update_since(
        &mut self,
        version: ConfigurationVersion,
        has_records: bool,
    ) -> StateMessage {
        // Only a node that knows nothing yet needs records of nodes from here; the others get them from the readers of their zone.
        let knows_nothing = version == ConfigurationVersion::default() && !has_records;
        let change = self.tables.change_since(version);
        StateMessage {
            stored_table: change.as_ref().and(self.stored_table),
            change,
            nodes: if knows_nothing {
                self.list_records()
            } else {
                Vec::new()
            },
            ..StateMessage::default()
        }
    }
}

/// Whether two records are of the same incarnation of an upstream. Known load and failures of a node hold for one incarnation only.
fn is_same_incarnation(known: &NodeRecord, other: &NodeRecord) -> bool {
    known.incarnation == other.incarnation
}
