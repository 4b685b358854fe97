//! Fetches a newer routing table from a node that offers it, and offers it to further nodes.
//!
//! Each node fetches a table once, and only what has changed. If nodes sent tables to all nodes that may lack them, a node
//! with a link of 10 Mbit/s would get the same table of thousands of routes from several nodes. It could not receive them in
//! time, would be considered lost and would be sent the table again; meanwhile requests between nodes would not get through
//! either.

use crate::{
    coordination::table_sources::{FetchStep, TableOffer},
    protocol::hop::StateMessage,
    proxy::{
        core::{ProxyCore, increment},
        directory::StateSource,
        evacuating::apply_peer_evacuations,
        events::{ProxyEvent, in_millis},
        mesh_contact::record_peer_contact,
        state_messages::exchange_state,
        table_offering::{forward_offer, offer_table},
    },
    state::{configuration::ConfigurationVersion, table_change::ChangeError, timestamp::Timestamp},
};
use std::{net::SocketAddr, rc::Rc};
use tokio::task::spawn_local;

/// Records the version that another node reported on a request or an answer, and starts to fetch if it is newer.
pub fn record_peer_version(core: &Rc<ProxyCore>, from: SocketAddr, version: ConfigurationVersion) {
    let (own_version, now) = record_report(core, from, version);
    let is_newer = core
        .table_sources
        .borrow_mut()
        .record_report(from, version, own_version, now);
    if is_newer {
        start_fetching(core);
    }
}

/// Records a version that another node offers, and starts to fetch if it is newer.
pub fn accept_offer(core: &Rc<ProxyCore>, offer: TableOffer) {
    record_report(core, offer.from, offer.version);
    core.table_sources.borrow_mut().record_offer(offer);
    // Wakes only a task that is waiting now: an offer that is already being fetched must not cancel a later fetch.
    core.table_offered.notify_waiters();
    start_fetching(core);
}

/// Records the version that another node has in force. Returns the version in force here and the current time.
fn record_report(
    core: &ProxyCore,
    from: SocketAddr,
    version: ConfigurationVersion,
) -> (ConfigurationVersion, Timestamp) {
    let mut directory = core.directory.borrow_mut();
    directory.record_version(from, version);
    record_peer_contact(core);
    let (own_version, now) = (directory.version(), core.timers.now());
    core.version_lag
        .borrow_mut()
        .record_report(version, own_version, now);
    (own_version, now)
}

fn start_fetching(core: &Rc<ProxyCore>) {
    if core.is_fetching_table.replace(true) {
        return;
    }
    let core = Rc::clone(core);
    spawn_local(async move {
        fetch_until_current(&core).await;
        core.is_fetching_table.set(false);
    });
}

async fn fetch_until_current(core: &Rc<ProxyCore>) {
    loop {
        let (own_version, now) = (core.directory.borrow().version(), core.timers.now());
        forward_offers(core, own_version);
        let step = core
            .table_sources
            .borrow_mut()
            .plan_next_step(own_version, now);
        match step {
            FetchStep::FetchOffered(from, version) => fetch(core, from, version, own_version).await,
            // Offers come from nodes of this zone, reports on requests from nodes of any zone, so an offer takes precedence.
            FetchStep::FetchReported(from, version) => tokio::select! {
                () = fetch(core, from, version, own_version) => {}
                () = core.table_offered.notified() => {}
            },
            FetchStep::Wait(until) => {
                let wake_up = core.timers.after(until.since(now));
                tokio::select! {
                    _ = wake_up.recv_async() => {}
                    () = core.table_offered.notified() => {}
                }
            }
            FetchStep::Done => return,
        }
    }
}

/// Offers the version in force to the nodes that accepted offers name as next receivers. If the fetch from the offering node
/// failed, its offer is forwarded unchanged: the next nodes may reach it, and must not wait for this node.
fn forward_offers(core: &Rc<ProxyCore>, own_version: ConfigurationVersion) {
    let offers = core
        .table_sources
        .borrow_mut()
        .take_forwardable_offers(own_version);
    for offer in offers {
        if offer.version <= own_version {
            offer_table(core, &offer.forward_to);
        } else {
            forward_offer(core, &offer);
        }
    }
}

/// Fetches the table in force at another node after this node has started.
pub async fn fetch_first_table(core: &Rc<ProxyCore>, from: SocketAddr) {
    let own_version = core.directory.borrow().version();
    if let Err(error) = fetch_since(core, from, own_version).await {
        let error = error.to_string();
        core.log(&ProxyEvent::ChangeRejected { from, error });
    }
}

/// Fetches changes from one node. If they can't be applied, they are fetched once more: since the version that has come into
/// force meanwhile if that was the reason, otherwise as a whole table.
async fn fetch(
    core: &Rc<ProxyCore>,
    from: SocketAddr,
    version: ConfigurationVersion,
    own_version: ConfigurationVersion,
) {
    core.log(&ProxyEvent::StateFetched {
        from,
        version: version.0,
        before: own_version.0,
    });
    if let Err(error) = fetch_since(core, from, own_version).await {
        core.log(&ProxyEvent::ChangeRejected {
            from,
            error: error.to_string(),
        });
        let since = match error {
            ChangeError::BaseMismatch(_) => core.directory.borrow().version(),
            ChangeError::MissingSettings(_) | ChangeError::ChecksumMismatch => {
                ConfigurationVersion::default()
            }
        };
        // If this fails too, the table comes from the next node or from the store.
        let _ = fetch_since(core, from, since).await;
    }
}

async fn fetch_since(
    core: &Rc<ProxyCore>,
    from: SocketAddr,
    since: ConfigurationVersion,
) -> Result<(), ChangeError> {
    let message = StateMessage {
        changes_since: Some(since),
        has_records: core.has_records(),
        sender: Some(core.settings.peer_address),
        ..StateMessage::default()
    };
    let sent_at = core.timers.now();
    let answer = exchange_state(core, from, &message).await;
    let took_ms = in_millis(core.timers.now().since(sent_at));
    let Some((answer, bytes)) = answer else {
        core.log(&ProxyEvent::FetchFailed { from, took_ms });
        return Ok(());
    };
    log_received(core, from, &answer, bytes, took_ms);
    if let Some(evacuations) = &answer.evacuations {
        apply_peer_evacuations(core, evacuations);
    }
    apply_answer(core, answer)
}

fn log_received(
    core: &ProxyCore,
    from: SocketAddr,
    answer: &StateMessage,
    bytes: usize,
    took_ms: u64,
) {
    let Some(change) = &answer.change else {
        return;
    };
    let is_newer = change.version > core.directory.borrow().version();
    if !is_newer {
        increment(&core.counters.stale_tables);
    }
    core.log(&ProxyEvent::TableReceived {
        from,
        base: change.base.unwrap_or_default().0,
        version: change.version.0,
        bytes,
        news: is_newer,
        took_ms,
    });
}

fn apply_answer(core: &ProxyCore, answer: StateMessage) -> Result<(), ChangeError> {
    for stored in answer.nodes {
        core.apply_record(stored, StateSource::Peer);
    }
    let Some(change) = answer.change else {
        return Ok(());
    };
    let is_newer = change.version > core.directory.borrow().version();
    if is_newer {
        let table = core.directory.borrow().apply_change(&change)?;
        core.apply_table(table, StateSource::Peer);
    }
    if let Some(stored) = answer.stored_table {
        core.directory.borrow_mut().record_stored_table(stored);
    }
    Ok(())
}
