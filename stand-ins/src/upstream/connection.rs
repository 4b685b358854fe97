//! Connections of an upstream and the calls on them.

use super::{
    AnswerFault, ConnectionOrder, HealthAnswer, Inner, Job,
    body::{AnswerBody, CutOnPurpose},
    run_record::{Run, RunEnd},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    future::pending,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

const CALL_HEADER: &str = "camphorturn-call";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "camphorturn-deadline-ms";
const SHED_HEADER: &str = "camphorturn-shed";
const RUNNING_HEADER: &str = "camphorturn-load-running";
const WAITING_HEADER: &str = "camphorturn-load-waiting";
const SLOTS_HEADER: &str = "camphorturn-load-slots";
const CONDITION_HEADER: &str = "camphorturn-load-condition";
/// Most bytes of a request's body that its answer repeats.
const ECHO_LIMIT: usize = 1_024;
/// Longest time after which a call looks at the upstream's speed again.
const WORK_STEP: Duration = Duration::from_millis(5);
/// Largest body that `?bytes=N` asks for.
const PADDING_LIMIT: usize = 64 * 1024 * 1024;

type Answer = Response<AnswerBody>;

pub(super) async fn accept_connections(job: Job) {
    let Ok(listener) = TcpListener::from_std(job.listener) else {
        return;
    };
    let mut orders = job.connections.clone();
    loop {
        tokio::select! {
            order = wait_for_stop(&mut orders) => return order,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let connection = serve_connection(stream, Arc::clone(&job.inner), job.connections.clone());
                spawn_local(connection);
            }
        }
    }
}

async fn wait_for_stop(orders: &mut watch::Receiver<ConnectionOrder>) {
    // An error means that the handle is gone, which stops the upstream as well.
    let _ = orders
        .wait_for(|order| *order == ConnectionOrder::Stop)
        .await;
}

async fn serve_connection(
    stream: TcpStream,
    inner: Arc<Inner>,
    mut orders: watch::Receiver<ConnectionOrder>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    orders.mark_unchanged();
    let service = service_fn(|req| serve_request(req, Arc::clone(&inner)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            changed = orders.changed() => {
                if changed.is_err() || *orders.borrow() == ConnectionOrder::Stop {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn serve_request(req: Request<Incoming>, inner: Arc<Inner>) -> Result<Answer, CutOnPurpose> {
    if req.method() == Method::GET && req.uri().path() == "/health" {
        return Ok(answer_health(&inner));
    }
    let deadline = read_deadline(req.headers()).map(|span| Instant::now() + span);
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| CutOnPurpose)?.to_bytes();
    let call = Call {
        id: text_of(&head.headers, CALL_HEADER),
        key: text_of(&head.headers, KEY_HEADER),
        method: head.method,
        path: head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        body,
        deadline,
    };
    run_call(&call, &inner).await
}

struct Call {
    id: Option<String>,
    key: Option<String>,
    method: Method,
    path: String,
    body: Bytes,
    deadline: Option<Instant>,
}

async fn run_call(call: &Call, inner: &Arc<Inner>) -> Result<Answer, CutOnPurpose> {
    let behaviour = inner.lock().behaviour.clone();
    if behaviour.fail_fast {
        let run = RunGuard::begin(call, inner);
        run.end(RunEnd::Failed);
        return Ok(answer_status(
            inner,
            call,
            StatusCode::INTERNAL_SERVER_ERROR,
        ));
    }
    let waiting = inner.lock().load.waiting;
    if behaviour.refuses(waiting) {
        return Ok(answer_shed(inner, call));
    }
    let slot = {
        let _waiting = WaitingGuard::new(inner);
        let acquired = wait_until(
            behaviour.honours_deadlines,
            call.deadline,
            inner.slots.acquire(),
        );
        match acquired.await {
            Some(slot) => slot.map_err(|_| CutOnPurpose)?,
            None => return Ok(answer_shed(inner, call)),
        }
    };
    let run = RunGuard::begin(call, inner);
    let span = draw_service_time(call, inner);
    let fault = draw_fault(inner);
    if wait_until(
        behaviour.honours_deadlines,
        call.deadline,
        pass_work(inner, span),
    )
    .await
    .is_none()
    {
        run.end(RunEnd::DeadlinePassed);
        return Ok(answer_status(inner, call, StatusCode::GATEWAY_TIMEOUT));
    }
    let sequence = run.sequence;
    if fault == AnswerFault::Never {
        run.mark_finished();
        pending::<()>().await;
    }
    run.end(RunEnd::Finished);
    drop(slot);
    let text = describe(inner, call, sequence);
    let body = match fault {
        AnswerFault::CutBefore => return Err(CutOnPurpose),
        AnswerFault::CutHalfWay => AnswerBody::half(&text),
        AnswerFault::None | AnswerFault::Never => AnswerBody::whole(text),
    };
    Ok(with_headers(inner, call, Response::new(body)))
}

/// Works until `work` is done, at the speed that the behaviour allows from moment to moment: a
/// neighbour on the host slows the calls in progress for as long as it is noisy, and no longer.
async fn pass_work(inner: &Inner, work: Duration) {
    let mut left = work;
    let mut before = Instant::now();
    while !left.is_zero() {
        let factor = inner.slowness();
        sleep(left.mul_f64(factor).min(WORK_STEP)).await;
        let now = Instant::now();
        left = left.saturating_sub((now - before).div_f64(factor));
        before = now;
    }
}

/// `None` if the deadline passes first.
async fn wait_until<T>(
    honoured: bool,
    deadline: Option<Instant>,
    work: impl Future<Output = T>,
) -> Option<T> {
    match deadline.filter(|_| honoured) {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), work).await.ok(),
        None => Some(work.await),
    }
}

fn draw_service_time(call: &Call, inner: &Inner) -> Duration {
    let times = &inner.settings.service_times;
    let time = times
        .iter()
        .find(|time| call.path.starts_with(&time.path_prefix));
    let mut shared = inner.lock();
    let shared = &mut *shared;
    let base = time.map_or(Duration::ZERO, |time| time.draw(&mut shared.rng));
    base + shared.behaviour.draw_noise(&mut shared.rng)
}

fn draw_fault(inner: &Inner) -> AnswerFault {
    let mut shared = inner.lock();
    let shared = &mut *shared;
    shared.behaviour.draw_answer_fault(&mut shared.rng)
}

/// Counts a call among the waiting ones while it lives.
struct WaitingGuard<'a>(&'a Inner);

impl<'a> WaitingGuard<'a> {
    fn new(inner: &'a Inner) -> Self {
        let mut shared = inner.lock();
        shared.load.waiting += 1;
        shared.load.most = shared
            .load
            .most
            .max(shared.load.waiting + shared.load.running);
        Self(inner)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().load.waiting -= 1;
    }
}

/// Records a run; a run whose guard is dropped early was cancelled by its client.
struct RunGuard {
    inner: Arc<Inner>,
    number: u64,
    sequence: u64,
    end: RunEnd,
}

impl RunGuard {
    fn begin(call: &Call, inner: &Arc<Inner>) -> Self {
        let mut shared = inner.lock();
        shared.load.running += 1;
        let run = Run {
            sequence: 0,
            call: call.id.clone(),
            key: call.key.clone(),
            method: call.method.to_string(),
            path: call.path.clone(),
            started_micros: elapsed_micros(inner),
            ended_micros: None,
            end: RunEnd::Running,
            while_draining: shared.behaviour.draining,
        };
        let (number, sequence) = shared.runs.begin(run);
        drop(shared);
        Self {
            inner: Arc::clone(inner),
            number,
            sequence,
            end: RunEnd::Cancelled,
        }
    }

    fn end(mut self, end: RunEnd) {
        self.end = end;
    }

    /// The work is done, although the slot stays taken.
    fn mark_finished(&self) {
        let micros = elapsed_micros(&self.inner);
        self.inner
            .lock()
            .runs
            .end(self.number, RunEnd::Finished, micros);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let micros = elapsed_micros(&self.inner);
        let mut shared = self.inner.lock();
        shared.load.running -= 1;
        shared.runs.end(self.number, self.end, micros);
    }
}

fn elapsed_micros(inner: &Inner) -> u64 {
    u64::try_from(inner.started.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn read_deadline(headers: &HeaderMap) -> Option<Duration> {
    let millis = text_of(headers, DEADLINE_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn describe(inner: &Inner, call: &Call, sequence: u64) -> Bytes {
    let echo = &call.body[..call.body.len().min(ECHO_LIMIT)];
    let text = serde_json::json!({
        "upstream": inner.settings.name,
        "call": call.id,
        "key": call.key,
        "path": call.path,
        "sequence": sequence,
        "body_bytes": call.body.len(),
        "body": String::from_utf8_lossy(echo),
    });
    let mut text = text.to_string();
    let wanted = padding_of(&call.path).min(PADDING_LIMIT);
    let missing = wanted.saturating_sub(text.len());
    text.extend(std::iter::repeat_n(' ', missing));
    Bytes::from(text)
}

/// The `bytes=N` of a query: the least length of the answer's body.
fn padding_of(path: &str) -> usize {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find_map(|(name, value)| (name == "bytes").then_some(value));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn answer_status(inner: &Inner, call: &Call, status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::whole(Bytes::new()));
    *answer.status_mut() = status;
    with_headers(inner, call, answer)
}

fn answer_shed(inner: &Inner, call: &Call) -> Answer {
    let mut answer = answer_status(inner, call, StatusCode::SERVICE_UNAVAILABLE);
    answer
        .headers_mut()
        .insert(SHED_HEADER, HeaderValue::from_static("not-run"));
    answer
}

fn answer_health(inner: &Inner) -> Answer {
    let behaviour = inner.lock().behaviour.clone();
    let works = !behaviour.draining && !behaviour.fail_fast;
    let healthy = works || behaviour.health == HealthAnswer::AlwaysHealthy;
    let mut answer = Response::new(AnswerBody::whole(Bytes::new()));
    if !healthy {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    add_load_headers(inner, answer.headers_mut());
    answer
}

fn with_headers(inner: &Inner, call: &Call, mut answer: Answer) -> Answer {
    let headers = answer.headers_mut();
    add_load_headers(inner, headers);
    if let Some(value) = call.id.as_deref().and_then(|id| id.parse().ok()) {
        headers.insert(CALL_HEADER, value);
    }
    answer
}

fn add_load_headers(inner: &Inner, headers: &mut HeaderMap) {
    let shared = inner.lock();
    let running = shared
        .behaviour
        .reported_running
        .map_or(shared.load.running, usize::from);
    let condition = if shared.behaviour.draining {
        "draining"
    } else {
        "serving"
    };
    headers.insert(RUNNING_HEADER, HeaderValue::from(running));
    headers.insert(WAITING_HEADER, HeaderValue::from(shared.load.waiting));
    headers.insert(SLOTS_HEADER, HeaderValue::from(inner.settings.slots));
    headers.insert(
        HeaderName::from_static(CONDITION_HEADER),
        HeaderValue::from_static(condition),
    );
}
