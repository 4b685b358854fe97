//! An application upstream of the platform: ids, signature, load, drain, reuse of its address, and
//! answers that are late, doubled, cut or lost.

use crate::platform::http::{PlainRequest, build_answer, read_request, write_all};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::pending,
    io,
    net::SocketAddr,
    rc::Rc,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
};

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamAct {
    /// Run it and answer.
    Answer,
    /// Run it, answer 500.
    Fail,
    /// Say that it was not run.
    Shed,
    /// Run it and reset the connection without an answer.
    LoseAnswer,
    /// Run it and end the connection within the body.
    CutBody,
    /// Run it and answer with the id of another request.
    ForeignId,
    /// Run it and answer without the signature.
    Unsigned,
    /// Run it and answer twice.
    AnswerTwice,
    /// Run it and hold the answer until [`PlatformUpstream::release`], or until the connection ends.
    Hold,
}

#[derive(Default)]
struct State {
    instance: RefCell<String>,
    slowdown: Cell<u16>,
    acts: RefCell<VecDeque<UpstreamAct>>,
    arrivals: RefCell<Vec<PlainRequest>>,
    health_questions: Cell<u32>,
    leaving: Cell<bool>,
    running: Cell<u32>,
    changed: Notify,
    released: Notify,
}

/// An upstream on a free port of the loopback address, run by tasks of the present event loop.
pub struct PlatformUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<State>,
}

impl PlatformUpstream {
    /// Starts an upstream with that identity. It answers every request unless told otherwise.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(instance: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State::default());
        instance.clone_into(&mut state.instance.borrow_mut());
        state.slowdown.set(100);
        spawn_local(accept(listener, Rc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Acts for the next requests, in their order; after these it answers.
    pub fn plan(&self, acts: &[UpstreamAct]) {
        self.state.acts.borrow_mut().extend(acts);
    }

    /// Another run takes the address.
    pub fn replace(&self, instance: &str) {
        instance.clone_into(&mut self.state.instance.borrow_mut());
    }

    /// How long work takes, in percent of the usual; told, not acted.
    pub fn set_slowdown(&self, percent: u16) {
        self.state.slowdown.set(percent);
    }

    /// Answers health questions with 503 from now on.
    pub fn set_leaving(&self) {
        self.state.leaving.set(true);
    }

    /// Requests that reached it, health questions not included.
    #[must_use]
    pub fn arrivals(&self) -> Vec<PlainRequest> {
        self.state.arrivals.borrow().clone()
    }

    /// Health questions so far.
    #[must_use]
    pub fn health_questions(&self) -> u32 {
        self.state.health_questions.get()
    }

    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running.get()
    }

    /// Waits until `count` requests run.
    pub async fn wait_running(&self, count: u32) {
        while self.state.running.get() != count {
            self.state.changed.notified().await;
        }
    }

    /// Answers what is held.
    pub fn release(&self) {
        self.state.released.notify_waiters();
    }
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(stream, Rc::clone(&state)));
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
    state.health_questions.set(state.health_questions.get() + 1);
    let status = if state.leaving.get() { 503 } else { 200 };
    let load = load(state);
    let instance = state.instance.borrow().clone();
    let headers = [
        ("Camphorturn-Instance-Id", instance.as_str()),
        ("Camphorturn-Server-Load", load.as_str()),
    ];
    let answer = build_answer(status, &headers, b"");
    write_all(stream, &answer).await.is_ok()
}

fn load(state: &State) -> String {
    format!("{},0,6,{}", state.running.get(), state.slowdown.get())
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
    let expected = request.header("camphorturn-target-instance");
    let instance = state.instance.borrow().clone();
    if expected.is_some_and(|expected| expected != instance) {
        let headers = [("Camphorturn-Instance-Id", instance.as_str())];
        return write_all(stream, &build_answer(421, &headers, b""))
            .await
            .is_ok();
    }
    let id = request
        .header("camphorturn-request-id")
        .unwrap_or_default()
        .to_owned();
    state.arrivals.borrow_mut().push(request);
    let act = state.acts.borrow_mut().pop_front();
    let run = Run::start(state);
    if act == Some(UpstreamAct::Hold) && !hold(stream, state).await {
        return false;
    }
    drop(run);
    let (bytes, kept) = build_bytes(act.unwrap_or(UpstreamAct::Answer), &id, &load(state));
    write_all(stream, &bytes).await.is_ok() && kept
}

/// True once released, false if the other side closed the connection.
async fn hold(stream: &TcpStream, state: &State) -> bool {
    let closed = async {
        let mut byte = [0];
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => pending().await,
        }
    };
    tokio::select! {
        () = state.released.notified() => true,
        () = closed => false,
    }
}

fn build_bytes(act: UpstreamAct, id: &str, load: &str) -> (Vec<u8>, bool) {
    const BODY: &[u8] = b"whole body";
    let head = |id| {
        [
            ("Camphorturn-Request-Id", id),
            ("Camphorturn-Server-Load", load),
            ("Camphorturn-Server-Signature", "signed"),
        ]
    };
    match act {
        UpstreamAct::Answer | UpstreamAct::Hold => (build_answer(200, &head(id), BODY), true),
        UpstreamAct::Fail => (build_answer(500, &head(id), b"failed"), true),
        UpstreamAct::Shed => {
            let headers = [
                ("Camphorturn-Request-Id", id),
                ("Camphorturn-Not-Executed", "1"),
            ];
            (build_answer(503, &headers, b""), true)
        }
        UpstreamAct::LoseAnswer => (Vec::new(), false),
        UpstreamAct::CutBody => {
            let mut answer = build_answer(200, &head(id), BODY);
            answer.truncate(answer.len() - 4);
            (answer, false)
        }
        UpstreamAct::ForeignId => (build_answer(200, &head("another"), BODY), true),
        UpstreamAct::Unsigned => {
            let headers = [("Camphorturn-Request-Id", id)];
            (build_answer(200, &headers, BODY), true)
        }
        UpstreamAct::AnswerTwice => {
            let answer = build_answer(200, &head(id), BODY);
            (answer.repeat(2), true)
        }
    }
}
