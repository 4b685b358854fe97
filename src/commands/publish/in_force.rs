//! Waits until a configuration version is in force at all nodes.

use crate::{
    commands::mesh::{MeshSurvey, survey_nodes},
    state::configuration::ConfigurationVersion,
    timers::TimerService,
    transport::operators::client::OperatorClient,
};
use serde::Serialize;
use std::{fmt, net::SocketAddr, time::Duration};

/// Time between two queries of the nodes.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Last answer of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeAnswer {
    /// Name of the node, or its address.
    pub node: String,
    /// Version that the node has in force, if it answered.
    pub version: Option<ConfigurationVersion>,
    /// Error message, if the node did not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Nodes at which a version is in force, and nodes at which it is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// Nodes that have the version or a later one.
    pub in_force: Vec<NodeAnswer>,
    /// Nodes that answered with an earlier one.
    pub behind: Vec<NodeAnswer>,
    /// Nodes that could not be reached.
    pub not_reached: Vec<NodeAnswer>,
    /// Time spent waiting, in milliseconds.
    pub waited_ms: u64,
}

impl InForceReport {
    /// Whether every known node has the version.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.not_reached.is_empty()
    }

    fn build(survey: &MeshSurvey, version: ConfigurationVersion, waited: Duration) -> Self {
        let reached = survey.reached.iter().map(|node| NodeAnswer {
            node: node.label(),
            version: Some(node.status.version),
            error: None,
        });
        let (in_force, behind) = reached.partition(|answer| answer.version >= Some(version));
        let unreached = survey.unreached.iter().filter(|node| !node.leaving);
        Self {
            in_force,
            behind,
            not_reached: unreached
                .map(|node| NodeAnswer {
                    node: node.label(),
                    version: None,
                    error: Some(node.problem.clone()),
                })
                .collect(),
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl fmt::Display for InForceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.in_force.len();
        writeln!(f, "in force at {count} nodes after {} ms", self.waited_ms)?;
        for answer in &self.behind {
            let version = answer.version.unwrap_or_default();
            writeln!(f, "  still at version {}: {}", version.0, answer.node)?;
        }
        for answer in &self.not_reached {
            let error = answer.error.as_deref().unwrap_or("no answer");
            writeln!(f, "  not reached: {} ({error})", answer.node)?;
        }
        Ok(())
    }
}

/// Queries all nodes until each has `version` or a later one, or until `limit` has passed.
#[must_use]
pub fn wait_until_in_force(
    client: &OperatorClient,
    seeds: &[SocketAddr],
    version: ConfigurationVersion,
    limit: Duration,
    timers: &TimerService,
) -> InForceReport {
    let began = timers.now();
    let ticks = timers.every(QUERY_INTERVAL);
    loop {
        let survey = survey_nodes(client, seeds);
        let waited = timers.now().since(began);
        let report = InForceReport::build(&survey, version, waited);
        if report.is_everywhere() || waited >= limit {
            return report;
        }
        // The timer service lives as long as the process, so `recv` doesn't fail.
        let _ = ticks.recv();
    }
}
