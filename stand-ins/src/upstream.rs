//! An application upstream: ids, signature, load, drain, reuse of its address, and
//! answers that are late, doubled, cut or lost.

mod answer;
mod listening;

use crate::http::{PlainRequest, build_answer, read_request, write_all};
use answer::Answer;
use listening::{accept, listen, reserve_port};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    task::Waker,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, Semaphore},
    task::spawn_local,
    time::sleep,
};

/// Names of the headers that an upstream reads and sends, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamNames {
    /// Identity of a request; repeated in the answer.
    pub request_id: &'static str,
    /// The run that is to run a request.
    pub target_instance: &'static str,
    /// The run that answers.
    pub instance: &'static str,
    /// Running, waiting, slots, slowdown in percent.
    pub load: &'static str,
    /// Proof that an answer is an upstream's.
    pub signature: &'static str,
    /// Stands on an answer to a request that was not run.
    pub not_executed: &'static str,
    /// How much longer the upstream is cold, in milliseconds.
    pub warmup_left: &'static str,
}

impl UpstreamNames {
    /// The names of the users' platform.
    pub const PLATFORM: Self = Self {
        request_id: "camphorturn-request-id",
        target_instance: "camphorturn-target-instance",
        instance: "camphorturn-instance-id",
        load: "camphorturn-server-load",
        signature: "camphorturn-server-signature",
        not_executed: "camphorturn-not-executed",
        warmup_left: "camphorturn-warmup-ms",
    };
}

/// Time of the requests below a path.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTime {
    /// Start of the paths it holds for.
    pub path_prefix: String,
    /// Median.
    pub median: Duration,
    /// Spread of the logarithm: 0 is constant, 0.5 has a long tail.
    pub spread: f64,
}

/// A request that an upstream began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RanRequest {
    /// Its target.
    pub target: String,
    /// Identity of the upstream's run.
    pub instance: String,
    /// When that run started, in Unix milliseconds.
    pub born: u64,
    /// When it began.
    pub at: Instant,
}

/// Requests that an upstream ran, in the order of their beginnings. Shared with whoever audits it, also
/// after the upstream has gone.
pub type RunRecord = Arc<Mutex<Vec<RanRequest>>>;

/// How an upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Identity of its first run.
    pub instance: String,
    /// Header names.
    pub names: UpstreamNames,
    /// Requests it runs at once; further ones wait.
    pub slots: u16,
    /// How long work takes; the first prefix that fits decides, and without one it takes no time.
    pub times: Vec<ServiceTime>,
    /// Seed of the times.
    pub seed: u64,
    /// Answers with target and body of the request in place of a fixed body.
    pub echoes: bool,
    /// Takes what it ran.
    pub runs: RunRecord,
    /// Starts of the paths of requests that crash it as soon as it runs one of them.
    pub crash_prefixes: Vec<String>,
}

impl UpstreamSettings {
    /// An upstream with the platform's names that answers at once.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            names: UpstreamNames::PLATFORM,
            slots: SLOTS,
            times: Vec::new(),
            seed: 1,
            echoes: false,
            runs: RunRecord::default(),
            crash_prefixes: Vec::new(),
        }
    }
}

/// Slots unless told otherwise.
const SLOTS: u16 = 6;

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamAct {
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
    born: Cell<u64>,
    crashed: Cell<bool>,
    crashes: Notify,
    slowdown: Cell<u16>,
    cold_until: Cell<Option<Instant>>,
    acts: RefCell<VecDeque<UpstreamAct>>,
    arrivals: RefCell<Vec<PlainRequest>>,
    health_questions: Cell<u32>,
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
            born: Cell::new(read_clock()),
            crashed: Cell::default(),
            crashes: Notify::new(),
            slowdown: Cell::new(100),
            cold_until: Cell::default(),
            acts: RefCell::default(),
            arrivals: RefCell::default(),
            health_questions: Cell::default(),
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
    pub fn plan(&self, acts: &[UpstreamAct]) {
        self.state.acts.borrow_mut().extend(acts);
    }

    /// Forgets the acts that were planned.
    pub fn forget_plan(&self) {
        self.state.acts.borrow_mut().clear();
    }

    /// Times that it ran the request with that target.
    #[must_use]
    pub fn count_runs(&self, target: &str) -> usize {
        let runs = self.state.settings.runs.lock();
        let runs = runs.unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|run| run.target == target).count()
    }

    /// Another run takes the address.
    pub fn replace(&self, instance: &str) {
        instance.clone_into(&mut self.state.instance.borrow_mut());
        self.state.be_born();
    }

    /// When the present run started, in whole Unix milliseconds, as its heartbeats tell.
    #[must_use]
    pub fn born(&self) -> u64 {
        self.state.born.get()
    }

    /// Whether it has crashed and not started again.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.state.crashed.get()
    }

    /// Ends all connections in the middle of whatever they carry, and refuses new ones until [`Self::start_again`].
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Starts again after a crash, under the identity that it had.
    ///
    /// # Panics
    /// If its port can't be listened on any more.
    pub fn start_again(&self) {
        let listener = listen(self.address).expect("the port is reserved");
        *self.state.listener.borrow_mut() = Some(listener);
        if let Some(waker) = self.state.acceptor.take() {
            waker.wake();
        }
        self.state.crashed.set(false);
        self.state.leaving.set(false);
        self.state.be_born();
    }

    /// How long work takes, in percent of the usual; told, not acted.
    pub fn set_slowdown(&self, percent: u16) {
        self.state.slowdown.set(percent);
    }

    /// Becomes cold for that long; told, not acted.
    pub fn turn_cold(&self, lasts: Duration) {
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
    pub fn arrivals(&self) -> Vec<PlainRequest> {
        self.state.arrivals.borrow().clone()
    }

    /// Health questions so far.
    #[must_use]
    pub fn health_questions(&self) -> u32 {
        self.state.health_questions.get()
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// Waits until `count` requests run.
    pub async fn wait_running(&self, count: u32) {
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

async fn serve_until_crash(stream: TcpStream, state: Rc<State>) {
    // A connection that was taken just before a crash hears nothing of it.
    if state.crashed.get() {
        return;
    }
    tokio::select! {
        () = state.crashes.notified() => {}
        () = serve(stream, Rc::clone(&state)) => {}
    }
}

async fn serve(mut stream: TcpStream, state: Rc<State>) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        let kept = if request.path() == "/health" {
            answer_health(&mut stream, &state).await
        } else {
            answer_request(&mut stream, &state, request).await
        };
        if !kept {
            return;
        }
    }
}

async fn answer_health(stream: &mut TcpStream, state: &State) -> bool {
    state.health_questions.set(state.health_questions.get() + 1);
    let status = if state.leaving.get() { 503 } else { 200 };
    let load = load(state);
    let instance = state.instance.borrow().clone();
    let names = state.settings.names;
    let warmup_left = state.warmup_left().as_millis().to_string();
    let headers = [
        (names.instance, instance.as_str()),
        (names.load, load.as_str()),
        (names.warmup_left, warmup_left.as_str()),
    ];
    let answer = build_answer(status, &headers, b"");
    write_all(stream, &answer).await.is_ok()
}

fn load(state: &State) -> String {
    let slots = state.settings.slots;
    format!("{},0,{slots},{}", state.running.get(), state.slowdown.get())
}

/// Counts a request as running for as long as it lives.
struct Run(Rc<State>);

impl Run {
    fn start(state: &Rc<State>) -> Self {
        state.running.set(state.running.get() + 1);
        state.changed.notify_waiters();
        Self(Rc::clone(state))
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.changed.notify_waiters();
    }
}

async fn answer_request(stream: &mut TcpStream, state: &Rc<State>, request: PlainRequest) -> bool {
    let names = state.settings.names;
    let expected = request.header(names.target_instance);
    let instance = state.instance.borrow().clone();
    if expected.is_some_and(|expected| expected != instance) {
        let headers = [(names.instance, instance.as_str())];
        return write_all(stream, &build_answer(421, &headers, b""))
            .await
            .is_ok();
    }
    let act = state.acts.borrow_mut().pop_front();
    let act = act.unwrap_or(UpstreamAct::Answer);
    let answer = Answer::to(&state.settings, &request);
    if state.is_crashed_by(&request.target) {
        note_run(state, &request);
        state.arrivals.borrow_mut().push(request);
        state.crash();
        return false;
    }
    if act != UpstreamAct::Shed {
        note_run(state, &request);
    }
    if act == UpstreamAct::Restart {
        state.arrivals.borrow_mut().push(request);
        state.restart(stream);
        return false;
    }
    let time = draw_time(state, &request.target);
    state.arrivals.borrow_mut().push(request);
    let run = Run::start(state);
    if act == UpstreamAct::Hold && !hold(stream, state).await {
        return false;
    }
    if !work(stream, state, time).await {
        return false;
    }
    drop(run);
    let (bytes, kept) = answer.build(act, &load(state));
    write_all(stream, &bytes).await.is_ok() && kept
}

fn note_run(state: &State, request: &PlainRequest) {
    let runs = state.settings.runs.lock();
    let mut runs = runs.unwrap_or_else(PoisonError::into_inner);
    runs.push(RanRequest {
        target: request.target.clone(),
        instance: state.instance.borrow().clone(),
        born: state.born.get(),
        at: Instant::now(),
    });
}

/// Draws how long a request takes, from a log-normal distribution.
fn draw_time(state: &State, target: &str) -> Duration {
    let mut times = state.settings.times.iter();
    let Some(time) = times.find(|time| target.starts_with(&time.path_prefix)) else {
        return Duration::ZERO;
    };
    let mut random = state.random.borrow_mut();
    // Twelve even numbers add up to nearly a normal one, with variance 1.
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    time.median.mul_f64((normal * time.spread).exp())
}

/// Waits for a slot and works; false if the other side closed the connection meanwhile.
async fn work(stream: &TcpStream, state: &State, time: Duration) -> bool {
    if time.is_zero() {
        return true;
    }
    let worked = async {
        // The semaphore is never closed.
        let _slot = state.slots.acquire().await;
        sleep(time).await;
    };
    tokio::select! {
        () = worked => true,
        () = wait_closed(stream) => false,
    }
}

async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}

/// True once released, false if the other side closed the connection.
async fn hold(stream: &TcpStream, state: &State) -> bool {
    tokio::select! {
        () = state.released.notified() => true,
        () = wait_closed(stream) => false,
    }
}
