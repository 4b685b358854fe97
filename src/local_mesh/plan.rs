//! What a local mesh consists of.

use crate::{
    local_mesh::{LOCAL_KEY, LOCAL_TOKEN, LocalMeshError},
    options::node_settings::NodeSettings,
    state::{
        configuration::{Configuration, ConfigurationVersion},
        log_record::{LogRecord, LogRecordKind, Publication, RecordId, encode_record},
        names::{AvailabilityZoneName, NodeName, RegionName, ServiceName},
    },
};
use camphorturn_stand_ins::{log_service::LogService, upstream::UpstreamSettings};
use serde_json::json;
use std::net::SocketAddr;
use uuid::Uuid;

/// Stream of the stand-in log that a local mesh uses.
pub const LOCAL_STREAM: &str = "camphorturn";

/// Time of one kind of call at a stand-in upstream.
#[derive(Clone, Debug)]
pub struct ServiceTimePlan {
    /// Start of the paths it holds for.
    pub path_prefix: String,
    /// Median in microseconds.
    pub median_micros: u64,
    /// Spread of the logarithm: 0 is constant, 0.5 has a long tail.
    pub spread: f64,
}

/// One node with its upstream.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Name of both.
    pub name: NodeName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Calls the upstream runs at once.
    pub slots: u16,
    /// Seed of its service times.
    pub seed: u64,
    /// Service times by path.
    pub service_times: Vec<ServiceTimePlan>,
}

/// A whole mesh.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// The configuration that is published first.
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
    /// Region.
    pub region: RegionName,
    /// Availability zones that the upstreams are spread over.
    pub availability_zones: Vec<AvailabilityZoneName>,
    /// Service times by path.
    pub service_times: Vec<ServiceTimePlan>,
}

impl ServicePlan {
    /// The nodes of the service, named `SERVICE-1` and on.
    #[must_use]
    pub fn nodes(&self, seed: u64) -> Vec<NodePlan> {
        let numbers = 1..=self.upstreams;
        let zones = self.availability_zones.iter().cycle();
        let build = |(number, zone): (usize, &AvailabilityZoneName)| NodePlan {
            name: NodeName::from(format!("{}-{number}", self.service).as_str()),
            service: self.service.clone(),
            region: self.region.clone(),
            availability_zone: zone.clone(),
            slots: self.slots,
            seed: seed.wrapping_mul(1_000).wrapping_add(number as u64),
            service_times: self.service_times.clone(),
        };
        numbers.zip(zones).map(build).collect()
    }
}

impl NodePlan {
    /// Settings of the stand-in upstream.
    #[must_use]
    pub fn upstream_settings(&self) -> UpstreamSettings {
        let slots = usize::from(self.slots);
        let settings = UpstreamSettings::new(self.name.as_str(), slots, self.seed);
        let add = |settings: UpstreamSettings, time: &ServiceTimePlan| {
            settings.with_service_time(&time.path_prefix, time.median_micros, time.spread)
        };
        self.service_times.iter().fold(settings, add)
    }

    /// Settings of the node, on free loopback ports.
    ///
    /// # Errors
    /// Only if the settings' schema and this function disagree.
    pub fn node_settings(
        &self,
        upstream: SocketAddr,
        log: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<NodeSettings, LocalMeshError> {
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "node": {
                "name": self.name,
                "region": self.region,
                "availability_zone": self.availability_zone,
            },
            "callers": { "listen": any_port },
            "peers": { "listen": any_port, "shared_key": LOCAL_KEY, "seeds": seeds },
            "operators": { "listen": any_port, "token": LOCAL_TOKEN },
            "upstream": {
                "service": self.service,
                "address": upstream,
                "slots": self.slots,
                "announced": true,
            },
            "platform_log": { "address": log, "stream": LOCAL_STREAM, "poll_ms": 500 },
        });
        Ok(serde_json::from_value(settings)?)
    }
}

/// Appends the configuration to the stand-in log, as version 1.
///
/// # Errors
/// If the configuration can't be encoded.
pub fn publish_first(
    log: &LogService,
    configuration: &Configuration,
) -> Result<(), LocalMeshError> {
    let publication = Publication {
        author: "local mesh".to_owned(),
        note: "first configuration".to_owned(),
        based_on: ConfigurationVersion::default(),
        content: configuration.clone(),
    };
    let record = LogRecord {
        id: RecordId(Uuid::now_v7()),
        kind: LogRecordKind::Publish(publication),
    };
    log.store(LOCAL_STREAM, &encode_record(&record)?);
    Ok(())
}
