//! Reaching all nodes from the few addresses that an operator gives.

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

/// Nodes that are asked at the same time.
const ASKED_AT_ONCE: usize = 16;

/// A node that answered.
#[derive(Clone, Debug, Serialize)]
pub struct ReachedNode {
    /// Its operators' address.
    pub address: SocketAddr,
    /// What it tells.
    pub status: NodeStatus,
}

impl ReachedNode {
    /// The node's name, or its address if it told none.
    #[must_use]
    pub fn label(&self) -> String {
        let name = self.status.node.as_ref();
        name.map_or_else(|| self.address.to_string(), NodeName::to_string)
    }
}

/// A node that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreachedNode {
    /// Its operators' address.
    pub address: SocketAddr,
    /// Its name, if another node knows it.
    pub node: Option<NodeName>,
    /// Whether it announced to the others that it leaves.
    pub leaving: bool,
    /// Why it was not reached.
    pub problem: String,
}

impl UnreachedNode {
    /// Name and address.
    #[must_use]
    pub fn label(&self) -> String {
        match &self.node {
            Some(node) => format!("{node} ({})", self.address),
            None => self.address.to_string(),
        }
    }
}

/// All nodes that could be found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MeshSurvey {
    /// Those that answered, by name.
    pub reached: Vec<ReachedNode>,
    /// Those that did not.
    pub unreached: Vec<UnreachedNode>,
}

/// What the nodes' lists say of an address that was not asked yet.
#[derive(Clone, Debug, Default)]
struct Lead {
    node: Option<NodeName>,
    leaving: bool,
}

/// Asks the given nodes, then the ones they know, until no new address turns up.
#[must_use]
pub fn survey_nodes(client: &OperatorClient, seeds: &[SocketAddr]) -> MeshSurvey {
    let mut survey = MeshSurvey::default();
    let mut asked = BTreeSet::new();
    let mut leads: BTreeMap<SocketAddr, Lead> =
        seeds.iter().map(|seed| (*seed, Lead::default())).collect();
    while !leads.is_empty() {
        asked.extend(leads.keys().copied());
        let addresses: Vec<SocketAddr> = leads.keys().copied().collect();
        let answers = query_all(&addresses, |address| client.fetch_status(address));
        let found = take_answers(&mut survey, &leads, answers);
        leads = found
            .into_iter()
            .filter(|(address, _)| !asked.contains(address))
            .collect();
    }
    forget_second_addresses(&mut survey);
    survey
}

fn take_answers(
    survey: &mut MeshSurvey,
    leads: &BTreeMap<SocketAddr, Lead>,
    answers: Vec<(SocketAddr, Result<NodeStatus, OperatorClientError>)>,
) -> BTreeMap<SocketAddr, Lead> {
    let mut found = BTreeMap::new();
    for (address, answer) in answers {
        match answer {
            Ok(status) => {
                found.extend(read_members(&status));
                survey.reached.push(ReachedNode { address, status });
            }
            Err(problem) => {
                let lead = leads.get(&address).cloned().unwrap_or_default();
                survey.unreached.push(UnreachedNode {
                    address,
                    node: lead.node,
                    leaving: lead.leaving,
                    problem: problem.to_string(),
                });
            }
        }
    }
    found
}

fn read_members(status: &NodeStatus) -> impl Iterator<Item = (SocketAddr, Lead)> {
    status.peers.iter().filter_map(|peer| {
        let lead = Lead {
            node: peer.node.clone(),
            leaving: peer.leaving,
        };
        peer.operators.map(|address| (address, lead))
    })
}

/// A node that listens on all addresses may be reached by two of them; it is listed once.
fn forget_second_addresses(survey: &mut MeshSurvey) {
    survey
        .reached
        .sort_by_key(|node| (node.label(), node.address));
    survey
        .reached
        .dedup_by(|second, first| second.status.node.is_some() && second.label() == first.label());
    survey.unreached.sort_by_key(|node| node.address);
}

/// Asks each address, several at once, and returns the answers in the order of the addresses.
pub fn query_all<T, F>(addresses: &[SocketAddr], ask: F) -> Vec<(SocketAddr, T)>
where
    T: Send,
    F: Fn(SocketAddr) -> T + Sync,
{
    let (todo_tx, todo_rx) = flume::unbounded();
    let (done_tx, done_rx) = flume::unbounded();
    for numbered in addresses.iter().copied().enumerate() {
        // The receiver lives in this function: the channel is open.
        let _ = todo_tx.send(numbered);
    }
    drop(todo_tx);
    thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE.min(addresses.len()) {
            let (todo_rx, done_tx, ask) = (todo_rx.clone(), done_tx.clone(), &ask);
            scope.spawn(move || {
                for (number, address) in todo_rx {
                    let _ = done_tx.send((number, address, ask(address)));
                }
            });
        }
    });
    drop(done_tx);
    let mut done: Vec<(usize, SocketAddr, T)> = done_rx.into_iter().collect();
    done.sort_by_key(|(number, ..)| *number);
    done.into_iter()
        .map(|(_, address, answer)| (address, answer))
        .collect()
}
