//! The platform's metadata store: keyed topics of one partition, newest records, long reads.

use crate::http::{PlainRequest, build_answer, read_request, write_all};
use bytes::Bytes;
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::pending,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Bytes of records after which an answer to a read ends, as on the platform; one record it always holds.
const READ_LIMIT: usize = 1_000_000;

/// Pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// It answers.
    #[default]
    Healthy,
    /// It answers 503 and does nothing.
    Busy,
    /// It closes connections without an answer, having done nothing.
    Reset,
    /// It says nothing.
    Silent,
    /// It does what it is asked and closes the connection without an answer.
    LosesAnswers,
    /// It answers after a pause.
    Slow(Duration),
    /// It closes connections without an answer, and does what it was asked after a pause.
    ActsLate(Duration),
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Bytes,
}

/// The records of a store at one moment.
pub struct StoreSnapshot(HashMap<String, Vec<Record>>);

/// A record that a store lost when it came back from a copy.
#[derive(Clone, Debug)]
pub struct LostRecord {
    /// Its topic.
    pub topic: String,
    /// Its key.
    pub key: String,
    /// Its value; empty if it dropped the key.
    pub value: Bytes,
}

#[derive(Default)]
struct State {
    condition: Cell<StoreCondition>,
    /// Records before this offset have been deleted, of every topic.
    first: Cell<usize>,
    /// Clients that are turned away.
    refused: RefCell<Vec<IpAddr>>,
    topics: RefCell<HashMap<String, Vec<Record>>>,
    calls: Cell<u32>,
    /// By path and topic.
    calls_by_kind: RefCell<HashMap<(String, String), u32>>,
    appended: Notify,
    /// How often it has come back from a copy, counted from 1.
    era: Cell<u64>,
    /// Wakes the reads that were under way when it came back.
    returned: Notify,
}

/// A store on a free port of the loopback address, run by tasks of the present event loop.
pub struct StandInStore {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<State>,
}

impl StandInStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            era: Cell::new(1),
            ..State::default()
        });
        spawn_local(accept(listener, Rc::clone(&state)));
        Ok(Self { address, state })
    }

    /// How calls are treated from now on.
    pub fn set_condition(&self, condition: StoreCondition) {
        self.state.condition.set(condition);
    }

    /// Turns the clients at these addresses away with 503 from now on, and no others.
    pub fn refuse_clients(&self, clients: &[IpAddr]) {
        *self.state.refused.borrow_mut() = clients.to_vec();
    }

    /// How calls are treated now.
    #[must_use]
    pub fn condition(&self) -> StoreCondition {
        self.state.condition.get()
    }

    /// Appends a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.put_bytes(topic, key, value.as_bytes());
    }

    /// Appends a record of any bytes, as some other writer may.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        append(&self.state, topic, key, Bytes::copy_from_slice(value));
    }

    /// Drops a key, as the operator does.
    pub fn delete_key(&self, topic: &str, key: &str) {
        self.put_bytes(topic, key, &[]);
    }

    /// Deletes the records that were appended so far; the newest of each key stays.
    pub fn compact_history(&self) {
        let topics = self.state.topics.borrow();
        let longest = topics.values().map(Vec::len).max().unwrap_or(0);
        self.state.first.set(longest);
    }

    /// Copies all records.
    #[must_use]
    pub fn take_snapshot(&self) -> StoreSnapshot {
        StoreSnapshot(self.state.topics.borrow().clone())
    }

    /// Comes back from a copy: what was appended since is lost, its offsets are given out again, and calls under way end without an
    /// answer. Returns what was lost, by topic in the order of the log.
    pub fn restore_snapshot(&self, copy: StoreSnapshot) -> Vec<LostRecord> {
        let before = self.state.topics.replace(copy.0);
        self.state.era.update(|era| era + 1);
        self.state.returned.notify_waiters();
        let kept = self.state.topics.borrow();
        let mut lost = Vec::new();
        for (topic, records) in before {
            let kept = kept.get(&topic).map_or(0, Vec::len);
            lost.extend(records.into_iter().skip(kept).map(|record| LostRecord {
                topic: topic.clone(),
                key: record.key,
                value: record.value,
            }));
        }
        lost
    }

    /// The newest value of a key; empty if the key was dropped.
    #[must_use]
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.state.topics.borrow();
        let record = topics
            .get(topic)?
            .iter()
            .rfind(|record| record.key == key)?;
        Some(String::from_utf8_lossy(&record.value).into_owned())
    }

    /// Calls taken so far.
    #[must_use]
    pub fn call_count(&self) -> u32 {
        self.state.calls.get()
    }

    /// Calls of one path about one topic, taken so far.
    #[must_use]
    pub fn count_calls(&self, path: &str, topic: &str) -> u32 {
        let key = (path.to_owned(), topic.to_owned());
        let calls = self.state.calls_by_kind.borrow();
        calls.get(&key).copied().unwrap_or(0)
    }
}

fn append(state: &State, topic: &str, key: &str, value: Bytes) -> usize {
    let mut topics = state.topics.borrow_mut();
    let records = topics.entry(topic.to_owned()).or_default();
    records.push(Record {
        key: key.to_owned(),
        value,
    });
    state.appended.notify_waiters();
    records.len()
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                spawn_local(serve(stream, client.ip(), Rc::clone(&state)));
            }
            // Files run out for a moment. A listener that ended would leave its port to some other program.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(mut stream: TcpStream, client: IpAddr, state: Rc<State>) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        count_call(&state, &request);
        let era = state.era.get();
        let is_refused = state.refused.borrow().contains(&client);
        let answer = match state.condition.get() {
            _ if is_refused => build_answer(503, &[], b"refused"),
            StoreCondition::Healthy => {
                let returned = state.returned.notified();
                tokio::select! {
                    answer = answer(&request, &state) => answer,
                    () = returned => return,
                }
            }
            StoreCondition::Busy => build_answer(503, &[], b"busy"),
            StoreCondition::Reset => return,
            StoreCondition::Silent => pending().await,
            StoreCondition::LosesAnswers => {
                answer(&request, &state).await;
                return;
            }
            StoreCondition::Slow(pause) => {
                sleep(pause).await;
                answer(&request, &state).await
            }
            StoreCondition::ActsLate(pause) => {
                spawn_local(async move {
                    sleep(pause).await;
                    answer(&request, &state).await;
                });
                return;
            }
        };
        if write_all(&mut stream, &add_era(answer, era)).await.is_err() {
            return;
        }
    }
}

/// Adds the era of the store to an answer.
fn add_era(mut answer: Vec<u8>, era: u64) -> Vec<u8> {
    let header = format!("store-era: {era}\r\n");
    let start = answer.iter().position(|byte| *byte == b'\n');
    let start = start.map_or(0, |end| end + 1);
    answer.splice(start..start, header.into_bytes());
    answer
}

fn count_call(state: &State, request: &PlainRequest) {
    state.calls.set(state.calls.get() + 1);
    let topic = request.parameter("topic").unwrap_or_default();
    let key = (request.path().to_owned(), topic.to_owned());
    *state.calls_by_kind.borrow_mut().entry(key).or_default() += 1;
}

async fn answer(request: &PlainRequest, state: &State) -> Vec<u8> {
    let topic = request.parameter("topic").unwrap_or_default();
    match request.path() {
        "/-/log-append" => answer_append(request, topic, state),
        "/-/log-newest" => answer_newest(topic, state),
        "/-/log-read" => answer_read(request, topic, state).await,
        _ => build_answer(404, &[], b"{}"),
    }
}

fn answer_append(request: &PlainRequest, topic: &str, state: &State) -> Vec<u8> {
    let Some((key, value)) = decode(&request.body) else {
        return build_answer(400, &[], b"malformed record");
    };
    let end = state.topics.borrow().get(topic).map_or(0, Vec::len);
    let expected = request.parameter("at").and_then(|text| text.parse().ok());
    if expected.is_some_and(|expected: usize| expected != end) {
        let text = json!({ "end": end }).to_string();
        return build_answer(412, &[], text.as_bytes());
    }
    let end = append(state, topic, &key, value);
    let text = json!({ "offset": end - 1, "end": end }).to_string();
    build_answer(200, &[], text.as_bytes())
}

/// One record: its length, the length of its key, key and value.
fn decode(body: &[u8]) -> Option<(String, Bytes)> {
    let (length, record) = body.split_first_chunk::<4>()?;
    if usize::try_from(u32::from_be_bytes(*length)).ok()? != record.len() {
        return None;
    }
    let (key_length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*key_length))?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    Some((key, Bytes::copy_from_slice(value)))
}

fn answer_newest(topic: &str, state: &State) -> Vec<u8> {
    let topics = state.topics.borrow();
    let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut items = Vec::new();
    for (offset, record) in records.iter().enumerate() {
        let later = &records[offset + 1..];
        let is_newest = later.iter().all(|other| other.key != record.key);
        if is_newest && !record.value.is_empty() {
            items.push(json!({
                "key": record.key, "value": encode_base64(&record.value), "offset": offset,
            }));
        }
    }
    let page = json!({ "items": items, "has_more": false, "end": records.len() }).to_string();
    build_answer(200, &[], page.as_bytes())
}

async fn answer_read(request: &PlainRequest, topic: &str, state: &State) -> Vec<u8> {
    let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
    let from: usize = number("from").unwrap_or(0);
    if from < state.first.get() {
        let text = json!({ "first": state.first.get() }).to_string();
        return build_answer(410, &[], text.as_bytes());
    }
    if from > state.topics.borrow().get(topic).map_or(0, Vec::len) {
        let text = json!({ "first": state.first.get() }).to_string();
        return build_answer(410, &[], text.as_bytes());
    }
    let wait = Duration::from_millis(u64::try_from(number("wait_ms").unwrap_or(0)).unwrap_or(0));
    let has_news = || state.topics.borrow().get(topic).map_or(0, Vec::len) > from;
    let news = async {
        while !has_news() {
            state.appended.notified().await;
        }
    };
    // Without news in time the answer holds no records.
    let _ = timeout(wait, news).await;
    build_answer(200, &[], &encode_records(topic, from, state))
}

fn encode_records(topic: &str, from: usize, state: &State) -> Vec<u8> {
    let topics = state.topics.borrow();
    let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut body = Vec::new();
    body.extend_from_slice(&(records.len() as u64).to_be_bytes());
    body.extend_from_slice(&(state.first.get() as u64).to_be_bytes());
    for record in records.iter().skip(from) {
        if body.len() > READ_LIMIT {
            break;
        }
        let length = 1 + record.key.len() + record.value.len();
        body.extend_from_slice(&u32::try_from(length).unwrap_or(0).to_be_bytes());
        body.push(u8::try_from(record.key.len()).unwrap_or(0));
        body.extend_from_slice(record.key.as_bytes());
        body.extend_from_slice(&record.value);
    }
    body
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            let digit = char::from(DIGITS[index as usize]);
            text.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
