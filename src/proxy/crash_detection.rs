//! Detects requests that crash the upstreams which run them, and quarantines these requests.
//!
//! The node beside an upstream detects its crash and reports it to the keepers of each request that was aborted. Keepers count the
//! crashes; one that reaches the threshold propagates the quarantine to all nodes and writes it to the store for nodes that start later.

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

/// Nodes that are tried until enough keepers have taken a message. Records outlast their nodes by half an hour.
const MAX_TRIED: usize = 12;

/// A request that was aborted at an upstream.
pub struct AbortedRequest {
    /// Its identity, for the log.
    pub request: String,
    /// What it asks for.
    pub digest: RequestFingerprint,
    /// The run of the upstream.
    pub run: IncarnationId,
    /// Its service.
    pub service: ServiceName,
}

/// Probes the local upstream after a connection closed without a response, and reports a crash to the request's keepers.
///
/// Upstreams also close connections when they are full or lose a response, and keep running.
pub async fn detect_crash(core: &Rc<ProxyCore>, cut: AbortedRequest) -> bool {
    let (tx, rx) = flume::bounded(1);
    let core = Rc::clone(core);
    // Continues after a client disconnect: the request of that client may have caused the crash.
    spawn_local(async move {
        let crashed = !leaves(&core, &cut.run)
            && has_incarnation_ended(&core, &cut.service, &cut.run.instance).await;
        if crashed {
            report_crash(&core, cut);
        }
        // The receiver is gone after a client disconnect.
        let _ = tx.send(crashed);
    });
    rx.recv_async().await.unwrap_or(false)
}

/// A draining upstream ends as planned, which is no crash.
fn leaves(core: &ProxyCore, run: &IncarnationId) -> bool {
    let own = core.local_upstream.borrow();
    let current = own.current();
    current.is_some_and(|current| current.identity == *run && current.leaving)
}

fn report_crash(core: &Rc<ProxyCore>, cut: AbortedRequest) {
    let AbortedRequest {
        request,
        digest,
        run,
        ..
    } = cut;
    increment(&core.counters.aborted_by_crash);
    let answered_before = core.answered_requests.borrow().contains(&run, digest);
    core.log(&ProxyEvent::UpstreamCrashed {
        instance: run.instance.clone(),
        request,
        digest,
        answered_before,
    });
    if answered_before || Mechanism::Quarantine.is_disabled() {
        return;
    }
    tell_keepers(
        core,
        digest,
        CrashFinding::Crashed {
            fingerprint: digest,
            incarnation: run,
        },
    );
}

/// Records a response from the local upstream.
pub fn note_answered_here(core: &Rc<ProxyCore>, digest: RequestFingerprint, run: &IncarnationId) {
    core.answered_requests.borrow_mut().insert(run, digest);
    if find_quarantine(core, digest).is_some() {
        let finding = CrashFinding::Answered(digest);
        apply_finding(core, &finding);
        tell_all(core, finding);
    }
}

/// Clears the suspicion against a request that was answered after another upstream had crashed while running it.
pub fn clear_suspect(core: &Rc<ProxyCore>, digest: RequestFingerprint) {
    tell_keepers(core, digest, CrashFinding::Answered(digest));
}

/// The remaining quarantine time of a request; none if it is not in quarantine.
#[must_use]
pub fn find_quarantine(core: &ProxyCore, digest: RequestFingerprint) -> Option<Duration> {
    core.quarantine
        .borrow()
        .time_left(digest, core.timers.now())
}

/// Applies a finding that another node reports.
pub fn apply_finding(core: &Rc<ProxyCore>, finding: &CrashFinding) {
    match finding {
        CrashFinding::Crashed {
            fingerprint: digest,
            incarnation: run,
        } => count_crash(core, *digest, run),
        CrashFinding::Quarantined(digest) => {
            put_in_quarantine(core, *digest, QuarantineSource::Reported);
        }
        CrashFinding::Answered(digest) => take_answered(core, *digest),
    }
}

/// Applies a quarantine read from the store; true if it was not known.
pub fn apply_stored_quarantine(core: &Rc<ProxyCore>, digest: RequestFingerprint) -> bool {
    put_in_quarantine(core, digest, QuarantineSource::Reported)
}

/// Writes again the quarantines that the store lost when it came back from a copy, and drops those that it has again though they were
/// lifted. One node of the mesh does.
pub fn write_lost_quarantines(core: &ProxyCore, stored: &BTreeSet<RequestFingerprint>) {
    if !core.is_mesh_coordinator() {
        return;
    }
    let now = core.timers.now();
    for digest in core.quarantine.borrow().list_differences(stored, now) {
        write(core, digest);
    }
}

/// Propagates a quarantine to the zone, for nodes that were partitioned when it began.
pub fn propagate_quarantine_to_zone(core: &Rc<ProxyCore>, digest: RequestFingerprint) {
    tell(
        core,
        &core.list_zone_nodes(),
        CrashFinding::Quarantined(digest),
    );
}

fn put_in_quarantine(
    core: &Rc<ProxyCore>,
    digest: RequestFingerprint,
    source: QuarantineSource,
) -> bool {
    let now = core.timers.now();
    let news = core.quarantine.borrow_mut().insert(digest, source, now);
    if news {
        core.log(&ProxyEvent::RequestQuarantined {
            digest,
            source: source.name(),
        });
        drop_when_over(core, digest);
    }
    news
}

fn count_crash(core: &Rc<ProxyCore>, digest: RequestFingerprint, run: &IncarnationId) {
    let now = core.timers.now();
    let mut suspects = core.crash_counts.borrow_mut();
    let crashes = suspects.record_crash(digest, run.clone(), now);
    drop(suspects);
    core.log(&ProxyEvent::CrashCounted {
        digest,
        instance: run.instance.clone(),
        crashes,
    });
    if crashes >= QUARANTINE_CRASH_THRESHOLD
        && put_in_quarantine(core, digest, QuarantineSource::Counted)
    {
        tell_all(core, CrashFinding::Quarantined(digest));
        write(core, digest);
    }
}

fn tell_all(core: &Rc<ProxyCore>, finding: CrashFinding) {
    tell(core, &list_receivers(core), finding);
}

fn tell(core: &Rc<ProxyCore>, receivers: &[SocketAddr], finding: CrashFinding) {
    let message = StateMessage {
        finding: Some(Rc::new(finding)),
        ..StateMessage::default()
    };
    send_along_tree(core, receivers, &message);
}

/// Drops an expired quarantine from the store. Otherwise a node that starts later would begin it anew.
fn drop_when_over(core: &Rc<ProxyCore>, digest: RequestFingerprint) {
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = core.timers.after(QUARANTINE_DURATION).recv_async().await;
        if core.is_mesh_coordinator() {
            write(&core, digest);
        }
    });
}

/// Schedules a write of the present quarantine state of a request to the store.
fn write(core: &ProxyCore, digest: RequestFingerprint) {
    // The receiver lives as long as the sender.
    let _ = core.quarantine_writes.0.send(digest);
}

fn take_answered(core: &ProxyCore, digest: RequestFingerprint) {
    core.crash_counts.borrow_mut().record_answer(digest);
    let now = core.timers.now();
    let lifted = core.quarantine.borrow_mut().lift(digest, now);
    let Some(source) = lifted else {
        return;
    };
    core.log(&ProxyEvent::QuarantineLifted { digest });
    if source == QuarantineSource::Counted || core.is_mesh_coordinator() {
        write(core, digest);
    }
}

fn tell_keepers(core: &Rc<ProxyCore>, digest: RequestFingerprint, finding: CrashFinding) {
    let mut order = order_crash_counters(digest, list_nodes(core).into_iter());
    order.truncate(MAX_TRIED);
    let rest = Rc::new(RefCell::new(order.into_iter()));
    let finding = Rc::new(finding);
    for _ in 0..CRASH_COUNTERS {
        let (core, rest, finding) = (Rc::clone(core), Rc::clone(&rest), Rc::clone(&finding));
        spawn_local(async move { tell_next(&core, &rest, finding).await });
    }
}

/// Sends a message to the first of the nodes that accepts it.
async fn tell_next(
    core: &Rc<ProxyCore>,
    rest: &RefCell<IntoIter<SocketAddr>>,
    finding: Rc<CrashFinding>,
) {
    let message = StateMessage {
        finding: Some(Rc::clone(&finding)),
        ..StateMessage::default()
    };
    loop {
        let Some(to) = rest.borrow_mut().next() else {
            return;
        };
        if to == core.settings.peers {
            return apply_finding(core, &finding);
        }
        if send_state(core, to, &message).await.is_some() {
            return;
        }
    }
}

/// All known nodes, including this one.
fn list_nodes(core: &ProxyCore) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let mut nodes: Vec<SocketAddr> = directory.nodes.keys().copied().collect();
    if !directory.nodes.contains_key(&core.settings.peers) {
        nodes.push(core.settings.peers);
    }
    nodes
}

/// All other nodes in random order, so that each keeper propagates along another tree and the loss of a forwarding node is compensated.
/// Unreachable nodes come first, since messages are forwarded from the end.
fn list_receivers(core: &ProxyCore) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let mut views: Vec<_> = directory.nodes.iter().collect();
    views.shuffle(&mut rand::rng());
    views.sort_by_key(|(_, view)| Reverse(view.consecutive_failures));
    let addresses = views.into_iter().map(|(address, _)| *address);
    addresses
        .filter(|address| *address != core.settings.peers)
        .collect()
}
