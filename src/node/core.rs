//! What the parts of a node share on its event-loop thread.

use crate::{
    constants::HEAD_LIMIT,
    coordination::{
        admission::{Admission, AdmissionSettings, execution::Execution},
        membership::{Membership, MembershipTiming},
        retries::RetryBudget,
        routing::Router,
    },
    events::recorder::EventRecorder,
    node::{
        configuring::{ownership_settings, seed_of},
        executing::ExecutingAttempts,
        keyed_calls::KeyedCalls,
        log_threads::LogThreads,
        stop::StopKind,
    },
    options::node_settings::{MembershipSettings, NodeSettings},
    protocol::load_report::{LoadReport, UpstreamCondition},
    state::{
        attempts::AttemptBounds,
        configuration::{Configuration, ConfigurationVersion},
        latency_history::LatencyHistory,
        member::Member,
        moment::Moment,
        names::{ClassName, NodeName, ServiceName},
        published::FoldedState,
        statistics::{ClassStatistics, CountedCall},
    },
    timers::TimerService,
    transport::{peers::PeerConnections, upstreams::UpstreamConnections},
};
use flume::Sender;
use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

/// The configuration in force and its version.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationInForce {
    /// Count of accepted publications.
    pub version: ConfigurationVersion,
    /// The content.
    pub content: Configuration,
}

/// State and edges of one node. Lives on the event-loop thread; no borrow is held over an `await`.
pub struct NodeCore {
    /// What the node was told.
    pub settings: NodeSettings,
    /// What it tells others of itself.
    pub me: Member,
    /// Time and wake-ups.
    pub timers: TimerService,
    /// The record of events.
    pub recorder: EventRecorder,
    /// The configuration in force.
    pub configuration: RefCell<Rc<ConfigurationInForce>>,
    /// One router a service.
    pub routers: RefCell<HashMap<ServiceName, Router>>,
    /// Budgets for further attempts, one a service.
    pub retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Latencies of answered attempts, a class.
    pub latencies: RefCell<HashMap<(ServiceName, ClassName), LatencyHistory>>,
    /// The nodes that calls may go to, this one among them.
    pub members: RefCell<HashMap<NodeName, Member>>,
    /// Which nodes there are and which can be reached.
    pub membership: RefCell<Membership>,
    /// The state folded from the log.
    pub folded: RefCell<Arc<FoldedState>>,
    /// Channels to the threads of the log.
    pub log: LogThreads,
    /// Reads of the log that failed in a row.
    pub log_failures: Cell<u32>,
    /// When they began to fail.
    pub log_failing_since: Cell<Moment>,
    /// Admission at the upstream beside the node, and what is known of attempts that reached it.
    pub execution: RefCell<Execution>,
    /// Ways to reach attempts that wait or run.
    pub executing: RefCell<ExecutingAttempts>,
    /// Connections to the upstream.
    pub upstream: Rc<UpstreamConnections>,
    /// Connections to other nodes; set once, right after the core is made.
    pub peers: OnceCell<PeerConnections>,
    /// Counts of calls that callers brought to this node.
    pub statistics: RefCell<HashMap<(ServiceName, ClassName), ClassStatistics>>,
    /// Calls of callers in progress.
    pub calls: Cell<usize>,
    /// Owners of idempotency keys, and this node's own keys.
    pub keyed: KeyedCalls,
    /// Whether the node takes no new work.
    pub stopping: Cell<bool>,
    /// Asks the event loop to end.
    pub stop_tx: Sender<StopKind>,
}

impl NodeCore {
    /// The state of a node that knows nobody yet.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        me: Member,
        timers: TimerService,
        recorder: EventRecorder,
        log: LogThreads,
        stop_tx: Sender<StopKind>,
    ) -> Rc<Self> {
        let admission = Admission::new(AdmissionSettings {
            slots: me.slots,
            ..AdmissionSettings::default()
        });
        let wall = Duration::from_millis(timers.wall_millis());
        let origin = wall.saturating_sub(Duration::from_micros(timers.now().0));
        let execution = Execution::new(admission, AttemptBounds::default(), origin);
        let upstream = UpstreamConnections::new(
            settings.upstream.address,
            settings.upstream.connections,
            HEAD_LIMIT,
            settings.callers.body_limit_bytes,
            timers.clone(),
        );
        let seed = seed_of(&me.name, me.incarnation.0);
        let seeds = settings.peers.seeds.clone();
        let membership = Membership::new(me.clone(), seeds, seed, timers.now())
            .with_timing(membership_timing(&settings.membership));
        let keyed = KeyedCalls::new(&me, ownership_settings(&settings));
        Rc::new(Self {
            settings,
            me,
            timers,
            recorder,
            configuration: RefCell::default(),
            routers: RefCell::default(),
            retry_budgets: RefCell::default(),
            latencies: RefCell::default(),
            members: RefCell::default(),
            membership: RefCell::new(membership),
            folded: RefCell::default(),
            log,
            log_failures: Cell::new(0),
            log_failing_since: Cell::default(),
            execution: RefCell::new(execution),
            executing: RefCell::default(),
            upstream,
            peers: OnceCell::new(),
            statistics: RefCell::default(),
            calls: Cell::new(0),
            keyed,
            stopping: Cell::new(false),
            stop_tx,
        })
    }

    /// The configuration in force now.
    #[must_use]
    pub fn configuration(&self) -> Rc<ConfigurationInForce> {
        Rc::clone(&self.configuration.borrow())
    }

    /// The load of the upstream beside the node.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let mut load = self
            .execution
            .borrow()
            .admission()
            .load_report(self.timers.now());
        if self.stopping.get() {
            load.condition = UpstreamCondition::Draining;
        }
        load
    }

    /// Counts a call that a caller brought here and that has ended.
    pub fn count_call(&self, service: &ServiceName, class: &ClassName, call: CountedCall) {
        let now = self.timers.now();
        let mut statistics = self.statistics.borrow_mut();
        let key = (service.clone(), class.clone());
        let class = statistics
            .entry(key)
            .or_insert_with(|| ClassStatistics::new(now));
        class.count(call, now);
    }

    /// Whether no call was answered by the upstream in the last seconds.
    #[must_use]
    pub fn answered_nothing_lately(&self) -> bool {
        let admission = self.execution.borrow();
        let status = admission.admission().snapshot(self.timers.now());
        status.classes.iter().all(|class| class.answered == 0)
    }

    /// Whether the upstream is announced and takes work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let condition = self.load_report().condition;
        matches!(
            condition,
            UpstreamCondition::Serving | UpstreamCondition::Warming
        )
    }

    /// The member of that name, if calls may go to it.
    #[must_use]
    pub fn find_member(&self, name: &NodeName) -> Option<Member> {
        self.members.borrow().get(name).cloned()
    }

    /// Counts the latency of an answered attempt.
    pub fn note_latency(&self, class: (ServiceName, ClassName), took: Duration) {
        let now = self.timers.now();
        let mut latencies = self.latencies.borrow_mut();
        latencies.entry(class).or_default().record(took, now);
    }

    /// Asks for a planned stop of this node.
    pub fn request_stop(&self) {
        // The receiver goes only when the node ends anyway.
        let _ = self.stop_tx.send(StopKind::Graceful);
    }
}

fn membership_timing(cfg: &MembershipSettings) -> MembershipTiming {
    MembershipTiming {
        heartbeat: cfg.heartbeat_period,
        urgent_fanout: cfg.fanout,
        confirmed_timeout: cfg.suspect_after,
        unconfirmed_timeout: cfg.gone_after,
    }
}
