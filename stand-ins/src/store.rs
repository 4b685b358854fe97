//! Stand-in for the platform's metadata store: topics of keyed records with appends, reads of each key's newest record, and
//! reads from an offset that wait for newer records.

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

/// Size after which no further record is added to the answer to a read, as on the platform. An answer always holds at least
/// one record if there is one.
const READ_LIMIT_BYTES: usize = 1_000_000;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);

/// How the store treats calls. The soak's reports print the variants' names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// Answers.
    #[default]
    Healthy,
    /// Answers 503 and does nothing.
    Busy,
    /// Closes connections without an answer and does nothing.
    Reset,
    /// Never answers and does nothing; connections stay open.
    Silent,
    /// Executes calls and closes the connection without an answer.
    LosesAnswers,
    /// Answers after a delay.
    Slow(Duration),
    /// Closes connections without an answer, and executes their calls after a delay.
    ActsLate(Duration),
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Bytes,
}

/// All records of a store at one point in time.
pub struct StoreBackup(HashMap<String, Vec<Record>>);

/// A record that was appended after a backup and lost when the store was restored from it.
#[derive(Clone, Debug)]
pub struct LostRecord {
    /// Topic of the record.
    pub topic: String,
    /// Key of the record.
    pub key: String,
    /// Value of the record; empty if the record deleted the key.
    pub value: Bytes,
}

#[derive(Default)]
struct StoreState {
    condition: Cell<StoreCondition>,
    /// In every topic, records before this offset have been compacted away and can't be read by offset.
    first_offset: Cell<usize>,
    /// Clients whose calls are answered with 503.
    refused_clients: RefCell<Vec<IpAddr>>,
    topics: RefCell<HashMap<String, Vec<Record>>>,
    call_count: Cell<u32>,
    /// Number of calls by path and topic.
    call_counts: RefCell<HashMap<(String, String), u32>>,
    appended: Notify,
    /// Epoch of the store: 1, and one more with each restore from a backup.
    epoch: Cell<u64>,
    /// Wakes the calls in progress when the store is restored.
    restored: Notify,
}

/// A store on a free port of the loopback address. Its tasks run on the current `LocalSet`.
pub struct StandInStore {
    /// Address on which the store listens.
    pub address: SocketAddr,
    state: Rc<StoreState>,
}

impl StandInStore {
    /// Starts an empty store.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(StoreState {
            epoch: Cell::new(1),
            ..StoreState::default()
        });
        spawn_local(accept_connections(listener, Rc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Sets how calls are treated from now on.
    pub fn set_condition(&self, condition: StoreCondition) {
        self.state.condition.set(condition);
    }

    /// Answers calls from these addresses with 503 from now on, and from no others.
    pub fn refuse_clients(&self, clients: &[IpAddr]) {
        *self.state.refused_clients.borrow_mut() = clients.to_vec();
    }

    /// How calls are treated at present.
    #[must_use]
    pub fn condition(&self) -> StoreCondition {
        self.state.condition.get()
    }

    /// Appends a record with a text as its value, as an operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.put_bytes(topic, key, value.as_bytes());
    }

    /// Appends a record with any bytes as its value, as a faulty writer may.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        append(&self.state, topic, key, Bytes::copy_from_slice(value));
    }

    /// Deletes a key by appending a record with an empty value, as an operator does.
    pub fn delete_key(&self, topic: &str, key: &str) {
        self.put_bytes(topic, key, &[]);
    }

    /// Compacts all topics: records appended so far can't be read by offset any more, but the newest record of each key stays.
    pub fn compact_history(&self) {
        let topics = self.state.topics.borrow();
        let longest = topics.values().map(Vec::len).max().unwrap_or(0);
        self.state.first_offset.set(longest);
    }

    /// Takes a backup of all records.
    #[must_use]
    pub fn take_backup(&self) -> StoreBackup {
        StoreBackup(self.state.topics.borrow().clone())
    }

    /// Restores a backup and starts a new epoch. Records appended since the backup are lost, their offsets are assigned
    /// again, and calls in progress end without an answer. Returns the lost records, those of a topic in the order of its log.
    pub fn restore_backup(&self, backup: StoreBackup) -> Vec<LostRecord> {
        let previous_topics = self.state.topics.replace(backup.0);
        self.state.epoch.update(|epoch| epoch + 1);
        self.state.restored.notify_waiters();
        let kept = self.state.topics.borrow();
        let mut lost = Vec::new();
        for (topic, records) in previous_topics {
            let kept = kept.get(&topic).map_or(0, Vec::len);
            lost.extend(records.into_iter().skip(kept).map(|record| LostRecord {
                topic: topic.clone(),
                key: record.key,
                value: record.value,
            }));
        }
        lost
    }

    /// The newest value of a key: none if the key was never written, empty if it was deleted.
    #[must_use]
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.state.topics.borrow();
        let record = topics
            .get(topic)?
            .iter()
            .rfind(|record| record.key == key)?;
        Some(String::from_utf8_lossy(&record.value).into_owned())
    }

    /// Number of calls received so far.
    #[must_use]
    pub fn call_count(&self) -> u32 {
        self.state.call_count.get()
    }

    /// Number of calls of one path for one topic received so far.
    #[must_use]
    pub fn count_calls(&self, path: &str, topic: &str) -> u32 {
        let key = (path.to_owned(), topic.to_owned());
        let call_counts = self.state.call_counts.borrow();
        call_counts.get(&key).copied().unwrap_or(0)
    }
}

/// Appends a record and returns the topic's end, the offset after it.
fn append(state: &StoreState, topic: &str, key: &str, value: Bytes) -> usize {
    let mut topics = state.topics.borrow_mut();
    let records = topics.entry(topic.to_owned()).or_default();
    records.push(Record {
        key: key.to_owned(),
        value,
    });
    state.appended.notify_waiters();
    records.len()
}

async fn accept_connections(listener: TcpListener, state: Rc<StoreState>) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                spawn_local(serve_connection(stream, client.ip(), Rc::clone(&state)));
            }
            // File descriptors can run out for a short time. If the listener ended, another program could get its port.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(mut stream: TcpStream, client: IpAddr, state: Rc<StoreState>) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        count_call(&state, &request);
        let epoch = state.epoch.get();
        let is_refused = state.refused_clients.borrow().contains(&client);
        let answer = match state.condition.get() {
            _ if is_refused => build_answer(503, &[], b"refused"),
            StoreCondition::Healthy => {
                let restored = state.restored.notified();
                tokio::select! {
                    answer = answer_call(&request, &state) => answer,
                    () = restored => return,
                }
            }
            StoreCondition::Busy => build_answer(503, &[], b"busy"),
            StoreCondition::Reset => return,
            StoreCondition::Silent => pending().await,
            StoreCondition::LosesAnswers => {
                answer_call(&request, &state).await;
                return;
            }
            StoreCondition::Slow(delay) => {
                sleep(delay).await;
                answer_call(&request, &state).await
            }
            StoreCondition::ActsLate(delay) => {
                spawn_local(async move {
                    sleep(delay).await;
                    answer_call(&request, &state).await;
                });
                return;
            }
        };
        if write_all(&mut stream, &add_epoch_header(answer, epoch))
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Adds the header with the store's epoch to an answer.
fn add_epoch_header(mut answer: Vec<u8>, epoch: u64) -> Vec<u8> {
    let header = format!("store-era: {epoch}\r\n");
    let start = answer.iter().position(|byte| *byte == b'\n');
    let start = start.map_or(0, |end| end + 1);
    answer.splice(start..start, header.into_bytes());
    answer
}

fn count_call(state: &StoreState, request: &PlainRequest) {
    state.call_count.set(state.call_count.get() + 1);
    let topic = request.parameter("topic").unwrap_or_default();
    let key = (request.path().to_owned(), topic.to_owned());
    *state.call_counts.borrow_mut().entry(key).or_default() += 1;
}

async fn answer_call(request: &PlainRequest, state: &StoreState) -> Vec<u8> {
    let topic = request.parameter("topic").unwrap_or_default();
    match request.path() {
        "/-/log-append" => answer_append(request, topic, state),
        "/-/log-newest" => answer_newest(topic, state),
        "/-/log-read" => answer_read(request, topic, state).await,
        _ => build_answer(404, &[], b"{}"),
    }
}

fn answer_append(request: &PlainRequest, topic: &str, state: &StoreState) -> Vec<u8> {
    let Some((key, value)) = decode_record(&request.body) else {
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

/// Decodes a record: its length (4 bytes), the length of its key (1 byte), key and value. None if it is malformed.
fn decode_record(body: &[u8]) -> Option<(String, Bytes)> {
    let (length, record) = body.split_first_chunk::<4>()?;
    if usize::try_from(u32::from_be_bytes(*length)).ok()? != record.len() {
        return None;
    }
    let (key_length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*key_length))?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    Some((key, Bytes::copy_from_slice(value)))
}

fn answer_newest(topic: &str, state: &StoreState) -> Vec<u8> {
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

async fn answer_read(request: &PlainRequest, topic: &str, state: &StoreState) -> Vec<u8> {
    let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
    let from: usize = number("from").unwrap_or(0);
    if from < state.first_offset.get() {
        let text = json!({ "first": state.first_offset.get() }).to_string();
        return build_answer(410, &[], text.as_bytes());
    }
    if from > state.topics.borrow().get(topic).map_or(0, Vec::len) {
        let text = json!({ "first": state.first_offset.get() }).to_string();
        return build_answer(410, &[], text.as_bytes());
    }
    let wait_time =
        Duration::from_millis(u64::try_from(number("wait_ms").unwrap_or(0)).unwrap_or(0));
    let has_newer_record = || state.topics.borrow().get(topic).map_or(0, Vec::len) > from;
    let newer_record = async {
        while !has_newer_record() {
            state.appended.notified().await;
        }
    };
    // If no newer record arrives in time, the answer holds no records.
    let _ = timeout(wait_time, newer_record).await;
    build_answer(200, &[], &encode_records(topic, from, state))
}

/// Encodes the topic's end and first offset (8 bytes each) and the records from offset `from` on.
fn encode_records(topic: &str, from: usize, state: &StoreState) -> Vec<u8> {
    let topics = state.topics.borrow();
    let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut body = Vec::new();
    body.extend_from_slice(&(records.len() as u64).to_be_bytes());
    body.extend_from_slice(&(state.first_offset.get() as u64).to_be_bytes());
    for record in records.iter().skip(from) {
        if body.len() > READ_LIMIT_BYTES {
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
        for position in 0..4 {
            let index = (bits >> (18 - 6 * position)) & 63;
            let digit = char::from(DIGITS[index as usize]);
            text.push(if position <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
