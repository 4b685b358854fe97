//! Promises between owners, by which leases last while the log can't be read.

use crate::{
    node::{
        core::NodeCore,
        keyed_calls::{as_owner, handovers::find_owner},
    },
    state::{
        lease::{LeaseTimes, Promise},
        member::Member,
        moment::Moment,
        ownership::{EpochNumber, Owner},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// Promises are asked for once so many quarters of a lease length have passed since the last fresh
/// view. Earlier would bind all owners to the present epoch whenever news of the log is a little late.
const ASK_AFTER_QUARTERS: u32 = 3;

/// What an owner asks the others of its epoch for.
struct WantedPromises {
    epoch: EpochNumber,
    others: Vec<Owner>,
}

/// Asks all other owners for a promise if this owner's view of the log is getting old.
pub fn ask_promises(core: &Rc<NodeCore>) {
    let Some(wanted) = find_wanted(core) else {
        return;
    };
    for other in wanted.others {
        let core = Rc::clone(core);
        spawn_local(async move { ask_promise(&core, other, wanted.epoch).await });
    }
}

/// Answers another owner that asks for a promise.
pub fn give_promise(core: &NodeCore, to: &Member, epoch: EpochNumber) -> bool {
    let mut directory = core.keyed.directory.borrow_mut();
    let now = core.timers.now();
    directory.own_mut().give_promise(&as_owner(to), epoch, now)
}

fn find_wanted(core: &NodeCore) -> Option<WantedPromises> {
    let directory = core.keyed.directory.borrow();
    let own = directory.own();
    let view = own.view();
    let age = own.view_age(core.timers.now())?;
    if !view.is_owner(own.me()) || !is_useful(age, own.times()) {
        return None;
    }
    let others = view.owners().iter().filter(|owner| *owner != own.me());
    Some(WantedPromises {
        epoch: view.epoch(),
        others: others.cloned().collect(),
    })
}

/// Past the outage cover no promise makes a lease longer, and would only bind the others.
fn is_useful(age: Duration, times: LeaseTimes) -> bool {
    age >= times.lease * ASK_AFTER_QUARTERS / 4 && age < times.outage_cover
}

async fn ask_promise(core: &NodeCore, other: Owner, epoch: EpochNumber) {
    let Some(peers) = core.peers.get() else {
        return;
    };
    let Some(to) = find_owner(core, &other) else {
        return;
    };
    let asked_at: Moment = core.timers.now();
    if !matches!(peers.ask_promise(&to, epoch).await, Ok(true)) {
        return;
    }
    let promise = Promise {
        from: other,
        epoch,
        asked_at,
    };
    core.keyed
        .directory
        .borrow_mut()
        .own_mut()
        .on_promise(promise);
    core.keyed.wake();
}
