//! An application upstream: ids, signature, load, drain, reuse of its address, and
//! answers that are late, doubled, cut or lost.

mod answer;
mod listening;
mod serving;
mod settings;

pub use settings::{
    ExecutedRequest, ExecutionLog, ServiceTime, UpstreamHeaderNames, UpstreamSettings,
};

use crate::http::PlainRequest;
use listening::{accept, listen, reserve_port};
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

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Run it and answer.
    Answer,
    /// Run it, answer 500.
    Fail,
    /// Say that it was not run.
    Shed,
    /// Run it and reset the connection without an answer.
    LoseAnswer,
    /// Run it and end the connection within the body.
    CutBody,
    /// Run it and answer with the id of another request.
    ForeignId,
    /// Run it and answer without the signature.
    Unsigned,
    /// Run it and answer twice.
    AnswerTwice,
    /// Crash while it runs, and be back at once as another run.
    Restart,
    /// Run it and hold the answer until [`StandInUpstream::release`], or until the connection ends.
    Hold,
}

struct State {
    settings: UpstreamSettings,
    /// None after a crash: connections are refused then.
    listener: RefCell<Option<TcpListener>>,
    /// Takes connections, and waits for a listener after a crash.
    acceptor: RefCell<Option<Waker>>,
    random: RefCell<StdRng>,
    slots: Semaphore,
    instance: RefCell<String>,
    started_ms: Cell<u64>,
    crashed: Cell<bool>,
    crashes: Notify,
    slowdown: Cell<u16>,
    cold_until: Cell<Option<Instant>>,
    acts: RefCell<VecDeque<UpstreamAction>>,
    received_requests: RefCell<Vec<PlainRequest>>,
    health_checks: Cell<u32>,
    leaving: Cell<bool>,
    running: Cell<u32>,
    changed: Notify,
    released: Notify,
}

/// An upstream on a free port of the loopback address, run by tasks of the present event loop.
pub struct StandInUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<State>,
    /// Keeps the port while the upstream is crashed: some other program could get it.
    _reserved: TcpSocket,
}

impl StandInUpstream {
    /// Starts an upstream with that identity. It answers every request unless told otherwise.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(instance: &str) -> io::Result<Self> {
        Self::start_with(UpstreamSettings::new(instance)).await
    }

    /// Starts an upstream as told.
    ///
    /// # Errors
    /// If no port is free.
    #[expect(clippy::unused_async, reason = "it needs an event loop")]
    pub async fn start_with(settings: UpstreamSettings) -> io::Result<Self> {
        let reserved = reserve_port()?;
        let address = reserved.local_addr()?;
        let state = Rc::new(State {
            random: RefCell::new(StdRng::seed_from_u64(settings.seed)),
            slots: Semaphore::new(settings.slots.into()),
            instance: RefCell::new(settings.instance.clone()),
            started_ms: Cell::new(read_clock()),
            crashed: Cell::default(),
            crashes: Notify::new(),
            slowdown: Cell::new(100),
            cold_until: Cell::default(),
            acts: RefCell::default(),
            received_requests: RefCell::default(),
            health_checks: Cell::default(),
            leaving: Cell::default(),
            running: Cell::default(),
            changed: Notify::new(),
            released: Notify::new(),
            listener: RefCell::new(Some(listen(address)?)),
            acceptor: RefCell::default(),
            settings,
        });
        spawn_local(accept(Rc::clone(&state)));
        Ok(Self {
            address,
            state,
            _reserved: reserved,
        })
    }

    /// Acts for the next requests, in their order; after these it answers.
    pub fn plan_actions(&self, acts: &[UpstreamAction]) {
        self.state.acts.borrow_mut().extend(acts);
    }

    /// Forgets the acts that were planned.
    pub fn clear_planned_actions(&self) {
        self.state.acts.borrow_mut().clear();
    }

    /// Times that it ran the request with that target.
    #[must_use]
    pub fn count_executions(&self, target: &str) -> usize {
        let executions = self.state.settings.executions.lock();
        let executions = executions.unwrap_or_else(PoisonError::into_inner);
        executions.iter().filter(|run| run.target == target).count()
    }

    /// Another run takes the address.
    pub fn replace_incarnation(&self, instance: &str) {
        instance.clone_into(&mut self.state.instance.borrow_mut());
        self.state.start_incarnation();
    }

    /// When the present run started, in whole Unix milliseconds, as its heartbeats tell.
    #[must_use]
    pub fn started_ms(&self) -> u64 {
        self.state.started_ms.get()
    }

    /// Whether it has crashed and not started again.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.state.crashed.get()
    }

    /// Ends all connections in the middle of whatever they carry, and refuses new ones until [`Self::restart_after_crash`].
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Starts again after a crash, under the identity that it had.
    ///
    /// # Panics
    /// If its port can't be listened on any more.
    pub fn restart_after_crash(&self) {
        let listener = listen(self.address).expect("the port is reserved");
        *self.state.listener.borrow_mut() = Some(listener);
        if let Some(waker) = self.state.acceptor.take() {
            waker.wake();
        }
        self.state.crashed.set(false);
        self.state.leaving.set(false);
        self.state.start_incarnation();
    }

    /// How long work takes, in percent of the usual; told, not acted.
    pub fn set_slowdown(&self, percent: u16) {
        self.state.slowdown.set(percent);
    }

    /// Becomes cold for that long; told, not acted.
    pub fn start_warmup(&self, lasts: Duration) {
        self.state.cold_until.set(Some(Instant::now() + lasts));
    }

    /// How much longer it is cold.
    #[must_use]
    pub fn warmup_left(&self) -> Duration {
        self.state.warmup_left()
    }

    /// Whether health questions are answered with 503 from now on.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.set(leaving);
    }

    /// Requests that reached it, health questions not included.
    #[must_use]
    pub fn received_requests(&self) -> Vec<PlainRequest> {
        self.state.received_requests.borrow().clone()
    }

    /// Health questions so far.
    #[must_use]
    pub fn health_checks(&self) -> u32 {
        self.state.health_checks.get()
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// Waits until `count` requests run.
    pub async fn wait_for_running(&self, count: u32) {
        while self.state.running.get() != count {
            self.state.changed.notified().await;
        }
    }

    /// Answers what is held.
    pub fn release(&self) {
        self.state.released.notify_waiters();
    }
}

impl State {
    fn warmup_left(&self) -> Duration {
        let until = self.cold_until.get();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }
}

/// Whole Unix milliseconds.
fn read_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
