//! Exchanges state with other nodes besides requests: versions of the routing table, records of nodes, evacuations, quarantines
//! and checks of whether a node can be reached.

use crate::{
    coordination::table_sources::TableOffer,
    protocol::hop::StateMessage,
    proxy::{
        core::ProxyCore,
        crash_detection::{apply_finding, send_quarantines},
        directory::StateSource,
        evacuating::apply_peer_evacuations,
        events::ProxyEvent,
        executing::limit_requests_of,
        quotas::answer_credit_request,
        retiring::is_reachable,
        state_messages::{count_state_bytes, log_malformed, send_along_tree, send_state},
        store_sync::request_own_record_rewrite,
        table_fetching::accept_offer,
        upstream_confirmation::{find_departure, record_peer_departure},
    },
    state::{configuration::ConfigurationVersion, known_node::StoredRecord},
    transport::{
        callers::{CallerReply, reply_json},
        message_body::MessageBody,
    },
};
use bytes::Bytes;
use http::{Response, StatusCode};
use rand::seq::SliceRandom;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// Number of nodes that are asked to read the store in place of one that can't.
const SUBSTITUTE_READERS: usize = 2;

/// Sends records of nodes that this node has read from the store to the nodes of its zone.
pub fn share_with_zone(core: &Rc<ProxyCore>, records: Vec<StoredRecord>) {
    if records.is_empty() {
        return;
    }
    let mut receivers = core.list_zone_nodes();
    // The other reader of the zone sends the records too. The random order gives it another tree, so that the loss of a
    // forwarding node is compensated.
    receivers.shuffle(&mut rand::rng());
    core.log(&ProxyEvent::ZoneNotified {
        nodes: receivers.len(),
        records: records.len(),
    });
    let message = StateMessage {
        nodes: records,
        ..StateMessage::default()
    };
    send_along_tree(core, &receivers, &message);
}

/// Sends a node of the zone the records that were stored after its first read of the records and before its own record, since the
/// readers of the zone didn't know it then. Without them it would send no requests to their nodes, and take wrong nodes for keepers
/// of quotas, until it reads the store again.
pub fn send_missed_records(core: &Rc<ProxyCore>, to: SocketAddr, missed: Vec<StoredRecord>) {
    if missed.is_empty() {
        return;
    }
    let message = StateMessage {
        nodes: missed,
        ..StateMessage::default()
    };
    send_along_tree(core, &[to], &message);
}

/// Asks a few other nodes of the zone to read the store for a while. The store may reject both readers of a zone and no other
/// node; the zone would then not learn of a change in time.
pub fn delegate_store_reading(core: &Rc<ProxyCore>) {
    let mut receivers = core.list_zone_nodes();
    receivers.shuffle(&mut rand::rng());
    receivers.truncate(SUBSTITUTE_READERS);
    core.log(&ProxyEvent::ReadingHandedOver {
        nodes: receivers.len(),
    });
    for to in receivers {
        let core = Rc::clone(core);
        let message = StateMessage {
            read_store: true,
            ..StateMessage::default()
        };
        spawn_local(async move { send_state(&core, to, &message).await });
    }
}

/// Applies a message of another node, forwards it if the message says so, and answers what it asks.
pub async fn answer_state_message(core: &Rc<ProxyCore>, body: &[u8]) -> CallerReply {
    let mut message: StateMessage = match serde_json::from_slice(body) {
        Ok(message) => message,
        Err(error) => {
            log_malformed(core, &error);
            return reply_json(StatusCode::BAD_REQUEST, "malformed state");
        }
    };
    count_state_bytes(core, body.len());
    let (changes_since, check_peer, from) =
        (message.changes_since, message.check_peer, message.sender);
    let has_records = message.has_records;
    let is_offer = message.offered_version.is_some();
    let has_evacuations = message.evacuations.is_some();
    let credit_request = message.credit_request.take();
    let checked_departure = from.zip(message.check_departure.take());
    apply_message(core, message);
    let mut answer = match changes_since {
        Some(version) => StateMessage {
            evacuations: core.evacuations.describe(),
            ..core
                .directory
                .borrow_mut()
                .build_update_since(version, has_records)
        },
        None => StateMessage::default(),
    };
    let knows_nothing = changes_since == Some(ConfigurationVersion::default()) && !has_records;
    if let Some(from) = from.filter(|_| knows_nothing) {
        // The store holds them too, but a node that asks for everything may not reach it.
        send_quarantines(core, from);
    }
    if has_evacuations {
        answer.evacuations_position = Some(core.evacuations.position());
    }
    if is_offer {
        answer.offered_version = Some(core.directory.borrow().version());
    }
    if let Some(suspect) = check_peer {
        answer.peer_reachable = Some(is_reachable(core, suspect).await);
    }
    if let Some(request) = credit_request {
        answer.credit_grant = answer_credit_request(core, &request);
    }
    if let Some((node, incarnation)) = checked_departure {
        answer.departure = find_departure(core, node, &incarnation);
    }
    if answer == StateMessage::default() {
        return CallerReply::default();
    }
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    if let (Some(change), Some(known_version)) = (&answer.change, changes_since) {
        core.log(&ProxyEvent::TableSent {
            to: from,
            before: known_version.0,
            version: change.version.0,
            bytes: body.len(),
        });
    }
    Response::new(MessageBody::from(Bytes::from(body)))
}

fn apply_message(core: &Rc<ProxyCore>, mut message: StateMessage) {
    if let Some(epoch) = message.lost_in_epoch {
        request_own_record_rewrite(core, epoch);
    }
    if message.read_store {
        core.become_substitute_reader();
    }
    let forward_to = std::mem::take(&mut message.forward_to);
    if let (Some(version), Some(from)) = (message.offered_version, message.sender) {
        let offer = TableOffer {
            from,
            version,
            forward_to,
        };
        accept_offer(core, offer);
        return;
    }
    send_along_tree(core, &forward_to, &message);
    if let Some(table) = message.stored_table {
        core.directory.borrow_mut().record_stored_table(table);
    }
    if let Some(evacuations) = &message.evacuations {
        if let Some(from) = message.sender {
            core.evacuations
                .record_position(from, evacuations.position());
        }
        apply_peer_evacuations(core, evacuations);
    }
    if let (Some(millis), Some(from)) = (message.ends_in_ms, message.sender) {
        limit_requests_of(core, from, Duration::from_millis(millis));
    }
    if let Some(finding) = &message.finding {
        apply_finding(core, finding);
    }
    if let Some(departure) = &message.departure {
        record_peer_departure(core, departure);
    }
    for stored in message.nodes {
        core.apply_record(stored, StateSource::Peer);
    }
}
