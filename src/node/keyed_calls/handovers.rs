//! Keys of slots that moved: sent to their next owner, and taken from their former one.

use crate::{
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{Handover, HandoverAnswer, HandoverDue, SlotHandover},
    },
    node::{
        core::NodeCore,
        keyed_calls::{as_owner, wait_for_change},
    },
    state::{key_table::key::Slot, member::Member, moment::Moment, ownership::Owner},
};
use std::{rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// How long runs of keys that move are waited for. All keys of the slots wait meanwhile at the next
/// owner; a run that takes longer is handed over as unknown, and its repeats are told so.
const RUNS_BOUND: Duration = Duration::from_secs(1);
/// How long sending is tried: after that the next owner starts without.
const SEND_BOUND: Duration = Duration::from_secs(5);
/// How long after an answer that was too early, or none, a slot is sent again.
const SEND_AGAIN_AFTER: Duration = Duration::from_millis(20);

/// Sends what is due to the next owners, each on its own.
pub fn send_handovers(core: &Rc<NodeCore>, due: Vec<HandoverDue>) {
    for one in due {
        let under_way = Rc::clone(&core.keyed.handovers);
        let core = Rc::clone(core);
        spawn_local(async move {
            send_handover(&core, one).await;
            drop(under_way);
        });
    }
}

/// Takes a slot over from its former owner.
pub fn take_handover(
    core: &NodeCore,
    from: &Member,
    handover: SlotHandover<HeldAnswer>,
) -> HandoverAnswer {
    let handover = Handover {
        from: as_owner(from),
        epoch: handover.epoch,
        slots: vec![handover.slot],
    };
    let mut directory = core.keyed.directory.borrow_mut();
    let answer = directory.own_mut().on_handover(handover);
    drop(directory);
    core.keyed.wake();
    answer
}

/// Whether this node owns no key and has told the next owners all that it knew.
///
/// While the log can't be read no other owners can be named: a stopping node does not wait for that.
#[must_use]
pub fn has_handed_over(core: &NodeCore) -> bool {
    let directory = core.keyed.directory.borrow();
    let own = directory.own();
    let owns = own.view().is_owner(own.me()) && core.log_failures.get() == 0;
    !owns && Rc::strong_count(&core.keyed.handovers) == 1
}

async fn send_handover(core: &Rc<NodeCore>, due: HandoverDue) {
    wait_for_runs(core, &due.slots).await;
    let until = core.timers.now() + SEND_BOUND;
    for slot in &due.slots {
        send_slot(core, &due, *slot, until).await;
    }
}

async fn wait_for_runs(core: &NodeCore, slots: &[Slot]) {
    let until = core.timers.now() + RUNS_BOUND;
    loop {
        let changed = core.keyed.changed.notified();
        let now = core.timers.now();
        let running = has_runs(core, slots);
        if !running || now >= until {
            return;
        }
        wait_for_change(core, changed, until, now).await;
    }
}

fn has_runs(core: &NodeCore, slots: &[Slot]) -> bool {
    let directory = core.keyed.directory.borrow();
    directory.own().table().has_runs(slots)
}

async fn send_slot(core: &NodeCore, due: &HandoverDue, slot: Slot, until: Moment) {
    let exported = {
        let directory = core.keyed.directory.borrow();
        directory.own().table().export(slot)
    };
    let handover = SlotHandover {
        epoch: due.epoch,
        slot: exported,
    };
    while core.timers.now() < until {
        let Some(to) = find_owner(core, &due.to) else {
            return;
        };
        let Some(peers) = core.peers.get() else {
            return;
        };
        match peers.hand_over(&to, handover.clone()).await {
            Ok(HandoverAnswer::Taken | HandoverAnswer::Stale) => return,
            Ok(HandoverAnswer::Early) => {}
            Err(error) => tracing::debug!(%error, node = %to.name, "handover not answered"),
        }
        let _ = core.timers.after(SEND_AGAIN_AFTER).recv_async().await;
    }
    tracing::warn!(node = %due.to.node, slot = slot.0, "slot not handed over in time");
}

/// The member that is this owner; none if it has gone or restarted.
pub(super) fn find_owner(core: &NodeCore, owner: &Owner) -> Option<Member> {
    let member = core.find_member(&owner.node)?;
    (member.incarnation == owner.incarnation).then_some(member)
}
