//! Tracks the slowdown of the local upstream's VM. Responses report it; if the last report is old, the upstream is probed.
//!
//! The slowdown changes several times a second, and a request that starts while it is high stays slow. A probe costs the upstream
//! about a millisecond and no slot.

use crate::{
    coordination::vm_slowdown::SlowdownHistory,
    proxy::{
        core::ProxyCore,
        executing::{
            probes::{find_health_uri, send_probe},
            slots::apply_slot_actions,
        },
    },
    state::{ablation::Mechanism, rate_limit::RateLimit, timestamp::Timestamp},
    transport::outgoing::ConnectionReuse,
};
use http::HeaderMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Age up to which a reported slowdown is used. A request that starts during a slowdown takes about three times as long. VMs change
/// their speed at most every 300 ms, so one in 12 has changed within this time.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(25);
/// Pause between probes while requests wait for the VM to recover.
const WAITING_PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// Burst of probes, as seconds of the allowed rate.
const PROBE_BURST_SECONDS: f64 = 1.0;

/// The reported slowdown, its history, and the probes that refresh it.
pub struct SlowdownTracker {
    /// Time of the last report; none for an upstream that does not report its load.
    reported_at: Cell<Option<Timestamp>>,
    history: Cell<SlowdownHistory>,
    pending_probe: RefCell<Option<flume::Receiver<()>>>,
    is_polling: Cell<bool>,
    /// Keeps the probes within the rate that operators allow.
    budget: Cell<RateLimit>,
}

impl SlowdownTracker {
    /// A tracker without reports. `probes_per_second` limits the probes of the upstream.
    #[must_use]
    pub fn new(probes_per_second: f64) -> Self {
        Self {
            reported_at: Cell::default(),
            history: Cell::default(),
            pending_probe: RefCell::default(),
            is_polling: Cell::default(),
            budget: Cell::new(RateLimit::new(
                probes_per_second,
                probes_per_second * PROBE_BURST_SECONDS,
            )),
        }
    }

    /// Resets the baseline speed, since the upstream has a new incarnation.
    pub fn reset_baseline(&self) {
        let mut history = self.history.get();
        history.reset_baseline();
        self.history.set(history);
    }

    /// Changes the limit of probes per second.
    pub fn set_probe_limit(&self, probes_per_second: f64) {
        let limit = RateLimit::new(probes_per_second, probes_per_second * PROBE_BURST_SECONDS);
        self.budget.set(limit);
    }

    /// Takes one probe from the allowed rate; false if the rate is exhausted.
    pub fn take_probe(&self, now: Timestamp) -> bool {
        let mut budget = self.budget.get();
        let granted = budget.try_acquire(now);
        self.budget.set(budget);
        granted
    }

    /// Records that a probe got no answer. An upstream that has never reported a slowdown is not probed for it.
    pub fn record_unanswered_probe(&self, now: Timestamp) {
        if self.reported_at.get().is_some() {
            self.reported_at.set(Some(now));
        }
    }

    /// Time since the last report; none if there was none.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.reported_at.get().map(|at| now.since(at))
    }

    fn is_stale(&self, now: Timestamp) -> bool {
        self.reported_at
            .get()
            .is_some_and(|at| now.since(at) > MAX_SLOWDOWN_AGE)
    }

    /// Probes repeatedly while requests wait and the VM is slow.
    pub fn probe_while_waiting(&self, core: &Rc<ProxyCore>) {
        if self.is_polling.replace(true) {
            return;
        }
        let core = Rc::clone(core);
        spawn_local(async move {
            while core.slots.has_waiting()
                && core.slots.queue.borrow().slowdown().is_above_baseline()
            {
                let _ = core.timers.after(WAITING_PROBE_INTERVAL).recv_async().await;
                refresh_slowdown(&core).await;
            }
            core.slots.slowdown.is_polling.set(false);
        });
    }
}

/// Records the load reported in a response of the upstream.
pub fn record_load_header(core: &Rc<ProxyCore>, headers: &HeaderMap) {
    let text = headers
        .get(&core.settings.headers.load)
        .and_then(|value| value.to_str().ok());
    let percent = text.and_then(|text| text.split(',').nth(3)?.trim().parse().ok());
    let Some(percent) = percent else {
        return;
    };
    let now = core.timers.now();
    core.slots.slowdown.reported_at.set(Some(now));
    let mut history = core.slots.slowdown.history.get();
    let slowdown = history.record(percent, now);
    core.slots.slowdown.history.set(history);
    let actions = core.slots.queue.borrow_mut().set_slowdown(slowdown, now);
    apply_slot_actions(core, actions);
    if core.slots.has_waiting() {
        core.slots.slowdown.probe_while_waiting(core);
    }
}

/// Probes the upstream if the last reported slowdown is too old.
pub async fn refresh_slowdown(core: &Rc<ProxyCore>) {
    if Mechanism::SlowdownProbes.is_disabled() || !core.slots.slowdown.is_stale(core.timers.now()) {
        return;
    }
    probe_slowdown(core).await;
}

/// Probes the upstream for its slowdown. Concurrent callers share one probe.
pub async fn probe_slowdown(core: &Rc<ProxyCore>) {
    let pending = core.slots.slowdown.pending_probe.borrow().clone();
    if let Some(done) = pending {
        // The sender is dropped when the probe has ended.
        let _ = done.recv_async().await;
        return;
    }
    let (tx, done) = flume::bounded::<()>(1);
    *core.slots.slowdown.pending_probe.borrow_mut() = Some(done.clone());
    let probe_core = Rc::clone(core);
    // Continues when the request that started the probe is dropped, since others may wait for it.
    spawn_local(async move {
        send_slowdown_probe(&probe_core).await;
        probe_core.slots.slowdown.pending_probe.borrow_mut().take();
        drop(tx);
    });
    let _ = done.recv_async().await;
}

async fn send_slowdown_probe(core: &Rc<ProxyCore>) {
    let service = core
        .local_upstream
        .borrow()
        .serving()
        .map(|current| current.service.clone());
    let Some(uri) = service.and_then(|service| find_health_uri(core, &service)) else {
        return;
    };
    match send_probe(core, uri, ConnectionReuse::Any).await {
        Ok(answer) => record_load_header(core, answer.headers()),
        // The next probe is sent after the maximum age of a report, not by each request that arrives in the meantime.
        Err(_) => core.slots.record_unanswered_probe(core.timers.now()),
    }
}
