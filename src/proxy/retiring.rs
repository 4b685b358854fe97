//! Deletes from the store the records of nodes that are permanently lost.
//!
//! One node of the mesh does this: the first in a fixed order of the nodes that can be reached.

use crate::{
    coordination::retiring::{
        REQUIRED_CONFIRMATIONS, Reachability, RetirementTracker, TrackedRecord, judge_reachability,
    },
    protocol::{
        hop::StateMessage,
        store::{ConditionalAppend, StateStore},
    },
    proxy::{
        core::ProxyCore,
        events::ProxyEvent,
        state_messages::exchange_state,
        store_calls::{CallReason, StoreCall},
    },
    state::known_node::KnownNode,
};
use futures::future::join_all;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Interval of the checks. A node that is not responsible only checks its role.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which a node that is not responsible probes the node before it in the order. One message has some 300 bytes,
/// so this costs 5 B/s.
const PREDECESSOR_PROBE_INTERVAL: Duration = Duration::from_mins(1);

/// Deletes records of lost nodes while this node is the one responsible for it. Runs until dropped.
pub async fn retire_lost_nodes<S: StateStore>(core: Rc<ProxyCore>, store: S) {
    let mut tracker = RetirementTracker::default();
    let mut last_probe = core.timers.now();
    loop {
        let _ = core.timers.after(CHECK_INTERVAL).recv_async().await;
        if core.is_stopping() || !core.is_first_in_mesh() {
            tracker = RetirementTracker::default();
            let now = core.timers.now();
            if now.since(last_probe) >= PREDECESSOR_PROBE_INTERVAL {
                last_probe = now;
                probe_predecessor(&core).await;
            }
            continue;
        }
        update_tracker(&core, &mut tracker);
        probe_due_nodes(&core, &mut tracker).await;
        for suspect in tracker.list_suspects(core.timers.now()) {
            retire(&core, &store, &mut tracker, suspect).await;
        }
    }
}

/// Checks whether the node directly before this one in the order can be reached. Without this check, a lost first node to
/// which nothing is sent would still count as the responsible one, and no record would be deleted any more. Each node probes its
/// predecessor, so the first node that is alive finds out about all lost nodes before it, one after the other.
async fn probe_predecessor(core: &Rc<ProxyCore>) {
    let Some(predecessor) = core.find_predecessor() else {
        return;
    };
    let is_alive = is_reachable(core, predecessor).await;
    let now = core.timers.now();
    if let Some(node) = core.directory.borrow_mut().nodes.get_mut(&predecessor) {
        if is_alive {
            node.reset_backoff();
        } else {
            node.record_unreachable(now);
        }
    }
}

/// Updates the tracker with the known records, and with the nodes whose answers to requests show that they are alive.
fn update_tracker(core: &ProxyCore, tracker: &mut RetirementTracker) {
    let now = core.timers.now();
    let directory = core.directory.borrow();
    let stored = directory.nodes.values();
    let stored = stored.filter(|node| node.revision > 0);
    tracker.apply_records(stored.map(build_tracked_record), now);
    for node in directory.nodes.values() {
        if let Some((_, at)) = node.load {
            tracker.record_contact(node.record.address, at);
        }
    }
}

fn build_tracked_record(node: &KnownNode) -> TrackedRecord {
    TrackedRecord {
        address: node.record.address,
        availability_zone: node.record.availability_zone.clone(),
        revision: node.revision,
    }
}

async fn probe_due_nodes(core: &Rc<ProxyCore>, tracker: &mut RetirementTracker) {
    let due = tracker.take_due_probes(
        tracker.count_probes_per_interval(CHECK_INTERVAL),
        core.timers.now(),
    );
    let probes = due.iter().map(|to| is_reachable(core, *to));
    let is_alive = join_all(probes).await;
    let now = core.timers.now();
    for (address, is_alive) in due.into_iter().zip(is_alive) {
        if is_alive {
            tracker.record_contact(address, now);
        }
    }
}

/// Whether a node answers a message of this one.
pub async fn is_reachable(core: &Rc<ProxyCore>, to: SocketAddr) -> bool {
    exchange_state(core, to, &StateMessage::default())
        .await
        .is_some()
}

async fn retire<S: StateStore>(
    core: &Rc<ProxyCore>,
    store: &S,
    tracker: &mut RetirementTracker,
    suspect: SocketAddr,
) {
    match confirm_loss(core, tracker, suspect).await {
        Reachability::Unreachable => delete_record(core, store, suspect).await,
        Reachability::Reachable => tracker.record_contact(suspect, core.timers.now()),
        Reachability::Inconclusive => {}
    }
}

async fn confirm_loss(
    core: &Rc<ProxyCore>,
    tracker: &RetirementTracker,
    suspect: SocketAddr,
) -> Reachability {
    let confirming_nodes = tracker.list_confirming_nodes(suspect, core.timers.now());
    let message = StateMessage {
        check_peer: Some(suspect),
        ..StateMessage::default()
    };
    let answers = confirming_nodes
        .into_iter()
        .take(REQUIRED_CONFIRMATIONS)
        .map(|to| {
            let message = &message;
            async move { exchange_state(core, to, message).await?.0.peer_reachable }
        });
    judge_reachability(&join_all(answers).await)
}

/// Deletes the record of a node if the store holds nothing newer than what is known here: the node may have been restarted
/// and have written its record again meanwhile.
async fn delete_record<S: StateStore>(core: &Rc<ProxyCore>, store: &S, suspect: SocketAddr) {
    let end = core.directory.borrow().read_position();
    let Some(record) = core.directory.borrow().find_record(suspect) else {
        return;
    };
    let calls = &core.counters.store_calls;
    calls.count(StoreCall::Drop, CallReason::Retirement);
    match store.delete_node(&record, end).await {
        Ok(ConditionalAppend::Stored) => core.log(&ProxyEvent::NodeRetired {
            known: record.name,
            address: suspect,
            instance: record.incarnation.instance,
        }),
        // The next check decides again, from what the store holds then.
        Ok(ConditionalAppend::Conflict) | Err(_) => {}
    }
}
