//! Confirms that an incarnation of the local upstream has not left, before it gets requests.
//!
//! An announcement may arrive seconds late, and the record in the store may be outdated. The upstream may have announced meanwhile
//! that it leaves, to an earlier process of this node that could not store it. So the upstream is probed, and nodes of the zone are
//! asked: a node that can't store a departure tells them ([`share_departure`]).

use crate::{
    protocol::hop::{Departure, StateMessage},
    proxy::{
        core::ProxyCore,
        events::ProxyEvent,
        executing::{ProbedState, probe_state},
        state_messages::{ask_state, send_along_tree, send_state},
    },
    state::{incarnation_id::IncarnationId, names::ServiceName},
};
use futures::future::{join, join_all};
use rand::seq::SliceRandom;
use serde::Serialize;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Longest time for which an announcement is delayed on its way. Any announcement that arrives later than this after the start of
/// the process was sent after its start, and no earlier process has acknowledged a departure after it.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(10);
/// Number of nodes of the zone that are asked whether they know of a departure, or told of one before it is acknowledged.
const ASKED_NODES: usize = 3;
/// Longest time to wait for nodes of the zone. Together with the time for which an acknowledgement waits for the store it is
/// shorter than the second within which an announcement has to be acknowledged.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);

/// What a check of an incarnation has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckResult {
    /// The incarnation runs and has not left.
    Confirmed,
    /// A node of the zone knows that the incarnation is leaving.
    Departed,
    /// Another incarnation answers at the address.
    Replaced,
    /// The incarnation answers that it accepts no requests.
    NotAccepting,
    /// No answer that tells anything arrived in time.
    NoAnswer,
}

/// From where an incarnation of the local upstream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationSource {
    /// The record in the store, which an earlier process of this node has written.
    StoredRecord,
    /// An announcement that may have been sent before the start of this process.
    EarlyAnnouncement,
    /// An announcement that was sent while this process ran.
    CurrentAnnouncement,
}

/// Checks whether an incarnation of the local upstream runs and has not left, and logs the result.
pub async fn check_incarnation(
    core: &Rc<ProxyCore>,
    service: &ServiceName,
    incarnation: &IncarnationId,
    source: IncarnationSource,
) -> CheckResult {
    let probe = probe_state(core, service, &incarnation.instance);
    let result = if source == IncarnationSource::CurrentAnnouncement {
        match interpret_probe(probe.await) {
            CheckResult::NotAccepting | CheckResult::NoAnswer => CheckResult::Confirmed,
            result => result,
        }
    } else {
        match join(probe, is_departure_known(core, incarnation)).await {
            (_, true) => CheckResult::Departed,
            (state, false) => interpret_probe(state),
        }
    };
    core.log(&ProxyEvent::UpstreamChecked {
        instance: incarnation.instance.clone(),
        result,
    });
    result
}

const fn interpret_probe(state: ProbedState) -> CheckResult {
    match state {
        ProbedState::Accepting => CheckResult::Confirmed,
        ProbedState::NotAccepting => CheckResult::NotAccepting,
        ProbedState::OtherInstance => CheckResult::Replaced,
        ProbedState::Unknown => CheckResult::NoAnswer,
    }
}

/// The source of an incarnation whose latest announcement has arrived now.
#[must_use]
pub fn classify_announcement(core: &ProxyCore) -> IncarnationSource {
    if core.timers.now().since(core.started) <= MAX_ANNOUNCEMENT_DELAY {
        IncarnationSource::EarlyAnnouncement
    } else {
        IncarnationSource::CurrentAnnouncement
    }
}

/// Whether one of a few nodes of the zone knows that an incarnation of this node's upstream is leaving.
async fn is_departure_known(core: &ProxyCore, incarnation: &IncarnationId) -> bool {
    let message = StateMessage {
        check_departure: Some(incarnation.clone()),
        sender: Some(core.settings.peer_address),
        ..StateMessage::default()
    };
    let asked = pick_zone_nodes(core).into_iter().take(ASKED_NODES);
    let answers = asked.map(|to| {
        let message = &message;
        async move {
            let timeout = core.timers.after(PEER_TIMEOUT);
            tokio::select! {
                answer = ask_state(core, to, message) => answer.is_ok_and(|answer| answer.departure.is_some()),
                _ = timeout.recv_async() => false,
            }
        }
    });
    join_all(answers).await.contains(&true)
}

/// Tells the nodes of the zone that an incarnation of this node's upstream is leaving, if the store could not be told. Returns once a
/// few of them have answered or the time to wait for them is over.
pub async fn share_departure(core: &Rc<ProxyCore>, incarnation: &IncarnationId) {
    let message = StateMessage {
        departure: Some(Departure {
            node: core.settings.peer_address,
            incarnation: incarnation.clone(),
        }),
        ..StateMessage::default()
    };
    let nodes = pick_zone_nodes(core);
    let (first, others) = nodes.split_at(nodes.len().min(ASKED_NODES));
    send_along_tree(core, others, &message);
    let told = first.iter().map(|to| send_state(core, *to, &message));
    let timeout = core.timers.after(PEER_TIMEOUT);
    tokio::select! {
        _ = join_all(told) => {}
        _ = timeout.recv_async() => {}
    }
}

fn pick_zone_nodes(core: &ProxyCore) -> Vec<SocketAddr> {
    let mut nodes = core.list_zone_nodes();
    nodes.shuffle(&mut rand::rng());
    nodes
}

/// Records that the upstream of another node is leaving.
pub fn record_peer_departure(core: &ProxyCore, departure: &Departure) {
    let mut directory = core.directory.borrow_mut();
    if let Some(node) = directory.nodes.get_mut(&departure.node)
        && node.record.incarnation == departure.incarnation
    {
        node.record_leaving();
    }
}

/// The departure of an incarnation of another node's upstream, if it is known here.
#[must_use]
pub fn find_departure(
    core: &ProxyCore,
    node: SocketAddr,
    incarnation: &IncarnationId,
) -> Option<Departure> {
    let directory = core.directory.borrow();
    let known = directory.nodes.get(&node)?;
    let is_known = known.record.incarnation == *incarnation && known.is_leaving();
    is_known.then(|| Departure {
        node,
        incarnation: incarnation.clone(),
    })
}
