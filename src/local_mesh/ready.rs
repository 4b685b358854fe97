//! Asks the nodes of a local mesh what they know.

use crate::{
    local_mesh::{LOCAL_TOKEN, LocalMesh},
    protocol::operator_views::NodeStatus,
    state::timestamp::Timestamp,
    timers::TimerService,
};
use std::{net::SocketAddr, time::Duration};

/// How often nodes are asked.
const ASK_PERIOD: Duration = Duration::from_millis(20);
/// How long a node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node says of itself; none if it can't be reached.
#[must_use]
pub fn fetch_status(operators: SocketAddr) -> Option<NodeStatus> {
    let answer = attohttpc::get(format!("http://{operators}/status"))
        .bearer_auth(LOCAL_TOKEN)
        .timeout(ANSWER_TIMEOUT)
        .send()
        .ok()?;
    answer.json().ok()
}

/// Waits until every node has a configuration and knows all nodes of the mesh.
#[must_use]
pub fn wait_until_ready(mesh: &LocalMesh, timeout: Duration) -> bool {
    let others = mesh.nodes.len() - 1;
    wait_for_all(mesh, timeout, |status| {
        status.ready && status.upstream.is_some() && status.peers.len() >= others
    })
}

/// Waits until `holds` is true of every node's status.
pub fn wait_for_all(
    mesh: &LocalMesh,
    timeout: Duration,
    holds: impl Fn(&NodeStatus) -> bool,
) -> bool {
    let timers = TimerService::system();
    let ticks = timers.every(ASK_PERIOD);
    let addresses = mesh.operator_addresses();
    let mut ready = false;
    while !ready && timers.now().since(Timestamp::default()) < timeout {
        ready = addresses
            .iter()
            .all(|address| fetch_status(*address).is_some_and(|status| holds(&status)));
        // The service runs until it is stopped below.
        let _ = ticks.recv();
    }
    timers.stop();
    ready
}
