//! The platform's append-only log over HTTP, in memory, with its failures on demand.
//!
//! `POST /streams/NAME/records` appends the body and answers `{offset}`.
//! `GET /streams/NAME/records?from=N&limit=M` answers `{first_retained, next, records}`; a `from`
//! below the first retained offset is answered 410 with `{first_retained, next}`.

mod faults;
mod pages;
mod streams;

pub use self::{
    faults::{AnswerLoss, LogCondition},
    streams::{Retention, StoredRecord},
};

use self::{
    faults::Faults,
    pages::{answer_append, answer_read},
    streams::{Stream, ThrottleWindow},
};
use rouille::{Request, Response, Server};
use std::{
    collections::HashMap,
    io::{self, Read},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, Sender, channel},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// Largest record taken, in bytes.
const RECORD_LIMIT: u64 = 8 * 1024 * 1024;

/// What the service has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounters {
    /// Records stored, duplicates included.
    pub appends: u64,
    /// Appends refused by the rate limit.
    pub throttled: u64,
    /// Reads answered with a page.
    pub reads: u64,
    /// Bytes of appended bodies.
    pub bytes_in: u64,
    /// Bytes of answers to reads.
    pub bytes_out: u64,
}

struct Shared {
    streams: HashMap<String, Stream>,
    faults: Faults,
    retention: Retention,
    throttle: ThrottleWindow,
    counters: LogCounters,
}

type State = Arc<Mutex<Shared>>;

fn lock(state: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running log service. Dropping it stops the service; its records are gone then.
pub struct LogService {
    address: SocketAddr,
    state: State,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl LogService {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// The port can't be bound.
    pub fn start() -> io::Result<Self> {
        let state: State = Arc::new(Mutex::new(Shared {
            streams: HashMap::new(),
            faults: Faults::default(),
            retention: Retention::default(),
            throttle: ThrottleWindow::new(Instant::now()),
            counters: LogCounters::default(),
        }));
        let shared = Arc::clone(&state);
        let server = Server::new("127.0.0.1:0", move |req| serve(req, &shared))
            .map_err(|e| io::Error::other(e.to_string()))?;
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            state,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where the service listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL for clients, without a slash at its end.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Makes the service refuse or ignore all requests, or work again.
    pub fn set_condition(&self, condition: LogCondition) {
        lock(&self.state).faults.condition = condition;
    }

    /// Delays every answer by `delay`; the work is done before the delay.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).faults.delay = delay;
    }

    /// Loses the answers of the next `count` appends after their records were stored.
    pub fn lose_append_answers(&self, count: u32, loss: AnswerLoss) {
        lock(&self.state).faults.lose_answers(count, loss);
    }

    /// Stores the records of the next `count` appends twice, as an intermediary's retry would.
    pub fn duplicate_appends(&self, count: u32) {
        lock(&self.state).faults.duplicates = count;
    }

    /// Answers the next `count` appends with the answer of the append before.
    pub fn repeat_append_answers(&self, count: u32) {
        lock(&self.state).faults.repeated_answers = count;
    }

    /// Holds back the next `count` appends: their answers are lost at once, and their records are
    /// stored only by [`Self::release_held_appends`].
    pub fn hold_appends(&self, count: u32) {
        lock(&self.state).faults.held_appends = count;
    }

    /// Stores the records held back so far, in the order of their arrival.
    pub fn release_held_appends(&self) {
        let mut shared = lock(&self.state);
        for (name, body) in std::mem::take(&mut shared.faults.held) {
            shared.store(&name, body);
        }
    }

    /// Sets how long and how many records of a stream are kept.
    pub fn set_retention(&self, retention: Retention) {
        lock(&self.state).retention = retention;
    }

    /// Forgets all records of a stream below `offset`.
    pub fn forget_before(&self, stream: &str, offset: u64) {
        let mut shared = lock(&self.state);
        shared.stream(stream).forget_before(offset);
    }

    /// Limits the appends of each second; those above are answered 503. `None` is no limit.
    pub fn set_append_rate(&self, per_second: Option<u32>) {
        lock(&self.state).throttle.limit = per_second;
    }

    /// What the service has done.
    #[must_use]
    pub fn counters(&self) -> LogCounters {
        lock(&self.state).counters
    }

    /// The records of a stream that are retained now.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        let mut shared = lock(&self.state);
        shared.stream(stream).retained()
    }

    /// Stores a record without a request.
    pub fn store(&self, stream: &str, body: &str) {
        lock(&self.state).store(stream, body.to_owned());
    }
}

impl Drop for LogService {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The service may have ended by itself; there is nothing left to stop then.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn stream(&mut self, name: &str) -> &mut Stream {
        let retention = self.retention;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(retention, Instant::now());
        stream
    }

    fn store(&mut self, name: &str, body: String) -> u64 {
        self.counters.appends += 1;
        self.counters.bytes_in += body.len() as u64;
        self.stream(name).append(body, Instant::now())
    }
}

fn serve(req: &Request, state: &State) -> Response {
    let condition = lock(state).faults.condition;
    match condition {
        LogCondition::Serving => {}
        LogCondition::Refusing => return refuse(503, "outage"),
        LogCondition::Silent(span) => {
            wait(span);
            return refuse(503, "outage");
        }
    }
    let path = req.url();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let response = match (req.method(), parts.as_slice()) {
        ("POST", ["streams", name, "records"]) => append(req, state, name),
        ("GET", ["streams", name, "records"]) => read(req, state, name),
        _ => refuse(404, "no such resource"),
    };
    let delay = lock(state).faults.delay;
    wait(delay);
    response
}

/// Waits on a channel that never gets a message: the stand-in plays a slow service.
fn wait(span: Duration) {
    if span.is_zero() {
        return;
    }
    let (_tx, rx): (Sender<()>, Receiver<()>) = channel();
    let _ = rx.recv_timeout(span);
}

fn append(req: &Request, state: &State, name: &str) -> Response {
    let mut text = String::new();
    let Some(body) = req.data() else {
        return refuse(400, "no body");
    };
    if body
        .take(RECORD_LIMIT + 1)
        .read_to_string(&mut text)
        .is_err()
    {
        return refuse(400, "the body is not UTF-8 text");
    }
    if text.len() as u64 > RECORD_LIMIT {
        return refuse(413, "the record is too large");
    }
    answer_append(&mut lock(state), name, text).unwrap_or_else(|loss| lose_answer(&loss))
}

fn lose_answer(loss: &AnswerLoss) -> Response {
    match loss {
        AnswerLoss::ServerError => refuse(504, "the answer was lost"),
        AnswerLoss::CutShort => pages::cut_short(),
        AnswerLoss::Silent(span) => {
            wait(*span);
            pages::cut_short()
        }
    }
}

fn read(req: &Request, state: &State, name: &str) -> Response {
    let from = req.get_param("from").and_then(|text| text.parse().ok());
    let limit = req.get_param("limit").and_then(|text| text.parse().ok());
    match (from, limit) {
        (Some(from), Some(limit)) => answer_read(&mut lock(state), name, from, limit),
        _ => refuse(400, "from and limit must be numbers"),
    }
}

fn refuse(status: u16, reason: &str) -> Response {
    Response::text(reason).with_status_code(status)
}
