//! Waits until the nodes of a local mesh report a given status.

use crate::{
    local_mesh::{LOCAL_TOKEN, LocalMesh},
    protocol::operator_views::NodeStatus,
    state::timestamp::Timestamp,
    timers::TimerService,
};
use std::{net::SocketAddr, time::Duration};

/// Interval at which the status of the nodes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one status request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the status of a node. Returns none if the node can't be reached or its answer is not valid.
#[must_use]
pub fn fetch_status(operator_address: SocketAddr) -> Option<NodeStatus> {
    let answer = attohttpc::get(format!("http://{operator_address}/status"))
        .bearer_auth(LOCAL_TOKEN)
        .timeout(ANSWER_TIMEOUT)
        .send()
        .ok()?;
    answer.json().ok()
}

/// Waits until every node is ready, knows its upstream and knows all other nodes. Returns false after the timeout.
#[must_use]
pub fn wait_until_ready(mesh: &LocalMesh, timeout: Duration) -> bool {
    let others = mesh.nodes.len() - 1;
    wait_for_all(mesh, timeout, |status| {
        status.ready && status.upstream.is_some() && status.peers.len() >= others
    })
}

/// Waits until `is_satisfied` returns true for the status of every node. Returns false after the timeout.
pub fn wait_for_all(
    mesh: &LocalMesh,
    timeout: Duration,
    is_satisfied: impl Fn(&NodeStatus) -> bool,
) -> bool {
    let timers = TimerService::system();
    let ticks = timers.every(POLL_INTERVAL);
    let addresses = mesh.operator_addresses();
    let mut ready = false;
    while !ready && timers.now().since(Timestamp::default()) < timeout {
        ready = addresses
            .iter()
            .all(|address| fetch_status(*address).is_some_and(|status| is_satisfied(&status)));
        // `recv` fails only once the timer service has been stopped, which happens below.
        let _ = ticks.recv();
    }
    timers.stop();
    ready
}
