//! When this node last heard from other nodes and from the store.

use crate::{
    protocol::hop::StateMessage,
    proxy::{core::ProxyCore, state_messages::exchange_state},
    state::timestamp::Timestamp,
};
use futures::future::join_all;
use rand::seq::IteratorRandom;
use std::{cell::Cell, net::SocketAddr, time::Duration};

/// Time without a message of another node after which a node takes itself to be cut off.
const MAX_PEER_SILENCE: Duration = Duration::from_millis(300);
/// Number of nodes that a node asks for an answer to find out whether it is cut off.
const ASKED_NODES: usize = 3;
/// Longest time that it waits for their answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Contact of a node with the rest of the mesh.
pub struct MeshContact {
    /// Last time at which another node or the store was heard; at first the start of the process.
    last: Cell<Timestamp>,
    /// Last time at which another node was heard; none before the first time.
    last_peer: Cell<Option<Timestamp>>,
    /// End of the last period in which no other node was heard; none if there was none after the first contact.
    since: Cell<Option<Timestamp>>,
}

impl MeshContact {
    /// The contact of a node that starts now.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            last: Cell::new(now),
            last_peer: Cell::default(),
            since: Cell::default(),
        }
    }

    /// Records that the store has answered.
    pub fn record_store(&self, now: Timestamp) {
        self.last.set(now);
    }

    /// Records that another node was heard.
    pub fn record_peer(&self, now: Timestamp) {
        self.last.set(now);
        let previous = self.last_peer.replace(Some(now));
        if previous.is_some_and(|previous| now.since(previous) > MAX_PEER_SILENCE) {
            self.since.set(Some(now));
        }
    }

    /// End of the last period in which no other node was heard; none if there was none after the first contact.
    #[must_use]
    pub fn since(&self) -> Option<Timestamp> {
        self.since.get()
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

/// Whether no other node was heard lately, although some are known.
pub fn is_silent(core: &ProxyCore) -> bool {
    let own_address = core.settings.peer_address;
    let directory = core.directory.borrow();
    let mut known_addresses = directory.nodes.keys();
    let knows_others = known_addresses.any(|address| *address != own_address);
    let last_contact = core.contact.last_peer.get().unwrap_or(core.started);
    knows_others && core.timers.now().since(last_contact) > MAX_PEER_SILENCE
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
