//! Applies announcements of the local upstream, and has the resulting record of this node written to the store.

use crate::{
    coordination::local_upstream::{Announcement, AnnouncementEffect},
    proxy::{
        core::ProxyCore,
        events::ProxyEvent,
        executing::{
            ProbedState, compute_slot_limit, find_health_uri, probe_state, record_warmup_left,
            set_slot_limit,
        },
        upstream_confirmation::{
            CheckResult, IncarnationSource, check_incarnation, classify_announcement,
            share_departure,
        },
    },
    state::{incarnation_id::IncarnationId, known_node::NodeRecord},
};
use flume::Sender;
use std::{rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// Longest time for which an acknowledgement waits for the store. The announcement is already in effect at this node; the
/// stored record matters only if the node is restarted. A departure that isn't stored by then is shared with the zone.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which an acknowledgement waits for the check of an incarnation that was unknown so far.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

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
    let source = classify_announcement(core);
    let is_early = source == IncarnationSource::EarlyAnnouncement;
    let is_first = before.is_none() && core.settings.first_start && is_early;
    let is_current = is_first || (is_serving_other(core, &announcement) && !is_early);
    let effect = {
        let mut upstream = core.local_upstream.borrow_mut();
        if is_current {
            upstream.apply_announcement(announcement)
        } else {
            upstream.apply_unconfirmed(announcement)
        }
    };
    if effect == AnnouncementEffect::Changed
        && before.is_some()
        && before != find_own_identity(core)
    {
        core.slots.reset_incarnation_state();
    }
    if effect != AnnouncementEffect::Stale {
        core.announcement_source.set(source);
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
    if core.local_upstream.borrow().unconfirmed().is_some() {
        wait_for_check(core, record_writes).await;
    }
}

/// Whether the upstream, when probed, does not confirm an announcement of another incarnation than the known one.
///
/// An announcement of an incarnation that has ended may arrive late, and a node that was started since does not know that
/// incarnation. If the announcement were applied, the incarnation that serves would count as ended for good.
async fn is_contradicted(core: &Rc<ProxyCore>, announcement: &Announcement) -> bool {
    if !is_serving_other(core, announcement) {
        return false;
    }
    let (service, instance) = (&announcement.service, &announcement.incarnation.instance);
    let state = probe_state(core, service, instance).await;
    matches!(state, ProbedState::OtherInstance | ProbedState::Unknown)
}

/// Whether another incarnation of the upstream than the announced one is known, and not known to be leaving.
fn is_serving_other(core: &ProxyCore, announcement: &Announcement) -> bool {
    let upstream = core.local_upstream.borrow();
    let known = upstream.current().filter(|known| !known.leaving);
    known.is_some_and(|known| known.identity.instance != announcement.incarnation.instance)
}

/// Starts a check of the unconfirmed incarnation, unless one is running, and waits for it for a limited time.
async fn wait_for_check(core: &Rc<ProxyCore>, record_writes: &Sender<RecordWrite>) {
    if core.is_checking_upstream.replace(true) {
        return;
    }
    let (pending, concluded) = flume::bounded(0);
    let (task_core, task_writes) = (Rc::clone(core), record_writes.clone());
    spawn_local(async move {
        wait_for_health_path(&task_core, &task_writes, &pending).await;
        confirm_current(&task_core, &task_writes).await;
        task_core.is_checking_upstream.set(false);
        drop(pending);
    });
    let timeout = core.timers.after(CHECK_TIMEOUT);
    tokio::select! {
        _ = concluded.recv_async() => {}
        _ = timeout.recv_async() => {}
    }
}

/// Waits until the path is known at which the upstream is probed; it is in the configuration of its service. Without one, no request
/// is routed to the upstream. Its record is published meanwhile, so that other nodes know the node once it is configured.
async fn wait_for_health_path(
    core: &Rc<ProxyCore>,
    record_writes: &Sender<RecordWrite>,
    pending: &Sender<()>,
) {
    while is_health_path_unknown(core) {
        publish_change(core, record_writes).await;
        // The receiver may have stopped waiting.
        let _ = pending.try_send(());
        core.wait_for_newer_table().await;
    }
}

/// Whether the unconfirmed incarnation can't be probed yet.
fn is_health_path_unknown(core: &ProxyCore) -> bool {
    let upstream = core.local_upstream.borrow();
    let unconfirmed = upstream.unconfirmed();
    unconfirmed.is_some_and(|known| find_health_uri(core, &known.service).is_none())
}

/// Whether the record of this node must not be published, because it may say that an upstream serves which has left.
#[must_use]
pub fn is_record_withheld(core: &ProxyCore) -> bool {
    let is_unconfirmed = core.local_upstream.borrow().unconfirmed().is_some();
    is_unconfirmed && !is_health_path_unknown(core)
}

/// Checks the unconfirmed incarnation. If the check is inconclusive, the next announcement starts another one.
async fn confirm_current(core: &Rc<ProxyCore>, record_writes: &Sender<RecordWrite>) {
    let unconfirmed = core.local_upstream.borrow().unconfirmed().cloned();
    let Some(known) = unconfirmed else {
        return;
    };
    let source = core.announcement_source.get();
    match check_incarnation(core, &known.service, &known.identity, source).await {
        CheckResult::Confirmed => {
            core.local_upstream.borrow_mut().confirm(&known.identity);
        }
        CheckResult::Departed => {
            record_departure(core, &known.identity);
        }
        CheckResult::Replaced | CheckResult::NotAccepting | CheckResult::NoAnswer => return,
    }
    publish_change(core, record_writes).await;
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
    if !record_departure(core, incarnation) {
        return;
    }
    if find_own_identity(core).is_some() || is_stored(core, incarnation) {
        publish_change(core, record_writes).await;
    } else {
        // Without a record of the incarnation there is nothing to be stored.
        share_departure(core, incarnation).await;
    }
}

fn is_stored(core: &ProxyCore, incarnation: &IncarnationId) -> bool {
    let stored = core.stored_record.borrow();
    stored
        .as_ref()
        .is_some_and(|stored| stored.incarnation == *incarnation)
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
    if is_record_withheld(core) {
        return;
    }
    let record = build_own_record(core).or_else(|| build_departed_record(core));
    let Some(record) = record else {
        return;
    };
    set_slot_limit(core, compute_slot_limit(record.slots));
    core.directory.borrow_mut().apply_own_record(record.clone());
    if core.stored_record.borrow().as_ref() == Some(&record) {
        return;
    }
    let departed = record.leaving.then(|| record.incarnation.clone());
    let (done, recorded) = flume::bounded(1);
    if record_writes.send(RecordWrite { record, done }).is_err() {
        return;
    }
    let timeout = core.timers.after(STORE_TIMEOUT);
    tokio::select! {
        _ = recorded.recv_async() => {}
        _ = timeout.recv_async() => if let Some(incarnation) = departed {
            share_departure(core, &incarnation).await;
        }
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
        return;
    }
    if !unknown || unchanged {
        return;
    }
    let source = IncarnationSource::StoredRecord;
    let result = check_incarnation(core, &record.service, &record.incarnation, source).await;
    if result == CheckResult::Departed && record_departure(core, &record.incarnation) {
        core.own_record_changed.notify_one();
    }
    if result == CheckResult::Confirmed {
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

/// Builds the record of this node from the stored one, after the incarnation in it has left or was replaced.
fn build_departed_record(core: &ProxyCore) -> Option<NodeRecord> {
    let stored = core.stored_record.borrow().clone()?;
    let has_ended = core.local_upstream.borrow().has_ended(&stored.incarnation);
    has_ended.then_some(NodeRecord {
        leaving: true,
        ..stored
    })
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
