//! A newer routing table, fetched from a node that offers it and offered on.
//!
//! A table goes to each node once and by the size of what changed. Were it sent to all that may lack it, a node with a
//! link of 10 Mbit/s would get the same table of thousands of routes from several nodes, could not take it in time, be taken for lost and
//! be sent it again; while that lasts, no requests pass between nodes either.

use crate::{
    coordination::table_sources::{FetchStep, TableOffer},
    protocol::hop::StateMessage,
    proxy::{
        core::{ProxyCore, increment},
        directory::StateSource,
        evacuating::apply_peer_evacuations,
        events::{ProxyEvent, in_millis},
        state_messages::exchange_state,
        table_offering::{forward_offer, offer_table},
    },
    state::{configuration::ConfigurationVersion, table_change::ChangeError, timestamp::Timestamp},
};
use std::{net::SocketAddr, rc::Rc};
use tokio::task::spawn_local;

/// Takes in the version that stood on a request or an answer of another node.
pub fn note_peer_version(core: &Rc<ProxyCore>, from: SocketAddr, version: ConfigurationVersion) {
    let (own, now) = note_report(core, from, version);
    let is_news = core
        .table_sources
        .borrow_mut()
        .record_report(from, version, own, now);
    if is_news {
        start_fetching(core);
    }
}

/// Takes in a version that another node offers.
pub fn accept_offer(core: &Rc<ProxyCore>, offer: TableOffer) {
    note_report(core, offer.from, offer.version);
    core.table_sources.borrow_mut().record_offer(offer);
    // Wakes only who waits now: an offer that is asked about already must not end a question that comes later.
    core.table_offered.notify_waiters();
    start_fetching(core);
}

/// Records the version that another node has in force; returns the version in force here, and the time.
fn note_report(
    core: &ProxyCore,
    from: SocketAddr,
    version: ConfigurationVersion,
) -> (ConfigurationVersion, Timestamp) {
    let mut directory = core.directory.borrow_mut();
    directory.record_version(from, version);
    let (own, now) = (directory.version(), core.timers.now());
    core.version_lag
        .borrow_mut()
        .record_report(version, own, now);
    (own, now)
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
        let (own, now) = (core.directory.borrow().version(), core.timers.now());
        pass_on_offers(core, own);
        let step = core.table_sources.borrow_mut().plan_next_step(own, now);
        match step {
            FetchStep::FetchOffered(from, version) => fetch(core, from, version, own).await,
            // Whoever offers the version is nearer than who was heard of by a request.
            FetchStep::FetchReported(from, version) => tokio::select! {
                () = fetch(core, from, version, own) => {}
                () = core.table_offered.notified() => {}
            },
            FetchStep::Wait(until) => {
                let due = core.timers.after(until.since(now));
                tokio::select! {
                    _ = due.recv_async() => {}
                    () = core.table_offered.notified() => {}
                }
            }
            FetchStep::Done => return,
        }
    }
}

/// Passes on what is in force now, from here, and offers of nodes that were asked in vain, as they came: the nodes that
/// come after may get through, and must not wait for this one.
fn pass_on_offers(core: &Rc<ProxyCore>, own: ConfigurationVersion) {
    let offers = core.table_sources.borrow_mut().take_forwardable_offers(own);
    for offer in offers {
        if offer.version <= own {
            offer_table(core, &offer.forward_to);
        } else {
            forward_offer(core, &offer);
        }
    }
}

/// Fetches the table in force at another node, after a start.
pub async fn fetch_first_table(core: &Rc<ProxyCore>, from: SocketAddr) {
    let own = core.directory.borrow().version();
    if let Err(error) = fetch_since(core, from, own).await {
        let error = error.to_string();
        core.log(&ProxyEvent::ChangeRejected { from, error });
    }
}

/// Fetches what is newer from one node. What can't be applied is asked for once more: since the version that has come into
/// force meanwhile, else as a whole.
async fn fetch(
    core: &Rc<ProxyCore>,
    from: SocketAddr,
    version: ConfigurationVersion,
    own: ConfigurationVersion,
) {
    core.log(&ProxyEvent::StateFetched {
        from,
        version: version.0,
        before: own.0,
    });
    if let Err(error) = fetch_since(core, from, own).await {
        core.log(&ProxyEvent::ChangeRejected {
            from,
            error: error.to_string(),
        });
        let since = match error {
            ChangeError::Base(_) => core.directory.borrow().version(),
            ChangeError::Terms(_) | ChangeError::Digest => ConfigurationVersion::default(),
        };
        // If this fails too, the next node or the store is asked.
        let _ = fetch_since(core, from, since).await;
    }
}

async fn fetch_since(
    core: &Rc<ProxyCore>,
    from: SocketAddr,
    own: ConfigurationVersion,
) -> Result<(), ChangeError> {
    let message = StateMessage {
        changes_since: Some(own),
        has_records: core.has_records(),
        sender: Some(core.settings.peers),
        ..StateMessage::default()
    };
    let asked = core.timers.now();
    let answer = exchange_state(core, from, &message).await;
    let took_ms = in_millis(core.timers.now().since(asked));
    let Some((answer, bytes)) = answer else {
        core.log(&ProxyEvent::FetchFailed { from, took_ms });
        return Ok(());
    };
    note_received(core, from, &answer, bytes, took_ms);
    if let Some(evacuations) = &answer.evacuations {
        apply_peer_evacuations(core, evacuations);
    }
    take_fetched(core, answer)
}

fn note_received(
    core: &ProxyCore,
    from: SocketAddr,
    answer: &StateMessage,
    bytes: usize,
    took_ms: u64,
) {
    let Some(change) = &answer.change else {
        return;
    };
    let news = change.version > core.directory.borrow().version();
    if !news {
        increment(&core.counters.stale_tables);
    }
    core.log(&ProxyEvent::TableReceived {
        from,
        base: change.base.unwrap_or_default().0,
        version: change.version.0,
        bytes,
        news,
        took_ms,
    });
}

fn take_fetched(core: &ProxyCore, answer: StateMessage) -> Result<(), ChangeError> {
    for stored in answer.nodes {
        core.apply_record(stored, StateSource::Peer);
    }
    let Some(change) = answer.change else {
        return Ok(());
    };
    let is_news = change.version > core.directory.borrow().version();
    if is_news {
        let table = core.directory.borrow().apply_change(&change)?;
        core.apply_table(table, StateSource::Peer);
    }
    if let Some(stored) = answer.stored_table {
        core.directory.borrow_mut().record_stored_table(stored);
    }
    Ok(())
}
