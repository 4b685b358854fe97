//! How fast the VM of the upstream works: read from answers, and asked for where answers are old.
//!
//! The pace changes several times a second, and work that starts at a slow moment stays slow. A
//! question costs the upstream about a millisecond and no slot.

use crate::{
    coordination::vm_slowdown::SlowdownHistory,
    proxy::{
        core::ProxyCore,
        executing::{
            probes::{find_health_uri, send_question},
            slots::apply,
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

/// Age up to which the pace counts as known. A start at a slow moment costs some three times the
/// work; VMs seen so far change at most every 300 ms, so one in 12 has changed within this time.
const FRESH: Duration = Duration::from_millis(25);
/// Pause between questions while requests wait for the VM to recover.
const WATCH_PAUSE: Duration = Duration::from_millis(40);
/// Seconds of the allowed rate that may be asked at once.
const BURST: f64 = 1.0;

/// What is known of the pace, and how.
pub struct PaceKnowledge {
    /// When it was last told; never by an upstream that does not tell its load.
    told_at: Cell<Option<Timestamp>>,
    history: Cell<SlowdownHistory>,
    asking: RefCell<Option<flume::Receiver<()>>>,
    watching: Cell<bool>,
    /// Keeps questions within what operators let measuring cost.
    budget: Cell<RateLimit>,
}

impl PaceKnowledge {
    /// Nothing known; at most that many questions a second.
    #[must_use]
    pub fn new(probes_per_second: f64) -> Self {
        Self {
            told_at: Cell::default(),
            history: Cell::default(),
            asking: RefCell::default(),
            watching: Cell::default(),
            budget: Cell::new(RateLimit::new(probes_per_second, probes_per_second * BURST)),
        }
    }

    /// Forgets what was usual: another run of the upstream has come.
    pub fn restart(&self) {
        let mut history = self.history.get();
        history.reset_baseline();
        self.history.set(history);
    }

    /// Lets that many questions a second be asked from now on.
    pub fn set_limit(&self, probes_per_second: f64) {
        let limit = RateLimit::new(probes_per_second, probes_per_second * BURST);
        self.budget.set(limit);
    }

    /// Takes one question out of what operators let measuring cost; false if it is spent.
    pub fn take_question(&self, now: Timestamp) -> bool {
        let mut budget = self.budget.get();
        let granted = budget.try_acquire(now);
        self.budget.set(budget);
        granted
    }

    /// Notes that a question found no answer. A pace that was never told is not asked for.
    pub fn note_unanswered(&self, now: Timestamp) {
        if self.told_at.get().is_some() {
            self.told_at.set(Some(now));
        }
    }

    /// Time since it was told.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.told_at.get().map(|at| now.since(at))
    }

    fn is_stale(&self, now: Timestamp) -> bool {
        self.told_at.get().is_some_and(|at| now.since(at) > FRESH)
    }

    /// Asks again and again while requests wait at a slow moment.
    pub fn watch(&self, core: &Rc<ProxyCore>) {
        if self.watching.replace(true) {
            return;
        }
        let core = Rc::clone(core);
        spawn_local(async move {
            while core.slots.has_waiting()
                && core.slots.queue.borrow().slowdown().is_above_baseline()
            {
                let _ = core.timers.after(WATCH_PAUSE).recv_async().await;
                refresh_pace(&core).await;
            }
            core.slots.pace.watching.set(false);
        });
    }
}

/// Records the load reported in a response of the upstream.
pub fn note_load(core: &Rc<ProxyCore>, headers: &HeaderMap) {
    let text = headers
        .get(&core.settings.headers.load)
        .and_then(|value| value.to_str().ok());
    let percent = text.and_then(|text| text.split(',').nth(3)?.trim().parse().ok());
    let Some(percent) = percent else {
        return;
    };
    let now = core.timers.now();
    core.slots.pace.told_at.set(Some(now));
    let mut history = core.slots.pace.history.get();
    let pace = history.record(percent, now);
    core.slots.pace.history.set(history);
    let actions = core.slots.queue.borrow_mut().set_slowdown(pace, now);
    apply(core, actions);
    if core.slots.has_waiting() {
        core.slots.pace.watch(core);
    }
}

/// Asks for the pace unless it is known well enough.
pub async fn refresh_pace(core: &Rc<ProxyCore>) {
    if Mechanism::SlowdownProbes.is_disabled() || !core.slots.pace.is_stale(core.timers.now()) {
        return;
    }
    ask_for_pace(core).await;
}

/// Asks for the pace. Several requests share one question.
pub async fn ask_for_pace(core: &Rc<ProxyCore>) {
    let under_way = core.slots.pace.asking.borrow().clone();
    if let Some(done) = under_way {
        // The sender goes once the answer is there.
        let _ = done.recv_async().await;
        return;
    }
    let (tx, done) = flume::bounded::<()>(1);
    *core.slots.pace.asking.borrow_mut() = Some(done.clone());
    let core_copy = Rc::clone(core);
    // Goes on when the request that started it is given up: others may wait for it.
    spawn_local(async move {
        ask(&core_copy).await;
        core_copy.slots.pace.asking.borrow_mut().take();
        drop(tx);
    });
    let _ = done.recv_async().await;
}

async fn ask(core: &Rc<ProxyCore>) {
    let service = core
        .local_upstream
        .borrow()
        .serving()
        .map(|run| run.service.clone());
    let Some(uri) = service.and_then(|service| find_health_uri(core, &service)) else {
        return;
    };
    match send_question(core, uri, ConnectionReuse::Any).await {
        Ok(answer) => note_load(core, answer.headers()),
        // Asked again after the usual pause, not by every request that comes meanwhile.
        Err(_) => core.slots.note_unanswered(core.timers.now()),
    }
}
