//! Applies announcements of the local upstream, and has the resulting record of this node written to the store.

use crate::{
    coordination::local_upstream::{Announcement, AnnouncementEffect},
    proxy::{
        core::ProxyCore,
        events::ProxyEvent,
        executing::{
            compute_slot_limit, probe_instance, record_warmup_left, set_slot_limit,
            verify_incarnation,
        },
    },
    state::{incarnation_id::IncarnationId, known_node::NodeRecord},
};
use flume::Sender;
use std::{rc::Rc, time::Duration};

/// Longest time for which an acknowledgement waits for the store. The announcement is already in effect at this node; the
/// stored record matters only if the node is restarted.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// A record to be written to the store, and where to confirm the write.
#[derive(Debug)]
pub struct RecordWrite {
    /// The record of this node.
    pub record: NodeRecord,
    /// Receives a message once the store holds the record.
    pub done: Sender<()>,
}

/// Applies an announcement of the upstream. Returns once it may be acknowledged.
pub async fn apply_announcement(
    core: &Rc<ProxyCore>,
    announcement: Announcement,
    record_writes: &Sender<RecordWrite>,
) {
    let instance = announcement.incarnation.instance.clone();
    let leaving = announcement.leaving;
    let sequence = announcement.sequence;
    if is_contradicted(core, &announcement).await {
        return;
    }
    let before = find_own_identity(core);
    let (service, warmup_left) = (announcement.service.clone(), announcement.warmup_left);
    let effect = core
        .local_upstream
        .borrow_mut()
        .apply_announcement(announcement);
    if effect == AnnouncementEffect::Changed
        && before.is_some()
        && before != find_own_identity(core)
    {
        core.slots.reset_incarnation_state();
    }
    if effect != AnnouncementEffect::Stale {
        record_warmup_left(core, &service, warmup_left);
    }
    if effect == AnnouncementEffect::Changed {
        core.log(&ProxyEvent::UpstreamAnnounced {
            instance,
            sequence,
            leaving,
        });
        publish_change(core, record_writes).await;
    }
}

/// Whether the upstream, when probed, contradicts an announcement of another incarnation than the known one.
///
/// An announcement of an incarnation that has ended may arrive late, and a node that was started since does not know that
/// incarnation. If the announcement were applied, the incarnation that serves would count as ended for good.
async fn is_contradicted(core: &Rc<ProxyCore>, announcement: &Announcement) -> bool {
    let known = core
        .local_upstream
        .borrow()
        .serving()
        .map(|known| known.identity.clone());
    if known.is_none_or(|known| known.instance == announcement.incarnation.instance) {
        return false;
    }
    let reported = probe_instance(core, &announcement.service).await;
    reported.is_some_and(|reported| reported != announcement.incarnation.instance)
}

/// Identity of the current incarnation of the local upstream; none before it is known.
#[must_use]
pub fn find_own_identity(core: &ProxyCore) -> Option<IncarnationId> {
    core.local_upstream
        .borrow()
        .current()
        .map(|known| known.identity.clone())
}

/// Records that an incarnation of the upstream is leaving. Returns once that may be acknowledged.
pub async fn apply_departure(
    core: &Rc<ProxyCore>,
    incarnation: &IncarnationId,
    record_writes: &Sender<RecordWrite>,
) {
    if record_departure(core, incarnation) {
        publish_change(core, record_writes).await;
    }
}

/// Records that an incarnation of the upstream is leaving, and returns whether this was unknown. From then on it gets no requests.
pub fn record_departure(core: &ProxyCore, incarnation: &IncarnationId) -> bool {
    let is_first_notice = core
        .local_upstream
        .borrow_mut()
        .record_departure(incarnation);
    if is_first_notice {
        core.log(&ProxyEvent::UpstreamDeparted {
            instance: incarnation.instance.clone(),
        });
    }
    is_first_notice
}

/// Publishes the record of this node each time that an answer of the upstream has changed it, until dropped.
pub async fn publish_own_record_when_changed(
    core: Rc<ProxyCore>,
    record_writes: Sender<RecordWrite>,
) {
    loop {
        core.own_record_changed.notified().await;
        publish_change(&core, &record_writes).await;
    }
}

async fn publish_change(core: &Rc<ProxyCore>, record_writes: &Sender<RecordWrite>) {
    let Some(record) = build_own_record(core) else {
        return;
    };
    set_slot_limit(core, compute_slot_limit(record.slots));
    core.directory.borrow_mut().apply_own_record(record.clone());
    if core.stored_record.borrow().as_ref() == Some(&record) {
        return;
    }
    let (done, recorded) = flume::bounded(1);
    if record_writes.send(RecordWrite { record, done }).is_err() {
        return;
    }
    let timeout = core.timers.after(STORE_TIMEOUT);
    tokio::select! {
        _ = recorded.recv_async() => {}
        _ = timeout.recv_async() => {}
    }
}

/// Applies the record of this node that the store holds. This process or an earlier one has written it.
///
/// After a restart the upstream is known from the record before it announces itself again, which it does only every second or
/// two. The upstream must confirm its identity and that it is not leaving: it may have announced to the earlier process
/// that it is leaving while the store was unavailable.
pub async fn apply_stored_record(core: &Rc<ProxyCore>, record: NodeRecord) {
    let unknown = core.local_upstream.borrow().current().is_none();
    let unchanged = core.stored_record.replace(Some(record.clone())).as_ref() == Some(&record);
    if record.leaving {
        core.local_upstream
            .borrow_mut()
            .record_departure(&record.incarnation);
    } else if unknown && !unchanged && verify_incarnation(core, &record).await {
        let announcement = Announcement {
            incarnation: record.incarnation.clone(),
            service: record.service.clone(),
            slots: record.slots,
            leaving: false,
            warmup_left: Duration::ZERO,
            sequence: 0,
        };
        if core.local_upstream.borrow().current().is_none() {
            core.local_upstream
                .borrow_mut()
                .apply_announcement(announcement);
            core.slots.resume_incarnation();
            set_slot_limit(core, compute_slot_limit(record.slots));
            core.directory.borrow_mut().apply_own_record(record.clone());
            core.log(&ProxyEvent::UpstreamRestored {
                instance: record.incarnation.instance.clone(),
            });
        }
    }
}

/// Builds the record of this node; none if its upstream is not known yet.
#[must_use]
pub fn build_own_record(core: &ProxyCore) -> Option<NodeRecord> {
    let upstream = core.local_upstream.borrow();
    let current = upstream.current()?;
    Some(NodeRecord {
        name: core.settings.name.clone(),
        address: core.settings.peer_address,
        service: current.service.clone(),
        availability_zone: core.settings.availability_zone.clone(),
        incarnation: current.identity.clone(),
        slots: current.slots,
        leaving: current.leaving,
        operator_address: core.settings.operator_address,
    })
}
