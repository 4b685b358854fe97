//! The routing table in force and the nodes that are known.

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

/// Where a piece of state came from.
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
    /// The word for the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Operator => "operator",
        }
    }
}

/// The routing table in force and the nodes that are known.
#[derive(Default)]
pub struct Directory {
    tables: TableHistory,
    stored_table: Option<StoredTable>,
    /// By the address where they take requests from nodes.
    pub nodes: BTreeMap<SocketAddr, KnownNode>,
    known_versions: BTreeMap<SocketAddr, ConfigurationVersion>,
    /// Revision up to which the store's records of nodes are known here.
    read_position: u64,
}

impl Directory {
    /// The routing table in force.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteIndex>> {
        self.tables.current().cloned()
    }

    /// Its version; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.tables.version()
    }

    /// Puts a table in force unless it is older than the present one. True if it was newer.
    pub fn apply_table(&mut self, table: RoutingTable) -> bool {
        self.tables.take(table)
    }

    /// The table that a change makes of the one in force.
    ///
    /// # Errors
    /// See [`ChangeError`].
    pub fn apply_change(&self, change: &TableChange) -> Result<RoutingTable, ChangeError> {
        change.apply(self.tables.current().map(|current| current.table()))
    }

    /// Notes a table that the store holds.
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

    /// Forgets where the store's topic of the configuration goes on.
    pub fn clear_stored_table(&mut self) {
        self.stored_table = None;
    }

    /// Where the store's topic of the configuration goes on after what is in force here; none if that is not known.
    #[must_use]
    pub fn configuration_resume_offset(&self) -> Option<u64> {
        let known = self.stored_table;
        known
            .filter(|table| table.version <= self.version())
            .map(|table| table.next)
    }

    /// Takes in what is told of a node, unless what is known comes from a later record. True if it was
    /// news.
    ///
    /// What another node tells from a part of the store that is known here, though nothing of that node is, has been
    /// dropped since. Without this check it would come back with whoever has not heard of it.
    pub fn apply_record(&mut self, stored: StoredRecord, source: StateSource) -> bool {
        let is_known_part = (1..=self.read_position).contains(&stored.revision);
        let is_unknown = !self.nodes.contains_key(&stored.record.address);
        if source == StateSource::Peer && is_known_part && is_unknown {
            return false;
        }
        match self.nodes.get_mut(&stored.record.address) {
            Some(view) if stored.revision <= view.revision => false,
            Some(view) if is_same_run(&view.record, &stored.record) => {
                let news = view.record != stored.record;
                view.record = stored.record;
                view.revision = stored.revision;
                news
            }
            _ => {
                let address = stored.record.address;
                self.nodes.insert(address, KnownNode::new(stored));
                true
            }
        }
    }

    /// Compares what is known with the first read of all records after the store came back from a copy. Known records stay, since the
    /// copy is older. Returns the nodes whose record the store has lost or holds in another state.
    pub fn reconcile_with_restored_store(&mut self, copy: &[StoredRecord]) -> Vec<NodeRecord> {
        let by_address: HashMap<SocketAddr, &StoredRecord> = copy
            .iter()
            .map(|stored| (stored.record.address, stored))
            .collect();
        let mut lost = Vec::new();
        for (address, view) in &mut self.nodes {
            match by_address.get(address) {
                Some(stored) if stored.record == view.record => view.revision = stored.revision,
                _ => lost.push(view.record.clone()),
            }
        }
        lost
    }

    /// Takes in what this node itself has to tell; the store gives it a revision later.
    pub fn apply_own_record(&mut self, record: NodeRecord) {
        if let Some(view) = self.nodes.get_mut(&record.address) {
            view.record = record;
            // What an earlier run of the upstream refused says nothing about this one.
            view.reset_backoff();
            return;
        }
        let stored = StoredRecord {
            revision: 0,
            record,
        };
        self.nodes
            .insert(stored.record.address, KnownNode::new(stored));
    }

    /// Notes that all records of nodes up to a revision have been read from the store.
    pub fn advance_read_position(&mut self, up_to: u64) {
        self.read_position = self.read_position.max(up_to);
    }

    /// Revision up to which the store's records of nodes are known here, which is the offset of its next record.
    #[must_use]
    pub const fn read_position(&self) -> u64 {
        self.read_position
    }

    /// Forgets nodes whose records the store had up to a revision and has no longer; returns them.
    pub fn remove_dropped(
        &mut self,
        up_to: u64,
        is_dropped: impl Fn(&NodeRecord) -> bool,
    ) -> Vec<NodeRecord> {
        let stored = |view: &KnownNode| (1..=up_to).contains(&view.revision);
        let views = self.nodes.values();
        let dropped = views.filter(|view| stored(view) && is_dropped(&view.record));
        let dropped: Vec<NodeRecord> = dropped.map(|view| view.record.clone()).collect();
        for record in &dropped {
            self.nodes.remove(&record.address);
            self.known_versions.remove(&record.address);
        }
        dropped
    }

    /// The record of the node at an address.
    #[must_use]
    pub fn find_record(&self, address: SocketAddr) -> Option<NodeRecord> {
        self.nodes.get(&address).map(|view| view.record.clone())
    }

    /// All records that are known.
    #[must_use]
    pub fn list_records(&self) -> Vec<StoredRecord> {
        let views = self.nodes.values();
        views
            .map(|view| StoredRecord {
                revision: view.revision,
                record: view.record.clone(),
            })
            .collect()
    }

    /// Notes that a node is known to have a version, so that it is not sent to it.
    pub fn record_version(&mut self, address: SocketAddr, version: ConfigurationVersion) {
        self.known_versions.insert(address, version);
    }

    /// Whether a node is known to have the version in force.
    #[must_use]
    pub fn has_version(&self, address: SocketAddr) -> bool {
        let known = self.known_versions.get(&address);
        known.is_some_and(|version| *version >= self.version())
    }

    /// What a node that has `version` does not have yet, and the records of nodes if it has read none.
    pub fn build_update_since(
        &mut self,
        version: ConfigurationVersion,
        has_records: bool,
    ) -> StateMessage {
        // Only a node that knows nothing yet needs to be told of the other nodes: the store's records
        // reach the others by its readers.
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

/// What is known of a node's load and answers holds for one run of its upstream.
fn is_same_run(known: &NodeRecord, told: &NodeRecord) -> bool {
    known.incarnation == told.incarnation
}
