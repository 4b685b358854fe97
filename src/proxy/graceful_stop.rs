//! Graceful stop of a node. The local upstream gets new requests for a short time; the process ends once its clients have left, all
//! requests have ended and their answers are sent, at the latest shortly before it is killed.

use crate::{
    protocol::hop::StateMessage,
    proxy::{
        core::ProxyCore,
        events::{ProxyEvent, in_millis},
        executing::{limit_requests_of, refuse_queued_requests, refuse_requests_beyond},
        state_messages::send_state,
    },
    state::timestamp::Timestamp,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// Time after which clients have stopped sending requests. They check readiness each second and stop after the second failed check.
const CLIENT_DEPARTURE_TIME: Duration = Duration::from_millis(2_500);
/// How long a stopping node sends new requests to its local upstream. No other node can do so, and the process stays for its clients
/// anyway. The remaining time is for requests in progress.
const ACCEPTING_TIME: Duration = Duration::from_secs(2);
/// Time before the kill at which the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the process at which the requests of clients end, so that their answers can still be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Interval of the checks whether all requests have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which other nodes are told how long requests may still wait there. A request may arrive there after the first message,
/// or that message may be lost.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the upstream may get a new request of `sender` that ends within `time_left`. A request that can't end before the process
/// is killed would be aborted. Requests of this node's own clients are bounded by its end wherever they run.
#[must_use]
pub fn accepts_work(core: &ProxyCore, sender: SocketAddr, time_left: Duration) -> bool {
    let Some(since) = core.stopping_since.get() else {
        return true;
    };
    let stopping_for = core.timers.now().since(since);
    let is_own = sender == core.settings.peer_address;
    let ends_in_time = is_own || stopping_for + time_left <= find_process_end(core);
    stopping_for < ACCEPTING_TIME && ends_in_time
}

/// Time from the request to stop to the end of the process.
fn find_process_end(core: &ProxyCore) -> Duration {
    core.limits().shutdown_grace.saturating_sub(KILL_MARGIN)
}

/// When the requests of clients have to end; `None` unless the node is stopping.
#[must_use]
pub fn find_requests_end(core: &ProxyCore) -> Option<Timestamp> {
    let since = core.stopping_since.get()?;
    Some(since + find_process_end(core).saturating_sub(ANSWER_MARGIN))
}

/// Stops the node: waits until its work is done or the grace period is nearly over.
pub async fn stop_gracefully(core: &Rc<ProxyCore>) {
    let since = core.timers.now();
    core.stopping_since.set(Some(since));
    core.log(&ProxyEvent::StopRequested {
        in_progress: core.in_progress.get(),
        running: core.slots.load().running,
    });
    refuse_requests_beyond(core, find_process_end(core));
    spawn_local(refuse_late_starts(Rc::clone(core)));
    spawn_local(limit_waiting_requests(Rc::clone(core)));
    let process_end = core.timers.after(find_process_end(core));
    tokio::select! {
        () = finish_work(core, since) => {}
        () = end_requests(core) => {}
        _ = process_end.recv_async() => {}
    }
    core.log(&ProxyEvent::NodeStopped {
        in_progress: core.in_progress.get(),
        unanswered: core.request_connections.open(),
        took_ms: in_millis(core.timers.now().since(since)),
    });
}

/// Returns once all requests have ended and their answers are sent.
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
    clients_have_left
        && core.in_progress.get() == 0
        && core.operator_requests.get() == 0
        && core.slots.load().running == 0
}

/// Ends the requests that are still in progress shortly before the end of the process, and returns once their answers are sent. An
/// upstream may still run them, so that their clients learn that the result is unknown.
async fn end_requests(core: &ProxyCore) {
    let limit = find_process_end(core).saturating_sub(ANSWER_MARGIN);
    let _ = core.timers.after(limit).recv_async().await;
    core.requests_end.notify_waiters();
    core.request_connections.shut_down().await;
}

/// Refuses the requests in the queue once none of them can start any more, so that they don't wait in vain.
async fn refuse_late_starts(core: Rc<ProxyCore>) {
    let _ = core.timers.after(ACCEPTING_TIME).recv_async().await;
    refuse_queued_requests(&core);
}

/// Bounds how long requests of this node wait for slots, here and at other nodes: a request that waits until the process ends would
/// get no answer. Whether it was executed is known only from the answer of the node where it waits, so that node refuses it.
async fn limit_waiting_requests(core: Rc<ProxyCore>) {
    let Some(end) = find_requests_end(&core) else {
        return;
    };
    loop {
        let limit = end.since(core.timers.now());
        for node in core.waiting_attempts.nodes_beyond(end) {
            if node == core.settings.peer_address {
                limit_requests_of(&core, node, limit);
            } else {
                spawn_local(send_limit(Rc::clone(&core), node, limit));
            }
        }
        let _ = core.timers.after(NOTICE_INTERVAL).recv_async().await;
        if core.waiting_attempts.nodes_beyond(end).is_empty() {
            return;
        }
    }
}

async fn send_limit(core: Rc<ProxyCore>, to: SocketAddr, limit: Duration) {
    let message = StateMessage {
        sender: Some(core.settings.peer_address),
        ends_in_ms: Some(in_millis(limit)),
        ..StateMessage::default()
    };
    // Sent again while requests wait there.
    let _ = send_state(&core, to, &message).await;
}
