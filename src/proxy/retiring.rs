//! Drops the records of nodes that are gone from the store, if this node is the one that does.

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

/// How often the watch goes on. A node that does not watch only finds out that it need not.
const STEP: Duration = Duration::from_secs(10);

/// How often a node that does not watch asks the one before it. A message of some 300 bytes, 5 B/s.
const ASK_PREDECESSOR: Duration = Duration::from_mins(1);

/// Watches the records for as long as this node is the one to do so, until dropped.
pub async fn retire_lost_nodes<S: StateStore>(core: Rc<ProxyCore>, store: S) {
    let mut watch = RetirementTracker::default();
    let mut asked = core.timers.now();
    loop {
        let _ = core.timers.after(STEP).recv_async().await;
        if core.is_stopping() || !core.is_mesh_coordinator() {
            watch = RetirementTracker::default();
            let now = core.timers.now();
            if now.since(asked) >= ASK_PREDECESSOR {
                asked = now;
                ask_predecessor(&core).await;
            }
            continue;
        }
        follow_directory(&core, &mut watch);
        ask_due(&core, &mut watch).await;
        for suspect in watch.list_suspects(core.timers.now()) {
            retire(&core, &store, &mut watch, suspect).await;
        }
    }
}

/// Finds out whether the node that goes before this one is there. A lost one to which nothing is sent would count as the
/// one that watches, and no record would be dropped any more. Each asks the one directly before it, so the first that
/// lives finds out about all before it, one after the other.
async fn ask_predecessor(core: &Rc<ProxyCore>) {
    let Some(before) = core.find_predecessor() else {
        return;
    };
    let reached = is_reachable(core, before).await;
    let now = core.timers.now();
    if let Some(view) = core.directory.borrow_mut().nodes.get_mut(&before) {
        if reached {
            view.reset_backoff();
        } else {
            view.record_unreachable(now);
        }
    }
}

/// Takes in the records, and what requests tell of their nodes for nothing.
fn follow_directory(core: &ProxyCore, watch: &mut RetirementTracker) {
    let now = core.timers.now();
    let directory = core.directory.borrow();
    let stored = directory.nodes.values();
    let stored = stored.filter(|view| view.revision > 0);
    watch.apply_records(stored.map(describe), now);
    for view in directory.nodes.values() {
        if let Some((_, at)) = view.load {
            watch.record_contact(view.record.address, at);
        }
    }
}

fn describe(view: &KnownNode) -> TrackedRecord {
    TrackedRecord {
        address: view.record.address,
        availability_zone: view.record.availability_zone.clone(),
        revision: view.revision,
    }
}

async fn ask_due(core: &Rc<ProxyCore>, watch: &mut RetirementTracker) {
    let due = watch.take_due_probes(watch.count_probes_per_interval(STEP), core.timers.now());
    let asked = due.iter().map(|to| is_reachable(core, *to));
    let reached = join_all(asked).await;
    let now = core.timers.now();
    for (address, reached) in due.into_iter().zip(reached) {
        if reached {
            watch.record_contact(address, now);
        }
    }
}

/// Whether a node answers this one.
pub async fn is_reachable(core: &Rc<ProxyCore>, to: SocketAddr) -> bool {
    exchange_state(core, to, &StateMessage::default())
        .await
        .is_some()
}

async fn retire<S: StateStore>(
    core: &Rc<ProxyCore>,
    store: &S,
    watch: &mut RetirementTracker,
    suspect: SocketAddr,
) {
    match ask_witnesses(core, watch, suspect).await {
        Reachability::Unreachable => drop_record(core, store, suspect).await,
        Reachability::Reachable => watch.record_contact(suspect, core.timers.now()),
        Reachability::Inconclusive => {}
    }
}

async fn ask_witnesses(
    core: &Rc<ProxyCore>,
    watch: &RetirementTracker,
    suspect: SocketAddr,
) -> Reachability {
    let witnesses = watch.list_confirming_nodes(suspect, core.timers.now());
    let message = StateMessage {
        check_peer: Some(suspect),
        ..StateMessage::default()
    };
    let asked = witnesses
        .into_iter()
        .take(REQUIRED_CONFIRMATIONS)
        .map(|to| {
            let message = &message;
            async move { exchange_state(core, to, message).await?.0.peer_reachable }
        });
    judge_reachability(&join_all(asked).await)
}

/// Drops the record if the store has nothing newer than what is known here: the node may have been started
/// anew and have written it again meanwhile.
async fn drop_record<S: StateStore>(core: &Rc<ProxyCore>, store: &S, suspect: SocketAddr) {
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
        // Looked at again in the next step, by what the store holds then.
        Ok(ConditionalAppend::Conflict) | Err(_) => {}
    }
}
