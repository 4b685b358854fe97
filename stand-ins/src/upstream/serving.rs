//! How an upstream serves its connections: it answers health checks, and handles requests by their planned actions.

use crate::{
    http::{PlainRequest, build_answer, read_request, write_all},
    upstream::{ExecutedRequest, UpstreamAction, UpstreamState, answer::Answer, flood::flood},
};
use rand::RngExt;
use std::{
    future::pending,
    rc::Rc,
    sync::PoisonError,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::sleep};

/// Serves a connection until it ends or the upstream crashes.
pub(super) async fn serve_until_crash(stream: TcpStream, state: Rc<UpstreamState>) {
    // A crash after `accept` and before this task's start has already notified; this task would miss it.
    if state.is_crashed.get() {
        return;
    }
    tokio::select! {
        () = state.crash_notify.notified() => {}
        () = serve_connection(stream, Rc::clone(&state)) => {}
    }
}

async fn serve_connection(mut stream: TcpStream, state: Rc<UpstreamState>) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        let keep_open = if request.path() == "/health" {
            answer_health(&mut stream, &state).await
        } else {
            answer_request(&mut stream, &state, request).await
        };
        if !keep_open {
            return;
        }
    }
}

/// Answers a health check. Returns whether the connection stays open.
async fn answer_health(stream: &mut TcpStream, state: &UpstreamState) -> bool {
    state.health_checks.set(state.health_checks.get() + 1);
    let status = if state.is_leaving.get() { 503 } else { 200 };
    let load = format_load(state);
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

/// Value of the load header: running, waiting, slots, slowdown in percent.
fn format_load(state: &UpstreamState) -> String {
    let slots = state.settings.slots;
    format!(
        "{},0,{slots},{}",
        state.running.get(),
        state.slowdown_percent.get()
    )
}

/// Counts a request as in progress until dropped.
struct RunningRequest(Rc<UpstreamState>);

impl RunningRequest {
    fn start(state: &Rc<UpstreamState>) -> Self {
        state.running.set(state.running.get() + 1);
        state.running_changed.notify_waiters();
        Self(Rc::clone(state))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.running_changed.notify_waiters();
    }
}

/// Handles a request by its planned action. Returns whether the connection stays open.
async fn answer_request(
    stream: &mut TcpStream,
    state: &Rc<UpstreamState>,
    request: PlainRequest,
) -> bool {
    let names = state.settings.names;
    let expected = request.header(names.target_instance);
    let instance = state.instance.borrow().clone();
    if expected.is_some_and(|expected| expected != instance) {
        let headers = [(names.instance, instance.as_str())];
        return write_all(stream, &build_answer(421, &headers, b""))
            .await
            .is_ok();
    }
    let action = state.planned_actions.borrow_mut().pop_front();
    let action = action.unwrap_or_else(|| draw_usual_action(state));
    let body = state.answer_body.borrow().clone();
    let answer = Answer::prepare(&state.settings, &request, body);
    if state.is_crashed_by_request(&request.target) {
        record_execution(state, &request);
        state.received_requests.borrow_mut().push(request);
        state.crash();
        return false;
    }
    if action != UpstreamAction::Shed {
        record_execution(state, &request);
    }
    if action == UpstreamAction::Restart {
        state.received_requests.borrow_mut().push(request);
        state.crash_and_restart(stream);
        return false;
    }
    let time = draw_service_time(state, &request.target);
    state.received_requests.borrow_mut().push(request);
    let running = RunningRequest::start(state);
    if action == UpstreamAction::Hold && !wait_for_release(stream, state).await {
        return false;
    }
    if !execute(stream, state, time).await {
        return false;
    }
    drop(running);
    if let UpstreamAction::Flood(shape) = action {
        flood(stream, shape, &answer.build_head(&format_load(state))).await;
        return false;
    }
    let (bytes, keep_open) = answer.build(action, &format_load(state), &state.reports.borrow());
    write_all(stream, &bytes).await.is_ok() && keep_open
}

fn draw_usual_action(state: &UpstreamState) -> UpstreamAction {
    let (action, percent) = state.usual_action.get();
    // Without a draw, an upstream that always does the same draws the same service times as before.
    if percent >= 100 || state.rng.borrow_mut().random_range(0..100) < percent {
        action
    } else {
        UpstreamAction::Answer
    }
}

fn record_execution(state: &UpstreamState, request: &PlainRequest) {
    let names = state.settings.names;
    let executions = state.settings.executions.lock();
    let mut executions = executions.unwrap_or_else(PoisonError::into_inner);
    executions.push(ExecutedRequest {
        target: request.target.clone(),
        instance: state.instance.borrow().clone(),
        incarnation_started_ms: state.started_ms.get(),
        executed_at: Instant::now(),
        organisation: request.header(names.organisation).map(str::to_owned),
        has_key: request.header(names.api_key).is_some(),
    });
}

/// Draws the service time of a request from a log-normal distribution; zero if no prefix matches.
fn draw_service_time(state: &UpstreamState, target: &str) -> Duration {
    let mut service_times = state.settings.service_times.iter();
    let Some(time) = service_times.find(|time| target.starts_with(&time.path_prefix)) else {
        return Duration::ZERO;
    };
    let mut rng = state.rng.borrow_mut();
    // The sum of twelve uniform values is nearly normally distributed, with mean 6 and variance 1.
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    time.median.mul_f64((normal * time.spread).exp())
}

/// Waits for a slot and then for the service time. Returns false if the client disconnects before the end.
async fn execute(stream: &TcpStream, state: &UpstreamState, time: Duration) -> bool {
    if time.is_zero() {
        return true;
    }
    let executed = async {
        // The semaphore is never closed.
        let _slot = state.slots.acquire().await;
        sleep(time).await;
    };
    tokio::select! {
        () = executed => true,
        () = wait_until_closed(stream) => false,
    }
}

/// Waits until the client closes the connection. Never returns if the client sends further bytes.
async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}

/// Waits until held requests are released. Returns false if the client disconnects first.
async fn wait_for_release(stream: &TcpStream, state: &UpstreamState) -> bool {
    tokio::select! {
        () = state.release_notify.notified() => true,
        () = wait_until_closed(stream) => false,
    }
}
