//! Brings all nodes of a zone to the newest version of the routing table that one of them has in force.

use crate::{
    coordination::table_sources::TableOffer,
    protocol::hop::StateMessage,
    proxy::{
        core::ProxyCore,
        evacuating,
        events::ProxyEvent,
        state_messages::{exchange_state, send_along_tree},
    },
    state::configuration::ConfigurationVersion,
};
use rand::seq::SliceRandom;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// Interval at which a node checks whether its successor in the ring of the zone has the version in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Offers the version in force to the nodes of the zone that lack it, until dropped.
pub async fn keep_zone_current(core: Rc<ProxyCore>) {
    loop {
        if core.is_zone_reader() || core.is_substitute_reader() {
            offer_along_tree(&core);
        }
        let next_check = core.timers.after(CHECK_INTERVAL);
        tokio::select! {
            _ = next_check.recv_async() => {
                check_successors(&core);
                evacuating::check_successors(&core);
            }
            () = core.table_applied.notified() => {}
        }
    }
}

fn offer_along_tree(core: &Rc<ProxyCore>) {
    let version = core.directory.borrow().version();
    let candidates = core.list_zone_nodes_without_table();
    let mut receivers = core
        .offer_rounds
        .borrow_mut()
        .plan_tree(version, candidates.into_iter());
    if receivers.is_empty() {
        return;
    }
    core.log(&ProxyEvent::TableOffered {
        version: version.0,
        along_tree: receivers.len(),
        directly: 0,
    });
    // The other reader of the zone offers it too. The random order gives it another tree, so that the loss of a forwarding
    // node is compensated.
    receivers.shuffle(&mut rand::rng());
    offer_table(core, &receivers);
}

fn check_successors(core: &Rc<ProxyCore>) {
    let version = core.directory.borrow().version();
    let ring = core.list_ring(|address| core.directory.borrow().has_version(address));
    let now = core.timers.now();
    let receivers = core
        .offer_rounds
        .borrow_mut()
        .plan_checks(version, &ring, now);
    if receivers.is_empty() {
        return;
    }
    core.log(&ProxyEvent::TableOffered {
        version: version.0,
        along_tree: 0,
        directly: receivers.len(),
    });
    for to in receivers {
        let core = Rc::clone(core);
        spawn_local(async move { offer_directly(&core, to, version).await });
    }
}

async fn offer_directly(core: &ProxyCore, to: SocketAddr, version: ConfigurationVersion) {
    let message = StateMessage {
        offered_version: Some(version),
        sender: Some(core.settings.peer_address),
        ..StateMessage::default()
    };
    let answer = exchange_state(core, to, &message).await;
    if let Some(known_version) = answer.and_then(|(answer, _)| answer.offered_version) {
        core.directory
            .borrow_mut()
            .record_version(to, known_version);
    }
}

/// Offers the version in force to nodes, along a tree.
pub fn offer_table(core: &Rc<ProxyCore>, receivers: &[SocketAddr]) {
    let offer = TableOffer {
        from: core.settings.peer_address,
        version: core.directory.borrow().version(),
        forward_to: receivers.to_vec(),
    };
    forward_offer(core, &offer);
}

/// Forwards an offer unchanged: receivers fetch from the node that made it.
pub fn forward_offer(core: &Rc<ProxyCore>, offer: &TableOffer) {
    let message = StateMessage {
        offered_version: Some(offer.version),
        sender: Some(offer.from),
        ..StateMessage::default()
    };
    send_along_tree(core, &offer.forward_to, &message);
}
