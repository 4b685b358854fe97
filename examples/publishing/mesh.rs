//! Time from `publish` until a version is in force at every node of a local mesh.

use camphorturn::{
    commands::publish::{PublishOptions, run_publish},
    coordination::publishing::{PublishOutcome, PublishRequest},
    local_mesh::{
        LocalMesh,
        plan::{LOCAL_STREAM, MeshPlan, ServicePlan},
        ready::{wait_for_all, wait_until_ready},
    },
    state::names::{AvailabilityZoneName, RegionName, ServiceName},
    timers::TimerService,
    transport::platform::{LogClient, LogTimeouts},
};
use std::{io, time::Duration};

/// Longest wait for a mesh to be ready, and for a version to be in force.
const LIMIT: Duration = Duration::from_mins(1);
/// Slots of every upstream; no calls are made.
const SLOTS: u16 = 4;

/// Starts a mesh and publishes `rounds` times; gives the sorted times until all nodes had the version.
/// Nodes are asked one after the other, every 20 ms at most, which adds to the times.
pub fn measure_mesh(nodes: usize, rounds: usize) -> io::Result<Vec<Duration>> {
    let service = ServicePlan {
        service: ServiceName::from("dock"),
        upstreams: nodes,
        slots: SLOTS,
        region: RegionName::from("qc-east"),
        availability_zones: vec![AvailabilityZoneName::from("qc-east-a")],
        service_times: Vec::new(),
    };
    let plan = MeshPlan {
        configuration: super::content(1),
        nodes: service.nodes(1),
    };
    let mesh = LocalMesh::start(&plan).map_err(io::Error::other)?;
    if !wait_until_ready(&mesh, LIMIT) {
        return Err(io::Error::other("the mesh was not ready in time"));
    }
    let mut spans = (0..rounds)
        .map(|round| publish(&mesh, round))
        .collect::<io::Result<Vec<Duration>>>()?;
    spans.sort_unstable();
    Ok(spans)
}

fn publish(mesh: &LocalMesh, round: usize) -> io::Result<Duration> {
    let timers = TimerService::system();
    let began = timers.now();
    let client = LogClient::new(&mesh.log.url(), LOCAL_STREAM, LogTimeouts::default());
    let options = PublishOptions {
        request: PublishRequest {
            id: None,
            author: "bench".to_owned(),
            note: String::new(),
            based_on: None,
            content: super::content(u32::try_from(round).unwrap_or(0) + 2),
        },
        limit: LIMIT,
        wait: None,
    };
    let report = run_publish(&options, &client, &timers);
    let PublishOutcome::Accepted { version, .. } = report.outcome else {
        return Err(io::Error::other(report.to_string()));
    };
    let everywhere = wait_for_all(mesh, LIMIT, |status| {
        status.configuration_version >= version
    });
    let took = timers.now().since(began);
    timers.stop();
    everywhere
        .then_some(took)
        .ok_or(io::Error::other("not in force everywhere in time"))
}
