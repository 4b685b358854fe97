//! Puts evacuations of availability zones in force and spreads them over the zone of this node.
//!
//! They come from the store, by the nodes that read it for their zone, and go on along a tree as records of nodes do. A node that
//! the tree misses hears of them from the one before it in the ring of the zone.

use crate::{
    coordination::offer_rounds::{OfferRounds, RingNode},
    protocol::{hop::StateMessage, operator_views::EvacuationView, store::PublicationStore},
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
    transport::operators::request::EvacuationProblem,
};
use rand::seq::SliceRandom;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Times that an operator's word is offered to the store, and the pause between two.
const STORE_TRIES: u32 = 5;
const STORE_PAUSE: Duration = Duration::from_millis(200);

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
    pub fn zones(&self) -> BTreeSet<AvailabilityZoneName> {
        self.evacuations.borrow().zones().clone()
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

/// Stores an operator's word on an availability zone. The store brings it to all nodes, this one included.
///
/// # Errors
/// If no node of a zone to be evacuated is known, or the store does not confirm it.
pub async fn order_evacuation<S: PublicationStore>(
    core: &ProxyCore,
    store: &S,
    zone: &AvailabilityZoneName,
    evacuated: bool,
) -> Result<EvacuationView, EvacuationProblem> {
    if evacuated && !knows_zone(core, zone) {
        return Err(EvacuationProblem::UnknownZone);
    }
    let mut reason = String::new();
    for _ in 0..STORE_TRIES {
        // Without an answer it may be stored; to store the same once more changes nothing.
        match store.append_evacuation(zone, evacuated).await {
            Ok(()) => return Ok(describe_order(core, zone, evacuated)),
            Err(error) => reason = error.to_string(),
        }
        let _ = core.timers.after(STORE_PAUSE).recv_async().await;
    }
    Err(EvacuationProblem::Store(reason))
}

fn knows_zone(core: &ProxyCore, zone: &AvailabilityZoneName) -> bool {
    let directory = core.directory.borrow();
    let mut views = directory.nodes.values();
    *zone == core.settings.availability_zone
        || views.any(|view| view.record.availability_zone == *zone)
}

fn describe_order(
    core: &ProxyCore,
    zone: &AvailabilityZoneName,
    evacuated: bool,
) -> EvacuationView {
    let mut zones = core.evacuations.zones();
    if evacuated {
        zones.insert(zone.clone());
    } else {
        zones.remove(zone);
    }
    EvacuationView { zones }
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
