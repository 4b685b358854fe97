//! A planned stop: no new work for the upstream, clients are served by other nodes until they have
//! gone, what runs is ended.

use crate::{proxy::core::ProxyCore, state::moment::Moment};
use std::{rc::Rc, time::Duration};

/// Clients notice that a node is not ready at the second question, one each second, and may send
/// until then.
const CLIENTS_LEAVE: Duration = Duration::from_millis(2_500);
/// Time before the process is killed at which it ends by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// How often to look whether all has ended.
const STEP: Duration = Duration::from_millis(50);

/// Stops the node.
pub async fn stop_gracefully(core: &Rc<ProxyCore>) {
    core.stopping.set(true);
    let since = core.timers.now();
    tracing::info!(
        event = 430,
        in_progress = core.in_progress.get(),
        "node stops"
    );
    let latest = since + core.settings.grace.saturating_sub(MARGIN);
    while !may_end(core, since) && core.timers.now() < latest {
        let _ = core.timers.after(STEP).recv_async().await;
    }
    tracing::info!(
        event = 431,
        in_progress = core.in_progress.get(),
        "node ends"
    );
}

fn may_end(core: &ProxyCore, since: Moment) -> bool {
    let gone = core.timers.now().since(since) >= CLIENTS_LEAVE;
    gone && core.in_progress.get() == 0 && core.slots.load().running == 0
}
