//! Stand-in for an application upstream. It reports its id and load, signs answers, drains, crashes and restarts; it can send
//! answers late, twice, truncated or not at all.

mod answer;
mod flood;
mod listening;
mod serving;
mod settings;

pub use flood::FloodShape;
pub use settings::{
    ExecutedRequest, ExecutionLog, ServiceTime, UpstreamHeaderNames, UpstreamSettings,
};

use crate::http::PlainRequest;
use listening::{accept_connections, bind_listener, reserve_port};
use rand::{SeedableRng, rngs::StdRng};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::PoisonError,
    task::Waker,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::{Notify, Semaphore},
    task::spawn_local,
};

/// What the upstream does with one request. The soak's reports print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Executes it and answers.
    Answer,
    /// Executes it and answers 500.
    Fail,
    /// Answers 503 with the header that says that it was not executed.
    Shed,
    /// Executes it and closes the connection without an answer.
    LoseAnswer,
    /// Executes it and closes the connection within the answer's body.
    CutBody,
    /// Executes it and answers with the id of another request.
    ForeignId,
    /// Executes it and answers without the signature.
    Unsigned,
    /// Executes it and answers twice.
    AnswerTwice,
    /// Crashes while executing it, and restarts at once as another incarnation.
    Restart,
    /// Executes it and answers without end.
    Flood(FloodShape),
    /// Executes it and holds the answer until [`StandInUpstream::release`] or until the client disconnects.
    Hold,
}

struct UpstreamState {
    settings: UpstreamSettings,
    /// None after a crash, when connections are refused.
    listener: RefCell<Option<TcpListener>>,
    /// Waker of the task that accepts connections; wakes it when there is a listener again.
    accept_waker: RefCell<Option<Waker>>,
    rng: RefCell<StdRng>,
    slots: Semaphore,
    instance: RefCell<String>,
    /// Start of the current incarnation, in Unix milliseconds.
    started_ms: Cell<u64>,
    is_crashed: Cell<bool>,
    crash_notify: Notify,
    slowdown_percent: Cell<u16>,
    warmup_until: Cell<Option<Instant>>,
    planned_actions: RefCell<VecDeque<UpstreamAction>>,
    /// What is done with a share of the requests, in percent, for which no action is planned.
    usual_action: Cell<(UpstreamAction, u8)>,
    received_requests: RefCell<Vec<PlainRequest>>,
    /// Further headers of every answer to a request.
    reports: RefCell<Vec<(String, String)>>,
    /// Body of every answer to a request; `None` for the one that the settings say.
    answer_body: RefCell<Option<Vec<u8>>>,
    health_checks: Cell<u32>,
    is_leaving: Cell<bool>,
    /// Number of requests in progress.
    running: Cell<u32>,
    running_changed: Notify,
    release_notify: Notify,
}

/// An upstream on a free port of the loopback address. Its tasks run on the current `LocalSet`.
pub struct StandInUpstream {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    state: Rc<UpstreamState>,
    /// Keeps the port while the upstream is crashed; otherwise another program could get it.
    _reserved_port: TcpSocket,
}

impl StandInUpstream {
    /// Starts an upstream with this instance id and default settings. It answers every request unless actions are planned.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(instance: &str) -> io::Result<Self> {
        Self::start_with(UpstreamSettings::new(instance)).await
    }

    /// Starts an upstream with these settings.
    ///
    /// # Errors
    /// If no port is free.
    #[expect(clippy::unused_async, reason = "it needs an event loop")]
    pub async fn start_with(settings: UpstreamSettings) -> io::Result<Self> {
        let reserved_port = reserve_port()?;
        let address = reserved_port.local_addr()?;
        let state = Rc::new(UpstreamState {
            rng: RefCell::new(StdRng::seed_from_u64(settings.seed)),
            slots: Semaphore::new(settings.slots.into()),
            instance: RefCell::new(settings.instance.clone()),
            started_ms: Cell::new(read_clock()),
            is_crashed: Cell::default(),
            crash_notify: Notify::new(),
            slowdown_percent: Cell::new(100),
            warmup_until: Cell::default(),
            planned_actions: RefCell::default(),
            usual_action: Cell::new((UpstreamAction::Answer, 100)),
            received_requests: RefCell::default(),
            reports: RefCell::default(),
            answer_body: RefCell::default(),
            health_checks: Cell::default(),
            is_leaving: Cell::default(),
            running: Cell::default(),
            running_changed: Notify::new(),
            release_notify: Notify::new(),
            listener: RefCell::new(Some(bind_listener(address)?)),
            accept_waker: RefCell::default(),
            settings,
        });
        spawn_local(accept_connections(Rc::clone(&state)));
        Ok(Self {
            address,
            state,
            _reserved_port: reserved_port,
        })
    }

    /// Plans the actions for the next requests, in order. Requests after these are answered.
    pub fn plan_actions(&self, actions: &[UpstreamAction]) {
        self.state.planned_actions.borrow_mut().extend(actions);
    }

    /// Sets what is done from now on with this share of the requests for which no action is planned; the others are answered.
    /// Health checks are still answered as by a healthy upstream.
    pub fn set_usual_action(&self, action: UpstreamAction, percent: u8) {
        self.state.usual_action.set((action, percent));
    }

    /// Removes the actions that are still planned.
    pub fn clear_planned_actions(&self) {
        self.state.planned_actions.borrow_mut().clear();
    }

    /// How often requests with this target were executed.
    #[must_use]
    pub fn count_executions(&self, target: &str) -> usize {
        let executions = self.state.settings.executions.lock();
        let executions = executions.unwrap_or_else(PoisonError::into_inner);
        executions.iter().filter(|run| run.target == target).count()
    }

    /// Replaces the upstream with another incarnation at the same address, with this instance id.
    pub fn replace_incarnation(&self, instance: &str) {
        instance.clone_into(&mut self.state.instance.borrow_mut());
        self.state.start_incarnation();
    }

    /// When the current incarnation started, in Unix milliseconds; heartbeats report it as `born`.
    #[must_use]
    pub fn started_ms(&self) -> u64 {
        self.state.started_ms.get()
    }

    /// Whether the upstream has crashed and not restarted.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.state.is_crashed.get()
    }

    /// Closes all connections, also in the middle of a request or an answer, and refuses new ones until
    /// [`Self::restart_after_crash`].
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Restarts after a crash as a new incarnation with the same instance id.
    ///
    /// # Panics
    /// If listening on the port fails.
    pub fn restart_after_crash(&self) {
        let listener = bind_listener(self.address).expect("the port is reserved");
        *self.state.listener.borrow_mut() = Some(listener);
        if let Some(waker) = self.state.accept_waker.take() {
            waker.wake();
        }
        self.state.is_crashed.set(false);
        self.state.is_leaving.set(false);
        self.state.start_incarnation();
    }

    /// Sets the slowdown that is reported, in percent of the normal duration. Requests don't take longer.
    pub fn set_slowdown(&self, percent: u16) {
        self.state.slowdown_percent.set(percent);
    }

    /// Starts a warm-up that lasts for `duration`. The upstream only reports it: requests don't take longer.
    pub fn start_warmup(&self, duration: Duration) {
        self.state.warmup_until.set(Some(Instant::now() + duration));
    }

    /// Remaining time of the warm-up; zero without one.
    #[must_use]
    pub fn warmup_left(&self) -> Duration {
        self.state.warmup_left()
    }

    /// Sets the headers, as name and value, that every answer to a request has from now on besides the usual ones.
    pub fn set_reports(&self, headers: &[(&str, &str)]) {
        let headers = headers.iter();
        *self.state.reports.borrow_mut() = headers
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
    }

    /// Sets the body of every answer to a request from now on.
    pub fn set_answer_body(&self, body: Vec<u8>) {
        self.state.answer_body.replace(Some(body));
    }

    /// Sets whether health checks are answered with 503, as by a draining upstream, from now on.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state.is_leaving.set(is_leaving);
    }

    /// Requests received so far, except health checks and requests meant for another incarnation.
    #[must_use]
    pub fn received_requests(&self) -> Vec<PlainRequest> {
        self.state.received_requests.borrow().clone()
    }

    /// Number of health checks received so far.
    #[must_use]
    pub fn health_checks(&self) -> u32 {
        self.state.health_checks.get()
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// Waits until `count` requests are in progress.
    pub async fn wait_for_running(&self, count: u32) {
        while self.state.running.get() != count {
            self.state.running_changed.notified().await;
        }
    }

    /// Lets all held requests be answered.
    pub fn release(&self) {
        self.state.release_notify.notify_waiters();
    }
}

impl UpstreamState {
    fn warmup_left(&self) -> Duration {
        let until = self.warmup_until.get();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }
}

/// Current time in Unix milliseconds.
fn read_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
