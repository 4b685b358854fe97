//! Runs requests at the upstream beside the node, within its slots.

mod dispatch;

use crate::{
    coordination::slot_queue::{SlotAction, SlotDecision, SlotQueue, SlotRequest, WaitNumber},
    protocol::{
        hop::{HopAnswer, HopRequest, Verdict},
        outcome::RefusalReason,
    },
    proxy::core::{ProxyCore, count},
    state::{moment::Moment, placement_view::NodeLoad},
    transport::callers::CallerRequest,
};
use bytes::Bytes;
use dispatch::dispatch;
use flume::Sender;
use http::Response;
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
    queue: RefCell<SlotQueue>,
    waiting: RefCell<HashMap<WaitNumber, Sender<bool>>>,
    expiry_armed: Cell<Option<Moment>>,
    /// How long work takes at the upstream, in percent of the usual, as last told.
    slowdown: Cell<u16>,
    /// Not tried before: connects to the upstream failed.
    paused_until: Cell<Moment>,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            queue: RefCell::new(SlotQueue::new(FIRST_LIMIT)),
            waiting: RefCell::default(),
            expiry_armed: Cell::default(),
            slowdown: Cell::new(100),
            paused_until: Cell::default(),
        }
    }
}

impl Slots {
    /// Load of the upstream now.
    #[must_use]
    pub fn load(&self) -> NodeLoad {
        let queue = self.queue.borrow();
        NodeLoad {
            running: saturate(queue.running()),
            queued: saturate(queue.queued()),
            limit: saturate(queue.limit()),
            slowdown_percent: self.slowdown.get(),
        }
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Requests that are let run at once at an upstream with that many slots.
#[must_use]
pub fn limit_for(slots: u16) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small positive number"
    )]
    let limit = (f64::from(slots) * USED_SLOTS).floor() as usize;
    limit.max(1)
}

/// Takes a new limit of running requests.
pub fn set_limit(core: &Rc<ProxyCore>, limit: usize) {
    let now = core.timers.now();
    let actions = core.slots.queue.borrow_mut().set_limit(limit, now);
    apply(core, actions);
}

/// How an attempt at this node's upstream ended.
#[derive(Debug)]
pub struct Executed {
    /// What is told to the node that asked.
    pub answer: HopAnswer,
    /// The upstream's answer, if there is one.
    pub response: Option<Response<Bytes>>,
}

/// Runs a request at the upstream beside this node, or refuses it. Dropping the future takes it out
/// of the queue, or closes its connection to the upstream.
pub async fn execute(core: &Rc<ProxyCore>, hop: &HopRequest, req: CallerRequest) -> Executed {
    if let Some(reason) = find_refusal(core, hop) {
        return refuse(core, reason, Duration::ZERO);
    }
    let arrived = core.timers.now();
    let request = SlotRequest {
        priority: hop.priority,
        patience: hop.patience.min(hop.time_left),
    };
    let decision = core.slots.queue.borrow_mut().offer(request, arrived);
    match decision {
        SlotDecision::Run => {}
        SlotDecision::Refuse { wait } => return refuse(core, RefusalReason::QueueFull, wait),
        SlotDecision::Wait(number) => {
            if !wait_for_slot(core, number).await {
                let wait = core.slots.queue.borrow().expected_wait(hop.priority);
                return refuse(core, RefusalReason::QueueFull, wait);
            }
        }
    }
    let slot = HeldSlot::new(core);
    // The upstream may have left while the request waited.
    if let Some(reason) = find_refusal(core, hop) {
        return refuse(core, reason, Duration::ZERO);
    }
    let waited = core.timers.now().since(arrived);
    let Some(time_left) = hop.time_left.checked_sub(waited) else {
        return refuse(core, RefusalReason::DeadlinePassed, Duration::ZERO);
    };
    count(&core.counters.executed);
    let (verdict, response) = dispatch(core, hop, req, time_left, slot).await;
    Executed {
        answer: describe(core, verdict, Duration::ZERO),
        response,
    }
}

fn find_refusal(core: &ProxyCore, hop: &HopRequest) -> Option<RefusalReason> {
    if core.stopping.get() {
        return Some(RefusalReason::Draining);
    }
    let own = core.own.borrow();
    match own.current() {
        None => Some(RefusalReason::UpstreamDown),
        Some(run) if run.service != hop.service => Some(RefusalReason::UnknownClass),
        Some(run) if run.leaving => Some(RefusalReason::Draining),
        Some(_) if core.timers.now() < core.slots.paused_until.get() => {
            Some(RefusalReason::UpstreamDown)
        }
        Some(_) => None,
    }
}

fn refuse(core: &ProxyCore, reason: RefusalReason, wait: Duration) -> Executed {
    Executed {
        answer: describe(core, Verdict::Refused(reason), wait),
        response: None,
    }
}

fn describe(core: &ProxyCore, verdict: Verdict, wait: Duration) -> HopAnswer {
    HopAnswer {
        verdict,
        load: core.slots.load(),
        version: core.directory.borrow().version(),
        wait,
    }
}

/// A slot, given back when dropped: the future of a request is dropped wherever it stands when its
/// client goes away.
struct HeldSlot {
    core: Rc<ProxyCore>,
    took: Option<Duration>,
}

impl HeldSlot {
    fn new(core: &Rc<ProxyCore>) -> Self {
        Self {
            core: Rc::clone(core),
            took: None,
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let now = self.core.timers.now();
        let actions = self.core.slots.queue.borrow_mut().finish(self.took, now);
        apply(&self.core, actions);
    }
}

/// A place in the queue, given back when the future that waits is dropped.
struct HeldPlace<'a> {
    core: &'a Rc<ProxyCore>,
    number: WaitNumber,
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
            drop(HeldSlot::new(self.core));
        }
    }
}

/// True once the request has a slot, false if its patience ended.
async fn wait_for_slot(core: &Rc<ProxyCore>, number: WaitNumber) -> bool {
    let (tx, rx) = flume::bounded(1);
    core.slots.waiting.borrow_mut().insert(number, tx);
    arm_expiry(core);
    let mut place = HeldPlace {
        core,
        number,
        settled: false,
    };
    let started = rx.recv_async().await;
    place.settled = true;
    started.unwrap_or(false)
}

fn apply(core: &Rc<ProxyCore>, actions: Vec<SlotAction>) {
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
}

fn arm_expiry(core: &Rc<ProxyCore>) {
    let Some(due) = core.slots.queue.borrow().next_expiry() else {
        return;
    };
    if core
        .slots
        .expiry_armed
        .get()
        .is_some_and(|armed| armed <= due)
    {
        return;
    }
    core.slots.expiry_armed.set(Some(due));
    let wait = core.timers.after(due.since(core.timers.now()));
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = wait.recv_async().await;
        core.slots.expiry_armed.set(None);
        let actions = core.slots.queue.borrow_mut().expire(core.timers.now());
        apply(&core, actions);
        arm_expiry(&core);
    });
}
