//! Discovery of all nodes of the mesh from the few addresses that an operator gives.

use crate::{
    protocol::operator_views::NodeStatus,
    state::names::NodeName,
    transport::operators::client::{OperatorClient, OperatorClientError},
};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    thread,
};

/// Maximum number of nodes that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// A node that answered.
#[derive(Clone, Debug, Serialize)]
pub struct ReachedNode {
    /// Address for operators of the node.
    pub address: SocketAddr,
    /// Status that the node reported.
    pub status: NodeStatus,
}

impl ReachedNode {
    /// Name of the node, or its address if it reported no name.
    #[must_use]
    pub fn label(&self) -> String {
        let name = self.status.node.as_ref();
        name.map_or_else(|| self.address.to_string(), NodeName::to_string)
    }
}

/// A node that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreachedNode {
    /// Address for operators of the node.
    pub address: SocketAddr,
    /// Name of the node, if another node knows it.
    pub node: Option<NodeName>,
    /// Whether the node announced to the others that it is leaving.
    pub leaving: bool,
    /// Error message.
    pub problem: String,
}

impl UnreachedNode {
    /// Name and address; only the address if the name is not known.
    #[must_use]
    pub fn label(&self) -> String {
        match &self.node {
            Some(node) => format!("{node} ({})", self.address),
            None => self.address.to_string(),
        }
    }
}

/// All nodes that were discovered.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MeshSurvey {
    /// Nodes that answered, sorted by name.
    pub reached: Vec<ReachedNode>,
    /// Nodes that did not answer, sorted by address.
    pub unreached: Vec<UnreachedNode>,
}

/// What other nodes report of a node that was not queried yet.
#[derive(Clone, Debug, Default)]
struct DiscoveredNode {
    node: Option<NodeName>,
    leaving: bool,
}

/// Queries the given nodes, then the nodes that they report, until there are no new addresses.
#[must_use]
pub fn survey_nodes(client: &OperatorClient, seeds: &[SocketAddr]) -> MeshSurvey {
    let mut survey = MeshSurvey::default();
    let mut queried = BTreeSet::new();
    let mut pending: BTreeMap<SocketAddr, DiscoveredNode> = seeds
        .iter()
        .map(|seed| (*seed, DiscoveredNode::default()))
        .collect();
    while !pending.is_empty() {
        queried.extend(pending.keys().copied());
        let addresses: Vec<SocketAddr> = pending.keys().copied().collect();
        let answers = query_all(&addresses, |address| client.fetch_status(address));
        let found = apply_answers(&mut survey, &pending, answers);
        pending = found
            .into_iter()
            .filter(|(address, _)| !queried.contains(address))
            .collect();
    }
    remove_duplicates(&mut survey);
    survey
}

fn apply_answers(
    survey: &mut MeshSurvey,
    pending: &BTreeMap<SocketAddr, DiscoveredNode>,
    answers: Vec<(SocketAddr, Result<NodeStatus, OperatorClientError>)>,
) -> BTreeMap<SocketAddr, DiscoveredNode> {
    let mut found = BTreeMap::new();
    for (address, answer) in answers {
        match answer {
            Ok(status) => {
                found.extend(list_reported_peers(&status));
                survey.reached.push(ReachedNode { address, status });
            }
            Err(problem) => {
                let discovered = pending.get(&address).cloned().unwrap_or_default();
                survey.unreached.push(UnreachedNode {
                    address,
                    node: discovered.node,
                    leaving: discovered.leaving,
                    problem: problem.to_string(),
                });
            }
        }
    }
    found
}

fn list_reported_peers(status: &NodeStatus) -> impl Iterator<Item = (SocketAddr, DiscoveredNode)> {
    status.peers.iter().filter_map(|peer| {
        let discovered = DiscoveredNode {
            node: peer.node.clone(),
            leaving: peer.leaving,
        };
        peer.operators.map(|address| (address, discovered))
    })
}

/// Sorts the nodes and lists each once: a node that listens on all addresses may have been reached by two of them.
fn remove_duplicates(survey: &mut MeshSurvey) {
    survey
        .reached
        .sort_by_key(|node| (node.label(), node.address));
    survey
        .reached
        .dedup_by(|second, first| second.status.node.is_some() && second.label() == first.label());
    survey.unreached.sort_by_key(|node| node.address);
}

/// Queries all addresses, several at once, and returns the answers in the order of the addresses.
pub fn query_all<T, F>(addresses: &[SocketAddr], query: F) -> Vec<(SocketAddr, T)>
where
    T: Send,
    F: Fn(SocketAddr) -> T + Sync,
{
    let (query_tx, query_rx) = flume::unbounded();
    let (answer_tx, answer_rx) = flume::unbounded();
    for numbered in addresses.iter().copied().enumerate() {
        // The channel is open, since the receiver is alive until the end of this function.
        let _ = query_tx.send(numbered);
    }
    drop(query_tx);
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_QUERIES.min(addresses.len()) {
            let (query_rx, answer_tx, query) = (query_rx.clone(), answer_tx.clone(), &query);
            scope.spawn(move || {
                for (number, address) in query_rx {
                    let _ = answer_tx.send((number, address, query(address)));
                }
            });
        }
    });
    drop(answer_tx);
    let mut done: Vec<(usize, SocketAddr, T)> = answer_rx.into_iter().collect();
    done.sort_by_key(|(number, ..)| *number);
    done.into_iter()
        .map(|(_, address, answer)| (address, answer))
        .collect()
}
