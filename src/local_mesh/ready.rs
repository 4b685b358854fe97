//! Asks the nodes of a local mesh what they know.

use crate::{
    local_mesh::{LOCAL_TOKEN, LocalMesh},
    protocol::operator_views::NodeStatus,
    state::moment::Moment,
    timers::TimerService,
};
use std::{net::SocketAddr, time::Duration};

/// How often nodes are asked.
const ASK_PERIOD: Duration = Duration::from_millis(20);
/// How long a node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Probes sent and what they cost, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeasuringTotals {
    /// Probes.
    pub probes: u64,
    /// Bytes of probes and their answers.
    pub bytes: u64,
}

/// What a node says of itself; none if it can't be reached.
#[must_use]
pub fn ask_status(operators: SocketAddr) -> Option<NodeStatus> {
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
    let wanted = mesh.operator_addresses().len();
    let knows_all = |status: &NodeStatus| {
        status.configuration_version.0 > 0 && status.members.len() + 1 >= wanted
    };
    wait_for_all(mesh, timeout, knows_all)
}

/// Waits until `holds` is true of every running node's status.
pub fn wait_for_all(
    mesh: &LocalMesh,
    timeout: Duration,
    holds: impl Fn(&NodeStatus) -> bool,
) -> bool {
    let timers = TimerService::system();
    let ticks = timers.every(ASK_PERIOD);
    let addresses = mesh.operator_addresses();
    let mut ready = false;
    while !ready && timers.now().since(Moment::default()) < timeout {
        ready = addresses
            .iter()
            .all(|address| ask_status(*address).is_some_and(|s| holds(&s)));
        let _ = ticks.recv();
    }
    timers.stop();
    ready
}

impl LocalMesh {
    /// What measuring has cost so far.
    #[must_use]
    pub fn measuring_totals(&self) -> MeasuringTotals {
        let mut totals = MeasuringTotals::default();
        for address in self.operator_addresses() {
            let budgets = ask_status(address)
                .map(|status| status.budgets)
                .unwrap_or_default();
            for budget in budgets {
                totals.probes += budget.probes;
                totals.bytes += budget.probe_bytes;
            }
        }
        totals
    }
}
