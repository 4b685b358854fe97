//! Applies evacuations of availability zones and propagates them to the nodes of this node's zone.
//!
//! The readers of a zone receive them from the store and forward them along a tree, as they do with node records. A node that the tree
//! misses receives them from its predecessor in the ring of the zone.

use crate::{
    coordination::offer_rounds::{OfferRounds, RingNode},
    protocol::{hop::StateMessage, operator_views::EvacuationView, store::PublicationStore},
    proxy::{
        core::ProxyCore,
        directory::StateSource,
        events::ProxyEvent,
        executing::refuse_queued_requests,
        state_messages::{exchange_state, send_along_tree},
    },
    state::{
        evacuations::{EvacuationChange, EvacuationRead, Evacuations},
        names::AvailabilityZoneName,
    },
    transport::operators::request::EvacuationError,
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

/// Attempts to append an operator's change to the store.
const MAX_STORE_ATTEMPTS: u32 = 5;
/// Pause after a failed attempt.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The evacuations in force, and the positions up to which other nodes have applied the store's records.
#[derive(Default)]
pub struct EvacuationsInForce {
    evacuations: RefCell<Evacuations>,
    /// Last position reported by each node, packed.
    positions: RefCell<BTreeMap<SocketAddr, u64>>,
    offer_rounds: RefCell<OfferRounds<u64>>,
}

impl EvacuationsInForce {
    /// Whether a zone is evacuated, so that its upstreams get no requests.
    #[must_use]
    pub fn contains(&self, zone: &AvailabilityZoneName) -> bool {
        self.evacuations.borrow().contains(zone)
    }

    /// The evacuated zones.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<AvailabilityZoneName> {
        self.evacuations.borrow().zones().clone()
    }

    /// Packed position up to which records of the configuration topic are applied.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.evacuations.borrow().position()
    }

    /// The state to send to another node; none if no record has been applied yet.
    #[must_use]
    pub fn describe(&self) -> Option<Rc<Evacuations>> {
        let known = self.evacuations.borrow();
        (known.position() > 0).then(|| Rc::new(known.clone()))
    }

    /// Records the position reported by another node.
    pub fn record_position(&self, address: SocketAddr, position: u64) {
        self.positions.borrow_mut().insert(address, position);
    }

    /// Whether a node is known to have applied the last change.
    fn has_last_change(&self, address: SocketAddr) -> bool {
        let changed_at = self.evacuations.borrow().changed_at();
        let known = self.positions.borrow().get(&address).copied();
        known.unwrap_or_default() >= changed_at
    }
}

/// Applies changes read from the store.
pub fn apply_stored_evacuations(
    core: &Rc<ProxyCore>,
    changes: &[EvacuationChange],
    next: u64,
    read: EvacuationRead,
) {
    let before = core.evacuations.evacuations.borrow().clone();
    let after = before.with_changes(changes, next, read);
    replace_evacuations(core, &before, after, StateSource::Store);
}

/// Applies the state of another node if it is newer.
pub fn apply_peer_evacuations(core: &Rc<ProxyCore>, reported: &Evacuations) {
    let before = core.evacuations.evacuations.borrow().clone();
    let mut after = before.clone();
    if after.replace_if_newer(reported) {
        replace_evacuations(core, &before, after, StateSource::Peer);
    }
}

fn replace_evacuations(
    core: &Rc<ProxyCore>,
    before: &Evacuations,
    after: Evacuations,
    source: StateSource,
) {
    let position = after.position();
    let started: Vec<_> = after.zones().difference(before.zones()).cloned().collect();
    let ended: Vec<_> = before.zones().difference(after.zones()).cloned().collect();
    *core.evacuations.evacuations.borrow_mut() = after;
    if started.is_empty() && ended.is_empty() {
        return;
    }
    let source = source.name();
    for zone in started {
        core.log(&ProxyEvent::ZoneEvacuated {
            zone: zone.clone(),
            position,
            source,
        });
        if zone == core.settings.availability_zone {
            refuse_queued_requests(core);
        }
    }
    for zone in ended {
        core.log(&ProxyEvent::ZoneRestored {
            zone,
            position,
            source,
        });
    }
    if core.is_zone_reader() || core.is_substitute_reader() {
        send_to_zone(core);
    }
}

/// Appends the start or the end of an evacuation to the store, from which all nodes, including this one, receive it.
///
/// # Errors
/// If the zone to be evacuated has no known node, or the store does not confirm the record.
pub async fn request_evacuation<S: PublicationStore>(
    core: &ProxyCore,
    store: &S,
    zone: &AvailabilityZoneName,
    evacuated: bool,
) -> Result<EvacuationView, EvacuationError> {
    if evacuated && !has_known_node(core, zone) {
        return Err(EvacuationError::UnknownZone);
    }
    let mut reason = String::new();
    for _ in 0..MAX_STORE_ATTEMPTS {
        // Idempotent: an unanswered append may have been stored.
        match store.append_evacuation(zone, evacuated).await {
            Ok(()) => return Ok(describe_result(core, zone, evacuated)),
            Err(error) => reason = error.to_string(),
        }
        let _ = core.timers.after(STORE_RETRY_PAUSE).recv_async().await;
    }
    Err(EvacuationError::Store(reason))
}

fn has_known_node(core: &ProxyCore, zone: &AvailabilityZoneName) -> bool {
    let directory = core.directory.borrow();
    let mut nodes = directory.nodes.values();
    *zone == core.settings.availability_zone
        || nodes.any(|node| node.record.availability_zone == *zone)
}

fn describe_result(
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

fn send_to_zone(core: &Rc<ProxyCore>) {
    let mut receivers = core.list_zone_nodes();
    // Both readers of the zone send it; different trees compensate for the loss of a forwarding node.
    receivers.shuffle(&mut rand::rng());
    send_along_tree(core, &receivers, &build_message(core));
}

/// Sends the evacuations to the successor in the ring of the zone until that node confirms the last change.
pub fn check_successors(core: &Rc<ProxyCore>) {
    let in_force = &core.evacuations;
    let changed_at = in_force.evacuations.borrow().changed_at();
    let ring: Vec<RingNode> = core.list_ring(|address| in_force.has_last_change(address));
    let receivers =
        in_force
            .offer_rounds
            .borrow_mut()
            .plan_checks(changed_at, &ring, core.timers.now());
    for to in receivers {
        let core = Rc::clone(core);
        spawn_local(async move { send_directly(&core, to).await });
    }
}

async fn send_directly(core: &ProxyCore, to: SocketAddr) {
    let answer = exchange_state(core, to, &build_message(core)).await;
    let position = answer.and_then(|(answer, _)| answer.evacuations_position);
    if let Some(position) = position {
        core.evacuations.record_position(to, position);
    }
}

fn build_message(core: &ProxyCore) -> StateMessage {
    StateMessage {
        evacuations: core.evacuations.describe(),
        sender: Some(core.settings.peer_address),
        ..StateMessage::default()
    }
}
