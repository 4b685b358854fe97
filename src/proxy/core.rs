//! What the parts of a node share on its event-loop thread.

mod counters;
mod mesh_roles;

pub use self::counters::{ProxyCounters, increment};

use crate::{
    coordination::{
        calls_per_execution::CallsPerExecution, local_upstream::LocalUpstream,
        offer_rounds::OfferRounds, retry_budget::RetryBudget, table_sources::TableSources,
        version_lag::VersionLag,
    },
    options::proxy_settings::{NodeBounds, ProxySettings},
    proxy::{
        directory::{Directory, StateSource},
        evacuating::EvacuationsInForce,
        events::{LineWriter, ProxyEvent},
        executing::Slots,
    },
    state::{
        answered_requests::AnsweredRequests,
        class_bytes::ClassBytes,
        class_counts::ClassCounts,
        crash_suspects::CrashSuspects,
        known_node::{NodeRecord, StoredRecord},
        names::{ClassName, ServiceName},
        quarantine::Quarantine,
        request_fingerprint::RequestFingerprint,
        routing_table::{RouteIndex, RoutingTable},
        timestamp::Timestamp,
    },
    timers::TimerService,
    transport::outgoing::OutgoingConnections,
};
use flume::{Receiver, Sender};
use http::HeaderMap;
use rand::RngExt;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
};
use tokio::sync::Notify;

/// State and edges of one node. No borrow is held over an `await`.
pub struct ProxyCore {
    /// What the node was told at its start.
    pub settings: ProxySettings,
    /// The bounds in force.
    limits: Cell<NodeBounds>,
    /// Time and wake-ups.
    pub timers: TimerService,
    /// The routing table in force and the nodes that are known.
    pub directory: RefCell<Directory>,
    /// Whether the records of nodes have been read since the start.
    node_records_read: Cell<bool>,
    /// Wakes whoever waits for that.
    node_records_loaded: Notify,
    /// What the store holds of this node, as far as is known.
    pub stored_record: RefCell<Option<NodeRecord>>,
    /// The era of the store in which the record of this node was last found to be lost.
    pub record_lost_in_epoch: Cell<u64>,
    /// Wakes whoever writes it again.
    pub own_record_lost: Notify,
    /// The upstream beside the node, by its announcements.
    pub local_upstream: RefCell<LocalUpstream>,
    /// Its slots.
    pub slots: Slots,
    /// Budgets for second upstreams, by service.
    pub retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// What runs of the upstream's classes call.
    pub calls_per_execution: RefCell<CallsPerExecution>,
    /// Connections to the upstream and to other nodes.
    pub outgoing: Rc<OutgoingConnections>,
    /// Requests of clients in progress.
    pub in_progress: Cell<usize>,
    /// When the node was told to stop.
    pub stopping_since: Cell<Option<Timestamp>>,
    /// Counts since the start.
    pub counters: ProxyCounters,
    /// Writes the lines of the log.
    pub log_writer: LineWriter,
    /// When the node started.
    pub started: Timestamp,
    /// What became of the requests of each class.
    pub class_counts: RefCell<BTreeMap<ClassName, ClassCounts>>,
    /// Usual bytes of a request and its answer, by class.
    pub class_bytes: RefCell<ClassBytes>,
    /// Whether a newer routing table is being fetched from other nodes.
    pub is_fetching_table: Cell<bool>,
    /// Who has told of newer routing tables.
    pub table_sources: RefCell<TableSources>,
    /// How long newer versions have been reported.
    pub version_lag: RefCell<VersionLag>,
    /// Wakes whoever waits for an offer of a newer routing table.
    pub table_offered: Notify,
    /// Whom of its zone this node has offered the routing table in force.
    pub offer_rounds: RefCell<OfferRounds>,
    /// Availability zones that get no requests.
    pub evacuations: EvacuationsInForce,
    /// Wakes whoever waits for a newer routing table.
    pub table_applied: Notify,
    /// Until when this node reads the store in place of one that can't.
    substitute_reader_until: Cell<Timestamp>,
    /// Crashes of upstreams that this node counts.
    pub crash_suspects: RefCell<CrashSuspects>,
    /// Requests that are kept from upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// What the upstream beside the node has answered.
    pub answered_requests: RefCell<AnsweredRequests>,
    /// Requests whose quarantine is to be written to the store as it is then, and who writes it.
    pub quarantine_writes: (Sender<RequestFingerprint>, Receiver<RequestFingerprint>),
    /// Requests picked a service by weight so far; spreads them evenly.
    pub service_picks: Cell<u32>,
}

impl ProxyCore {
    /// The state of a node that knows nothing yet.
    #[must_use]
    pub fn new(settings: ProxySettings, timers: TimerService) -> Rc<Self> {
        Rc::new(Self {
            directory: RefCell::new(Directory::default()),
            node_records_read: Cell::new(false),
            node_records_loaded: Notify::new(),
            stored_record: RefCell::default(),
            record_lost_in_epoch: Cell::default(),
            own_record_lost: Notify::new(),
            local_upstream: RefCell::default(),
            slots: Slots::new(settings.bounds.probes_per_second, timers.now()),
            retry_budgets: RefCell::default(),
            calls_per_execution: RefCell::default(),
            outgoing: OutgoingConnections::new(timers.clone()),
            in_progress: Cell::new(0),
            stopping_since: Cell::new(None),
            counters: ProxyCounters::default(),
            log_writer: LineWriter::new(settings.name.clone(), settings.lines, timers.now()),
            started: timers.now(),
            class_counts: RefCell::default(),
            class_bytes: RefCell::default(),
            limits: Cell::new(settings.bounds),
            is_fetching_table: Cell::new(false),
            table_sources: RefCell::default(),
            version_lag: RefCell::default(),
            table_offered: Notify::new(),
            offer_rounds: RefCell::default(),
            evacuations: EvacuationsInForce::default(),
            table_applied: Notify::new(),
            substitute_reader_until: Cell::default(),
            crash_suspects: RefCell::default(),
            quarantine: RefCell::default(),
            answered_requests: RefCell::default(),
            quarantine_writes: flume::unbounded(),
            service_picks: Cell::new(rand::rng().random_range(0..1_000)),
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
    pub fn limits(&self) -> NodeBounds {
        self.limits.get()
    }

    /// Puts other bounds in force.
    pub fn set_limits(&self, bounds: NodeBounds) {
        self.limits.set(bounds);
        self.slots.set_probe_limit(bounds.probes_per_second);
    }

    /// Writes an event to the log.
    pub fn log(&self, event: &ProxyEvent) {
        self.log_writer.write(event, self.timers.now());
    }

    /// The routing table in force.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteIndex>> {
        self.directory.borrow().routes()
    }

    /// Puts a routing table in force if it is newer than the present one; true if it was.
    pub fn apply_table(&self, table: RoutingTable, source: StateSource) -> bool {
        let event = ProxyEvent::TableInForce {
            version: table.version.0,
            before: self.directory.borrow().version().0,
            routes: table.routes.len(),
            source: source.name(),
        };
        let news = self.directory.borrow_mut().apply_table(table);
        if news {
            self.log(&event);
            self.table_applied.notify_one();
        }
        news
    }

    /// Takes in a record of another node; true if it was news.
    pub fn apply_record(&self, stored: StoredRecord, source: StateSource) -> bool {
        if stored.record.address == self.settings.peers {
            return false;
        }
        let event = ProxyEvent::NodeKnown {
            known: stored.record.name.clone(),
            address: stored.record.address,
            service: stored.record.service.clone(),
            instance: stored.record.incarnation.instance.clone(),
            leaving: stored.record.leaving,
            revision: stored.revision,
        };
        let news = self.directory.borrow_mut().apply_record(stored, source);
        if news {
            self.log(&event);
        }
        news
    }

    /// Notes that the store's records of nodes have been read once.
    pub fn mark_node_records_read(&self) {
        self.node_records_read.set(true);
        self.node_records_loaded.notify_one();
    }

    /// Whether the store's records of nodes have been read since the start.
    #[must_use]
    pub fn has_records(&self) -> bool {
        self.node_records_read.get()
    }

    /// Waits until the store's records of nodes have been read since the start.
    pub async fn wait_for_node_records(&self) {
        while !self.has_records() {
            self.node_records_loaded.notified().await;
        }
    }

    /// Counts the end of a request of a class.
    pub fn count_class(&self, class: &ClassName, count: impl FnOnce(&mut ClassCounts)) {
        let mut classes = self.class_counts.borrow_mut();
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
