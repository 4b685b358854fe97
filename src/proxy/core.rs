//! State that the modules of a node share on its event-loop thread.

mod counters;
mod mesh_roles;

pub use self::counters::{ProxyCounters, increment};

use crate::{
    coordination::{
        call_admission::CallAdmission, calls_per_execution::CallsPerExecution,
        local_upstream::LocalUpstream, offer_rounds::OfferRounds, retry_budget::RetryBudget,
        table_sources::TableSources, version_lag::VersionLag,
    },
    options::proxy_settings::{NodeLimits, ProxySettings},
    proxy::{
        directory::{Directory, StateSource},
        entry::WaitingAttempts,
        evacuating::EvacuationsInForce,
        events::{LineWriter, ProxyEvent},
        executing::{Slots, UnreadHeaders},
        health::LocalHealth,
        liveness::PeerLiveness,
        mesh_contact::MeshContact,
        quotas::Quotas,
        upstream_confirmation::IncarnationSource,
    },
    state::{
        answered_requests::AnsweredRequests,
        class_bytes::ClassBytes,
        class_counts::ClassCounts,
        crash_counts::CrashCounts,
        known_node::{NodeRecord, StoredRecord},
        names::{ClassName, ServiceName},
        organisation_counts::CountsByOrganisation,
        quarantine::Quarantine,
        request_fingerprint::RequestFingerprint,
        routing_table::{RouteIndex, RoutingTable},
        timestamp::Timestamp,
    },
    timers::TimerService,
    transport::{
        callers::CallerConnections, held_bytes::SharedBudget, outgoing::OutgoingConnections,
    },
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

/// State and connections of one node. No `RefCell` borrow is held across an `await`.
pub struct ProxyCore {
    /// Settings that the node was started with.
    pub settings: ProxySettings,
    /// Limits in force; they may change while the node runs.
    limits: Cell<NodeLimits>,
    /// Clock and timers.
    pub timers: TimerService,
    /// The routing table in force and the known nodes.
    pub directory: RefCell<Directory>,
    /// Whether the node records have been read from the store since the start.
    node_records_read: Cell<bool>,
    /// Notified when the node records have been read.
    node_records_loaded: Notify,
    /// The record of this node that the store holds, as far as is known.
    pub stored_record: RefCell<Option<NodeRecord>>,
    /// Latest store epoch in which the store was found to have lost the record of this node.
    pub record_lost_in_epoch: Cell<u64>,
    /// Notified when an answer of the local upstream has changed the record of this node.
    pub own_record_changed: Notify,
    /// Notified when the record of this node has to be written again.
    pub own_record_lost: Notify,
    /// The upstream on the same VM, as its announcements describe it.
    pub local_upstream: RefCell<LocalUpstream>,
    /// Slots of the local upstream.
    pub slots: Slots,
    /// Verdict on the local upstream.
    pub health: LocalHealth,
    /// Headers of the local upstream that were reported as unread.
    pub unread_headers: UnreadHeaders,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Calls to other services per execution of a class at the local upstream.
    pub calls_per_execution: RefCell<CallsPerExecution>,
    /// Results of the calls that start here, and refusals of requests whose calls would be rejected.
    pub call_admission: RefCell<CallAdmission>,
    /// The memory that requests, answers and connections use.
    pub memory: SharedBudget,
    /// Connections to the local upstream and to other nodes.
    pub outgoing: Rc<OutgoingConnections>,
    /// Connections from clients and other nodes.
    pub request_connections: Rc<CallerConnections>,
    /// Connections to the other endpoints of the node, for instance those for announcements of the upstream.
    pub endpoint_connections: Rc<CallerConnections>,
    /// Client requests in progress.
    pub in_progress: Cell<usize>,
    /// Requests of operators in progress.
    pub operator_requests: Cell<usize>,
    /// Attempts at requests of clients that may be waiting for a slot.
    pub waiting_attempts: Rc<WaitingAttempts>,
    /// When the node was asked to stop.
    pub stopping_since: Cell<Option<Timestamp>>,
    /// Notified when the client requests that are still in progress have to end, because the node does.
    pub requests_end: Notify,
    /// Counters since the start.
    pub counters: ProxyCounters,
    /// Writes events to the log.
    pub log_writer: LineWriter,
    /// When the node started.
    pub started: Timestamp,
    /// How client requests ended, by class.
    pub class_counts: RefCell<BTreeMap<ClassName, ClassCounts>>,
    /// Client requests by organisation.
    pub organisation_counts: RefCell<CountsByOrganisation>,
    /// Moving average of the bytes of a request and its response, by class.
    pub class_bytes: RefCell<ClassBytes>,
    /// Whether a newer routing table is being fetched from other nodes.
    pub is_fetching_table: Cell<bool>,
    /// Nodes that have offered or reported newer versions of the routing table.
    pub table_sources: RefCell<TableSources>,
    /// How long other nodes have been reporting newer versions of the configuration.
    pub version_lag: RefCell<VersionLag>,
    /// Notified when another node offers a newer routing table.
    pub table_offered: Notify,
    /// Nodes of the zone to which this node has offered the routing table in force.
    pub offer_rounds: RefCell<OfferRounds>,
    /// Availability zones that get no requests.
    pub evacuations: EvacuationsInForce,
    /// Revision of this node's record in the store, as last read; 0 before.
    pub own_record_revision: Cell<u64>,
    /// Liveness of other nodes.
    pub liveness: PeerLiveness,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Contact with other nodes and the store.
    pub contact: MeshContact,
    /// Notified when a newer routing table is in force.
    pub table_applied: Notify,
    /// Wakes the tasks that wait for a newer routing table.
    newer_table: Notify,
    /// The source of the current incarnation's latest announcement.
    pub announcement_source: Cell<IncarnationSource>,
    /// Whether a task is checking if the local upstream serves.
    pub is_checking_upstream: Cell<bool>,
    /// Until when this node reads the store in place of a node that can't reach it.
    substitute_reader_until: Cell<Timestamp>,
    /// Upstream crashes that this node counts, by request.
    pub crash_counts: RefCell<CrashCounts>,
    /// Requests that no upstream gets, because they crash upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Requests that the current incarnation of the local upstream has answered.
    pub answered_requests: RefCell<AnsweredRequests>,
    /// Queue of requests whose quarantine state has to be written to the store. The state is looked up at the time of the write.
    pub quarantine_writes: (Sender<RequestFingerprint>, Receiver<RequestFingerprint>),
    /// Number of services picked by weight so far. Starts at a random value and determines the next pick.
    pub service_picks: Cell<u32>,
}

impl ProxyCore {
    /// The state of a node that has just started: no routing table, no known nodes.
    #[must_use]
    pub fn new(settings: ProxySettings, timers: TimerService) -> Rc<Self> {
        let memory = SharedBudget::for_memory(settings.limits.memory_bytes);
        Rc::new(Self {
            directory: RefCell::new(Directory::default()),
            node_records_read: Cell::new(false),
            node_records_loaded: Notify::new(),
            stored_record: RefCell::default(),
            record_lost_in_epoch: Cell::default(),
            own_record_changed: Notify::new(),
            own_record_lost: Notify::new(),
            local_upstream: RefCell::default(),
            slots: Slots::new(settings.limits.probes_per_second, timers.now()),
            health: LocalHealth::default(),
            unread_headers: UnreadHeaders::default(),
            retry_budgets: RefCell::default(),
            calls_per_execution: RefCell::default(),
            call_admission: RefCell::default(),
            outgoing: OutgoingConnections::new(timers.clone(), memory.clone()),
            memory,
            request_connections: CallerConnections::new(),
            endpoint_connections: CallerConnections::new(),
            in_progress: Cell::new(0),
            operator_requests: Cell::new(0),
            waiting_attempts: Rc::default(),
            stopping_since: Cell::new(None),
            requests_end: Notify::new(),
            counters: ProxyCounters::default(),
            log_writer: LineWriter::new(settings.name.clone(), settings.log, timers.now()),
            started: timers.now(),
            class_counts: RefCell::default(),
            organisation_counts: RefCell::default(),
            class_bytes: RefCell::default(),
            limits: Cell::new(settings.limits),
            is_fetching_table: Cell::new(false),
            table_sources: RefCell::default(),
            version_lag: RefCell::default(),
            table_offered: Notify::new(),
            offer_rounds: RefCell::default(),
            evacuations: EvacuationsInForce::default(),
            own_record_revision: Cell::default(),
            liveness: PeerLiveness::default(),
            quotas: Quotas::default(),
            contact: MeshContact::new(timers.now()),
            table_applied: Notify::new(),
            newer_table: Notify::new(),
            announcement_source: Cell::new(IncarnationSource::EarlyAnnouncement),
            is_checking_upstream: Cell::new(false),
            substitute_reader_until: Cell::default(),
            crash_counts: RefCell::default(),
            quarantine: RefCell::default(),
            answered_requests: RefCell::default(),
            quarantine_writes: flume::unbounded(),
            service_picks: Cell::new(rand::rng().random_range(0..1_000)),
            settings,
            timers,
        })
    }

    /// Reads the request ID from the headers; empty if it is absent or no valid text.
    #[must_use]
    pub fn read_request_id(&self, headers: &HeaderMap) -> String {
        let id = headers.get(&self.settings.headers.request_id);
        let text = id.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> NodeLimits {
        self.limits.get()
    }

    /// Replaces the limits in force, including the probe rate of the slots.
    pub fn set_limits(&self, limits: NodeLimits) {
        self.limits.set(limits);
        self.slots.set_probe_limit(limits.probes_per_second);
        self.memory.set_memory(limits.memory_bytes);
    }

    /// Writes an event to the log with the current time.
    pub fn log(&self, event: &ProxyEvent) {
        self.log_writer.write(event, self.timers.now());
    }

    /// The routing table in force; none before the first one is known.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<RouteIndex>> {
        self.directory.borrow().routes()
    }

    /// Puts a routing table in force if it is newer than the current one. Returns whether it was newer.
    pub fn apply_table(&self, table: RoutingTable, source: StateSource) -> bool {
        let event = ProxyEvent::TableInForce {
            version: table.version.0,
            before: self.directory.borrow().version().0,
            routes: table.routes.len(),
            source: source.name(),
        };
        let is_newer = self.directory.borrow_mut().apply_table(table);
        if is_newer {
            self.log(&event);
            self.table_applied.notify_one();
            self.newer_table.notify_waiters();
        }
        is_newer
    }

    /// Applies a record of another node. Returns whether it changed what was known; a record of this node never does.
    pub fn apply_record(&self, stored: StoredRecord, source: StateSource) -> bool {
        if stored.record.address == self.settings.peer_address {
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
        let is_changed = self.directory.borrow_mut().apply_record(stored, source);
        if is_changed {
            self.log(&event);
        }
        is_changed
    }

    /// Waits until a newer routing table is in force.
    pub async fn wait_for_newer_table(&self) {
        self.newer_table.notified().await;
    }

    /// Marks the node records as read from the store, and wakes the task that waits for them.
    pub fn mark_node_records_read(&self) {
        self.node_records_read.set(true);
        self.node_records_loaded.notify_one();
    }

    /// Whether the node records have been read from the store since the start.
    #[must_use]
    pub fn has_records(&self) -> bool {
        self.node_records_read.get()
    }

    /// Waits until the node records have been read from the store since the start.
    pub async fn wait_for_node_records(&self) {
        while !self.has_records() {
            self.node_records_loaded.notified().await;
        }
    }

    /// Applies `update` to the counts of a class.
    pub fn update_class_counts(&self, class: &ClassName, update: impl FnOnce(&mut ClassCounts)) {
        let mut classes = self.class_counts.borrow_mut();
        match classes.get_mut(class) {
            Some(counts) => update(counts),
            None => update(classes.entry(class.clone()).or_default()),
        }
    }

    /// Whether clients may send requests to this node: it has a routing table and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes().is_some()
    }

    /// Whether the node has been asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }
}
