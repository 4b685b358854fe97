//! A whole mesh in one process, on the loopback address: real nodes, stand-in upstreams and a store in memory. The
//! `dev` command, benchmarks and tests use it.

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
    /// An address could not be bound, or a thread could not be started.
    #[error("can't start a node: {0}")]
    Start(#[from] io::Error),
    /// The server for operators' tools could not be started.
    #[error(transparent)]
    Operators(#[from] OperatorServerError),
    /// The thread of a node ended before the node was listening.
    #[error("a node ended while it was starting")]
    Ended,
}

/// A running local mesh. Dropping it ends all nodes and upstreams at once.
pub struct LocalMesh {
    /// Nodes in the order of the plan.
    pub nodes: Vec<LocalNode>,
    /// Store that all nodes share.
    pub store: LocalStore,
}

impl LocalMesh {
    /// Stores the configuration of the plan, then starts the nodes and their upstreams.
    ///
    /// # Errors
    /// See [`LocalMeshError`].
    pub fn start(plan: &MeshPlan) -> Result<Self, LocalMeshError> {
        let store = LocalStore::default();
        store.publish_initial(&build_initial_record(plan));
        let nodes = plan.nodes.iter();
        let nodes = nodes.map(|node| start_node(node, &store));
        Ok(Self {
            nodes: nodes.collect::<Result<_, _>>()?,
            store,
        })
    }

    /// Returns the addresses of all nodes for operators' tools.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.operator_address)
            .collect()
    }

    /// Returns the addresses of all nodes for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.client_address).collect()
    }

    /// Returns the number of load probes that the nodes have sent to their upstreams so far.
    #[must_use]
    pub fn count_probes(&self) -> u64 {
        let statuses = self.operator_addresses().into_iter();
        let statuses = statuses.filter_map(ready::fetch_status);
        let probes = |status: NodeStatus| status.upstream.map_or(0, |upstream| upstream.probes);
        statuses.map(probes).sum()
    }
}

impl Drop for LocalMesh {
    /// Stops the servers for operators' tools in parallel, because each takes up to a second to end.
    fn drop(&mut self) {
        self.nodes.iter().for_each(LocalNode::request_server_stop);
    }
}

fn build_initial_record(plan: &MeshPlan) -> PublishedRecord {
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
