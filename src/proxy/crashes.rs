//! Finds out which requests crash the upstreams that run them, and keeps these from all upstreams.
//!
//! The node beside an upstream sees it crash and tells the keepers of each request that was cut. Keepers count the crashes; one
//! that has counted enough tells all nodes and writes that to the store, for nodes that start later.

use crate::{
    coordination::crash_keepers::{KEEPERS, order_keepers},
    protocol::hop::{CrashFinding, StateMessage},
    proxy::{
        core::{ProxyCore, count},
        events::ProxyEvent,
        executing::has_ended,
        state_messages::{send_state, spread},
    },
    state::{
        ablation::Mechanism,
        crash_suspects::CRASHES_TO_QUARANTINE,
        names::ServiceName,
        quarantine::{QUARANTINE, QuarantineSource},
        request_digest::RequestDigest,
        run_identity::RunIdentity,
    },
};
use rand::seq::SliceRandom;
use std::{cell::RefCell, cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration, vec::IntoIter};
use tokio::task::spawn_local;

/// Nodes that are tried until enough keepers have taken a message. Records outlast their nodes by half an hour.
const MAX_TRIED: usize = 12;

/// A request that was cut at an upstream.
pub struct CutRequest {
    /// Its identity, for the log.
    pub request: String,
    /// What it asks for.
    pub digest: RequestDigest,
    /// The run of the upstream.
    pub run: RunIdentity,
    /// Its service.
    pub service: ServiceName,
}

/// Whether the upstream beside this node has crashed, after it has cut a request; if so, the request's keepers are told.
///
/// Upstreams also cut requests when they are full or lose an answer, and live on.
pub async fn find_crash(core: &Rc<ProxyCore>, cut: CutRequest) -> bool {
    let (tx, rx) = flume::bounded(1);
    let core = Rc::clone(core);
    // Goes on when the client leaves meanwhile: its request may be what crashed the upstream.
    spawn_local(async move {
        let crashed =
            !leaves(&core, &cut.run) && has_ended(&core, &cut.service, &cut.run.instance).await;
        if crashed {
            report_crash(&core, cut);
        }
        // Nobody waits for it once the client has left.
        let _ = tx.send(crashed);
    });
    rx.recv_async().await.unwrap_or(false)
}

/// An upstream that leaves ends as it has said.
fn leaves(core: &ProxyCore, run: &RunIdentity) -> bool {
    let own = core.own.borrow();
    let current = own.current();
    current.is_some_and(|current| current.identity == *run && current.leaving)
}

fn report_crash(core: &Rc<ProxyCore>, cut: CutRequest) {
    let CutRequest {
        request,
        digest,
        run,
        ..
    } = cut;
    count(&core.counters.crashed);
    let answered_before = core.answered.borrow().contains(&run, digest);
    core.log(&ProxyEvent::UpstreamCrashed {
        instance: run.instance.clone(),
        request,
        digest,
        answered_before,
    });
    if answered_before || Mechanism::Quarantine.is_off() {
        return;
    }
    tell_keepers(core, digest, CrashFinding::Crashed { digest, run });
}

/// Takes in that the present run of the upstream beside this node has answered a request.
pub fn note_answered_here(core: &Rc<ProxyCore>, digest: RequestDigest, run: &RunIdentity) {
    core.answered.borrow_mut().note(run, digest);
    if find_quarantine(core, digest).is_some() {
        let finding = CrashFinding::Answered(digest);
        take_finding(core, &finding);
        tell_all(core, finding);
    }
}

/// Takes in that a request was answered after another upstream had crashed under it: it was only there.
pub fn clear_suspect(core: &Rc<ProxyCore>, digest: RequestDigest) {
    tell_keepers(core, digest, CrashFinding::Answered(digest));
}

/// How much longer a request is kept from upstreams; none if it is not.
#[must_use]
pub fn find_quarantine(core: &ProxyCore, digest: RequestDigest) -> Option<Duration> {
    core.quarantine
        .borrow()
        .time_left(digest, core.timers.now())
}

/// Takes in what a node has found out.
pub fn take_finding(core: &Rc<ProxyCore>, finding: &CrashFinding) {
    match finding {
        CrashFinding::Crashed { digest, run } => count_crash(core, *digest, run),
        CrashFinding::Quarantined(digest) => {
            put_in_quarantine(core, *digest, QuarantineSource::Told);
        }
        CrashFinding::Answered(digest) => take_answered(core, *digest),
    }
}

/// Takes in that the store holds a request in quarantine; true if that is news.
pub fn take_stored_quarantine(core: &Rc<ProxyCore>, digest: RequestDigest) -> bool {
    put_in_quarantine(core, digest, QuarantineSource::Told)
}

/// Tells the zone of a request in quarantine, for whoever was cut off when it was found out.
pub fn tell_zone_of_quarantine(core: &Rc<ProxyCore>, digest: RequestDigest) {
    tell(core, &core.list_zone(), CrashFinding::Quarantined(digest));
}

fn put_in_quarantine(
    core: &Rc<ProxyCore>,
    digest: RequestDigest,
    source: QuarantineSource,
) -> bool {
    let now = core.timers.now();
    let news = core.quarantine.borrow_mut().put(digest, source, now);
    if news {
        core.log(&ProxyEvent::RequestQuarantined {
            digest,
            source: source.name(),
        });
        drop_when_over(core, digest);
    }
    news
}

fn count_crash(core: &Rc<ProxyCore>, digest: RequestDigest, run: &RunIdentity) {
    let now = core.timers.now();
    let mut suspects = core.suspects.borrow_mut();
    let crashes = suspects.note_crash(digest, run.clone(), now);
    drop(suspects);
    core.log(&ProxyEvent::CrashCounted {
        digest,
        instance: run.instance.clone(),
        crashes,
    });
    if crashes >= CRASHES_TO_QUARANTINE
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
    spread(core, receivers, &message);
}

/// Drops a quarantine from the store once it is over. A node that starts later would begin it anew.
fn drop_when_over(core: &Rc<ProxyCore>, digest: RequestDigest) {
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = core.timers.after(QUARANTINE).recv_async().await;
        if core.is_first() {
            write(&core, digest);
        }
    });
}

/// Has the store hold the quarantine of a request as it is now.
fn write(core: &ProxyCore, digest: RequestDigest) {
    // The receiver is there as long as the sender.
    let _ = core.quarantine_orders.0.send(digest);
}

fn take_answered(core: &ProxyCore, digest: RequestDigest) {
    core.suspects.borrow_mut().note_answered(digest);
    let now = core.timers.now();
    let lifted = core.quarantine.borrow_mut().lift(digest, now);
    let Some(source) = lifted else {
        return;
    };
    core.log(&ProxyEvent::QuarantineLifted { digest });
    if source == QuarantineSource::Counted || core.is_first() {
        write(core, digest);
    }
}

fn tell_keepers(core: &Rc<ProxyCore>, digest: RequestDigest, finding: CrashFinding) {
    let mut order = order_keepers(digest, list_nodes(core).into_iter());
    order.truncate(MAX_TRIED);
    let rest = Rc::new(RefCell::new(order.into_iter()));
    let finding = Rc::new(finding);
    for _ in 0..KEEPERS {
        let (core, rest, finding) = (Rc::clone(core), Rc::clone(&rest), Rc::clone(&finding));
        spawn_local(async move { tell_next(&core, &rest, finding).await });
    }
}

/// Tells the next of the nodes that takes the message.
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
            return take_finding(core, &finding);
        }
        if send_state(core, to, &message).await.is_some() {
            return;
        }
    }
}

/// All nodes that are known, this one included.
fn list_nodes(core: &ProxyCore) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let mut nodes: Vec<SocketAddr> = directory.nodes.keys().copied().collect();
    if !directory.nodes.contains_key(&core.settings.peers) {
        nodes.push(core.settings.peers);
    }
    nodes
}

/// All other nodes, in another order at each node that tells them: the loss of one that passes a message on is made up for by the
/// other keepers. Those that could not be reached come first, since a message is passed on from the end.
fn list_receivers(core: &ProxyCore) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let mut views: Vec<_> = directory.nodes.iter().collect();
    views.shuffle(&mut rand::rng());
    views.sort_by_key(|(_, view)| Reverse(view.failures));
    let addresses = views.into_iter().map(|(address, _)| *address);
    addresses
        .filter(|address| *address != core.settings.peers)
        .collect()
}
