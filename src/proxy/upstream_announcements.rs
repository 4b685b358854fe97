//! Takes in what the upstream beside the node announces, and has it recorded in the store.

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

/// Longest time that an acknowledgement waits for the store. The node itself already keeps to what
/// was announced; the record only matters if it is restarted.
const STORE_PATIENCE: Duration = Duration::from_millis(400);

/// A record to be kept in the store, and where to say that it is.
#[derive(Debug)]
pub struct RecordWrite {
    /// The record of this node.
    pub record: NodeRecord,
    /// Gets a message once the store has it.
    pub done: Sender<()>,
}

/// Takes in an announcement; returns once it may be acknowledged.
pub async fn apply_announcement(
    core: &Rc<ProxyCore>,
    announcement: Announcement,
    store: &Sender<RecordWrite>,
) {
    let instance = announcement.run.instance.clone();
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
        take_change(core, store).await;
    }
}

/// Whether the upstream itself says that it is another run than the one that announces itself in place of a known one.
///
/// A word of a run that has ended may arrive late, and a node that was started since does not know that run. Were
/// it believed, the run that works would count as ended for good.
async fn is_contradicted(core: &Rc<ProxyCore>, announcement: &Announcement) -> bool {
    let known = core
        .local_upstream
        .borrow()
        .serving()
        .map(|run| run.identity.clone());
    if known.is_none_or(|known| known.instance == announcement.run.instance) {
        return false;
    }
    let told = probe_instance(core, &announcement.service).await;
    told.is_some_and(|told| told != announcement.run.instance)
}

/// The present run of the upstream beside this node.
#[must_use]
pub fn find_own_identity(core: &ProxyCore) -> Option<IncarnationId> {
    core.local_upstream
        .borrow()
        .current()
        .map(|run| run.identity.clone())
}

/// Takes in that a run of the upstream leaves; returns once it may be acknowledged.
pub async fn apply_departure(
    core: &Rc<ProxyCore>,
    run: &IncarnationId,
    store: &Sender<RecordWrite>,
) {
    let news = core.local_upstream.borrow_mut().record_departure(run);
    if news {
        core.log(&ProxyEvent::UpstreamDeparted {
            instance: run.instance.clone(),
        });
        take_change(core, store).await;
    }
}

async fn take_change(core: &Rc<ProxyCore>, store: &Sender<RecordWrite>) {
    let Some(record) = build_own_record(core) else {
        return;
    };
    set_slot_limit(core, compute_slot_limit(record.slots));
    core.directory.borrow_mut().apply_own_record(record.clone());
    if core.stored_record.borrow().as_ref() == Some(&record) {
        return;
    }
    let (done, recorded) = flume::bounded(1);
    if store.send(RecordWrite { record, done }).is_err() {
        return;
    }
    let patience = core.timers.after(STORE_PATIENCE);
    tokio::select! {
        _ = recorded.recv_async() => {}
        _ = patience.recv_async() => {}
    }
}

/// Takes in what the store holds of this node: written by an earlier run of it, or by this one.
///
/// After a restart the upstream is known from it before it announces itself again, which it does
/// only every second or two. It must confirm its identity and that it does not leave: it may have been
/// told to the earlier run that it leaves while the store was away.
pub async fn apply_stored_record(core: &Rc<ProxyCore>, record: NodeRecord) {
    let unknown = core.local_upstream.borrow().current().is_none();
    let unchanged = core.stored_record.replace(Some(record.clone())).as_ref() == Some(&record);
    if record.leaving {
        core.local_upstream
            .borrow_mut()
            .record_departure(&record.incarnation);
    } else if unknown && !unchanged && verify_incarnation(core, &record).await {
        let announcement = Announcement {
            run: record.incarnation.clone(),
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

/// The record of this node, if its upstream has announced itself.
#[must_use]
pub fn build_own_record(core: &ProxyCore) -> Option<NodeRecord> {
    let own = core.local_upstream.borrow();
    let run = own.current()?;
    Some(NodeRecord {
        name: core.settings.name.clone(),
        address: core.settings.peers,
        service: run.service.clone(),
        availability_zone: core.settings.availability_zone.clone(),
        incarnation: run.identity.clone(),
        slots: run.slots,
        leaving: run.leaving,
        operators: core.settings.operators,
    })
}
