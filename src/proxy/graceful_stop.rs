//! Graceful stop of a node. The local upstream gets new requests for a short time; the process ends once its clients have left, all
//! requests have ended and their answers are sent, at the latest shortly before it is killed.

use crate::{
    proxy::{
        core::ProxyCore,
        events::{ProxyEvent, in_millis},
    },
    state::timestamp::Timestamp,
};
use std::{rc::Rc, time::Duration};

/// Time after which clients have stopped sending requests. They check readiness each second and stop after the second failed check.
const CLIENT_DEPARTURE_TIME: Duration = Duration::from_millis(2_500);
/// How long a stopping node sends new requests to its local upstream. No other node can do so, and the process stays for its clients
/// anyway. The remaining time is for requests in progress.
const ACCEPTING_TIME: Duration = Duration::from_secs(2);
/// Time before the kill at which the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Interval of the checks whether all requests have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the upstream may get a new request that ends within `time_left`. A request that can't end before the process is killed
/// would be aborted.
#[must_use]
pub fn accepts_work(core: &ProxyCore, time_left: Duration) -> bool {
    let Some(since) = core.stopping_since.get() else {
        return true;
    };
    let stopping_for = core.timers.now().since(since);
    let latest = core.limits().shutdown_grace.saturating_sub(KILL_MARGIN);
    stopping_for <= ACCEPTING_TIME && stopping_for + time_left <= latest
}

/// Stops the node: waits until its work is done or the grace period is nearly over.
pub async fn stop_gracefully(core: &Rc<ProxyCore>) {
    let since = core.timers.now();
    core.stopping_since.set(Some(since));
    core.log(&ProxyEvent::StopRequested {
        in_progress: core.in_progress.get(),
        running: core.slots.load().running,
    });
    let latest = core
        .timers
        .after(core.limits().shutdown_grace.saturating_sub(KILL_MARGIN));
    tokio::select! {
        () = finish_work(core, since) => {}
        _ = latest.recv_async() => {}
    }
    core.log(&ProxyEvent::NodeStopped {
        in_progress: core.in_progress.get(),
        unanswered: core.request_connections.open(),
        took_ms: in_millis(core.timers.now().since(since)),
    });
}

/// Returns once all requests have ended and their answers are sent. A request that ends here may still have to be received in full by
/// a slow client.
async fn finish_work(core: &Rc<ProxyCore>, since: Timestamp) {
    // The upstream sends the calls of its requests to this node, which therefore accepts connections until no request runs there.
    while !have_requests_ended(core, since) {
        let _ = core.timers.after(CHECK_INTERVAL).recv_async().await;
    }
    core.request_connections.shut_down().await;
    core.endpoint_connections.shut_down().await;
}

fn have_requests_ended(core: &ProxyCore, since: Timestamp) -> bool {
    let clients_have_left = core.timers.now().since(since) >= CLIENT_DEPARTURE_TIME;
    clients_have_left && core.in_progress.get() == 0 && core.slots.load().running == 0
}
