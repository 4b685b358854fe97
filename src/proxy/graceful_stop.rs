//! A planned stop: the upstream gets work until its clients have gone, what runs is ended.

use crate::{
    proxy::{
        core::ProxyCore,
        events::{ProxyEvent, in_millis},
    },
    state::timestamp::Timestamp,
};
use std::{rc::Rc, time::Duration};

/// Clients notice that a node is not ready at the second question, one each second, and may send
/// until then.
const CLIENTS_LEAVE: Duration = Duration::from_millis(2_500);
/// How long a stopping node gives its upstream new work: nothing else can, and the process stays for its
/// clients anyway. The rest of their time is for what runs.
const WORK_TAKEN: Duration = Duration::from_secs(2);
/// Time before the process is killed at which it ends by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// How often to look whether all has ended.
const STEP: Duration = Duration::from_millis(50);

/// Looks in a row that find nothing in progress. An answer counts as ended when it is handed to its
/// connection; one look later it is written.
const IDLE_LOOKS: u32 = 3;

/// Whether work may be given to the upstream that is to end within `time_left`. What can't end before the
/// process is killed would be cut off.
#[must_use]
pub fn accepts_work(core: &ProxyCore, time_left: Duration) -> bool {
    let Some(since) = core.stopping_since.get() else {
        return true;
    };
    let stopping = core.timers.now().since(since);
    let latest = core.limits().grace.saturating_sub(MARGIN);
    stopping <= WORK_TAKEN && stopping + time_left <= latest
}

/// Stops the node.
pub async fn stop_gracefully(core: &Rc<ProxyCore>) {
    let since = core.timers.now();
    core.stopping_since.set(Some(since));
    core.log(&ProxyEvent::StopRequested {
        in_progress: core.in_progress.get(),
        running: core.slots.load().running,
    });
    let latest = since + core.limits().grace.saturating_sub(MARGIN);
    let mut idle_looks = 0;
    while idle_looks < IDLE_LOOKS && core.timers.now() < latest {
        let _ = core.timers.after(STEP).recv_async().await;
        idle_looks = if may_end(core, since) {
            idle_looks + 1
        } else {
            0
        };
    }
    core.log(&ProxyEvent::NodeStopped {
        in_progress: core.in_progress.get(),
        took_ms: in_millis(core.timers.now().since(since)),
    });
}

fn may_end(core: &ProxyCore, since: Timestamp) -> bool {
    let gone = core.timers.now().since(since) >= CLIENTS_LEAVE;
    gone && core.in_progress.get() == 0 && core.slots.load().running == 0
}
