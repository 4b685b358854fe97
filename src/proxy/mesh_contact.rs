//! When this node last heard from other nodes and from the store.

use crate::{
    protocol::hop::StateMessage,
    proxy::{core::ProxyCore, state_messages::exchange_state},
    state::timestamp::Timestamp,
};
use futures::future::join_all;
use rand::seq::IteratorRandom;
use std::{cell::Cell, net::SocketAddr, time::Duration};

/// Number of nodes that a node asks for an answer to find out whether it is cut off.
const ASKED_NODES: usize = 3;
/// Longest time that it waits for their answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Contact of a node with the rest of the mesh.
pub struct MeshContact {
    /// Last time at which another node or the store was heard; at first the start of the process.
    last: Cell<Timestamp>,
}

impl MeshContact {
    /// The contact of a node that starts now.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            last: Cell::new(now),
        }
    }

    /// Records that the store has answered.
    pub fn record_store(&self, now: Timestamp) {
        self.last.set(now);
    }

    /// Records that another node was heard.
    pub fn record_peer(&self, now: Timestamp) {
        self.last.set(now);
    }

    /// Last time at which another node or the store was heard.
    #[must_use]
    pub fn last(&self) -> Timestamp {
        self.last.get()
    }
}

/// Records that another node was heard.
pub fn record_peer_contact(core: &ProxyCore) {
    core.contact.record_peer(core.timers.now());
}

/// Asks some other nodes for an answer. In a mesh without other traffic, a node hears from no other one unless it asks.
pub async fn ask_for_contact(core: &ProxyCore) {
    let own_address = core.settings.peer_address;
    let asked: Vec<SocketAddr> = {
        let directory = core.directory.borrow();
        let addresses = directory.nodes.keys().copied();
        let others = addresses.filter(|address| *address != own_address);
        others.sample(&mut rand::rng(), ASKED_NODES)
    };
    let message = StateMessage::default();
    let ask = asked.iter().map(async |address| {
        if exchange_state(core, *address, &message).await.is_some() {
            record_peer_contact(core);
        }
    });
    let timeout = core.timers.after(ANSWER_TIMEOUT);
    tokio::select! {
        _ = join_all(ask) => {}
        _ = timeout.recv_async() => {}
    }
}
