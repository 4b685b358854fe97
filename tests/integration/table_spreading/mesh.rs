//! A simulated mesh whose nodes distribute a new routing table.
//!
//! The code of the node decides which nodes a version is offered to, from which node it is fetched and to which nodes the offer
//! is forwarded. The steps between these decisions need sockets in a node; here they follow
//! `src/proxy/table_fetching.rs`, `src/proxy/table_offering.rs` and `src/proxy/state_messages.rs`. Messages have the sizes that
//! a node would send.

use super::{
    network::{Network, NetworkEvent, Timeline},
    tables::Tables,
};
use camphorturn::{
    coordination::{
        offer_rounds::{OfferRounds, RingNode},
        store_reading::{is_reader, order_ring},
        table_sources::TableSources,
    },
    protocol::hop::StateMessage,
    state::{configuration::ConfigurationVersion, timestamp::Timestamp},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

/// Rates of the nodes' links, in bits per second.
const LINK_RATES: [u64; 6] = [
    10_000_000,
    20_000_000,
    40_000_000,
    80_000_000,
    140_000_000,
    200_000_000,
];
/// Longest time from the publication of a version until a reader gets it.
const READ_WINDOW: Duration = Duration::from_millis(300);
/// Longest time from the offer of a reader to its loss. The offer itself arrives within a few milliseconds.
const LOSS_WINDOW: Duration = Duration::from_millis(40);

/// Interval at which a node checks whether its successor has the version in force, the same as in a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Changes the seed for the random numbers of offer rounds, so that they are independent of all others.
const OFFER_ROUND_SEED: u64 = 1 << 32;

/// Kinds of failure of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections to the node can't be opened.
    Unreachable,
    /// The node accepts connections and does not answer.
    Unresponsive,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub zones: usize,
    pub seed: u64,
    /// One in this many nodes that are not readers is down from the start; 0 for none.
    pub down_one_in: usize,
    /// Whether the first reader of each zone is lost right after it has offered the newest version.
    pub loses_readers: bool,
    /// Pause between the requests that a node sends to others, whose answers report versions; none if nodes send no requests.
    pub request_pause: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Network(NetworkEvent),
    /// The connection of this call should be open by now.
    ConnectTimeout(usize),
    /// A part of the answer to this call should have arrived by now.
    AnswerTimeout(usize),
    /// The called node has processed the request of this call.
    RequestHandled(usize),
    /// The caller has processed the answer to this call.
    AnswerApplied(usize),
    /// The wait of this node for an offer, which was set to end at this time, has ended.
    FetchWaitEnded(usize, Timestamp),
    /// The check of the zone by this node, which was set for this time, is due.
    CheckZone(usize, Timestamp),
    /// This reader can read this version from the store.
    Read(usize, ConfigurationVersion),
    /// This reader is lost.
    ReaderLost(usize),
    /// This node sends a request to another node.
    Request(usize),
    /// The first node learns that the second has this version.
    Report(usize, usize, ConfigurationVersion),
}

impl From<NetworkEvent> for Event {
    fn from(event: NetworkEvent) -> Self {
        Self::Network(event)
    }
}

#[derive(Clone, Debug)]
pub enum Purpose {
    /// An offer, and the nodes that it is sent to instead if the receiver can't be reached.
    Offer(Box<StateMessage>, Vec<SocketAddr>),
    /// An offer of this version that is not forwarded.
    DirectOffer(ConfigurationVersion),
    /// A request for the changes since this version.
    Fetch(ConfigurationVersion),
}

#[derive(Debug)]
pub struct Call {
    pub from: usize,
    pub to: usize,
    pub purpose: Purpose,
    pub is_connected: bool,
    pub is_ended: bool,
    /// Latest of the times at which the call started, its connection was opened and a part of its answer arrived.
    pub last_progress: Timestamp,
    /// Whether this call fetches again because another version came into force before the answer to the first fetch arrived.
    pub is_second_fetch: bool,
    /// The version that results from the answer or that it reports, and the bytes of the change.
    pub answer: Option<(ConfigurationVersion, usize)>,
}

#[derive(Debug)]
pub struct Node {
    /// Whether the node reads new versions from the store for its zone.
    pub is_reader: bool,
    pub outage: Option<Outage>,
    pub sources: TableSources,
    pub is_fetching: bool,
    pub wait_until: Option<Timestamp>,
    /// The fetch from a node that reported its version on a request; an offer cancels it.
    pub reported_fetch: Option<usize>,
    pub offer_rounds: OfferRounds,
    /// Time of the next check of the zone.
    pub next_check: Timestamp,
    pub known_versions: HashMap<usize, ConfigurationVersion>,
    pub own_version: ConfigurationVersion,
    /// Versions with the times at which they came into force, in this order.
    pub in_force: Vec<(Timestamp, ConfigurationVersion)>,
    /// Number of answers with a table.
    pub received_tables: usize,
    /// Number of fetches that failed.
    pub failed_fetches: usize,
}

impl Node {
    pub const fn is_down(&self) -> bool {
        self.outage.is_some()
    }

    /// Time at which a version or a newer one came into force.
    pub fn in_force_since(&self, version: ConfigurationVersion) -> Option<Timestamp> {
        let mut versions = self.in_force.iter();
        versions
            .find(|(_, in_force)| *in_force >= version)
            .map(|(at, _)| *at)
    }
}

pub struct Mesh {
    pub plan: Plan,
    pub random: StdRng,
    pub round_random: StdRng,
    pub tables: Rc<Tables>,
    pub timeline: Timeline<Event>,
    pub network: Network,
    pub nodes: Vec<Node>,
    pub calls: Vec<Call>,
}

pub fn address(node: usize) -> SocketAddr {
    let [.., high, low] = (node as u64).to_be_bytes();
    SocketAddr::from(([10, 20, high, low], 7_400))
}

pub fn find_node(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => unreachable!("nodes have IPv4 addresses"),
    }
}

impl Mesh {
    /// A mesh in which all nodes have `own_version` in force.
    pub fn new(plan: Plan, tables: &Rc<Tables>, own_version: ConfigurationVersion) -> Self {
        let mut mesh = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            round_random: StdRng::seed_from_u64(plan.seed ^ OFFER_ROUND_SEED),
            tables: Rc::clone(tables),
            timeline: Timeline::default(),
            network: Network::default(),
            nodes: Vec::new(),
            calls: Vec::new(),
        };
        for number in 0..plan.nodes {
            mesh.add_node(number, own_version);
        }
        for number in 0..plan.nodes {
            mesh.assign_role(number);
        }
        mesh
    }

    pub fn add_node(&mut self, number: usize, own_version: ConfigurationVersion) {
        let zone = number % self.plan.zones;
        let rate = LINK_RATES[self.random.random_range(0..LINK_RATES.len())];
        self.network.add_link(zone, rate);
        self.nodes.push(Node {
            is_reader: false,
            outage: None,
            sources: TableSources::default(),
            is_fetching: false,
            wait_until: None,
            reported_fetch: None,
            offer_rounds: OfferRounds::default(),
            next_check: Timestamp(0),
            known_versions: (0..self.plan.nodes)
                .map(|other| (other, own_version))
                .collect(),
            own_version,
            in_force: Vec::new(),
            received_tables: 0,
            failed_fetches: 0,
        });
    }

    pub fn assign_role(&mut self, number: usize) {
        let zone = self.list_zone(number);
        let reads_store = is_reader(address(number), zone.into_iter());
        self.nodes[number].is_reader = reads_store;
        let first = CHECK_INTERVAL.mul_f64(self.round_random.random_range(0.0..1.0));
        self.schedule_check(number, first);
        let one_in = self.plan.down_one_in;
        if one_in > 0 && !reads_store && self.random.random_range(0..one_in) == 0 {
            let reachable = self.random.random_bool(0.5);
            let outage = if reachable {
                Outage::Unresponsive
            } else {
                Outage::Unreachable
            };
            self.fail_node(number, outage);
        } else if let Some(pause) = self.plan.request_pause {
            let first = pause.mul_f64(self.random.random_range(0.0..1.0));
            self.timeline.after(first, Event::Request(number));
        }
    }

    pub fn fail_node(&mut self, number: usize, outage: Outage) {
        self.nodes[number].outage = Some(outage);
        self.network.disconnect(number);
    }

    /// The other nodes of the zone, including those that are down, which the node does not know.
    pub fn list_zone(&self, number: usize) -> Vec<SocketAddr> {
        let zone = number % self.plan.zones;
        let all = (0..self.plan.nodes).filter(|other| other % self.plan.zones == zone);
        all.filter(|other| *other != number).map(address).collect()
    }

    /// Publishes a version in the store at a point in time.
    pub fn publish(&mut self, version: ConfigurationVersion, at: Timestamp) {
        for number in 0..self.nodes.len() {
            if self.nodes[number].is_reader {
                let delay = READ_WINDOW.mul_f64(self.random.random_range(0.0..1.0));
                self.timeline.at(at + delay, Event::Read(number, version));
            }
        }
    }

    pub fn run(&mut self, end: Timestamp) {
        while let Some(event) = self.timeline.next_until(end) {
            self.handle_event(event);
        }
    }

    pub fn handle_event(&mut self, event: Event) {
        match event {
            Event::Network(event) => {
                if let NetworkEvent::SegmentReceived(transfer, _) = event {
                    self.record_progress(transfer);
                }
                if let Some(transfer) = self.network.handle_event(&mut self.timeline, event) {
                    self.handle_leg(&transfer);
                }
            }
            Event::ConnectTimeout(call) if self.calls[call].is_connected => {}
            Event::ConnectTimeout(call) => self.fail_call(call),
            Event::AnswerTimeout(call) => self.check_answer_timeout(call),
            Event::RequestHandled(call) => self.answer(call),
            Event::AnswerApplied(call) => self.apply_fetched(call),
            Event::FetchWaitEnded(node, until) => {
                if self.nodes[node].wait_until == Some(until) {
                    self.continue_fetching(node);
                }
            }
            Event::CheckZone(node, due) => {
                if self.nodes[node].next_check == due {
                    self.check_successors(node);
                    self.offer_to_zone(node, false);
                }
            }
            Event::Read(node, version) => self.read(node, version),
            Event::ReaderLost(node) => self.fail_node(node, Outage::Unreachable),
            Event::Request(node) => self.request(node),
            Event::Report(node, from, version) => self.record_peer_version(node, from, version),
        }
    }

    pub fn apply_table(&mut self, node: usize, version: ConfigurationVersion) -> bool {
        let now = self.timeline.now();
        let node = &mut self.nodes[node];
        if version <= node.own_version {
            return false;
        }
        node.own_version = version;
        node.in_force.push((now, version));
        true
    }

    fn schedule_check(&mut self, node: usize, pause: Duration) {
        let due = self.timeline.now() + pause;
        self.nodes[node].next_check = due;
        self.timeline.at(due, Event::CheckZone(node, due));
    }

    /// A reader offers the version in force along the tree to the nodes of its zone that are not known to have it.
    pub fn offer_to_zone(&mut self, node: usize, has_read: bool) {
        if self.nodes[node].is_down() {
            return;
        }
        self.schedule_check(node, CHECK_INTERVAL);
        if !self.nodes[node].is_reader {
            return;
        }
        let own_version = self.nodes[node].own_version;
        let mut zone = self.list_zone(node);
        let known_versions = &self.nodes[node].known_versions;
        zone.retain(|to| {
            known_versions
                .get(&find_node(*to))
                .is_none_or(|peer_version| *peer_version < own_version)
        });
        let mut receivers = self.nodes[node]
            .offer_rounds
            .plan_tree(own_version, zone.into_iter());
        // Reads use their own random numbers, so that a seed leads to the same losses whatever the other rounds draw.
        receivers.shuffle(if has_read {
            &mut self.random
        } else {
            &mut self.round_random
        });
        self.offer(node, &receivers);
    }

    /// A node offers the version in force directly to its successors in the ring of the zone that are not known to have it.
    pub fn check_successors(&mut self, node: usize) {
        if self.nodes[node].is_down() {
            return;
        }
        let (now, own_version) = (self.timeline.now(), self.nodes[node].own_version);
        let ring = order_ring(address(node), self.list_zone(node).into_iter());
        let known_versions = &self.nodes[node].known_versions;
        let ring = ring.into_iter().map(|address| RingNode {
            address,
            has_version: known_versions
                .get(&find_node(address))
                .is_some_and(|peer_version| *peer_version >= own_version),
        });
        let ring: Vec<RingNode> = ring.collect();
        for to in self.nodes[node]
            .offer_rounds
            .plan_checks(own_version, &ring, now)
        {
            self.call(node, find_node(to), Purpose::DirectOffer(own_version));
        }
    }

    /// A reader reads a version and offers it to the nodes of its zone that may lack it.
    pub fn read(&mut self, node: usize, version: ConfigurationVersion) {
        if self.nodes[node].is_down() || !self.apply_table(node, version) {
            return;
        }
        self.offer_to_zone(node, true);
        let zone = self.list_zone(node);
        let mut readers = zone.iter().map(|other| &self.nodes[find_node(*other)]);
        let is_first = readers.all(|other| !other.is_reader || other.own_version < version);
        if self.plan.loses_readers && version == self.tables.newest() && is_first {
            let delay = LOSS_WINDOW.mul_f64(self.random.random_range(0.1..1.0));
            self.timeline.after(delay, Event::ReaderLost(node));
        }
    }

    /// Sends a request to another node, in two of three cases in the same zone. Each of the two nodes learns the version of the other.
    pub fn request(&mut self, node: usize) {
        let Some(pause) = self.plan.request_pause else {
            return;
        };
        if self.nodes[node].is_down() {
            return;
        }
        let jitter = self.random.random_range(0.5..1.5);
        self.timeline
            .after(pause.mul_f64(jitter), Event::Request(node));
        let mut to = self.random.random_range(0..self.plan.nodes);
        if self.random.random_range(0..3) > 0 {
            to = to - to % self.plan.zones + node % self.plan.zones;
        }
        if to >= self.plan.nodes || to == node || self.nodes[to].is_down() {
            return;
        }
        let delay = self.network.delay(node, to);
        let (own_version, peer_version) =
            (self.nodes[node].own_version, self.nodes[to].own_version);
        self.timeline
            .after(delay, Event::Report(to, node, own_version));
        self.timeline
            .after(delay * 2, Event::Report(node, to, peer_version));
    }
}
