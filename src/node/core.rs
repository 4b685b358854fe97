//! What the parts of a node share on its event-loop thread.

use crate::{
    constants::HEAD_LIMIT,
    coordination::{
        admission::{Admission, AdmissionSettings, execution::Execution},
        routing::Router,
    },
    events::recorder::EventRecorder,
    node::executing::ExecutingAttempts,
    options::node_settings::NodeSettings,
    protocol::load_report::{LoadReport, UpstreamCondition},
    state::{
        attempts::AttemptBounds,
        configuration::{Configuration, ConfigurationVersion},
        member::Member,
        names::{ClassName, NodeName, ServiceName},
        statistics::{ClassStatistics, CountedCall},
    },
    timers::TimerService,
    transport::{peers::PeerConnections, upstreams::UpstreamConnections},
};
use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    rc::Rc,
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
    /// The other nodes, and this one.
    pub members: RefCell<HashMap<NodeName, Member>>,
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
    /// Whether the node takes no new work.
    pub stopping: Cell<bool>,
}

impl NodeCore {
    /// The state of a node that knows nobody yet.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        me: Member,
        timers: TimerService,
        recorder: EventRecorder,
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
        Rc::new(Self {
            settings,
            me,
            timers,
            recorder,
            configuration: RefCell::default(),
            routers: RefCell::default(),
            members: RefCell::default(),
            execution: RefCell::new(execution),
            executing: RefCell::default(),
            upstream,
            peers: OnceCell::new(),
            statistics: RefCell::default(),
            calls: Cell::new(0),
            stopping: Cell::new(false),
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

    /// Tells other nodes that this one leaves.
    pub fn announce_leaving(&self) {}
}
