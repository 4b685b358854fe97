//! Questions to the upstream beside the node, by the path that the configuration gives for its health.

use crate::{
    proxy::{
        core::{ProxyCore, increment},
        executing::warmup::record_warmup_header,
    },
    state::{known_node::NodeRecord, names::ServiceName},
    transport::outgoing::{ConnectionReuse, SendError, SendOptions},
};
use bytes::Bytes;
use http::{Request, Response, Uri, response::Parts};
use http_body_util::Full;
use std::{rc::Rc, time::Duration};

/// Longest time for an answer. An upstream that takes longer is taken to work at its last pace.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest time that a connection for questions may have been idle.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const BODY_LIMIT: usize = 64 * 1024;

/// Whether the upstream says that it is the run of that record, and takes work.
pub async fn verify_incarnation(core: &Rc<ProxyCore>, record: &NodeRecord) -> bool {
    let Some(uri) = find_health_uri(core, &record.service) else {
        return false;
    };
    let Ok(answer) = send_question(core, uri, ConnectionReuse::Any).await else {
        return false;
    };
    let same = read_instance(core, &answer).is_some_and(|told| told == record.incarnation.instance);
    same && answer.status().is_success()
}

/// The identity that the upstream tells when it is asked; none if it does not answer.
pub async fn probe_instance(core: &Rc<ProxyCore>, service: &ServiceName) -> Option<String> {
    let uri = find_health_uri(core, service)?;
    let answer = send_question(core, uri, ConnectionReuse::Any).await.ok()?;
    read_instance(core, &answer).map(str::to_owned)
}

/// Whether a run of the upstream has ended: connections are refused, or end without an answer where something else takes them,
/// or another run answers. One that does not answer in time is there, and busy.
pub async fn has_incarnation_ended(
    core: &Rc<ProxyCore>,
    service: &ServiceName,
    instance: &str,
) -> bool {
    let upstream = core.settings.upstream;
    let Some(uri) = find_health_uri(core, service) else {
        return core
            .outgoing
            .refuses_connections(upstream, ANSWER_TIMEOUT)
            .await;
    };
    match send_question(core, uri, ConnectionReuse::Never).await {
        Ok(answer) => read_instance(core, &answer).is_some_and(|told| told != instance),
        Err(QuestionError::Failed(error)) => error != SendError::BadAnswer,
        Err(QuestionError::OutOfTime) => false,
        Err(QuestionError::OutOfBudget) => {
            core.outgoing
                .refuses_connections(upstream, ANSWER_TIMEOUT)
                .await
        }
    }
}

fn read_instance<'a>(core: &ProxyCore, answer: &'a Response<Bytes>) -> Option<&'a str> {
    let told = answer.headers().get(&core.settings.headers.instance)?;
    told.to_str().ok()
}

/// Where to ask an upstream of a service; none if no configuration tells.
pub fn find_health_uri(core: &ProxyCore, service: &ServiceName) -> Option<Uri> {
    let routes = core.routes()?;
    routes.find_service(service)?.health_path.parse().ok()
}

/// Why a question has no answer.
pub enum QuestionError {
    /// It is not asked: too many were.
    OutOfBudget,
    /// No answer came in time.
    OutOfTime,
    /// It could not be asked, or the connection ended.
    Failed(SendError),
}

/// Asks the upstream, within what operators let measuring cost.
pub async fn send_question(
    core: &Rc<ProxyCore>,
    uri: Uri,
    on: ConnectionReuse,
) -> Result<Response<Bytes>, QuestionError> {
    if !core.slots.pace.take_question(core.timers.now()) {
        return Err(QuestionError::OutOfBudget);
    }
    increment(&core.counters.probes);
    let mut request = Request::new(Full::default());
    *request.uri_mut() = uri;
    let rules = SendOptions {
        reuse: on,
        // Beyond the whole time, so that a connection which was not opened was refused.
        connect_timeout: ANSWER_TIMEOUT * 2,
        idle_limit: IDLE_LIMIT,
        body_limit: BODY_LIMIT,
        answer_timeouts: None,
    };
    let timeout = core.timers.after(ANSWER_TIMEOUT);
    let names = &core.settings.headers;
    // A late answer to a request would bear its id.
    let is_answer = |parts: &Parts| !parts.headers.contains_key(&names.request_id);
    let upstream = core.settings.upstream;
    tokio::select! {
        sent = core.outgoing.send(upstream, request, rules, is_answer) => {
            let answer = sent.map_err(QuestionError::Failed)?;
            record_warmup_header(core, answer.headers());
            Ok(answer)
        }
        _ = timeout.recv_async() => Err(QuestionError::OutOfTime),
    }
}
