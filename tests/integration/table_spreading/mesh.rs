//! Nodes of a modelled mesh that tell each other a new routing table.
//!
//! Who is offered a version, asked for it and told of it next is decided by the code of the node; the glue between these
//! decisions, which in a node needs sockets, is written out here as `src/proxy/table_fetching.rs`,
//! `src/proxy/table_offering.rs` and `src/proxy/state_messages.rs` have it. Sizes are those of the messages that a node would send.

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

/// Links that nodes have, in bits a second.
const LINKS: [u64; 6] = [
    10_000_000,
    20_000_000,
    40_000_000,
    80_000_000,
    140_000_000,
    200_000_000,
];
/// The readers of a zone get a version within this after its first reader could have had it.
const READ_SPREAD: Duration = Duration::from_millis(300);
/// Longest time from a reader's offer to its loss; the offer itself gets through in a few milliseconds.
const LOSS_WITHIN: Duration = Duration::from_millis(40);

/// How often a node looks whether the one after it has the version in force, as in a node.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Sets the draws for rounds of offers apart from all others.
const ROUND_SEED: u64 = 1 << 32;

/// How a node is dark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dark {
    /// Connections to it don't open.
    Unreachable,
    /// It takes questions and doesn't answer.
    Mute,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub zones: usize,
    pub seed: u64,
    /// One in so many nodes that don't read is dark from the start; 0 for none.
    pub dark_one_in: usize,
    /// The first reader of each zone is lost right after it offered the newest version.
    pub loses_readers: bool,
    /// Pause between the requests that a node sends to others, whose answers tell versions; none in a quiet mesh.
    pub request_pause: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Network(NetworkEvent),
    OpeningDue(usize),
    AnswerDue(usize),
    Handled(usize),
    Fetched(usize),
    Look(usize, Timestamp),
    LookAtZone(usize, Timestamp),
    Read(usize, ConfigurationVersion),
    Lost(usize),
    Request(usize),
    Heard(usize, usize, ConfigurationVersion),
}

impl From<NetworkEvent> for Event {
    fn from(event: NetworkEvent) -> Self {
        Self::Network(event)
    }
}

#[derive(Clone, Debug)]
pub enum Purpose {
    /// An offer, and who is told in place of the receiver if that fails.
    Offer(Box<StateMessage>, Vec<SocketAddr>),
    /// An offer of this version that is not passed on.
    DirectOffer(ConfigurationVersion),
    /// A question for what is newer than this version.
    Fetch(ConfigurationVersion),
}

#[derive(Debug)]
pub struct Call {
    pub from: usize,
    pub to: usize,
    pub purpose: Purpose,
    pub opened: bool,
    pub ended: bool,
    /// When it was begun, its question sent, or a piece of its answer received: the latest.
    pub progress: Timestamp,
    /// A question put again, as the answer to the first changes another version than that in force.
    pub is_again: bool,
    /// The version that the answer leads to or tells, and the bytes of the change.
    pub answer: Option<(ConfigurationVersion, usize)>,
}

#[derive(Debug)]
pub struct Node {
    pub is_reader: bool,
    pub dark: Option<Dark>,
    pub sources: TableSources,
    pub fetching: bool,
    pub waits_until: Option<Timestamp>,
    /// The question to a node that was heard of by a request, which an offer ends.
    pub asks_heard: Option<usize>,
    pub rounds: OfferRounds,
    /// When it looks at its zone next.
    pub looks_at: Timestamp,
    pub known: HashMap<usize, ConfigurationVersion>,
    pub own: ConfigurationVersion,
    /// When each version came to be in force, with all older ones.
    pub in_force: Vec<(Timestamp, ConfigurationVersion)>,
    /// Answers with a table, and questions that failed.
    pub copies: usize,
    pub failed: usize,
}

impl Node {
    pub const fn is_dark(&self) -> bool {
        self.dark.is_some()
    }

    /// When a version or a newer one came to be in force.
    pub fn had(&self, version: ConfigurationVersion) -> Option<Timestamp> {
        let mut taken = self.in_force.iter();
        taken
            .find(|(_, taken)| *taken >= version)
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

pub fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => unreachable!("nodes have IPv4"),
    }
}

impl Mesh {
    /// A mesh where all have `own` in force.
    pub fn new(plan: Plan, tables: &Rc<Tables>, own: ConfigurationVersion) -> Self {
        let mut mesh = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            round_random: StdRng::seed_from_u64(plan.seed ^ ROUND_SEED),
            tables: Rc::clone(tables),
            timeline: Timeline::default(),
            network: Network::default(),
            nodes: Vec::new(),
            calls: Vec::new(),
        };
        for number in 0..plan.nodes {
            mesh.add_node(number, own);
        }
        for number in 0..plan.nodes {
            mesh.draw_role(number);
        }
        mesh
    }

    pub fn add_node(&mut self, number: usize, own: ConfigurationVersion) {
        let zone = number % self.plan.zones;
        let rate = LINKS[self.random.random_range(0..LINKS.len())];
        self.network.add_link(zone, rate);
        self.nodes.push(Node {
            is_reader: false,
            dark: None,
            sources: TableSources::default(),
            fetching: false,
            waits_until: None,
            asks_heard: None,
            rounds: OfferRounds::default(),
            looks_at: Timestamp(0),
            known: (0..self.plan.nodes).map(|other| (other, own)).collect(),
            own,
            in_force: Vec::new(),
            copies: 0,
            failed: 0,
        });
    }

    pub fn draw_role(&mut self, number: usize) {
        let zone = self.list_zone(number);
        let reads = is_reader(address(number), zone.into_iter());
        self.nodes[number].is_reader = reads;
        let first = LOOK_PAUSE.mul_f64(self.round_random.random_range(0.0..1.0));
        self.plan_look(number, first);
        let one_in = self.plan.dark_one_in;
        if one_in > 0 && !reads && self.random.random_range(0..one_in) == 0 {
            let reachable = self.random.random_bool(0.5);
            let dark = if reachable {
                Dark::Mute
            } else {
                Dark::Unreachable
            };
            self.darken(number, dark);
        } else if let Some(pause) = self.plan.request_pause {
            let first = pause.mul_f64(self.random.random_range(0.0..1.0));
            self.timeline.after(first, Event::Request(number));
        }
    }

    pub fn darken(&mut self, number: usize, dark: Dark) {
        self.nodes[number].dark = Some(dark);
        self.network.cut(number);
    }

    /// The other nodes of the zone; that some are dark has not been noticed.
    pub fn list_zone(&self, number: usize) -> Vec<SocketAddr> {
        let zone = number % self.plan.zones;
        let all = (0..self.plan.nodes).filter(|other| other % self.plan.zones == zone);
        all.filter(|other| *other != number).map(address).collect()
    }

    /// The store has a version from a moment on.
    pub fn publish(&mut self, version: ConfigurationVersion, at: Timestamp) {
        for number in 0..self.nodes.len() {
            if self.nodes[number].is_reader {
                let late = READ_SPREAD.mul_f64(self.random.random_range(0.0..1.0));
                self.timeline.at(at + late, Event::Read(number, version));
            }
        }
    }

    pub fn run(&mut self, end: Timestamp) {
        while let Some(event) = self.timeline.next_until(end) {
            self.take(event);
        }
    }

    pub fn take(&mut self, event: Event) {
        match event {
            Event::Network(event) => {
                if let NetworkEvent::Received(transfer, _) = event {
                    self.note_piece(transfer);
                }
                if let Some(transfer) = self.network.go_on(&mut self.timeline, event) {
                    self.take_leg(&transfer);
                }
            }
            Event::OpeningDue(call) if self.calls[call].opened => {}
            Event::OpeningDue(call) => self.give_up(call),
            Event::AnswerDue(call) => self.look_for_answer(call),
            Event::Handled(call) => self.answer(call),
            Event::Fetched(call) => self.take_fetched(call),
            Event::Look(node, until) => {
                if self.nodes[node].waits_until == Some(until) {
                    self.fetch_on(node);
                }
            }
            Event::LookAtZone(node, due) => {
                if self.nodes[node].looks_at == due {
                    self.check_successors(node);
                    self.look_at_zone(node, false);
                }
            }
            Event::Read(node, version) => self.read(node, version),
            Event::Lost(node) => self.darken(node, Dark::Unreachable),
            Event::Request(node) => self.request(node),
            Event::Heard(node, from, version) => self.note_peer_version(node, from, version),
        }
    }

    pub fn apply_table(&mut self, node: usize, version: ConfigurationVersion) -> bool {
        let now = self.timeline.now();
        let node = &mut self.nodes[node];
        if version <= node.own {
            return false;
        }
        node.own = version;
        node.in_force.push((now, version));
        true
    }

    fn plan_look(&mut self, node: usize, pause: Duration) {
        let due = self.timeline.now() + pause;
        self.nodes[node].looks_at = due;
        self.timeline.at(due, Event::LookAtZone(node, due));
    }

    /// A reader offers the version in force along the tree to those of its zone that aren't known to have it.
    pub fn look_at_zone(&mut self, node: usize, has_read: bool) {
        if self.nodes[node].is_dark() {
            return;
        }
        self.plan_look(node, LOOK_PAUSE);
        if !self.nodes[node].is_reader {
            return;
        }
        let own = self.nodes[node].own;
        let mut zone = self.list_zone(node);
        let known = &self.nodes[node].known;
        zone.retain(|to| known.get(&node_at(*to)).is_none_or(|has| *has < own));
        let mut receivers = self.nodes[node].rounds.plan_tree(own, zone.into_iter());
        // Reads draw as if there were no other rounds, so that a seed stands for the same losses with and without them.
        receivers.shuffle(if has_read {
            &mut self.random
        } else {
            &mut self.round_random
        });
        self.offer(node, &receivers);
    }

    /// A node asks the ones after it in the ring of its zone that aren't known to have the version in force, as is due.
    pub fn check_successors(&mut self, node: usize) {
        if self.nodes[node].is_dark() {
            return;
        }
        let (now, own) = (self.timeline.now(), self.nodes[node].own);
        let ring = order_ring(address(node), self.list_zone(node).into_iter());
        let known = &self.nodes[node].known;
        let ring = ring.into_iter().map(|address| RingNode {
            address,
            has_version: known.get(&node_at(address)).is_some_and(|has| *has >= own),
        });
        let ring: Vec<RingNode> = ring.collect();
        for to in self.nodes[node].rounds.plan_checks(own, &ring, now) {
            self.call(node, node_at(to), Purpose::DirectOffer(own));
        }
    }

    /// A reader reads a version and offers it to those of its zone that may lack it.
    pub fn read(&mut self, node: usize, version: ConfigurationVersion) {
        if self.nodes[node].is_dark() || !self.apply_table(node, version) {
            return;
        }
        self.look_at_zone(node, true);
        let zone = self.list_zone(node);
        let mut readers = zone.iter().map(|other| &self.nodes[node_at(*other)]);
        let is_first = readers.all(|other| !other.is_reader || other.own < version);
        if self.plan.loses_readers && version == self.tables.newest() && is_first {
            let late = LOSS_WITHIN.mul_f64(self.random.random_range(0.1..1.0));
            self.timeline.after(late, Event::Lost(node));
        }
    }

    /// A request to another node, twice in three times of the own zone; each learns the version of the other.
    pub fn request(&mut self, node: usize) {
        let Some(pause) = self.plan.request_pause else {
            return;
        };
        if self.nodes[node].is_dark() {
            return;
        }
        let spread = self.random.random_range(0.5..1.5);
        self.timeline
            .after(pause.mul_f64(spread), Event::Request(node));
        let mut to = self.random.random_range(0..self.plan.nodes);
        if self.random.random_range(0..3) > 0 {
            to = to - to % self.plan.zones + node % self.plan.zones;
        }
        if to >= self.plan.nodes || to == node || self.nodes[to].is_dark() {
            return;
        }
        let way = self.network.delay(node, to);
        let (own, others) = (self.nodes[node].own, self.nodes[to].own);
        self.timeline.after(way, Event::Heard(to, node, own));
        self.timeline.after(way * 2, Event::Heard(node, to, others));
    }
}
