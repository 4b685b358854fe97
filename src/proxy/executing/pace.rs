//! How fast the VM of the upstream works: read from answers, and asked for where answers are old.
//!
//! The pace changes several times a second, and work that starts at a slow moment stays slow. A
//! question costs the upstream about a millisecond and no slot.

use crate::{
    coordination::vm_pace::PaceHistory,
    proxy::{
        core::{ProxyCore, count},
        executing::slots::apply,
    },
    state::{
        ablation::Mechanism, moment::Moment, names::ServiceName, placement_view::NodeRecord,
        rate_limit::RateLimit,
    },
    transport::outgoing::{SendError, SendRules},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, Uri, response::Parts};
use http_body_util::Full;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Age up to which the pace counts as known. A start at a slow moment costs some three times the
/// work; VMs seen so far change at most every 300 ms, so one in 12 has changed within this time.
const FRESH: Duration = Duration::from_millis(25);
/// Pause between questions while requests wait for the VM to recover.
const WATCH_PAUSE: Duration = Duration::from_millis(40);
/// Longest time for an answer. An upstream that takes longer is taken to work at its last pace.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest time that a connection for questions may have been idle.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const BODY_LIMIT: usize = 64 * 1024;
/// Seconds of the allowed rate that may be asked at once.
const BURST: f64 = 1.0;

/// What is known of the pace, and how.
pub struct PaceKnowledge {
    /// When it was last told; never by an upstream that does not tell its load.
    told_at: Cell<Option<Moment>>,
    history: Cell<PaceHistory>,
    asking: RefCell<Option<flume::Receiver<()>>>,
    watching: Cell<bool>,
    /// Keeps questions within what operators let measuring cost.
    budget: Cell<RateLimit>,
}

impl PaceKnowledge {
    /// Nothing known; at most that many questions a second.
    #[must_use]
    pub fn new(probes_per_second: f64) -> Self {
        Self {
            told_at: Cell::default(),
            history: Cell::default(),
            asking: RefCell::default(),
            watching: Cell::default(),
            budget: Cell::new(RateLimit::new(probes_per_second, probes_per_second * BURST)),
        }
    }

    /// Forgets what was usual: another run of the upstream has come.
    pub fn restart(&self) {
        let mut history = self.history.get();
        history.restart();
        self.history.set(history);
    }

    /// Lets that many questions a second be asked from now on.
    pub fn set_limit(&self, probes_per_second: f64) {
        let limit = RateLimit::new(probes_per_second, probes_per_second * BURST);
        self.budget.set(limit);
    }

    fn take_question(&self, now: Moment) -> bool {
        let mut budget = self.budget.get();
        let granted = budget.take(now);
        self.budget.set(budget);
        granted
    }

    /// Time since it was told.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.told_at.get().map(|at| now.since(at))
    }

    fn is_stale(&self, now: Moment) -> bool {
        self.told_at.get().is_some_and(|at| now.since(at) > FRESH)
    }

    /// Asks again and again while requests wait at a slow moment.
    pub fn watch(&self, core: &Rc<ProxyCore>) {
        if self.watching.replace(true) {
            return;
        }
        let core = Rc::clone(core);
        spawn_local(async move {
            while core.slots.has_waiting() && core.slots.queue.borrow().pace().is_slow() {
                let _ = core.timers.after(WATCH_PAUSE).recv_async().await;
                refresh_pace(&core).await;
            }
            core.slots.pace.watching.set(false);
        });
    }
}

/// Takes in the load that an upstream told beside an answer.
pub fn note_load(core: &Rc<ProxyCore>, headers: &HeaderMap) {
    let text = headers
        .get(&core.settings.headers.load)
        .and_then(|value| value.to_str().ok());
    let percent = text.and_then(|text| text.split(',').nth(3)?.trim().parse().ok());
    let Some(percent) = percent else {
        return;
    };
    let now = core.timers.now();
    core.slots.pace.told_at.set(Some(now));
    let mut history = core.slots.pace.history.get();
    let pace = history.note(percent, now);
    core.slots.pace.history.set(history);
    let actions = core.slots.queue.borrow_mut().set_pace(pace, now);
    apply(core, actions);
    if core.slots.has_waiting() {
        core.slots.pace.watch(core);
    }
}

/// Asks for the pace unless it is known well enough. Several requests share one question.
pub async fn refresh_pace(core: &Rc<ProxyCore>) {
    if Mechanism::PaceQuestions.is_off() || !core.slots.pace.is_stale(core.timers.now()) {
        return;
    }
    let under_way = core.slots.pace.asking.borrow().clone();
    if let Some(done) = under_way {
        // The sender goes once the answer is there.
        let _ = done.recv_async().await;
        return;
    }
    let (tx, done) = flume::bounded::<()>(1);
    *core.slots.pace.asking.borrow_mut() = Some(done.clone());
    let core_copy = Rc::clone(core);
    // Goes on when the request that started it is given up: others may wait for it.
    spawn_local(async move {
        ask(&core_copy).await;
        core_copy.slots.pace.asking.borrow_mut().take();
        drop(tx);
    });
    let _ = done.recv_async().await;
}

/// Whether the upstream says that it is the run of that record, and takes work.
pub async fn confirm_instance(core: &Rc<ProxyCore>, record: &NodeRecord) -> bool {
    let Some(uri) = find_health_uri(core, &record.service) else {
        return false;
    };
    let Ok(answer) = send_question(core, uri, Line::Kept).await else {
        return false;
    };
    let same = read_instance(core, &answer).is_some_and(|told| told == record.run.instance);
    same && answer.status().is_success()
}

/// The identity that the upstream tells when it is asked; none if it does not answer.
pub async fn ask_instance(core: &Rc<ProxyCore>, service: &ServiceName) -> Option<String> {
    let uri = find_health_uri(core, service)?;
    let answer = send_question(core, uri, Line::Kept).await.ok()?;
    read_instance(core, &answer).map(str::to_owned)
}

/// Whether a run of the upstream has ended: connections are refused, or end without an answer where something else takes them,
/// or another run answers. One that does not answer in time is there, and busy.
pub async fn has_ended(core: &Rc<ProxyCore>, service: &ServiceName, instance: &str) -> bool {
    let upstream = core.settings.upstream;
    let Some(uri) = find_health_uri(core, service) else {
        return core.outgoing.is_refused(upstream, ANSWER_TIMEOUT).await;
    };
    match send_question(core, uri, Line::New).await {
        Ok(answer) => read_instance(core, &answer).is_some_and(|told| told != instance),
        Err(QuestionError::Failed(error)) => error != SendError::BadAnswer,
        Err(QuestionError::OutOfTime) => false,
        Err(QuestionError::OutOfBudget) => core.outgoing.is_refused(upstream, ANSWER_TIMEOUT).await,
    }
}

fn read_instance<'a>(core: &ProxyCore, answer: &'a Response<Bytes>) -> Option<&'a str> {
    let told = answer.headers().get(&core.settings.headers.instance)?;
    told.to_str().ok()
}

fn find_health_uri(core: &ProxyCore, service: &ServiceName) -> Option<Uri> {
    core.routes()?.health_path(service)?.parse().ok()
}

async fn ask(core: &Rc<ProxyCore>) {
    let service = core.own.borrow().serving().map(|run| run.service.clone());
    let Some(uri) = service.and_then(|service| find_health_uri(core, &service)) else {
        return;
    };
    match send_question(core, uri, Line::Kept).await {
        Ok(answer) => note_load(core, answer.headers()),
        // Asked again after the usual pause, not by every request that comes meanwhile.
        Err(_) => core.slots.pace.told_at.set(Some(core.timers.now())),
    }
}

/// The connection on which a question is asked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Line {
    /// One that is kept, if there is one.
    Kept,
    /// A new one: kept ones end with the run that took them.
    New,
}

/// Why a question has no answer.
enum QuestionError {
    /// It is not asked: too many were.
    OutOfBudget,
    /// No answer came in time.
    OutOfTime,
    /// It could not be asked, or the connection ended.
    Failed(SendError),
}

async fn send_question(
    core: &Rc<ProxyCore>,
    uri: Uri,
    line: Line,
) -> Result<Response<Bytes>, QuestionError> {
    if !core.slots.pace.take_question(core.timers.now()) {
        return Err(QuestionError::OutOfBudget);
    }
    count(&core.counters.probes);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri;
    let rules = SendRules {
        fresh: line == Line::New,
        // Beyond the whole time, so that a connection which was not opened was refused.
        connect_timeout: ANSWER_TIMEOUT * 2,
        idle_limit: IDLE_LIMIT,
        body_limit: BODY_LIMIT,
        patience: None,
    };
    let timeout = core.timers.after(ANSWER_TIMEOUT);
    let names = &core.settings.headers;
    // A late answer to a request would bear its id.
    let is_answer = |parts: &Parts| !parts.headers.contains_key(&names.request_id);
    let upstream = core.settings.upstream;
    tokio::select! {
        sent = core.outgoing.send(upstream, request, rules, is_answer) => {
            sent.map_err(QuestionError::Failed)
        }
        _ = timeout.recv_async() => Err(QuestionError::OutOfTime),
    }
}
