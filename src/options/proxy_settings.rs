//! What a node of the routed mesh is told at its start.

use crate::{
    coordination::repeat_budget::RepeatRules,
    state::names::{AvailabilityZoneName, NodeName, ServiceName},
};
use http::HeaderName;
use std::{net::SocketAddr, time::Duration};

/// Names of the headers that clients and upstreams use. They differ between platforms; the node
/// only knows what each holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of a request; an upstream repeats it in its answer.
    pub request_id: HeaderName,
    /// Time until the deadline, in milliseconds.
    pub time_left: HeaderName,
    /// Proof that an answer is an upstream's.
    pub signature: HeaderName,
    /// Names the run of an upstream that is to run a request.
    pub target_instance: HeaderName,
    /// The run of an upstream that answered.
    pub instance: HeaderName,
    /// Service on the VM where a request began.
    pub caller_service: HeaderName,
    /// Stands on an answer to a request that was not run.
    pub not_executed: HeaderName,
    /// Load of an upstream: running, waiting, slots, slowdown in percent.
    pub load: HeaderName,
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the node.
    pub name: NodeName,
    /// Availability zone of its VM.
    pub availability_zone: AvailabilityZoneName,
    /// Where clients on the VM send requests.
    pub clients: SocketAddr,
    /// Where other nodes send requests.
    pub peers: SocketAddr,
    /// Where the upstream on the VM listens.
    pub upstream: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Bounds on repeated requests.
    pub repeats: RepeatRules,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// Header names of the platform.
    pub headers: HeaderNames,
}
