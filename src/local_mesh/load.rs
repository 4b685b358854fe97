//! An open-loop load generator with a seed: calls start at their scheduled times, whether or not earlier calls have
//! ended.

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
    /// Class that the configuration assigns to the call.
    pub class: ClassName,
    /// Value of the Host header.
    pub host: ArcStr,
    /// HTTP method.
    pub method: Method,
    /// Path, and query if there is one.
    pub path: String,
    /// Whether the call may be run more than once.
    pub idempotent: bool,
    /// Latency target.
    pub target: Duration,
    /// Frequency relative to the other kinds.
    pub weight: u32,
}

/// Description of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Kinds of calls; at least one.
    pub kinds: Vec<CallKind>,
    /// Addresses of nodes for callers. Each call uses one at random.
    pub node_addresses: Vec<SocketAddr>,
    /// Average number of calls per second.
    pub calls_per_second: f64,
    /// Time during which calls are started.
    pub duration: Duration,
    /// Seed of the random choice of kinds, nodes and start times.
    pub seed: u64,
}

/// Result of one call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Index in [`LoadPlan::kinds`].
    pub kind: usize,
    /// Random id of the call. It is sent as the query parameter `mark`, which upstreams record with the path.
    pub call_id: Uuid,
    /// Scheduled start, since the start of the load.
    pub scheduled_start: Duration,
    /// Time from the scheduled start until the answer was complete or the call failed.
    pub latency: Duration,
    /// Outcome that was reported to the caller.
    pub outcome: ReportedOutcome,
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Reason that the node gave for an outcome other than `Answered`.
    pub reason: Option<String>,
    /// False if the call got the answer of another call or an incomplete one. True if there was no answer.
    pub answer_matches: bool,
}

/// Runs a load on its own thread. Returns the records of all calls once the last one has ended.
#[must_use]
pub fn run_load(plan: &LoadPlan) -> Vec<CallRecord> {
    let plan = plan.clone();
    let worker = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => LocalSet::new().block_on(&runtime, send_calls(plan)),
            Err(_) => Vec::new(),
        }
    });
    worker.join().unwrap_or_default()
}

async fn send_calls(plan: LoadPlan) -> Vec<CallRecord> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let clients: Vec<CallerClient> = plan
        .node_addresses
        .iter()
        .copied()
        .map(CallerClient::new)
        .collect();
    let records = Rc::new(RefCell::new(Vec::new()));
    let load_start = Instant::now();
    let mut scheduled_start = Duration::ZERO;
    let mut calls = Vec::new();
    while scheduled_start < plan.duration {
        tokio::time::sleep_until((load_start + scheduled_start).into()).await;
        let kind = pick_kind(&plan.kinds, &mut rng);
        let client = clients[rng.random_range(0..clients.len())].clone();
        let call = ScheduledCall {
            kind,
            call_id: Uuid::from_u128(rng.random()),
            load_start,
            scheduled_start,
        };
        let records = Rc::clone(&records);
        let call_kind = plan.kinds[kind].clone();
        calls.push(spawn_local(async move {
            let record = call.send(&call_kind, &client).await;
            records.borrow_mut().push(record);
        }));
        // Independent callers make a Poisson process, which has exponentially distributed intervals.
        let interval = -(1.0 - rng.random::<f64>()).ln() / plan.calls_per_second;
        scheduled_start += Duration::from_secs_f64(interval);
    }
    for call in calls {
        let _ = call.await;
    }
    records.take()
}

fn pick_kind(kinds: &[CallKind], rng: &mut StdRng) -> usize {
    let total: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut remaining_weight = rng.random_range(0..total.max(1));
    let is_picked = |kind: &CallKind| {
        let is_picked = remaining_weight < kind.weight;
        remaining_weight = remaining_weight.saturating_sub(kind.weight);
        is_picked
    };
    kinds.iter().position(is_picked).unwrap_or(0)
}

/// A call that is due. `kind` is an index in [`LoadPlan::kinds`].
struct ScheduledCall {
    kind: usize,
    call_id: Uuid,
    load_start: Instant,
    scheduled_start: Duration,
}

impl ScheduledCall {
    async fn send(self, call_kind: &CallKind, client: &CallerClient) -> CallRecord {
        let answer = client.call(self.build_call(call_kind)).await.ok();
        let latency = self
            .load_start
            .elapsed()
            .saturating_sub(self.scheduled_start);
        let call_id = self.call_id.to_string();
        let is_answered = |outcome| outcome == ReportedOutcome::Answered;
        let outcome = answer
            .as_ref()
            .map_or(ReportedOutcome::Unknown, CallerAnswer::outcome);
        let answer_matches = answer.as_ref().is_some_and(|answer| {
            !is_answered(outcome) || String::from_utf8_lossy(&answer.body).contains(&call_id)
        });
        CallRecord {
            kind: self.kind,
            call_id: self.call_id,
            scheduled_start: self.scheduled_start,
            latency,
            outcome,
            status: answer.as_ref().map_or(0, |answer| answer.status.as_u16()),
            reason: answer.as_ref().and_then(CallerAnswer::reason),
            answer_matches: answer_matches || answer.is_none(),
        }
    }

    fn build_call(&self, call_kind: &CallKind) -> CallerCall {
        let mut headers = HeaderMap::new();
        let call_id = self.call_id.to_string();
        insert_header(&mut headers, HOST, &call_kind.host);
        insert_header(
            &mut headers,
            HeaderNames::default_names().request_id,
            &call_id,
        );
        let separator = if call_kind.path.contains('?') {
            '&'
        } else {
            '?'
        };
        CallerCall {
            method: call_kind.method.clone(),
            target: format!("{}{separator}mark={call_id}", call_kind.path),
            headers,
            body: Bytes::from(if call_kind.method == Method::GET {
                String::new()
            } else {
                call_id
            }),
        }
    }
}

fn insert_header(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
