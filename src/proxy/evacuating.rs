//! Puts evacuations of availability zones in force and spreads them over the zone of this node.
//!
//! They come from the store, by the nodes that read it for their zone, and go on along a tree as records of nodes do. A node that
//! the tree misses hears of them from the one before it in the ring of the zone.

use crate::{
    coordination::offer_rounds::{OfferRounds, RingNode},
    protocol::hop::StateMessage,
    proxy::{
        core::ProxyCore,
        directory::StateSource,
        events::ProxyEvent,
        executing::refuse_waiting,
        state_messages::{ask_state, spread},
    },
    state::{
        evacuations::{EvacuationChange, Evacuations},
        names::AvailabilityZoneName,
    },
};
use rand::seq::SliceRandom;
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc};
use tokio::task::spawn_local;

/// The evacuations in force, and which nodes of the zone are known to have them.
#[derive(Default)]
pub struct EvacuationsInForce {
    evacuations: RefCell<Evacuations>,
    /// Positions that other nodes have told.
    positions: RefCell<BTreeMap<SocketAddr, u64>>,
    rounds: RefCell<OfferRounds<u64>>,
}

impl EvacuationsInForce {
    /// Whether nothing may be sent to the upstreams of a zone.
    #[must_use]
    pub fn contains(&self, zone: &AvailabilityZoneName) -> bool {
        self.evacuations.borrow().contains(zone)
    }

    /// Zones that are evacuated.
    #[must_use]
    pub fn count(&self) -> usize {
        self.evacuations.borrow().zones().len()
    }

    /// Offset up to which the store's topic is taken into account.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.evacuations.borrow().position()
    }

    /// What is in force, for another node; none if nothing is known.
    #[must_use]
    pub fn describe(&self) -> Option<Rc<Evacuations>> {
        let known = self.evacuations.borrow();
        (known.position() > 0).then(|| Rc::new(known.clone()))
    }

    /// Notes the position that another node has told.
    pub fn note_position(&self, address: SocketAddr, position: u64) {
        self.positions.borrow_mut().insert(address, position);
    }

    /// Whether a node is known to have all that is known here.
    fn is_known_at(&self, address: SocketAddr) -> bool {
        let changed_at = self.evacuations.borrow().changed_at();
        let known = self.positions.borrow().get(&address).copied();
        known.unwrap_or_default() >= changed_at
    }
}

/// Puts what was read from the store in force.
pub fn take_read_evacuations(
    core: &Rc<ProxyCore>,
    changes: &[EvacuationChange],
    next: u64,
    whole: bool,
) {
    let before = core.evacuations.evacuations.borrow().clone();
    let after = before.after(changes, next, whole);
    put_in_force(core, &before, after, StateSource::Store);
}

/// Puts what another node tells in force, if it is newer.
pub fn take_told_evacuations(core: &Rc<ProxyCore>, told: &Evacuations) {
    let before = core.evacuations.evacuations.borrow().clone();
    let mut after = before.clone();
    if after.replace_by(told) {
        put_in_force(core, &before, after, StateSource::Peer);
    }
}

fn put_in_force(
    core: &Rc<ProxyCore>,
    before: &Evacuations,
    after: Evacuations,
    source: StateSource,
) {
    let position = after.position();
    let begun: Vec<_> = after.zones().difference(before.zones()).cloned().collect();
    let ended: Vec<_> = before.zones().difference(after.zones()).cloned().collect();
    *core.evacuations.evacuations.borrow_mut() = after;
    if begun.is_empty() && ended.is_empty() {
        return;
    }
    let source = source.name();
    for zone in begun {
        core.log(&ProxyEvent::ZoneEvacuated {
            zone: zone.clone(),
            position,
            source,
        });
        if zone == core.settings.availability_zone {
            refuse_waiting(core);
        }
    }
    for zone in ended {
        core.log(&ProxyEvent::ZoneTakenBack {
            zone,
            position,
            source,
        });
    }
    if core.is_zone_reader() || core.stands_in() {
        tell_along_tree(core);
    }
}

fn tell_along_tree(core: &Rc<ProxyCore>) {
    let mut receivers = core.list_zone();
    // The other reader of the zone tells it too; with another order the loss of a node that passes on is made up for.
    receivers.shuffle(&mut rand::rng());
    spread(core, &receivers, &build_message(core));
}

/// Tells the node after this one in the ring of the zone, until it is known to have what is in force.
pub fn check_neighbours(core: &Rc<ProxyCore>) {
    let in_force = &core.evacuations;
    let changed_at = in_force.evacuations.borrow().changed_at();
    let ring: Vec<RingNode> = core.list_ring(|address| in_force.is_known_at(address));
    let due = in_force
        .rounds
        .borrow_mut()
        .plan_checks(changed_at, &ring, core.timers.now());
    for to in due {
        let core = Rc::clone(core);
        spawn_local(async move { tell_directly(&core, to).await });
    }
}

async fn tell_directly(core: &ProxyCore, to: SocketAddr) {
    let answer = ask_state(core, to, &build_message(core)).await;
    let position = answer.and_then(|(answer, _)| answer.evacuations_position);
    if let Some(position) = position {
        core.evacuations.note_position(to, position);
    }
}

fn build_message(core: &ProxyCore) -> StateMessage {
    StateMessage {
        evacuations: core.evacuations.describe(),
        from: Some(core.settings.peers),
        ..StateMessage::default()
    }
}
