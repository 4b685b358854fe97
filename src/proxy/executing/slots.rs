//! The slots of the local upstream and the requests that wait for them.

use crate::{
    coordination::slot_queue::{SlotAction, SlotNumber, SlotQueue},
    proxy::{
        core::ProxyCore,
        events::{ProxyEvent, in_millis},
        executing::slowdown::SlowdownTracker,
    },
    state::{
        ablation::Mechanism, failure_rate::FailureRate, known_node::NodeLoad, names::ClassName,
        request_rate::RequestRate, service_times::ServiceTimes, timestamp::Timestamp,
    },
};
use flume::Sender;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Share of an upstream's slots that are used. Above it, some upstreams take longer for every request and complete fewer requests in
/// the same time.
const USED_SLOT_SHARE: f64 = 0.8;
/// Slot limit until the upstream has announced its number of slots.
const INITIAL_SLOT_LIMIT: usize = 4;

/// The slots of the local upstream, the requests that wait for them, and statistics of executed requests.
pub struct Slots {
    pub(super) queue: RefCell<SlotQueue>,
    pub(super) slowdown: SlowdownTracker,
    /// Time of the last probe, whose response carries the remaining warm-up time.
    pub(super) warmup_probed_at: Cell<Option<Timestamp>>,
    /// End of the warm-up that the upstream reported before this node knew a configuration.
    pub(super) warmup_before_routes: Cell<Timestamp>,
    /// Until when the upstream gets no requests after a failed connect or a crash.
    pub(super) paused_until: Cell<Timestamp>,
    service_times: RefCell<ServiceTimes>,
    failure_rate: Cell<FailureRate>,
    waiting_requests: RefCell<HashMap<SlotNumber, WaitingRequest>>,
    scheduled_expiry: Cell<Option<Timestamp>>,
}

/// A request in the queue, whose handler waits for the decision.
struct WaitingRequest {
    /// The node that sent the request.
    sender: SocketAddr,
    /// Receives whether the request has got a slot.
    decision: Sender<bool>,
}

impl Slots {
    /// Slots without requests. `probes_per_second` limits the probes of the upstream.
    #[must_use]
    pub fn new(probes_per_second: f64, now: Timestamp) -> Self {
        Self {
            queue: RefCell::new(SlotQueue::new(INITIAL_SLOT_LIMIT, now)),
            slowdown: SlowdownTracker::new(probes_per_second),
            warmup_probed_at: Cell::default(),
            warmup_before_routes: Cell::default(),
            paused_until: Cell::default(),
            service_times: RefCell::default(),
            failure_rate: Cell::default(),
            waiting_requests: RefCell::default(),
            scheduled_expiry: Cell::default(),
        }
    }

    /// Resets what applies only to the former incarnation of the upstream.
    pub fn reset_incarnation_state(&self) {
        self.paused_until.set(Timestamp::default());
        self.slowdown.reset_baseline();
        self.warmup_probed_at.set(None);
        self.warmup_before_routes.take();
        self.queue.borrow_mut().begin_incarnation();
    }

    /// Records that the current incarnation of the upstream already got requests before this node restarted.
    pub fn resume_incarnation(&self) {
        self.queue.borrow_mut().mark_incarnation_inherited();
    }

    /// Records that the upstream did not answer a probe, so that the next one is sent only after the maximum age of a report.
    pub(super) fn record_unanswered_probe(&self, now: Timestamp) {
        self.slowdown.record_unanswered_probe(now);
        self.warmup_probed_at.set(Some(now));
    }

    /// Changes the limit of probes per second.
    pub fn set_probe_limit(&self, probes_per_second: f64) {
        self.slowdown.set_probe_limit(probes_per_second);
    }

    /// Current load of the upstream.
    #[must_use]
    pub fn load(&self) -> NodeLoad {
        let queue = self.queue.borrow();
        NodeLoad {
            running: saturate_to_u16(queue.running()),
            queued: saturate_to_u16(queue.queued()),
            limit: saturate_to_u16(queue.limit()),
            slowdown_percent: queue.slowdown().percent,
            failed_percent: self.failure_rate.get().percent(),
        }
    }

    /// The request limit that the upstream names; `None` if it names none.
    #[must_use]
    pub fn request_limit(&self) -> Option<RequestRate> {
        self.queue.borrow().request_limit()
    }

    /// Expected time that a request of a class takes at full speed of the VM.
    #[must_use]
    pub fn expected_time(&self, class: &ClassName) -> Duration {
        self.service_times.borrow().expected_time(class)
    }

    /// Records the duration of a request that started while work took `slowdown_percent` percent of its time at full speed.
    pub fn record_duration(&self, class: &ClassName, took: Duration, slowdown_percent: u16) {
        self.service_times
            .borrow_mut()
            .observe(class, took, slowdown_percent);
    }

    /// Records whether a request failed at the upstream.
    pub fn record_result(&self, failed: bool) {
        let mut failures = self.failure_rate.get();
        failures.observe(failed);
        self.failure_rate.set(failures);
    }

    /// Whether requests wait for a slot.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queue.borrow().queued() > 0
    }
}

fn saturate_to_u16(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Maximum number of concurrent requests at an upstream with this number of slots; at least 1.
#[must_use]
pub fn compute_slot_limit(slots: u16) -> usize {
    if Mechanism::SlotLimit.is_disabled() {
        return usize::from(slots).max(1);
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small positive number"
    )]
    let limit = (f64::from(slots) * USED_SLOT_SHARE).floor() as usize;
    limit.max(1)
}

/// Sets the maximum number of concurrent requests, and starts queued requests that it allows.
pub fn set_slot_limit(core: &Rc<ProxyCore>, limit: usize) {
    let now = core.timers.now();
    let actions = core.slots.queue.borrow_mut().set_limit(limit, now);
    apply_slot_actions(core, actions);
}

/// Removes all waiting requests from the queue and refuses them, so that other nodes execute them.
pub fn refuse_queued_requests(core: &Rc<ProxyCore>) {
    let actions = core.slots.queue.borrow_mut().withdraw_all();
    apply_slot_actions(core, actions);
}

/// Refuses the waiting requests of other nodes whose deadline is more than `limit` away, so that those nodes send them elsewhere.
pub fn refuse_requests_beyond(core: &Rc<ProxyCore>, limit: Duration) {
    let own_address = core.settings.peer_address;
    let numbers = list_waiting(core, |sender| sender != own_address);
    let end = core.timers.now() + limit;
    let mut queue = core.slots.queue.borrow_mut();
    let actions = queue.withdraw_ending_after(&numbers, end);
    drop(queue);
    apply_slot_actions(core, actions);
}

/// Bounds the end of the waiting requests of a node that stops and won't be there for their answers after `limit`. Those that can't
/// end by then are refused.
pub fn limit_requests_of(core: &Rc<ProxyCore>, sender: SocketAddr, limit: Duration) {
    let numbers = list_waiting(core, |other| other == sender);
    if numbers.is_empty() {
        return;
    }
    let refused = limit_waiting(core, &numbers, limit);
    core.log(&ProxyEvent::SenderStopping {
        from: sender,
        ends_ms: in_millis(limit),
        waiting: numbers.len(),
        refused,
    });
}

/// Returns the number of requests that are refused at once.
fn limit_waiting(core: &Rc<ProxyCore>, numbers: &[SlotNumber], limit: Duration) -> usize {
    let now = core.timers.now();
    let mut queue = core.slots.queue.borrow_mut();
    let actions = queue.limit_end(numbers, now + limit, now);
    drop(queue);
    let is_refused = |action: &&SlotAction| matches!(action, SlotAction::Expire(number) if numbers.contains(number));
    let refused = actions.iter().filter(is_refused).count();
    apply_slot_actions(core, actions);
    refused
}

fn list_waiting(core: &ProxyCore, is_included: impl Fn(SocketAddr) -> bool) -> Vec<SlotNumber> {
    let waiting = core.slots.waiting_requests.borrow();
    let included = waiting
        .iter()
        .filter(|(_, request)| is_included(request.sender));
    included.map(|(number, _)| *number).collect()
}

/// Holds a slot and returns it when dropped. The future of a request may be dropped at any `await` when its client disconnects.
pub struct SlotGuard {
    core: Rc<ProxyCore>,
    number: SlotNumber,
}

impl SlotGuard {
    pub fn new(core: &Rc<ProxyCore>, number: SlotNumber) -> Self {
        Self {
            core: Rc::clone(core),
            number,
        }
    }

    /// Records that the upstream has answered the request.
    pub fn record_answer(&self) {
        let now = self.core.timers.now();
        let mut queue = self.core.slots.queue.borrow_mut();
        queue.record_answer(self.number, now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.core.timers.now();
        let mut queue = self.core.slots.queue.borrow_mut();
        let actions = queue.finish(self.number, now);
        drop(queue);
        apply_slot_actions(&self.core, actions);
    }
}

/// Holds an entry in the queue and removes it when the waiting future is dropped.
struct QueueEntryGuard<'a> {
    core: &'a Rc<ProxyCore>,
    number: SlotNumber,
    is_decided: bool,
}

impl Drop for QueueEntryGuard<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.core
            .slots
            .waiting_requests
            .borrow_mut()
            .remove(&self.number);
        let was_queued = self.core.slots.queue.borrow_mut().withdraw(self.number);
        if !was_queued {
            // The request got its slot before the future was dropped.
            drop(SlotGuard::new(self.core, self.number));
        }
    }
}

/// Waits until the queue decides on a request of `sender`: true once it has a slot, false if it can no longer end in time or was
/// refused. `end_limit` is the time until the sender ends, if that is before the deadline.
pub async fn wait_for_slot(
    core: &Rc<ProxyCore>,
    number: SlotNumber,
    sender: SocketAddr,
    end_limit: Option<Duration>,
) -> bool {
    let (decision, rx) = flume::bounded(1);
    let request = WaitingRequest { sender, decision };
    core.slots
        .waiting_requests
        .borrow_mut()
        .insert(number, request);
    if let Some(limit) = end_limit {
        limit_waiting(core, &[number], limit);
    }
    if core.limits().overload.refuses_early() {
        // The request may have moved the turn of others beyond their deadline.
        let actions = core.slots.queue.borrow_mut().expire(core.timers.now());
        apply_slot_actions(core, actions);
    }
    schedule_expiry(core);
    core.slots.slowdown.probe_while_waiting(core);
    let mut entry = QueueEntryGuard {
        core,
        number,
        is_decided: false,
    };
    let has_slot = rx.recv_async().await;
    entry.is_decided = true;
    has_slot.unwrap_or(false)
}

/// Wakes the waiting requests on which the queue has decided.
pub fn apply_slot_actions(core: &Rc<ProxyCore>, actions: Vec<SlotAction>) {
    for action in actions {
        let (number, has_slot) = match action {
            SlotAction::Start(number) => (number, true),
            SlotAction::Expire(number) => (number, false),
        };
        let waiting = core.slots.waiting_requests.borrow_mut().remove(&number);
        if let Some(request) = waiting {
            // The receiver lives as long as the guard of the queue entry, which returns the slot when dropped.
            let _ = request.decision.send(has_slot);
        }
    }
    schedule_expiry(core);
}

fn schedule_expiry(core: &Rc<ProxyCore>) {
    let now = core.timers.now();
    let Some(due) = core.slots.queue.borrow().next_expiry(now) else {
        return;
    };
    let scheduled = core.slots.scheduled_expiry.get();
    if scheduled.is_some_and(|scheduled| scheduled <= due) {
        return;
    }
    core.slots.scheduled_expiry.set(Some(due));
    let wait = core.timers.after(due.since(now));
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = wait.recv_async().await;
        core.slots.scheduled_expiry.set(None);
        let actions = core.slots.queue.borrow_mut().expire(core.timers.now());
        apply_slot_actions(&core, actions);
    });
}
