//! What the parts of a node share on its event-loop thread.

use crate::{
    coordination::{
        calls_per_run::CallsPerRun,
        own_upstream::OwnUpstream,
        repeat_budget::RepeatBudget,
        store_reading::{ReadingPlan, find_predecessor, is_first, is_reader, plan_reading},
        table_sources::TableSources,
    },
    options::proxy_settings::{NodeBounds, ProxySettings},
    proxy::{
        directory::{Directory, StateSource},
        events::{LineWriter, ProxyEvent},
        executing::Slots,
    },
    state::{
        class_counts::ClassCounts,
        moment::Moment,
        names::{ClassName, ServiceName},
        placement_view::{NodeRecord, StoredRecord},
        routing_table::{RouteIndex, RoutingTable},
    },
    timers::TimerService,
    transport::outgoing::OutgoingConnections,
};
use http::HeaderMap;
use rand::RngExt;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::Notify;

/// Bytes that a class is taken to need before any were seen.
const FIRST_BYTES: f64 = 1_500.0;
/// How long a node reads the store in place of one that can't; asked again as long as that lasts.
const STANDING_IN: Duration = Duration::from_secs(8);
/// Weight of the newest in the moving average of bytes.
const BYTES_WEIGHT: f64 = 0.1;

/// Counts since the start, for the metrics page.
#[derive(Debug, Default)]
pub struct ProxyCounters {
    /// Requests of clients.
    pub requests: Cell<u64>,
    /// Of these, answered by an upstream.
    pub answered: Cell<u64>,
    /// Of these, refused without having run.
    pub refused: Cell<u64>,
    /// Of these, ended without it being known whether they ran.
    pub unknown: Cell<u64>,
    /// Requests run at the upstream beside the node.
    pub executed: Cell<u64>,
    /// Requests sent to a second upstream.
    pub repeats: Cell<u64>,
    /// Questions to the upstream beside the node for its load.
    pub probes: Cell<u64>,
    /// Bytes of messages with state that came from other nodes.
    pub state_bytes: Cell<u64>,
    /// Routing tables that came from other nodes and were no news.
    pub stale_tables: Cell<u64>,
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// State and edges of one node. No borrow is held over an `await`.
pub struct ProxyCore {
    /// What the node was told at its start.
    pub settings: ProxySettings,
    /// The bounds in force.
    bounds: Cell<NodeBounds>,
    /// Time and wake-ups.
    pub timers: TimerService,
    /// The routing table in force and the nodes that are known.
    pub directory: RefCell<Directory>,
    /// What the store holds of this node, as far as is known.
    pub stored: RefCell<Option<NodeRecord>>,
    /// The upstream beside the node, by its announcements.
    pub own: RefCell<OwnUpstream>,
    /// Its slots.
    pub slots: Slots,
    /// Budgets for second upstreams, by service.
    pub repeats: RefCell<HashMap<ServiceName, RepeatBudget>>,
    /// What runs of the upstream's classes call.
    pub calls: RefCell<CallsPerRun>,
    /// Connections to the upstream and to other nodes.
    pub outgoing: Rc<OutgoingConnections>,
    /// Requests of clients in progress.
    pub in_progress: Cell<usize>,
    /// When the node was told to stop.
    pub stopping_since: Cell<Option<Moment>>,
    /// Counts since the start.
    pub counters: ProxyCounters,
    /// Writes the lines of the log.
    pub lines: LineWriter,
    /// When the node started.
    pub started: Moment,
    /// What became of the requests of each class.
    pub classes: RefCell<BTreeMap<ClassName, ClassCounts>>,
    /// Moving averages of the bytes of a request and its answer, by class.
    pub class_bytes: RefCell<HashMap<ClassName, f64>>,
    /// Whether a newer routing table is being fetched from other nodes.
    pub fetching: Cell<bool>,
    /// Who has told of newer routing tables.
    pub table_sources: RefCell<TableSources>,
    /// Wakes whoever waits for an offer of a newer routing table.
    pub offer_came: Notify,
    /// Until when this node reads the store in place of one that can't.
    reads_until: Cell<Moment>,
    /// Requests picked a service by weight so far; spreads them evenly.
    pub picks: Cell<u32>,
}

impl ProxyCore {
    /// The state of a node that knows nothing yet.
    #[must_use]
    pub fn new(settings: ProxySettings, timers: TimerService) -> Rc<Self> {
        Rc::new(Self {
            directory: RefCell::new(Directory::default()),
            stored: RefCell::default(),
            own: RefCell::default(),
            slots: Slots::new(settings.bounds.probes_per_second),
            repeats: RefCell::default(),
            calls: RefCell::default(),
            outgoing: OutgoingConnections::new(timers.clone()),
            in_progress: Cell::new(0),
            stopping_since: Cell::new(None),
            counters: ProxyCounters::default(),
            lines: LineWriter::new(settings.name.clone(), settings.lines, timers.now()),
            started: timers.now(),
            classes: RefCell::default(),
            class_bytes: RefCell::default(),
            bounds: Cell::new(settings.bounds),
            fetching: Cell::new(false),
            table_sources: RefCell::default(),
            offer_came: Notify::new(),
            reads_until: Cell::default(),
            picks: Cell::new(rand::rng().random_range(0..1_000)),
            settings,
            timers,
        })
    }

    /// The identity that a client gave a request; empty if it gave none.
    #[must_use]
    pub fn read_request_id(&self, headers: &HeaderMap) -> String {
        let id = headers.get(&self.settings.headers.request_id);
        let text = id.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }

    /// The bounds in force.
    #[must_use]
    pub fn bounds(&self) -> NodeBounds {
        self.bounds.get()
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&self, bounds: NodeBounds) {
        self.bounds.set(bounds);
        self.slots.set_probe_limit(bounds.probes_per_second);
    }

    /// Writes an event to the log.
    pub fn log(&self, event: &ProxyEvent) {
        self.lines.write(event, self.timers.now());
    }

    /// The routing table in force.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteIndex>> {
        self.directory.borrow().routes()
    }

    /// Puts a routing table in force if it is newer than the present one; true if it was.
    pub fn take_table(&self, table: RoutingTable, source: StateSource) -> bool {
        let event = ProxyEvent::TableInForce {
            version: table.version.0,
            before: self.directory.borrow().version().0,
            routes: table.routes.len(),
            source: source.name(),
        };
        let news = self.directory.borrow_mut().take_table(table);
        if news {
            self.log(&event);
        }
        news
    }

    /// Takes in a record of another node; true if it was news.
    pub fn take_record(&self, stored: StoredRecord, source: StateSource) -> bool {
        if stored.record.address == self.settings.peers {
            return false;
        }
        let event = ProxyEvent::NodeKnown {
            known: stored.record.name.clone(),
            address: stored.record.address,
            service: stored.record.service.clone(),
            instance: stored.record.instance.clone(),
            leaving: stored.record.leaving,
            revision: stored.revision,
        };
        let news = self.directory.borrow_mut().take_record(stored, source);
        if news {
            self.log(&event);
        }
        news
    }

    /// How this node reads the store next.
    #[must_use]
    pub fn plan_reading(&self) -> ReadingPlan {
        let reader = self.stands_in() || self.is_zone_reader();
        plan_reading(reader, self.directory.borrow().nodes.len())
    }

    /// Whether this node reads the store in place of one that can't.
    #[must_use]
    pub fn stands_in(&self) -> bool {
        self.timers.now() < self.reads_until.get()
    }

    /// Whether this node is one of those that read the store for their zone.
    #[must_use]
    pub fn is_zone_reader(&self) -> bool {
        is_reader(self.settings.peers, self.list_zone().into_iter())
    }

    /// Whether this node does what one node of the mesh does.
    #[must_use]
    pub fn is_first(&self) -> bool {
        is_first(
            self.settings.peers,
            self.list_reachable(|_| true).into_iter(),
        )
    }

    /// The node that goes directly before this one, of those that can be reached as far as is known.
    #[must_use]
    pub fn find_predecessor(&self) -> Option<SocketAddr> {
        let others = self.list_reachable(|_| true).into_iter();
        find_predecessor(self.settings.peers, others)
    }

    /// Reads the store for the zone for a while, in place of a node that can't.
    pub fn read_for_zone(&self) {
        self.reads_until.set(self.timers.now() + STANDING_IN);
    }

    /// The other nodes of the zone that can be reached.
    #[must_use]
    pub fn list_zone(&self) -> Vec<SocketAddr> {
        let own_zone = &self.settings.availability_zone;
        self.list_reachable(|record| record.availability_zone == *own_zone)
    }

    /// The other nodes that can be reached, as far as is known, and whose record is `wanted`.
    fn list_reachable(&self, wanted: impl Fn(&NodeRecord) -> bool) -> Vec<SocketAddr> {
        let now = self.timers.now();
        let directory = self.directory.borrow();
        let views = directory.nodes.values();
        views
            .filter(|view| wanted(&view.record))
            .filter(|view| view.failures == 0 && view.paused_until <= now)
            .map(|view| view.record.address)
            .filter(|address| *address != self.settings.peers)
            .collect()
    }

    /// Usual bytes of a request of a class with its answer.
    #[must_use]
    pub fn class_bytes(&self, class: &ClassName) -> f64 {
        let known = self.class_bytes.borrow().get(class).copied();
        known.unwrap_or(FIRST_BYTES)
    }

    /// Learns the bytes of a request and its answer, without heads.
    pub fn note_bytes(&self, class: &ClassName, bytes: usize) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let bytes = bytes as f64;
        let mut known = self.class_bytes.borrow_mut();
        let average = known.entry(class.clone()).or_insert(bytes);
        *average += (bytes - *average) * BYTES_WEIGHT;
    }

    /// Counts the end of a request of a class.
    pub fn count_class(&self, class: &ClassName, count: impl FnOnce(&mut ClassCounts)) {
        let mut classes = self.classes.borrow_mut();
        match classes.get_mut(class) {
            Some(counts) => count(counts),
            None => count(classes.entry(class.clone()).or_default()),
        }
    }

    /// Whether clients may bring their requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes().is_some()
    }

    /// Whether the node has been told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }
}
