//! Sends the node's metrics once a second.

use crate::{
    node::core::NodeCore,
    state::{
        membership::MemberState,
        names::{ClassName, ServiceName},
        statistics::{CallCounts, CallTotals},
    },
    transport::metrics::{Metric, MetricLabels, Metrics},
};
use std::{collections::HashMap, rc::Rc, time::Duration};

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Sends metrics until dropped, or not at all if the settings name no server.
pub async fn send_metrics(core: Rc<NodeCore>) {
    let metrics = match Metrics::connect(&core.settings.metrics, &core.me.name) {
        Ok(metrics) => metrics,
        Err(error) => {
            tracing::error!(%error, "can't send metrics");
            return;
        }
    };
    if !metrics.is_enabled() {
        return;
    }
    let mut report = MetricsReport {
        metrics,
        calls: HashMap::new(),
        probes: HashMap::new(),
    };
    let ticks = core.timers.every(REPORT_PERIOD);
    while ticks.recv_async().await.is_ok() {
        report.send(&core);
    }
}

/// Probes of one service since the node's start.
#[derive(Clone, Copy, Default)]
struct ProbeTotals {
    probes: u64,
    bytes: u64,
}

/// Where metrics go, and the sums of which counters were sent already.
struct MetricsReport {
    metrics: Metrics,
    calls: HashMap<(ServiceName, ClassName), CallTotals>,
    probes: HashMap<ServiceName, ProbeTotals>,
}

impl MetricsReport {
    fn send(&mut self, core: &NodeCore) {
        self.send_calls(core);
        self.send_probes(core);
        self.send_upstream(core);
        self.send_mesh(core);
    }

    fn send_calls(&mut self, core: &NodeCore) {
        let now = core.timers.now();
        let mut statistics = core.statistics.borrow_mut();
        for (key, class) in statistics.iter_mut() {
            let (service, name) = key;
            let labels = MetricLabels {
                service: Some(service.as_str()),
                class: Some(name.as_str()),
            };
            let totals = class.totals();
            let sent = self.calls.insert(key.clone(), totals);
            self.send_totals(totals, sent.unwrap_or_default(), labels);
            let (window, _) = class.window(now);
            self.send_times(&window, labels);
        }
    }

    fn send_totals(&self, totals: CallTotals, sent: CallTotals, labels: MetricLabels<'_>) {
        let counters = [
            (Metric::CallsAnswered, totals.answered - sent.answered),
            (Metric::CallsNotRun, totals.not_run - sent.not_run),
            (Metric::CallsUnknown, totals.unknown - sent.unknown),
            (Metric::CallsOnTarget, totals.on_target - sent.on_target),
            (Metric::Retries, totals.retries - sent.retries),
        ];
        for (metric, amount) in counters {
            self.count(metric, amount, labels);
        }
    }

    /// Sends nothing for a class without answers: a time of 0 would read as a very fast one.
    fn send_times(&self, window: &CallCounts, labels: MetricLabels<'_>) {
        if window.answered == 0 {
            return;
        }
        let median = window.times.value_at_quantile(0.5);
        let slow = window.times.value_at_quantile(0.99);
        self.metrics.send(Metric::CallTimeP50, median, labels);
        self.metrics.send(Metric::CallTimeP99, slow, labels);
    }

    fn send_probes(&mut self, core: &NodeCore) {
        let now = core.timers.now();
        let routers = core.routers.borrow();
        for (service, router) in routers.iter() {
            let used = router.snapshot(now).measuring.used;
            let totals = ProbeTotals {
                probes: used.probes,
                bytes: used.bytes,
            };
            let sent = self.probes.insert(service.clone(), totals);
            let sent = sent.unwrap_or_default();
            let labels = MetricLabels {
                service: Some(service.as_str()),
                class: None,
            };
            self.count(Metric::Probes, totals.probes - sent.probes, labels);
            self.count(Metric::ProbeBytes, totals.bytes - sent.bytes, labels);
        }
    }

    fn send_upstream(&self, core: &NodeCore) {
        let load = core.load_report();
        self.gauge(Metric::UpstreamRunning, u64::from(load.running));
        self.gauge(Metric::UpstreamQueued, u64::from(load.queued));
        self.gauge(Metric::UpstreamLimit, u64::from(load.limit));
        self.gauge(Metric::CallsInProgress, core.calls.get() as u64);
    }

    fn send_mesh(&self, core: &NodeCore) {
        let now = core.timers.now();
        let membership = core.membership.borrow();
        let (mut known, mut suspected) = (0, 0);
        for (_, state) in membership.members(now) {
            known += u64::from(state != MemberState::Dead);
            suspected += u64::from(state == MemberState::Suspected);
        }
        self.gauge(Metric::MembersKnown, known);
        self.gauge(Metric::MembersSuspected, suspected);
        self.gauge(Metric::ConfigurationVersion, core.configuration().version.0);
        self.gauge(Metric::LogFailures, u64::from(core.log_failures.get()));
        let log = membership.log_knowledge(now);
        if log.offset > 0 {
            let age = u64::try_from(log.age.as_millis()).unwrap_or(u64::MAX);
            self.gauge(Metric::LogAge, age);
        }
    }

    fn count(&self, metric: Metric, amount: u64, labels: MetricLabels<'_>) {
        if amount > 0 {
            self.metrics.send(metric, amount, labels);
        }
    }

    fn gauge(&self, metric: Metric, value: u64) {
        self.metrics.send(metric, value, MetricLabels::default());
    }
}
