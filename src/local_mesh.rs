//! Nodes, stand-in upstreams and a stand-in log in one process on loopback: for `dev`, benchmarks
//! and tests. The nodes are the real ones.

pub mod audit;
pub mod client;
pub mod load;
pub mod plan;
pub mod ready;

use crate::{
    node::{NodeError, NodeHandle, start_node},
    options::{node_settings::NodeSettings, secret::Secret},
    state::names::NodeName,
};
use camphorturn_stand_ins::{
    log_service::LogService,
    upstream::{Upstream, UpstreamHost},
};
use plan::{MeshPlan, NodePlan};
use std::{io, net::SocketAddr};
use thiserror::Error;

/// Operators' token of every node of a local mesh.
pub const LOCAL_TOKEN: &str = "local-operators-token";
/// Key that the nodes of a local mesh share.
pub const LOCAL_KEY: &str = "local-mesh-shared-key";
/// Threads that serve the stand-in upstreams.
const UPSTREAM_HOSTS: usize = 2;

/// A local mesh could not be started.
#[derive(Debug, Error)]
pub enum LocalMeshError {
    /// A stand-in could not be started.
    #[error("can't start a stand-in: {0}")]
    StandIn(#[from] io::Error),
    /// A node could not be started.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The settings of a node could not be built.
    #[error("settings of a local node: {0}")]
    Settings(#[from] serde_json::Error),
    /// The configuration could not be appended to the log.
    #[error("can't publish the first configuration: {0}")]
    Publish(String),
}

/// A node with the upstream beside it.
pub struct LocalNode {
    /// What it was started from.
    pub plan: NodePlan,
    /// The stand-in upstream.
    pub upstream: Upstream,
    /// The node; none while it is down.
    pub node: Option<NodeHandle>,
    settings: NodeSettings,
}

/// A running local mesh. Dropping it ends all of it.
pub struct LocalMesh {
    /// The nodes, in the order of the plan.
    pub nodes: Vec<LocalNode>,
    /// The stand-in log.
    pub log: LogService,
    hosts: Vec<UpstreamHost>,
}

impl LocalMesh {
    /// Starts log, upstreams and nodes, and publishes the plan's configuration.
    ///
    /// # Errors
    /// If a port can't be bound or a thread not be started.
    pub fn start(plan: &MeshPlan) -> Result<Self, LocalMeshError> {
        let log = LogService::start()?;
        plan::publish_first(&log, &plan.configuration)?;
        let hosts: Vec<UpstreamHost> = (0..UPSTREAM_HOSTS)
            .map(|_| UpstreamHost::start())
            .collect::<Result<_, _>>()?;
        let mut mesh = Self {
            nodes: Vec::new(),
            log,
            hosts,
        };
        for (i, node) in plan.nodes.iter().enumerate() {
            mesh.add_node(node, i)?;
        }
        Ok(mesh)
    }

    fn add_node(&mut self, plan: &NodePlan, index: usize) -> Result<(), LocalMeshError> {
        let host = &self.hosts[index % UPSTREAM_HOSTS];
        let upstream = host.add(plan.upstream_settings())?;
        let seeds = self.peer_addresses();
        let settings = plan.node_settings(upstream.address(), self.log.address(), &seeds)?;
        let node = start_node(settings.clone())?;
        let settings = keep_addresses(settings, &node);
        self.nodes.push(LocalNode {
            plan: plan.clone(),
            upstream,
            node: Some(node),
            settings,
        });
        Ok(())
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter_map(|local| local.node.as_ref());
        running.map(|node| node.member.peer_address).collect()
    }

    /// The node of that name.
    #[must_use]
    pub fn find(&self, name: &NodeName) -> Option<&LocalNode> {
        self.nodes.iter().find(|local| local.plan.name == *name)
    }

    /// Operator addresses of the nodes that run.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter_map(|local| local.node.as_ref());
        running.map(|node| node.member.operator_address).collect()
    }

    /// Caller addresses of the nodes that run.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter_map(|local| local.node.as_ref());
        running.map(|node| node.caller_address).collect()
    }

    /// Ends a node as a crash would. Its upstream goes on.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].node.take() {
            node.kill();
        }
    }

    /// Stops a node as planned and waits for its end.
    pub fn stop_node(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].node.take() {
            node.request_stop();
            node.join();
        }
    }

    /// Starts a node again at its addresses, as a new incarnation.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub fn restart_node(&mut self, index: usize) -> Result<(), LocalMeshError> {
        let seeds = self.peer_addresses();
        let local = &mut self.nodes[index];
        local.settings.peers.seeds = seeds;
        local.node = Some(start_node(local.settings.clone())?);
        Ok(())
    }
}

/// A restarted node listens where it did before, as a restarted process on its VM would.
fn keep_addresses(mut settings: NodeSettings, node: &NodeHandle) -> NodeSettings {
    settings.callers.listen = node.caller_address;
    settings.peers.listen = node.member.peer_address;
    settings.operators.listen = node.member.operator_address;
    settings
}

impl LocalNode {
    /// The token as settings hold it.
    #[must_use]
    pub fn token(&self) -> &Secret {
        &self.settings.operators.token
    }
}
