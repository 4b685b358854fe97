//! What idle nodes cost: real ones, several in this process, with a stand-in log and upstreams.

use crate::{
    memory::{float, processor_time, resident_bytes},
    samples::new_configuration,
};
use camphorturn::{
    local_mesh::{
        LocalMesh,
        plan::{MeshPlan, ServicePlan},
        ready::wait_until_ready,
    },
    state::names::{AvailabilityZoneName, RegionName, ServiceName},
    timers::TimerService,
};
use serde::Serialize;
use std::time::Duration;

/// Services of the mesh, with half of the nodes each.
const SERVICES: usize = 2;
/// Longest wait until all nodes know each other.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after that until news has been passed on.
const SETTLING: Duration = Duration::from_secs(10);
/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(10);

/// Cost of an idle mesh of so many nodes, stand-ins included.
#[derive(Debug, Serialize)]
pub struct NodeCost {
    nodes: usize,
    /// Whether all nodes knew each other and a configuration in time.
    ready: bool,
    /// Processor time of one node and its stand-ins for one second, in microseconds.
    processor_micros: f64,
    /// Growth of the process for one node and its stand-ins.
    bytes: f64,
}

/// Measures so many nodes.
pub fn measure(nodes: usize) -> NodeCost {
    let timers = TimerService::system();
    let before = resident_bytes();
    let mesh = LocalMesh::start(&new_plan(nodes)).expect("free ports");
    let ready = wait_until_ready(&mesh, READY_TIMEOUT);
    wait(&timers, SETTLING);
    let grown = resident_bytes().saturating_sub(before);
    let start = processor_time();
    wait(&timers, MEASURED);
    let used = processor_time().saturating_sub(start);
    timers.stop();
    NodeCost {
        nodes,
        ready,
        processor_micros: used.as_secs_f64() * 1e6 / MEASURED.as_secs_f64() / float(nodes),
        bytes: float(usize::try_from(grown).expect("fits")) / float(nodes),
    }
}

fn wait(timers: &TimerService, span: Duration) {
    timers.after(span).recv().expect("the service runs");
}

fn new_plan(nodes: usize) -> MeshPlan {
    let zones = ["yxe-a", "yxe-b", "yqr-a"].map(AvailabilityZoneName::from);
    let services = (0..SERVICES).map(|number| ServicePlan {
        service: ServiceName::from(format!("service-{number:03}").as_str()),
        upstreams: nodes.div_ceil(SERVICES),
        slots: 6,
        region: RegionName::from("prairie-west"),
        availability_zones: zones.to_vec(),
        service_times: Vec::new(),
    });
    let mut planned: Vec<_> = services.flat_map(|service| service.nodes(1)).collect();
    planned.truncate(nodes);
    MeshPlan {
        configuration: new_configuration(SERVICES),
        nodes: planned,
    }
}
