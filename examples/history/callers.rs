//! Callers of a run: calls of all classes, and keyed calls repeated at other nodes.

use super::{
    event::{CallNumber, Happening, KeyNumber, Told},
    recorder::Recorder,
};
use bytes::Bytes;
use camphorturn::{
    constants::{CALL_HEADER, KEY_HEADER},
    local_mesh::{
        client::{CallerAnswer, CallerCall, CallerClient, ToldOutcome},
        load::CallKind,
    },
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tokio::task::{LocalSet, spawn_local};
use uuid::Uuid;

/// A caller without a reply takes the outcome as unknown after this long; far above all deadlines.
const PATIENCE: Duration = Duration::from_secs(10);
/// Number in place of a call's, for an answer that names none; no call has it.
const NO_CALL: CallNumber = CallNumber(u64::MAX);
/// Pauses before a key is used again after its first call ended, in milliseconds.
const PAUSES_MS: [u64; 4] = [0, 20, 500, 3_000];

/// What the callers do.
pub struct CallersPlan {
    /// Kinds of calls.
    pub kinds: Vec<CallKind>,
    /// Where callers connect.
    pub entries: Vec<SocketAddr>,
    /// Groups of calls with one key, or single calls, a second.
    pub rate: f64,
    /// How long calls are started.
    pub span: Duration,
    /// Seed of all choices.
    pub seed: u64,
}

/// What a caller was told, before the runs are known.
#[derive(Clone, Debug)]
pub struct ToldRecord {
    /// The call.
    pub call: CallNumber,
    /// The first call with the key, or the call itself.
    pub group: CallNumber,
    /// The identity that the node gave the call, if there was a reply.
    pub id: Option<String>,
    /// What the answer says it is the answer to.
    pub answer: Option<AnswerNames>,
    /// `answered`, `not run`, `unknown`, or a request refused as malformed.
    pub outcome: &'static str,
    /// The reason given.
    pub reason: Option<String>,
}

/// What an upstream's record or answer says of the call it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerNames {
    /// The group, from the path.
    pub group: CallNumber,
    /// The identity that the node gave the call.
    pub id: Option<String>,
}

/// Starts the callers on a thread of their own.
pub fn start_callers(plan: CallersPlan, recorder: Recorder) -> JoinHandle<Vec<ToldRecord>> {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let Ok(runtime) = runtime else {
            return Vec::new();
        };
        LocalSet::new().block_on(&runtime, Callers::new(plan, recorder).run())
    })
}

struct Callers {
    kinds: Vec<CallKind>,
    clients: Vec<CallerClient>,
    rate: f64,
    span: Duration,
    rng: StdRng,
    next_key: u64,
    shared: Shared,
}

#[derive(Clone)]
struct Shared {
    recorder: Recorder,
    next_call: Rc<Cell<u64>>,
    told: flume::Sender<ToldRecord>,
    rx: flume::Receiver<ToldRecord>,
}

/// Calls that share a key, or a single call.
struct Group {
    kind: CallKind,
    key: Option<(KeyNumber, Uuid)>,
    at_once: Vec<CallerClient>,
    later: Vec<(CallerClient, Duration)>,
}

impl Callers {
    fn new(plan: CallersPlan, recorder: Recorder) -> Self {
        let (told, rx) = flume::unbounded();
        Self {
            kinds: plan.kinds,
            clients: plan.entries.into_iter().map(CallerClient::new).collect(),
            rate: plan.rate,
            span: plan.span,
            rng: StdRng::seed_from_u64(plan.seed),
            next_key: 0,
            shared: Shared {
                recorder,
                next_call: Rc::default(),
                told,
                rx,
            },
        }
    }

    async fn run(mut self) -> Vec<ToldRecord> {
        let began = Instant::now();
        let mut due = Duration::ZERO;
        let mut groups = Vec::new();
        while due < self.span {
            tokio::time::sleep_until((began + due).into()).await;
            let group = self.draw_group();
            groups.push(spawn_local(group.run(self.shared.clone())));
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
            due += Duration::from_secs_f64(gap);
        }
        for group in groups {
            let _ = group.await;
        }
        self.shared.rx.drain().collect()
    }

    fn draw_group(&mut self) -> Group {
        let kind = self.kinds[self.rng.random_range(0..self.kinds.len())].clone();
        if !kind.keyed {
            return Group {
                kind,
                key: None,
                at_once: vec![self.draw_client()],
                later: Vec::new(),
            };
        }
        self.next_key += 1;
        let key = Some((KeyNumber(self.next_key), Uuid::now_v7()));
        let at_once = (0..self.rng.random_range(1..=3)).map(|_| self.draw_client());
        let at_once = at_once.collect();
        let later = (0..self.rng.random_range(0..=2)).map(|_| {
            let pause = PAUSES_MS[self.rng.random_range(0..PAUSES_MS.len())];
            (self.draw_client(), Duration::from_millis(pause))
        });
        let later = later.collect();
        Group {
            kind,
            key,
            at_once,
            later,
        }
    }

    fn draw_client(&mut self) -> CallerClient {
        self.clients[self.rng.random_range(0..self.clients.len())].clone()
    }
}

impl Group {
    async fn run(self, shared: Shared) {
        let group = CallNumber(shared.next_call.get());
        let calls = self
            .at_once
            .iter()
            .map(|client| self.call(group, client, &shared));
        futures::future::join_all(calls).await;
        for (client, pause) in &self.later {
            tokio::time::sleep(*pause).await;
            self.call(group, client, &shared).await;
        }
    }

    async fn call(&self, group: CallNumber, client: &CallerClient, shared: &Shared) {
        let call = CallNumber(shared.next_call.get());
        shared.next_call.set(call.0 + 1);
        shared.recorder.record(Happening::Started {
            call,
            key: self.key.map(|(number, _)| number),
            idempotent: self.kind.idempotent,
        });
        let reply = tokio::time::timeout(PATIENCE, client.call(self.build(group))).await;
        let answer = reply.ok().flatten();
        let (outcome, told) = read_told(call, answer.as_ref());
        shared.recorder.record(Happening::Ended { call, told });
        let reason = answer.as_ref().and_then(reason_of);
        // The receiver lives as long as the callers.
        let _ = shared.told.send(ToldRecord {
            call,
            group,
            id: answer.as_ref().and_then(call_id),
            answer: answer.as_ref().and_then(read_names),
            outcome,
            reason,
        });
    }

    /// The request, the same for all calls with a key: another request with it would be refused.
    fn build(&self, group: CallNumber) -> CallerCall {
        let mut headers = HeaderMap::new();
        let key = self.key.map(|(_, key)| key.to_string());
        if let Some(Ok(value)) = key.as_deref().map(HeaderValue::from_str) {
            headers.insert(HeaderName::from_static(KEY_HEADER), value);
        }
        let reads = self.kind.method == Method::GET;
        CallerCall {
            method: self.kind.method.clone(),
            target: format!("/{}{}?group={}", self.kind.service, self.kind.path, group.0),
            headers,
            body: Bytes::from_static(if reads { b"" } else { b"one berth" }),
        }
    }
}

/// Which call an answer is the answer to is found out when the runs are known.
fn read_told(call: CallNumber, answer: Option<&CallerAnswer>) -> (&'static str, Told) {
    let Some(answer) = answer else {
        return ("no reply", Told::Unknown);
    };
    match answer.outcome() {
        ToldOutcome::Answered => ("answered", Told::Answered { of: call }),
        ToldOutcome::NotRun => ("not run", Told::NotRun),
        ToldOutcome::Unknown => ("unknown", Told::Unknown),
        ToldOutcome::Rejected => ("rejected", Told::NotRun),
    }
}

/// The reason given; the status of a request refused as malformed, which gives none.
fn reason_of(answer: &CallerAnswer) -> Option<String> {
    if answer.outcome() == ToldOutcome::Rejected {
        return Some(answer.status.to_string());
    }
    answer.reason().map(str::to_owned)
}

fn call_id(answer: &CallerAnswer) -> Option<String> {
    let value = answer.headers.get(CALL_HEADER)?;
    value.to_str().ok().map(str::to_owned)
}

/// Errors of an upstream have no body and name nothing; a body that can't be read names no call.
fn read_names(answer: &CallerAnswer) -> Option<AnswerNames> {
    let whole = answer.outcome() == ToldOutcome::Answered && answer.status == StatusCode::OK;
    whole.then(|| {
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        AnswerNames {
            group: body["path"]
                .as_str()
                .and_then(named_group)
                .unwrap_or(NO_CALL),
            id: body["call"].as_str().map(str::to_owned),
        }
    })
}

/// The group that a path names.
#[must_use]
pub fn named_group(path: &str) -> Option<CallNumber> {
    let (_, number) = path.split_once("group=")?;
    number.parse().ok().map(CallNumber)
}
