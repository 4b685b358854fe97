//! Nodes, stand-in upstreams and a store in one process on loopback: for `dev`, benchmarks and tests. The
//! nodes are the real ones.

pub mod audit;
pub mod client;
pub mod load;
pub mod node;
pub mod plan;
pub mod ready;
pub mod store;

use crate::{
    protocol::operator_views::NodeStatus,
    state::{
        configuration::ConfigurationVersion,
        published::{PublicationEntry, PublishedRecord},
    },
    timers::read_wall_millis,
    transport::operators::server::OperatorServerError,
};
use node::{LocalNode, start_node};
use plan::MeshPlan;
use std::{io, net::SocketAddr};
use store::LocalStore;
use thiserror::Error;
use uuid::Uuid;

/// Operators' token of every node of a local mesh.
pub const LOCAL_TOKEN: &str = "local-operators-token";

/// A local mesh could not be started.
#[derive(Debug, Error)]
pub enum LocalMeshError {
    /// An address could not be bound, or a thread not be started.
    #[error("can't start a node: {0}")]
    Start(#[from] io::Error),
    /// The operators' server of a node could not be started.
    #[error(transparent)]
    Operators(#[from] OperatorServerError),
    /// A node ended while it was starting.
    #[error("a node ended while it was starting")]
    Ended,
}

/// A running local mesh. Dropping it ends all of it.
pub struct LocalMesh {
    /// The nodes, in the order of the plan.
    pub nodes: Vec<LocalNode>,
    /// The store.
    pub store: LocalStore,
}

impl LocalMesh {
    /// Starts upstreams and nodes, with the plan's configuration in the store.
    ///
    /// # Errors
    /// If a port can't be bound or a thread not be started.
    pub fn start(plan: &MeshPlan) -> Result<Self, LocalMeshError> {
        let store = LocalStore::default();
        store.publish_initial(&describe_first(plan));
        let nodes = plan.nodes.iter();
        let nodes = nodes.map(|node| start_node(node, &store));
        Ok(Self {
            nodes: nodes.collect::<Result<_, _>>()?,
            store,
        })
    }

    /// Operator addresses of all nodes.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.operator_address)
            .collect()
    }

    /// Addresses of all nodes for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.client_address).collect()
    }

    /// Questions to upstreams for their load so far.
    #[must_use]
    pub fn count_probes(&self) -> u64 {
        let statuses = self.operator_addresses().into_iter();
        let statuses = statuses.filter_map(ready::fetch_status);
        let probes = |status: NodeStatus| status.upstream.map_or(0, |upstream| upstream.probes);
        statuses.map(probes).sum()
    }
}

impl Drop for LocalMesh {
    /// The operators' servers take up to a second to end: together, not one after the other.
    fn drop(&mut self) {
        self.nodes.iter().for_each(LocalNode::request_server_stop);
    }
}

fn describe_first(plan: &MeshPlan) -> PublishedRecord {
    PublishedRecord {
        entry: PublicationEntry {
            id: Uuid::new_v4(),
            version: ConfigurationVersion(1),
            author: "local mesh".to_owned(),
            note: "first configuration".to_owned(),
            published_ms: read_wall_millis(),
            changes: Vec::new(),
        },
        configuration: plan.configuration.clone(),
        earlier: Vec::new(),
    }
}
