//! What a local mesh consists of.

use crate::state::{
    configuration::Configuration,
    names::{AvailabilityZoneName, NodeName, ServiceName},
};
use camphorturn_stand_ins::upstream::ServiceTime;

/// One node with its upstream.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Name of both.
    pub name: NodeName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Requests the upstream runs at once.
    pub slots: u16,
    /// Seed of its service times.
    pub seed: u64,
    /// Service times by path.
    pub service_times: Vec<ServiceTime>,
}

/// A whole mesh.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// The configuration that is in force first.
    pub configuration: Configuration,
    /// The nodes.
    pub nodes: Vec<NodePlan>,
}

/// One service of a [`MeshPlan`], for building it.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u16,
    /// Availability zones that the upstreams are spread over.
    pub availability_zones: Vec<AvailabilityZoneName>,
    /// Service times by path.
    pub service_times: Vec<ServiceTime>,
}

impl ServicePlan {
    /// The nodes of the service, named `SERVICE-1` and on.
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
