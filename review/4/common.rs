//! Stand-ins that the scripts of this review share: the platform's store, upstreams, clients and the start of node processes.
//!
//! Only the standard library is used. Everything listens on loopback addresses: each machine has an IP address of its own in
//! 127.0.0.0/8 and, as on the platform, the same ports as all others.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const CASE_HELD: i32 = 0;
pub const CASE_BROKEN: i32 = 1;
pub const CASE_NOT_RUN: i32 = 2;

/// Name and value of each header, names in lower case.
pub type Headers = Vec<(String, String)>;

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Arc<Self>> {
        guard();
        Ok(Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        }))
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms());
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A message of HTTP/1.1 with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 64 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.rest.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads a message; `None` if the connection ended before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() {
                    Ok(None)
                } else {
                    Err(cut("head"))
                };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else {
            let length = message
                .header("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let at_hand = length.min(self.rest.len());
        let mut body: Vec<u8> = self.rest.drain(..at_hand).collect();
        if body.len() < length {
            let have = body.len();
            body.resize(length, 0);
            self.stream.read_exact(&mut body[have..])?;
        }
        Ok(body)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                if self.fill()? == 0 {
                    return Err(cut("chunk"));
                }
            };
            let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("0").trim(), 16)
                .map_err(|_| cut("chunk size"))?;
            self.rest.drain(..end + 2);
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Whether the other side has closed the connection. Bytes that wait to be read mean that it has not.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn cut(what: &str) -> io::Error {
    io::Error::other(format!("{what} cut short"))
}

pub fn build(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Sound,
    /// Answers 503 and does nothing.
    Busy,
    /// Never answers and does nothing.
    Silent,
}

struct StoreState {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    mode: StoreMode,
}

/// Keyed topics with one partition: appends, reads from an offset that wait, and the newest record of each key.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = StoreState {
            topics: HashMap::new(),
            mode: StoreMode::Sound,
        };
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        Ok(store)
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
        self.changed.notify_all();
    }

    /// Appends a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push((key.to_owned(), value.to_vec()));
        self.changed.notify_all();
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(call)) = wire.read() {
            let mode = self.state.lock().unwrap().mode;
            let answer = match mode {
                StoreMode::Sound => self.answer(&call),
                StoreMode::Busy => build("HTTP/1.1 503 Service Unavailable", &[], b"{}"),
                StoreMode::Silent => {
                    while !wire.is_closed() {
                        pause(20);
                    }
                    return;
                }
            };
            if wire.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Vec<u8> {
        const OK: &str = "HTTP/1.1 200 OK";
        let topic = call.parameter("topic").unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        match call.path() {
            "/-/log-append" => {
                pause(2);
                let records = state.topics.entry(topic).or_default();
                let end = records.len();
                let expected: Option<usize> =
                    call.parameter("at").and_then(|text| text.parse().ok());
                if expected.is_some_and(|expected| expected != end) {
                    return build(
                        "HTTP/1.1 412 Precondition Failed",
                        &[],
                        format!("{{\"end\":{end}}}").as_bytes(),
                    );
                }
                let key_end = 5 + call.body.get(4).map_or(0, |length| usize::from(*length));
                let Some(key) = call.body.get(5..key_end) else {
                    return build("HTTP/1.1 400 Bad Request", &[], b"{}");
                };
                let key = String::from_utf8_lossy(key).into_owned();
                records.push((key, call.body[key_end..].to_vec()));
                self.changed.notify_all();
                build(
                    OK,
                    &[],
                    format!("{{\"offset\":{end},\"end\":{}}}", end + 1).as_bytes(),
                )
            }
            "/-/log-newest" => {
                let records = state.topics.entry(topic).or_default();
                let mut items = Vec::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    let newest = records[offset + 1..].iter().all(|(other, _)| other != key);
                    if newest && !value.is_empty() {
                        items.push(format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        ));
                    }
                }
                let page = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                build(OK, &[], page.as_bytes())
            }
            "/-/log-read" => {
                let number = |name: &str| {
                    call.parameter(name)
                        .and_then(|text| text.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let (from, wait) = (number("from") as usize, number("wait_ms"));
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let has_newer = state.topics.get(&topic).map_or(0, Vec::len) > from;
                    if has_newer || left.is_zero() || state.mode != StoreMode::Sound {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let records = state.topics.entry(topic).or_default();
                let mut body = Vec::new();
                body.extend_from_slice(&(records.len() as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                build(OK, &[], &body)
            }
            _ => build("HTTP/1.1 404 Not Found", &[], b"{}"),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------------------------------------
// Upstreams

/// A request that an upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub instance: String,
    pub machine: usize,
    pub at_ms: u64,
    pub target: String,
    pub bytes: usize,
    pub tenant: Option<String>,
    pub answered: bool,
}

pub struct Upstream {
    pub machine: usize,
    pub service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    slots: usize,
    /// Path prefixes with the time that their requests take, in milliseconds.
    work: Vec<(String, u64)>,
    record: Arc<Record>,
    incarnation: AtomicU64,
    alive: AtomicBool,
    pub leaving: AtomicBool,
    running: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
    pub silent_beats: AtomicBool,
}

impl Upstream {
    pub fn start(
        machine: &Machine,
        work: &[(&str, u64)],
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let upstream = Arc::new(Self {
            machine: machine.number,
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            address: machine.app(),
            control: machine.control(),
            slots: 6,
            work: work
                .iter()
                .map(|(prefix, ms)| ((*prefix).to_owned(), *ms))
                .collect(),
            record: Arc::clone(record),
            incarnation: AtomicU64::new(1),
            alive: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            streams: Mutex::default(),
            sequence: AtomicU64::new(0),
            silent_beats: AtomicBool::new(false),
        });
        upstream.listen()?;
        let beating = Arc::clone(&upstream);
        thread::spawn(move || {
            loop {
                if beating.alive.load(Ordering::SeqCst)
                    && !beating.silent_beats.load(Ordering::SeqCst)
                {
                    beating.beat();
                }
                pause(1_500);
            }
        });
        Ok(upstream)
    }

    pub fn instance(&self) -> String {
        format!(
            "i-{:02}-{}",
            self.machine,
            self.incarnation.load(Ordering::SeqCst)
        )
    }

    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.alive.store(true, Ordering::SeqCst);
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let upstream = Arc::clone(self);
        thread::spawn(move || {
            while upstream.is_current(incarnation) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            let mut streams = upstream.streams.lock().unwrap();
                            if streams.len() > 500 {
                                streams.retain(|stream| stream.peer_addr().is_ok());
                            }
                            streams.push(copy);
                        }
                        let upstream = Arc::clone(&upstream);
                        thread::spawn(move || upstream.serve(Wire::new(stream), incarnation));
                    }
                    Err(_) => pause(1),
                }
            }
        });
        Ok(())
    }

    fn is_current(&self, incarnation: u64) -> bool {
        self.alive.load(Ordering::SeqCst) && self.incarnation.load(Ordering::SeqCst) == incarnation
    }

    /// Ends without notice: connections are reset and new ones refused.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.running.store(0, Ordering::SeqCst);
        self.record
            .line(&format!("upstream {} crashes", self.instance()));
    }

    /// Starts again at the same address as another incarnation.
    pub fn restart(self: &Arc<Self>) -> io::Result<()> {
        pause(20);
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.leaving.store(false, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        let mut tries = 0;
        while let Err(error) = self.listen() {
            tries += 1;
            if tries > 50 {
                return Err(error);
            }
            pause(20);
        }
        self.record
            .line(&format!("upstream {} starts", self.instance()));
        self.beat();
        Ok(())
    }

    pub fn beat_body(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"warmup_left_s\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Sends a heartbeat; returns the status of the answer.
    pub fn beat(&self) -> Option<u16> {
        let state = if self.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = self.beat_body(state, self.next_sequence());
        self.call_control("instances.heartbeat", body.as_bytes())
    }

    pub fn call_control(&self, call: &str, body: &[u8]) -> Option<u16> {
        let start = format!("POST /-/rpc?call={call}&of={} HTTP/1.1", self.instance());
        let bytes = build(
            &start,
            &[("host", "node"), ("content-type", "application/json")],
            body,
        );
        exchange(self.control, &bytes, Duration::from_secs(1))
            .ok()
            .map(|answer| answer.status())
    }

    fn serve(&self, mut wire: Wire, incarnation: u64) {
        while let Ok(Some(request)) = wire.read() {
            if !self.is_current(incarnation) {
                return;
            }
            let load = format!(
                "{},0,{},100",
                self.running.load(Ordering::SeqCst),
                self.slots
            );
            let instance = self.instance();
            if request.path() == "/health" {
                let status = if self.leaving.load(Ordering::SeqCst) {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                let headers = [
                    ("camphorturn-instance-id", instance.as_str()),
                    ("camphorturn-server-load", load.as_str()),
                ];
                if wire
                    .stream
                    .write_all(&build(&format!("HTTP/1.1 {status}"), &headers, b""))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let id = request
                .header("camphorturn-request-id")
                .unwrap_or_default()
                .to_owned();
            let target = request.header("camphorturn-target-instance");
            if target.is_some_and(|target| target != instance) {
                let headers = [
                    ("camphorturn-instance-id", instance.as_str()),
                    ("camphorturn-request-id", id.as_str()),
                ];
                if wire
                    .stream
                    .write_all(&build("HTTP/1.1 421 Misdirected Request", &headers, b""))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if self.running.load(Ordering::SeqCst) >= self.slots + 12 {
                let headers = [
                    ("camphorturn-not-executed", "1"),
                    ("camphorturn-request-id", id.as_str()),
                ];
                let answer = build("HTTP/1.1 503 Service Unavailable", &headers, b"");
                if wire.stream.write_all(&answer).is_err() {
                    return;
                }
                continue;
            }
            if !self.run(&mut wire, &request, &id, &instance, incarnation) {
                return;
            }
        }
    }

    /// Works on a request and answers it. Returns whether the connection stays open.
    fn run(
        &self,
        wire: &mut Wire,
        request: &Message,
        id: &str,
        instance: &str,
        incarnation: u64,
    ) -> bool {
        let at_ms = self.record.ms();
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request: id.to_owned(),
                instance: instance.to_owned(),
                machine: self.machine,
                at_ms,
                target: request.target().to_owned(),
                bytes: request.body.len(),
                tenant: request.header("camphorturn-tenant").map(str::to_owned),
                answered: false,
            });
            runs.len() - 1
        };
        self.record.line(&format!(
            "upstream {instance} runs {id} {} {} bytes",
            request.start,
            request.body.len()
        ));
        self.running.fetch_add(1, Ordering::SeqCst);
        let work = self
            .work
            .iter()
            .find(|(prefix, _)| request.path().starts_with(prefix.as_str()));
        let until = Instant::now() + Duration::from_millis(work.map_or(5, |(_, ms)| *ms));
        let mut goes_on = true;
        while goes_on && Instant::now() < until {
            pause(5);
            goes_on = self.is_current(incarnation) && !wire.is_closed();
        }
        if self.is_current(incarnation) {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        if !goes_on {
            return false;
        }
        let load = format!(
            "{},0,{},100",
            self.running.load(Ordering::SeqCst),
            self.slots
        );
        let body = format!("done {id} {}", request.body.len());
        let signature = format!("{instance}.{id}");
        let headers = [
            ("camphorturn-request-id", id),
            ("camphorturn-server-signature", signature.as_str()),
            ("camphorturn-server-load", load.as_str()),
        ];
        let answer = build("HTTP/1.1 200 OK", &headers, body.as_bytes());
        let sent = wire.stream.write_all(&answer).is_ok();
        self.runs.lock().unwrap()[number].answered = sent;
        sent
    }
}

/// Sends a message on a new connection and reads the answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    let mut wire = Wire::new(stream);
    wire.stream.write_all(bytes)?;
    wire.read()?.ok_or_else(|| cut("answer"))
}

// ---------------------------------------------------------------------------------------------------------------------------
// Machines and their nodes

/// Ports of a machine, the same on all machines.
const OUTBOUND: u16 = 0;
const INBOUND: u16 = 1;
const READY: u16 = 2;
const CONTROL: u16 = 3;
const APP: u16 = 4;
const RANGE: u16 = 5;

pub struct Machine {
    pub number: usize,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub service: String,
    base: u16,
    folder: PathBuf,
    store: SocketAddr,
    /// Process and the time of its start.
    pub child: Mutex<Option<Child>>,
    pub starts: AtomicUsize,
}

impl Machine {
    fn at(&self, port: u16) -> SocketAddr {
        (self.ip, self.base + port).into()
    }

    pub fn outbound(&self) -> SocketAddr {
        self.at(OUTBOUND)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL)
    }

    pub fn app(&self) -> SocketAddr {
        self.at(APP)
    }

    /// Writes the settings file and starts the node with the command of the deploy file.
    pub fn start_node(&self) -> io::Result<()> {
        let Self {
            ip,
            zone,
            service,
            base,
            store,
            number,
            ..
        } = self;
        let first = self.starts.fetch_add(1, Ordering::SeqCst) == 0;
        let text = format!(
            "node_name: \"sidecar-{zone}-{number}\"\nrole: \"node\"\ninstance_class: \"sidecar\"\nserves:\n  - \"sidecar\"\nip: \"{ip}\"\n\
             zone: \"{zone}\"\nregion: \"west\"\nzones:\n  za: \"west\"\n  zb: \"west\"\n  zc: \"west\"\nlisten_addrs:\n  inbound: \"{ip}:{}\"\n  \
             outbound: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n  control_plane: \"{ip}:{}\"\nport_range:\n  - {}\n  - {}\nseeds: []\n\
             bootstrap: {first}\nfault_counted: false\nlimits:\n  cpu_share: 0.2\n  cpu_cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  \
             link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"static\"\nentry_mode: \"static\"\nheartbeat_s: 1.5\npolicies:\n  \
             - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"health\"\n  - \"platform\"\n\
             fault_tolerance:\n  nodes: 1\n  zones: 0\n  regions: 0\npolicy_params:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_s: 3\n  \
             ack_s: 4\n  sync_s: 4\n  drain_s: 2\n  grace_s: 6\n  loss_slack_s: 0.2\n  config_apply_s: 2\n  downgrade_slack_s: 0.25\n  \
             max_stretch_s: 5\n  retry_budget_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 64\n  recovery_s: 15\n  probes_per_s: 60\n\
             app_addr: \"{ip}:{}\"\nservice: \"{service}\"\nplatform:\n  address: \"{store}\"\n  form: \"log\"\n  writes_per_s: 400\n  \
             reads_per_s: 2000\n  parts: 12\n  append_s: 0.002\n  part_mb_s: 20.0\n  read_mb_s: 80.0\n  record_bytes: 262144\n  \
             call_bytes: 2097152\n  keep_s: 300\n  part_mb: 200\n  ttl_min_s: 1\n",
            base + INBOUND,
            base + OUTBOUND,
            base + READY,
            base + CONTROL,
            base + RANGE,
            base + RANGE + 3,
            base + APP
        );
        let settings = self.folder.join(format!("m{number}.yaml"));
        fs::write(&settings, text)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("m{number}.log")))?;
        let mut command = Command::new("target/release/camphorturn-sidecar");
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("CAMPHORTURN_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill_node(&self) {
        let mut held = match self.child.lock() {
            Ok(held) => held,
            Err(poisoned) => poisoned.into_inner(),
        };
        if let Some(mut child) = held.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let bytes = build("GET /-/ready HTTP/1.1", &[("host", "node")], b"");
        exchange(self.at(READY), &bytes, Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Memory of the process in megabytes: resident set, from the system.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1_024.0)
    }
}

/// Machines whose processes have to end with this one, and the folder of their settings and logs.
static STARTED: Mutex<(Vec<Arc<Machine>>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Longest time that a script runs.
const LONGEST: Duration = Duration::from_secs(117);

/// Ends all processes that were started, and removes their folder.
fn end_all() {
    let (machines, folder) = match STARTED.lock() {
        Ok(started) => (started.0.clone(), started.1.clone()),
        Err(poisoned) => (poisoned.get_ref().0.clone(), poisoned.get_ref().1.clone()),
    };
    for machine in machines {
        machine.kill_node();
    }
    if let Some(folder) = folder.filter(|_| std::env::var_os("KEEP").is_none()) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends the case as one that couldn't run if it panics or lasts too long.
fn guard() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        end_all();
        std::process::exit(CASE_NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case lasts too long");
        end_all();
        std::process::exit(CASE_NOT_RUN);
    });
}

/// A small deployment: the store, machines with their nodes, and upstreams.
pub struct Deployment {
    pub store: Arc<Store>,
    pub machines: Vec<Arc<Machine>>,
    pub upstreams: Vec<Arc<Upstream>>,
    pub record: Arc<Record>,
}

impl Deployment {
    /// Starts a deployment; `plan` holds zone and service of each machine.
    pub fn start(
        plan: &[(&str, &str)],
        work: &[(&str, u64)],
        config: &str,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("camphorturn-review-{id}-{}", wall_ms()));
        fs::create_dir_all(&folder)?;
        STARTED.lock().unwrap().1 = Some(folder.clone());
        let net = |last: u8| {
            Ipv4Addr::new(
                127,
                (100 + id % 120) as u8,
                (id / 120 % 250 + 1) as u8,
                last,
            )
        };
        let store = Store::start(net(250))?;
        store.put("keyed.op", "config", config.as_bytes());
        let base = find_base(net(1), plan.len() as u8)?;
        let mut machines = Vec::new();
        let mut upstreams = Vec::new();
        for (number, (zone, service)) in plan.iter().enumerate() {
            let machine = Arc::new(Machine {
                number,
                ip: net(number as u8 + 1),
                zone: (*zone).to_owned(),
                service: (*service).to_owned(),
                base,
                folder: folder.clone(),
                store: store.address,
                child: Mutex::new(None),
                starts: AtomicUsize::new(0),
            });
            upstreams.push(Upstream::start(&machine, work, record)?);
            STARTED.lock().unwrap().0.push(Arc::clone(&machine));
            machines.push(machine);
        }
        for machine in &machines {
            machine.start_node()?;
        }
        let deployment = Self {
            store,
            machines,
            upstreams,
            record: Arc::clone(record),
        };
        let began = Instant::now();
        while !deployment.machines.iter().all(|machine| machine.is_ready()) {
            if began.elapsed() > Duration::from_secs(20) {
                return Err(io::Error::other("the nodes did not become ready"));
            }
            pause(100);
        }
        // The nodes learn of one another.
        pause(4_000);
        record.line("all nodes are ready");
        Ok(deployment)
    }

    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.runs.lock().unwrap().clone())
            .collect();
        runs.sort_by_key(|run| run.at_ms);
        runs
    }
}

/// First of nine ports that are free on all machines.
fn find_base(first: Ipv4Addr, machines: u8) -> io::Result<u16> {
    let [a, b, c, d] = first.octets();
    let mut base = 21_000 + (std::process::id() % 500) as u16 * 10;
    for _ in 0..200 {
        let free = (0..machines).all(|number| {
            (0..9).all(|port| {
                TcpListener::bind((Ipv4Addr::new(a, b, c, d + number), base + port)).is_ok()
            })
        });
        if free {
            return Ok(base);
        }
        base = if base > 31_000 { 21_000 } else { base + 10 };
    }
    Err(io::Error::other("no free ports"))
}

// ---------------------------------------------------------------------------------------------------------------------------
// Clients

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Status(u16),
    /// The connection ended or broke off after the request was written.
    Closed,
    /// No connection.
    NoConnection,
    /// No answer until the client's deadline.
    Deadline,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub request: String,
    pub machine: usize,
    pub at_ms: u64,
    pub took_ms: u64,
    pub end: End,
    pub kept: bool,
    pub signed: bool,
    pub body: String,
    pub group: &'static str,
}

/// A client on a machine that keeps its connection open for many requests.
pub struct Client {
    pub machine: Arc<Machine>,
    pub name: String,
    wire: Option<Wire>,
    count: u64,
    record: Arc<Record>,
}

impl Client {
    pub fn new(machine: &Arc<Machine>, name: &str, record: &Arc<Record>) -> Self {
        Self {
            machine: Arc::clone(machine),
            name: name.to_owned(),
            wire: None,
            count: 0,
            record: Arc::clone(record),
        }
    }

    /// Sends a request and waits for its answer.
    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        extra: &[(&str, &str)],
        body: &[u8],
        deadline_ms: u64,
        group: &'static str,
    ) -> Sent {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let timeout = deadline_ms.to_string();
        let mut headers = vec![
            ("host", host),
            ("camphorturn-request-id", id.as_str()),
            ("camphorturn-timeout-ms", timeout.as_str()),
        ];
        headers.extend_from_slice(extra);
        let bytes = build(&format!("{method} {path} HTTP/1.1"), &headers, body);
        let at_ms = self.record.ms();
        if self.wire.as_ref().is_some_and(Wire::is_closed) {
            self.wire = None;
        }
        let kept = self.wire.is_some();
        let (end, signed, text) = self.exchange(&bytes, deadline_ms);
        let took_ms = self.record.ms() - at_ms;
        self.record.line(&format!(
            "client {id} on machine {}: {method} {path} {} bytes sent at {at_ms} ms on a {} connection: {end:?}{} after {took_ms} ms {text}",
            self.machine.number, body.len(), if kept { "kept" } else { "new" }, if signed { ", signed" } else { "" }
        ));
        Sent {
            request: id,
            machine: self.machine.number,
            at_ms,
            took_ms,
            end,
            kept,
            signed,
            body: text,
            group,
        }
    }

    fn exchange(&mut self, bytes: &[u8], deadline_ms: u64) -> (End, bool, String) {
        if self.wire.is_none() {
            match TcpStream::connect_timeout(&self.machine.outbound(), Duration::from_secs(1)) {
                Ok(stream) => self.wire = Some(Wire::new(stream)),
                Err(_) => return (End::NoConnection, false, String::new()),
            }
        }
        let Some(mut wire) = self.wire.take() else {
            return (End::NoConnection, false, String::new());
        };
        let _ = wire
            .stream
            .set_read_timeout(Some(Duration::from_millis(deadline_ms + 300)));
        if wire.stream.write_all(bytes).is_err() {
            return (End::Closed, false, String::new());
        }
        match wire.read() {
            Ok(Some(answer)) => {
                let signed = answer.header("camphorturn-server-signature").is_some();
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let status = answer.status();
                if answer.header("connection") != Some("close") {
                    self.wire = Some(wire);
                }
                (End::Status(status), signed, text)
            }
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                (End::Deadline, false, String::new())
            }
            Ok(None) | Err(_) => (End::Closed, false, String::new()),
        }
    }
}

/// Whether the script plays the disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with the result of the case.
pub fn finish(record: &Record, result: io::Result<bool>) -> ! {
    let code = match result {
        Ok(false) => {
            record.say("result: the rule held");
            CASE_HELD
        }
        Ok(true) => {
            record.say("result: the rule was broken");
            CASE_BROKEN
        }
        Err(error) => {
            record.say(&format!("result: the case could not run: {error}"));
            CASE_NOT_RUN
        }
    };
    end_all();
    std::process::exit(code)
}
