//! The routing table in force and the nodes that are known.

use crate::{
    protocol::hop::StateMessage,
    state::{
        configuration::ConfigurationVersion,
        moment::Moment,
        placement_view::{NodeRecord, NodeView},
        routing_table::{RouteIndex, RoutingTable},
    },
};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// Pause before the same version is sent to the same node again.
const SHARE_PAUSE: Duration = Duration::from_millis(500);

/// Where a record came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The platform's store, in its order: always newer than what came before.
    Store,
    /// Another node, which may know less than this one.
    Peer,
    /// This node itself.
    Own,
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

    /// Takes in what is told of a node.
    pub fn take_record(&mut self, record: NodeRecord, source: RecordSource) {
        match self.nodes.get_mut(&record.address) {
            Some(view) if source == RecordSource::Peer => {
                // The other node may know less; only what it saw fresh would be news.
                let _ = view;
            }
            Some(view) if view.record.instance == record.instance => view.record = record,
            _ => {
                self.nodes.insert(record.address, NodeView::new(record));
            }
        }
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
        Some(StateMessage {
            table: self.routes.as_ref().map(|routes| routes.table().clone()),
            nodes: self
                .nodes
                .values()
                .map(|view| view.record.clone())
                .collect(),
        })
    }
}
