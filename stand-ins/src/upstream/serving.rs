//! How an upstream serves its connections: health questions, and requests by what is planned for them.

use crate::{
    http::{PlainRequest, build_answer, read_request, write_all},
    upstream::{ExecutedRequest, State, UpstreamAction, answer::Answer},
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
pub(super) async fn serve_until_crash(stream: TcpStream, state: Rc<State>) {
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
    state.health_checks.set(state.health_checks.get() + 1);
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
    let act = act.unwrap_or(UpstreamAction::Answer);
    let answer = Answer::to(&state.settings, &request);
    if state.is_crashed_by(&request.target) {
        note_run(state, &request);
        state.received_requests.borrow_mut().push(request);
        state.crash();
        return false;
    }
    if act != UpstreamAction::Shed {
        note_run(state, &request);
    }
    if act == UpstreamAction::Restart {
        state.received_requests.borrow_mut().push(request);
        state.restart(stream);
        return false;
    }
    let time = draw_time(state, &request.target);
    state.received_requests.borrow_mut().push(request);
    let run = Run::start(state);
    if act == UpstreamAction::Hold && !hold(stream, state).await {
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
    let executions = state.settings.executions.lock();
    let mut executions = executions.unwrap_or_else(PoisonError::into_inner);
    executions.push(ExecutedRequest {
        target: request.target.clone(),
        instance: state.instance.borrow().clone(),
        incarnation_started_ms: state.started_ms.get(),
        executed_at: Instant::now(),
    });
}

/// Draws how long a request takes, from a log-normal distribution.
fn draw_time(state: &State, target: &str) -> Duration {
    let mut service_times = state.settings.service_times.iter();
    let Some(time) = service_times.find(|time| target.starts_with(&time.path_prefix)) else {
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
