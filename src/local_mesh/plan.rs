//! Plan of a local mesh: its nodes, upstreams and configuration.

use crate::state::{
    configuration::Configuration,
    names::{AvailabilityZoneName, NodeName, ServiceName},
};
use camphorturn_stand_ins::upstream::ServiceTime;

/// A node with its upstream.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Name of the node and instance id of the upstream.
    pub name: NodeName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Maximum number of requests that the upstream runs at the same time.
    pub slots: u16,
    /// Seed of the random service times of the upstream.
    pub seed: u64,
    /// Service times of the upstream by path.
    pub service_times: Vec<ServiceTime>,
}

/// All nodes of a mesh and its first configuration.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// Configuration that is in force at the start, as version 1.
    pub configuration: Configuration,
    /// Nodes, each with its upstream.
    pub nodes: Vec<NodePlan>,
}

/// A service, from which [`NodePlan`]s are built.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of slots of each upstream.
    pub slots: u16,
    /// Availability zones to which the upstreams are assigned in turn.
    pub availability_zones: Vec<AvailabilityZoneName>,
    /// Service times of the upstreams by path.
    pub service_times: Vec<ServiceTime>,
}

impl ServicePlan {
    /// Builds the nodes of the service, named `SERVICE-1`, `SERVICE-2` and so on. `seed` makes their service times
    /// reproducible.
    #[must_use]
    pub fn build_nodes(&self, seed: u64) -> Vec<NodePlan> {
        let numbers = 1..=self.upstreams;
        let zones = self.availability_zones.iter().cycle();
        let build = |(number, zone): (usize, &AvailabilityZoneName)| NodePlan {
            name: NodeName::from(format!("{}-{number}", self.service).as_str()),
            service: self.service.clone(),
            availability_zone: zone.clone(),
            slots: self.slots,
            seed: seed.wrapping_mul(1_000).wrapping_add(number as u64),
            service_times: self.service_times.clone(),
        };
        numbers.zip(zones).map(build).collect()
    }
}
