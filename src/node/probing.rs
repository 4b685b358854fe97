//! Probes other nodes for their load, where own calls tell too little, within the budget.

use crate::{
    coordination::measuring::PROBE_BYTES_LIMIT,
    events::event::Event,
    node::{core::NodeCore, executing::saturate_micros},
    protocol::load_report::LoadReport,
    state::names::{NodeName, ServiceName},
};
use std::{rc::Rc, time::Duration};
use tokio::task::spawn_local;

/// How often routers are asked whether a probe is worth it.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Probes until dropped.
pub async fn run_probes(core: Rc<NodeCore>) {
    let looks = core.timers.every(LOOK_PERIOD);
    while looks.recv_async().await.is_ok() {
        for (service, node) in choose_probes(&core) {
            spawn_local(probe(Rc::clone(&core), service, node));
        }
    }
}

fn choose_probes(core: &NodeCore) -> Vec<(ServiceName, NodeName)> {
    let now = core.timers.now();
    let mut routers = core.routers.borrow_mut();
    let probes = routers.iter_mut().filter_map(|(service, router)| {
        let node = router.next_probe(now)?;
        Some((service.clone(), node))
    });
    probes.collect()
}

async fn probe(core: Rc<NodeCore>, service: ServiceName, node: NodeName) {
    let sent = core.timers.now();
    core.recorder.record(
        Event::ProbeSent {
            upstream: node.clone(),
        },
        None,
    );
    let load = ask_load(&core, &node).await;
    let now = core.timers.now();
    if let Some(router) = core.routers.borrow_mut().get_mut(&service) {
        router.record_probe(&node, load, PROBE_BYTES_LIMIT, now);
    }
    let event = match load {
        Some(load) => Event::ProbeAnswered {
            upstream: node,
            running: load.running,
            queued: load.queued,
            took_micros: saturate_micros(now.since(sent)),
        },
        None => Event::ProbeFailed { upstream: node },
    };
    core.recorder.record(event, None);
}

/// A node knows the load of its own upstream without asking over the network.
async fn ask_load(core: &NodeCore, node: &NodeName) -> Option<LoadReport> {
    if *node == core.me.name {
        return Some(core.load_report());
    }
    let member = core.find_member(node)?;
    core.peers.get()?.probe(&member).await.ok()
}
