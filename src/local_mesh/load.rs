//! A seeded open-loop load: calls start at their scheduled time, whether or not earlier ones ended.

use crate::{
    local_mesh::client::{CallerAnswer, CallerCall, CallerClient, ReportedOutcome},
    options::proxy_settings::HeaderNames,
    state::names::ClassName,
};
use arcstr::ArcStr;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header::HOST};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};
use tokio::task::{LocalSet, spawn_local};
use uuid::Uuid;

/// One kind of call in a load.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// The class that the configuration should give it.
    pub class: ClassName,
    /// Value of the Host header.
    pub host: ArcStr,
    /// HTTP method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Target time.
    pub target: Duration,
    /// Relative frequency.
    pub weight: u32,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Kinds of calls, at least one.
    pub kinds: Vec<CallKind>,
    /// Where callers connect; each call picks one at random.
    pub node_addresses: Vec<SocketAddr>,
    /// Calls a second.
    pub calls_per_second: f64,
    /// How long calls are started.
    pub duration: Duration,
    /// Seed of the choice of kind, entry and time.
    pub seed: u64,
}

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Position in [`LoadPlan::kinds`].
    pub kind: usize,
    /// Unique in this process; upstreams record it as part of the path.
    pub call_id: Uuid,
    /// Start, since the load's start.
    pub scheduled_start: Duration,
    /// Time until the reply was complete, from the scheduled start.
    pub latency: Duration,
    /// What the caller was told.
    pub outcome: ReportedOutcome,
    /// HTTP status; 0 if there was no reply.
    pub status: u16,
    /// Why not run, or why unknown.
    pub reason: Option<String>,
    /// Whether an answer was the one to this very call.
    pub answer_matches: bool,
}

/// Runs a load on a thread of its own and returns every call's record.
#[must_use]
pub fn run_load(plan: &LoadPlan) -> Vec<CallRecord> {
    let plan = plan.clone();
    let worker = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => LocalSet::new().block_on(&runtime, start_calls(plan)),
            Err(_) => Vec::new(),
        }
    });
    worker.join().unwrap_or_default()
}

async fn start_calls(plan: LoadPlan) -> Vec<CallRecord> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let clients: Vec<CallerClient> = plan
        .node_addresses
        .iter()
        .copied()
        .map(CallerClient::new)
        .collect();
    let records = Rc::new(RefCell::new(Vec::new()));
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = Vec::new();
    while due < plan.duration {
        tokio::time::sleep_until((began + due).into()).await;
        let kind = pick_kind(&plan.kinds, &mut rng);
        let client = clients[rng.random_range(0..clients.len())].clone();
        let call = OneCall {
            kind,
            mark: Uuid::from_u128(rng.random()),
            began,
            due,
        };
        let records = Rc::clone(&records);
        let spec = plan.kinds[kind].clone();
        calls.push(spawn_local(async move {
            let record = call.run(&spec, &client).await;
            records.borrow_mut().push(record);
        }));
        // Exponential gaps: callers do not agree with one another on when to call.
        let gap = -(1.0 - rng.random::<f64>()).ln() / plan.calls_per_second;
        due += Duration::from_secs_f64(gap);
    }
    for call in calls {
        let _ = call.await;
    }
    records.take()
}

fn pick_kind(kinds: &[CallKind], rng: &mut StdRng) -> usize {
    let total: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut left = rng.random_range(0..total.max(1));
    let fits = |kind: &CallKind| {
        let fits = left < kind.weight;
        left = left.saturating_sub(kind.weight);
        fits
    };
    kinds.iter().position(fits).unwrap_or(0)
}

struct OneCall {
    kind: usize,
    mark: Uuid,
    began: Instant,
    due: Duration,
}

impl OneCall {
    async fn run(self, spec: &CallKind, client: &CallerClient) -> CallRecord {
        let answer = client.call(self.build(spec)).await.ok();
        let took = self.began.elapsed().saturating_sub(self.due);
        let mark = self.mark.to_string();
        let answered = |outcome| outcome == ReportedOutcome::Answered;
        let outcome = answer
            .as_ref()
            .map_or(ReportedOutcome::Unknown, CallerAnswer::outcome);
        let own_answer = answer.as_ref().is_some_and(|answer| {
            !answered(outcome) || String::from_utf8_lossy(&answer.body).contains(&mark)
        });
        CallRecord {
            kind: self.kind,
            call_id: self.mark,
            scheduled_start: self.due,
            latency: took,
            outcome,
            status: answer.as_ref().map_or(0, |answer| answer.status.as_u16()),
            reason: answer.as_ref().and_then(CallerAnswer::reason),
            answer_matches: own_answer || answer.is_none(),
        }
    }

    fn build(&self, spec: &CallKind) -> CallerCall {
        let mut headers = HeaderMap::new();
        let mark = self.mark.to_string();
        put(&mut headers, HOST, &spec.host);
        put(&mut headers, HeaderNames::default_names().request_id, &mark);
        let separator = if spec.path.contains('?') { '&' } else { '?' };
        CallerCall {
            method: spec.method.clone(),
            target: format!("{}{separator}mark={mark}", spec.path),
            headers,
            body: Bytes::from(if spec.method == Method::GET {
                String::new()
            } else {
                mark
            }),
        }
    }
}

fn put(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
