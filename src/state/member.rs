//! What nodes know of one another.

use crate::state::names::{AvailabilityZoneName, NodeName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Tells one run of a node from the next. Later runs of the same node have a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// What a node tells others of itself and its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Unique in the mesh.
    pub name: NodeName,
    /// The run of the node that this describes.
    pub incarnation: Incarnation,
    /// Service of the upstream beside the node.
    pub service: ServiceName,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneName,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where operators' tools connect.
    pub operator_address: SocketAddr,
    /// Calls the upstream can run at once.
    pub slots: u16,
}
