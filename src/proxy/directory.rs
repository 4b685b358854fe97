//! The routing table in force and the nodes that are known.

use crate::{
    protocol::hop::StateMessage,
    state::{
        configuration::ConfigurationVersion,
        moment::Moment,
        placement_view::{NodeRecord, NodeView, StoredRecord},
        routing_table::{RouteIndex, RoutingTable},
    },
};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// Pause before the same version is sent to the same node again.
const SHARE_PAUSE: Duration = Duration::from_millis(500);

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
    routes: Option<Rc<RouteIndex>>,
    /// By the address where they take requests from nodes.
    pub nodes: BTreeMap<SocketAddr, NodeView>,
    shared: BTreeMap<SocketAddr, (ConfigurationVersion, Moment)>,
}

impl Directory {
    /// The routing table in force.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteIndex>> {
        self.routes.clone()
    }

    /// Its version; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.routes
            .as_ref()
            .map_or_else(ConfigurationVersion::default, |routes| {
                routes.table().version
            })
    }

    /// Puts a table in force unless it is older than the present one. True if it was newer.
    ///
    /// Versions reach a node by several ways. Without this check a late copy would undo a change
    /// that an upstream has already seen the effect of.
    pub fn take_table(&mut self, table: RoutingTable) -> bool {
        if table.version <= self.version() {
            return false;
        }
        self.routes = Some(Rc::new(RouteIndex::new(table)));
        true
    }

    /// Takes in what is told of a node, unless what is known comes from a later record. True if it was
    /// news.
    pub fn take_record(&mut self, stored: StoredRecord) -> bool {
        match self.nodes.get_mut(&stored.record.address) {
            Some(view) if stored.revision <= view.revision => false,
            Some(view) if view.record.instance == stored.record.instance => {
                let news = view.record != stored.record;
                view.record = stored.record;
                view.revision = stored.revision;
                news
            }
            _ => {
                let address = stored.record.address;
                self.nodes.insert(address, NodeView::new(stored));
                true
            }
        }
    }

    /// Takes in what this node itself has to tell; the store gives it a revision later.
    pub fn take_own(&mut self, record: NodeRecord) {
        if let Some(view) = self.nodes.get_mut(&record.address) {
            view.record = record;
            // What an earlier run of the upstream refused says nothing about this one.
            view.note_reached();
            return;
        }
        let stored = StoredRecord {
            revision: 0,
            record,
        };
        self.nodes
            .insert(stored.record.address, NodeView::new(stored));
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
    pub fn note_version(
        &mut self,
        address: SocketAddr,
        version: ConfigurationVersion,
        now: Moment,
    ) {
        self.shared.insert(address, (version, now));
    }

    /// Whether a node is known to have the version in force.
    #[must_use]
    pub fn has_version(&self, address: SocketAddr) -> bool {
        let known = self.shared.get(&address);
        known.is_some_and(|(version, _)| *version >= self.version())
    }

    /// What to send to a node that has `version`, if that is older and it was not sent just now.
    pub fn share_with(
        &mut self,
        address: SocketAddr,
        version: ConfigurationVersion,
        now: Moment,
    ) -> Option<StateMessage> {
        let own = self.version();
        let sent = self.shared.get(&address);
        let just_sent = sent.is_some_and(|(sent, at)| *sent == own && now.since(*at) < SHARE_PAUSE);
        if version >= own || just_sent {
            return None;
        }
        self.shared.insert(address, (own, now));
        // Only a node that knows nothing yet needs to be told of the other nodes: the store's records
        // reach the others by its readers.
        let nodes = if version == ConfigurationVersion::default() {
            self.list_records()
        } else {
            Vec::new()
        };
        Some(StateMessage {
            table: self.routes.as_ref().map(|routes| routes.table().clone()),
            nodes,
            pass_on: Vec::new(),
        })
    }
}
