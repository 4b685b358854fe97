//! Detects requests that crash the upstreams which execute them, and quarantines these requests.
//!
//! The node of an upstream detects its crash and reports it to the crash counters of each aborted request. Crash counters are nodes
//! that count the crashes with a request. One that reaches the threshold propagates the quarantine to all nodes and writes it
//! to the store for nodes that start later.

use crate::{
    coordination::crash_counters::{CRASH_COUNTERS, order_crash_counters},
    protocol::hop::{CrashFinding, StateMessage},
    proxy::{
        core::{ProxyCore, increment},
        events::ProxyEvent,
        executing::has_incarnation_ended,
        state_messages::{send_along_tree, send_state},
    },
    state::{
        ablation::Mechanism,
        crash_counts::QUARANTINE_CRASH_THRESHOLD,
        incarnation_id::IncarnationId,
        names::ServiceName,
        quarantine::{QUARANTINE_DURATION, QuarantineSource},
        request_fingerprint::RequestFingerprint,
    },
};
use rand::seq::SliceRandom;
use std::{
    cell::RefCell, cmp::Reverse, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration,
    vec::IntoIter,
};
use tokio::task::spawn_local;

/// Maximum number of nodes tried until enough crash counters have accepted a message. Some of the nodes may have ended, since node
/// records remain for half an hour after that.
const MAX_NODES_TRIED: usize = 12;

/// A request that was aborted at an upstream.
pub struct AbortedRequest {
    /// Request ID, for the log.
    pub request_id: String,
    /// Identifies requests with the same content.
    pub fingerprint: RequestFingerprint,
    /// Incarnation of the upstream that executed the request.
    pub incarnation: IncarnationId,
    /// Service of the upstream.
    pub service: ServiceName,
}

/// Probes the local upstream after a connection closed without a response, and reports a crash to the request's crash counters.
/// Returns whether the upstream has crashed.
///
/// Upstreams also close connections when they are full or lose a response, and keep running.
pub async fn detect_crash(core: &Rc<ProxyCore>, aborted: AbortedRequest) -> bool {
    let (tx, rx) = flume::bounded(1);
    let core = Rc::clone(core);
    // Continues after a client disconnect: the request of that client may have caused the crash.
    spawn_local(async move {
        let crashed = !is_draining(&core, &aborted.incarnation)
            && has_incarnation_ended(&core, &aborted.service, &aborted.incarnation.instance).await;
        if crashed {
            report_crash(&core, aborted);
        }
        // The receiver is dropped when the client disconnects.
        let _ = tx.send(crashed);
    });
    rx.recv_async().await.unwrap_or(false)
}

/// A draining upstream ends as planned, which is no crash.
fn is_draining(core: &ProxyCore, incarnation: &IncarnationId) -> bool {
    let upstream = core.local_upstream.borrow();
    let current = upstream.current();
    current.is_some_and(|current| current.identity == *incarnation && current.leaving)
}

fn report_crash(core: &Rc<ProxyCore>, aborted: AbortedRequest) {
    let AbortedRequest {
        request_id,
        fingerprint,
        incarnation,
        ..
    } = aborted;
    increment(&core.counters.aborted_by_crash);
    let answered_before = core
        .answered_requests
        .borrow()
        .contains(&incarnation, fingerprint);
    core.log(&ProxyEvent::UpstreamCrashed {
        instance: incarnation.instance.clone(),
        request: request_id,
        digest: fingerprint,
        answered_before,
    });
    if answered_before || Mechanism::Quarantine.is_disabled() {
        return;
    }
    notify_crash_counters(
        core,
        fingerprint,
        CrashFinding::Crashed {
            fingerprint,
            incarnation,
        },
    );
}

/// Records that the local upstream has answered a request. If the request is in quarantine, the quarantine is lifted at all nodes.
pub fn record_local_answer(
    core: &Rc<ProxyCore>,
    fingerprint: RequestFingerprint,
    incarnation: &IncarnationId,
) {
    core.answered_requests
        .borrow_mut()
        .insert(incarnation, fingerprint);
    if find_quarantine(core, fingerprint).is_some() {
        let finding = CrashFinding::Answered(fingerprint);
        apply_finding(core, &finding);
        propagate_to_all(core, finding);
    }
}

/// Reports to the crash counters of a request that it was answered after another upstream had crashed while executing it.
pub fn report_answer_after_crash(core: &Rc<ProxyCore>, fingerprint: RequestFingerprint) {
    notify_crash_counters(core, fingerprint, CrashFinding::Answered(fingerprint));
}

/// The remaining quarantine time of a request; none if it is not in quarantine.
#[must_use]
pub fn find_quarantine(core: &ProxyCore, fingerprint: RequestFingerprint) -> Option<Duration> {
    core.quarantine
        .borrow()
        .time_left(fingerprint, core.timers.now())
}

/// Applies a finding about a request: a counted crash, a quarantine or an answer.
pub fn apply_finding(core: &Rc<ProxyCore>, finding: &CrashFinding) {
    match finding {
        CrashFinding::Crashed {
            fingerprint,
            incarnation,
        } => count_crash(core, *fingerprint, incarnation),
        CrashFinding::Quarantined(fingerprint) => {
            quarantine_request(core, *fingerprint, QuarantineSource::Reported);
        }
        CrashFinding::Answered(fingerprint) => apply_answered(core, *fingerprint),
    }
}

/// Applies a quarantine read from the store. Returns whether it was unknown.
pub fn apply_stored_quarantine(core: &Rc<ProxyCore>, fingerprint: RequestFingerprint) -> bool {
    quarantine_request(core, fingerprint, QuarantineSource::Reported)
}

/// Corrects the quarantines in the store after it was restored from a backup: writes those that the store lacks and deletes those
/// that were lifted since. Only the first node of the mesh does so. `stored` holds the quarantines in the store.
pub fn write_lost_quarantines(core: &ProxyCore, stored: &BTreeSet<RequestFingerprint>) {
    if !core.is_first_in_mesh() {
        return;
    }
    let now = core.timers.now();
    for fingerprint in core.quarantine.borrow().list_differences(stored, now) {
        queue_store_write(core, fingerprint);
    }
}

/// Propagates a quarantine to the zone, for nodes that were partitioned when it began.
pub fn propagate_quarantine_to_zone(core: &Rc<ProxyCore>, fingerprint: RequestFingerprint) {
    propagate(
        core,
        &core.list_zone_nodes(),
        CrashFinding::Quarantined(fingerprint),
    );
}

/// Sends the quarantines in force to a node that may have read the store before they were stored.
pub fn send_quarantines(core: &Rc<ProxyCore>, to: SocketAddr) {
    let none_known = BTreeSet::new();
    let now = core.timers.now();
    let in_force = core.quarantine.borrow().list_differences(&none_known, now);
    for fingerprint in in_force {
        propagate(core, &[to], CrashFinding::Quarantined(fingerprint));
    }
}

fn quarantine_request(
    core: &Rc<ProxyCore>,
    fingerprint: RequestFingerprint,
    source: QuarantineSource,
) -> bool {
    let now = core.timers.now();
    let is_new = core
        .quarantine
        .borrow_mut()
        .insert(fingerprint, source, now);
    if is_new {
        core.log(&ProxyEvent::RequestQuarantined {
            digest: fingerprint,
            source: source.name(),
        });
        delete_when_expired(core, fingerprint);
    }
    is_new
}

fn count_crash(core: &Rc<ProxyCore>, fingerprint: RequestFingerprint, incarnation: &IncarnationId) {
    let now = core.timers.now();
    let mut crash_counts = core.crash_counts.borrow_mut();
    let crashes = crash_counts.record_crash(fingerprint, incarnation.clone(), now);
    drop(crash_counts);
    core.log(&ProxyEvent::CrashCounted {
        digest: fingerprint,
        instance: incarnation.instance.clone(),
        crashes,
    });
    if crashes >= QUARANTINE_CRASH_THRESHOLD
        && quarantine_request(core, fingerprint, QuarantineSource::Counted)
    {
        propagate_to_all(core, CrashFinding::Quarantined(fingerprint));
        queue_store_write(core, fingerprint);
    }
}

fn propagate_to_all(core: &Rc<ProxyCore>, finding: CrashFinding) {
    propagate(core, &list_receivers(core), finding);
}

fn propagate(core: &Rc<ProxyCore>, receivers: &[SocketAddr], finding: CrashFinding) {
    let message = StateMessage {
        finding: Some(Rc::new(finding)),
        ..StateMessage::default()
    };
    send_along_tree(core, receivers, &message);
}

/// Deletes a quarantine from the store when it has expired. Otherwise a node that starts later would begin it again.
fn delete_when_expired(core: &Rc<ProxyCore>, fingerprint: RequestFingerprint) {
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = core.timers.after(QUARANTINE_DURATION).recv_async().await;
        if core.is_first_in_mesh() {
            queue_store_write(&core, fingerprint);
        }
    });
}

/// Queues a write of the current quarantine state of a request to the store.
fn queue_store_write(core: &ProxyCore, fingerprint: RequestFingerprint) {
    // The receiver lives as long as the sender.
    let _ = core.quarantine_writes.0.send(fingerprint);
}

fn apply_answered(core: &ProxyCore, fingerprint: RequestFingerprint) {
    core.crash_counts.borrow_mut().record_answer(fingerprint);
    let now = core.timers.now();
    let lifted = core.quarantine.borrow_mut().lift(fingerprint, now);
    let Some(source) = lifted else {
        return;
    };
    core.log(&ProxyEvent::QuarantineLifted {
        digest: fingerprint,
    });
    if source == QuarantineSource::Counted || core.is_first_in_mesh() {
        queue_store_write(core, fingerprint);
    }
}

fn notify_crash_counters(
    core: &Rc<ProxyCore>,
    fingerprint: RequestFingerprint,
    finding: CrashFinding,
) {
    let mut order = order_crash_counters(fingerprint, list_all_nodes(core).into_iter());
    order.truncate(MAX_NODES_TRIED);
    let remaining = Rc::new(RefCell::new(order.into_iter()));
    let finding = Rc::new(finding);
    for _ in 0..CRASH_COUNTERS {
        let (core, remaining, finding) =
            (Rc::clone(core), Rc::clone(&remaining), Rc::clone(&finding));
        spawn_local(async move { notify_next_counter(&core, &remaining, finding).await });
    }
}

/// Sends a message to the first of the nodes that accepts it.
async fn notify_next_counter(
    core: &Rc<ProxyCore>,
    remaining: &RefCell<IntoIter<SocketAddr>>,
    finding: Rc<CrashFinding>,
) {
    let message = StateMessage {
        finding: Some(Rc::clone(&finding)),
        ..StateMessage::default()
    };
    loop {
        let Some(to) = remaining.borrow_mut().next() else {
            return;
        };
        if to == core.settings.peer_address {
            return apply_finding(core, &finding);
        }
        if send_state(core, to, &message).await.is_some() {
            return;
        }
    }
}

/// All known nodes, including this one.
fn list_all_nodes(core: &ProxyCore) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let mut nodes: Vec<SocketAddr> = directory.nodes.keys().copied().collect();
    if !directory.nodes.contains_key(&core.settings.peer_address) {
        nodes.push(core.settings.peer_address);
    }
    nodes
}

/// All other nodes in random order, so that each crash counter propagates along another tree and the loss of a forwarding node is
/// compensated. Unreachable nodes come first, since messages are forwarded from the end.
fn list_receivers(core: &ProxyCore) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let mut known_nodes: Vec<_> = directory.nodes.iter().collect();
    known_nodes.shuffle(&mut rand::rng());
    known_nodes.sort_by_key(|(_, node)| Reverse(node.consecutive_failures));
    let addresses = known_nodes.into_iter().map(|(address, _)| *address);
    addresses
        .filter(|address| *address != core.settings.peer_address)
        .collect()
}
