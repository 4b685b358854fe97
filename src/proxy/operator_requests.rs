//! Answers requests of operators' tools on the event loop of the node.

use crate::{
    protocol::{
        operator_views::{
            ClassStatus, LogPage, NodeHealth, NodeStatus, PeerStatus, UpstreamStatus,
        },
        store::PublicationStore,
    },
    proxy::{
        core::ProxyCore,
        directory::Directory,
        evacuating::request_evacuation,
        events::{ProxyEvent, in_millis},
        publishing::{publish, read_history},
        upstream_announcements::{RecordWrite, apply_departure, find_own_identity},
    },
    state::{class_counts::ClassCounts, names::ClassName},
    transport::operators::request::OperatorRequest,
};
use flume::{Receiver, Sender};
use std::rc::Rc;
use tokio::task::spawn_local;

/// Answers requests until all their senders are dropped. Records of this node that are to be stored go into `record_writes`.
pub async fn answer_operators<S: PublicationStore>(
    core: Rc<ProxyCore>,
    store: S,
    record_writes: Sender<RecordWrite>,
    requests: Receiver<OperatorRequest>,
) {
    while let Ok(request) = requests.recv_async().await {
        // Each request has a task of its own, so that none waits for a publication, which waits for the store.
        spawn_local(answer(
            Rc::clone(&core),
            store.clone(),
            record_writes.clone(),
            request,
        ));
    }
}

/// Counts a request as in progress until dropped.
struct InProgressGuard(Rc<ProxyCore>);

impl InProgressGuard {
    fn begin(core: &Rc<ProxyCore>) -> Self {
        core.operator_requests.set(core.operator_requests.get() + 1);
        Self(Rc::clone(core))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        let in_progress = &self.0.operator_requests;
        in_progress.set(in_progress.get() - 1);
    }
}

/// Answers one request. Errors of `send` are ignored: the client may have closed its connection meanwhile.
async fn answer<S: PublicationStore>(
    core: Rc<ProxyCore>,
    store: S,
    record_writes: Sender<RecordWrite>,
    request: OperatorRequest,
) {
    let _in_progress = InProgressGuard::begin(&core);
    match request {
        OperatorRequest::Status { reply } => {
            let _ = reply.send(describe_node(&core));
        }
        OperatorRequest::Health { reply } => {
            let _ = reply.send(describe_health(&core));
        }
        OperatorRequest::LogLines { from, reply } => {
            let _ = reply.send(list_log_lines(&core, from));
        }
        OperatorRequest::Drain { reply } => {
            drain(&core, &record_writes).await;
            let _ = reply.send(describe_health(&core));
        }
        OperatorRequest::Publish { request, reply } => {
            let outcome = publish(&core, &store, &request).await;
            core.log(&ProxyEvent::PublicationEnded {
                author: request.author.clone(),
                outcome: outcome.clone(),
            });
            let _ = reply.send(outcome);
        }
        OperatorRequest::Evacuate {
            zone,
            evacuated,
            reply,
        } => {
            let _ = reply.send(request_evacuation(&core, &store, &zone, evacuated).await);
        }
        OperatorRequest::History { reply } => {
            let history = read_history(&store).await;
            let _ = reply.send(history.map_err(|error| error.to_string()));
        }
        OperatorRequest::Unauthorized => core.log(&ProxyEvent::OperatorRejected {}),
    }
}

async fn drain(core: &Rc<ProxyCore>, record_writes: &Sender<RecordWrite>) {
    if let Some(incarnation) = find_own_identity(core) {
        apply_departure(core, &incarnation, record_writes).await;
    }
}

fn list_log_lines(core: &ProxyCore, from: u64) -> LogPage {
    let oldest = core.log_writer.oldest_kept();
    let (lines, next) = core.log_writer.list_kept(from);
    LogPage {
        lines,
        next,
        dropped: oldest.saturating_sub(from.max(1)),
    }
}

/// Whether the node accepts requests, and the load of its upstream.
#[must_use]
pub fn describe_health(core: &ProxyCore) -> NodeHealth {
    let load = core.slots.load();
    let upstream = core.local_upstream.borrow();
    NodeHealth {
        ready: core.is_ready(),
        leaving: upstream.current().is_some_and(|current| current.leaving),
        running: load.running,
        queued: load.queued,
    }
}

/// Status of the node, its upstream, the classes of requests and the other nodes that it knows.
#[must_use]
pub fn describe_node(core: &ProxyCore) -> NodeStatus {
    let settings = &core.settings;
    let directory = core.directory.borrow();
    let classes = core.class_counts.borrow();
    let classes = classes.iter();
    NodeStatus {
        node: Some(settings.name.clone()),
        availability_zone: Some(settings.availability_zone.clone()),
        service: Some(settings.service.clone()),
        up_ms: in_millis(core.timers.now().since(core.started)),
        version: directory.version(),
        ready: core.is_ready(),
        stopping: core.is_stopping(),
        in_progress: core.in_progress.get(),
        upstream: describe_upstream(core),
        classes: classes
            .map(|(class, counts)| describe_class(&directory, class, counts))
            .collect(),
        evacuated_zones: core.evacuations.zones(),
        peers: list_peers(core, &directory),
    }
}

fn describe_upstream(core: &ProxyCore) -> Option<UpstreamStatus> {
    let load = core.slots.load();
    let upstream = core.local_upstream.borrow();
    let current = upstream.current()?;
    let time_to_trial = core.health.time_to_trial(core.timers.now());
    Some(UpstreamStatus {
        instance: current.identity.instance.clone(),
        leaving: current.leaving,
        slots: current.slots,
        limit: load.limit,
        running: load.running,
        queued: load.queued,
        slowdown_percent: load.slowdown_percent,
        failed_percent: load.failed_percent,
        probes: core.counters.probes.get(),
        ejected: time_to_trial.is_some(),
        next_trial_ms: time_to_trial.map(in_millis),
    })
}

fn describe_class(directory: &Directory, class: &ClassName, counts: &ClassCounts) -> ClassStatus {
    let routes = directory.routes();
    let target = routes.and_then(|routes| {
        let mut all = routes.table().routes.iter();
        all.find(|route| route.class == *class)
            .map(|route| in_millis(route.target))
    });
    ClassStatus {
        class: Some(class.clone()),
        target_ms: target.unwrap_or_default(),
        requests: counts.requests,
        answered: counts.answered,
        on_target: counts.on_target,
        refused: counts.refused,
        unknown: counts.unknown,
        p50_ms: counts.latency.quantile_upper_bound(0.5),
        p99_ms: counts.latency.quantile_upper_bound(0.99),
    }
}

fn list_peers(core: &ProxyCore, directory: &Directory) -> Vec<PeerStatus> {
    let nodes = directory.nodes.values();
    nodes
        .filter(|node| node.record.address != core.settings.peer_address)
        .map(|node| PeerStatus {
            node: Some(node.record.name.clone()),
            operators: node.record.operator_address,
            leaving: node.record.leaving,
            failures: node.consecutive_failures,
            suspect: core.liveness.is_suspect(node.record.address),
        })
        .collect()
}
