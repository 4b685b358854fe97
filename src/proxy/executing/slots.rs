//! The slots of the upstream beside the node, and who waits for them.

use crate::{
    coordination::slot_queue::{SlotAction, SlotNumber, SlotQueue},
    proxy::{core::ProxyCore, executing::slowdown::PaceKnowledge},
    state::{
        ablation::Mechanism, failure_rate::FailureRate, known_node::NodeLoad, names::ClassName,
        service_times::ServiceTimes, timestamp::Timestamp,
    },
};
use flume::Sender;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Share of an upstream's slots that are used. Above it some upstreams take longer for every
/// request, so that fewer are done in the same time.
const USED_SLOTS: f64 = 0.8;
/// Slots taken until the upstream has told how many it has.
const FIRST_LIMIT: usize = 4;

/// The slots of the upstream and who waits for them.
pub struct Slots {
    pub(super) queue: RefCell<SlotQueue>,
    pub(super) pace: PaceKnowledge,
    /// When the upstream was last asked, and so told how long it stays cold.
    pub(super) warmth_told_at: Cell<Option<Timestamp>>,
    /// Not tried before: connects to the upstream failed.
    pub(super) paused_until: Cell<Timestamp>,
    times: RefCell<ServiceTimes>,
    failures: Cell<FailureRate>,
    waiting: RefCell<HashMap<SlotNumber, Sender<bool>>>,
    expiry_armed: Cell<Option<Timestamp>>,
}

impl Slots {
    /// No slot in use; at most that many questions a second for the upstream's load.
    #[must_use]
    pub fn new(probes_per_second: f64, now: Timestamp) -> Self {
        Self {
            queue: RefCell::new(SlotQueue::new(FIRST_LIMIT, now)),
            pace: PaceKnowledge::new(probes_per_second),
            warmth_told_at: Cell::default(),
            paused_until: Cell::default(),
            times: RefCell::default(),
            failures: Cell::default(),
            waiting: RefCell::default(),
            expiry_armed: Cell::default(),
        }
    }

    /// Forgets what holds for one run of the upstream only.
    pub fn reset_incarnation_state(&self) {
        self.paused_until.set(Timestamp::default());
        self.pace.restart();
        self.warmth_told_at.set(None);
        self.queue.borrow_mut().begin_incarnation();
    }

    /// Records that the current run of the upstream got requests of an earlier process of this node.
    pub fn resume_incarnation(&self) {
        self.queue.borrow_mut().mark_incarnation_inherited();
    }

    /// Notes that the upstream did not answer a question: it is asked again after the usual pause.
    pub(super) fn note_unanswered(&self, now: Timestamp) {
        self.pace.note_unanswered(now);
        self.warmth_told_at.set(Some(now));
    }

    /// Lets that many questions a second be asked from now on.
    pub fn set_probe_limit(&self, probes_per_second: f64) {
        self.pace.set_limit(probes_per_second);
    }

    /// Load of the upstream now.
    #[must_use]
    pub fn load(&self) -> NodeLoad {
        let queue = self.queue.borrow();
        NodeLoad {
            running: saturate(queue.running()),
            queued: saturate(queue.queued()),
            limit: saturate(queue.limit()),
            slowdown_percent: queue.slowdown().percent,
            failed_percent: self.failures.get().percent(),
        }
    }

    /// Time that work of a class takes at the usual pace.
    #[must_use]
    pub fn expect(&self, class: &ClassName) -> Duration {
        self.times.borrow().expected_time(class)
    }

    /// Learns how long work took that started at `percent` of the usual time.
    pub fn observe(&self, class: &ClassName, took: Duration, percent: u16) {
        self.times.borrow_mut().observe(class, took, percent);
    }

    /// Learns whether a request failed at the upstream.
    pub fn observe_end(&self, failed: bool) {
        let mut failures = self.failures.get();
        failures.observe(failed);
        self.failures.set(failures);
    }

    /// Whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queue.borrow().queued() > 0
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Requests that are let run at once at an upstream with that many slots.
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
    let limit = (f64::from(slots) * USED_SLOTS).floor() as usize;
    limit.max(1)
}

/// Takes a new limit of running requests.
pub fn set_slot_limit(core: &Rc<ProxyCore>, limit: usize) {
    let now = core.timers.now();
    let actions = core.slots.queue.borrow_mut().set_limit(limit, now);
    apply(core, actions);
}

/// Takes all requests that wait out of the queue and refuses them, so that other nodes run them.
pub fn refuse_queued_requests(core: &Rc<ProxyCore>) {
    let actions = core.slots.queue.borrow_mut().withdraw_all();
    apply(core, actions);
}

/// A slot, given back when dropped: the future of a request is dropped wherever it stands when its
/// client goes away.
pub struct HeldSlot {
    core: Rc<ProxyCore>,
    number: SlotNumber,
}

impl HeldSlot {
    pub fn new(core: &Rc<ProxyCore>, number: SlotNumber) -> Self {
        Self {
            core: Rc::clone(core),
            number,
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let now = self.core.timers.now();
        let mut queue = self.core.slots.queue.borrow_mut();
        let actions = queue.finish(self.number, now);
        drop(queue);
        apply(&self.core, actions);
    }
}

/// A place in the queue, given back when the future that waits is dropped.
struct HeldPlace<'a> {
    core: &'a Rc<ProxyCore>,
    number: SlotNumber,
    settled: bool,
}

impl Drop for HeldPlace<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        self.core.slots.waiting.borrow_mut().remove(&self.number);
        let waited = self.core.slots.queue.borrow_mut().withdraw(self.number);
        if !waited {
            // Its turn came while it was being dropped.
            drop(HeldSlot::new(self.core, self.number));
        }
    }
}

/// True once the request has a slot, false if it can't end in time any more.
pub async fn wait_for_slot(core: &Rc<ProxyCore>, number: SlotNumber) -> bool {
    let (tx, rx) = flume::bounded(1);
    core.slots.waiting.borrow_mut().insert(number, tx);
    arm_expiry(core);
    core.slots.pace.watch(core);
    let mut place = HeldPlace {
        core,
        number,
        settled: false,
    };
    let started = rx.recv_async().await;
    place.settled = true;
    started.unwrap_or(false)
}

/// Tells waiting requests what was decided about them.
pub fn apply(core: &Rc<ProxyCore>, actions: Vec<SlotAction>) {
    for action in actions {
        let (number, starts) = match action {
            SlotAction::Start(number) => (number, true),
            SlotAction::Expire(number) => (number, false),
        };
        let waiting = core.slots.waiting.borrow_mut().remove(&number);
        if let Some(tx) = waiting {
            // The receiver lives as long as the place, whose end gives the slot back.
            let _ = tx.send(starts);
        }
    }
    arm_expiry(core);
}

fn arm_expiry(core: &Rc<ProxyCore>) {
    let now = core.timers.now();
    let Some(due) = core.slots.queue.borrow().next_expiry(now) else {
        return;
    };
    let armed = core.slots.expiry_armed.get();
    if armed.is_some_and(|armed| armed <= due) {
        return;
    }
    core.slots.expiry_armed.set(Some(due));
    let wait = core.timers.after(due.since(now));
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = wait.recv_async().await;
        core.slots.expiry_armed.set(None);
        let actions = core.slots.queue.borrow_mut().expire(core.timers.now());
        apply(&core, actions);
    });
}
