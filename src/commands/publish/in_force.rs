//! Asks nodes which version they have.

use crate::{
    commands::mesh::{MeshSurvey, survey_nodes},
    state::configuration::ConfigurationVersion,
    timers::TimerService,
    transport::operators::client::OperatorClient,
};
use serde::Serialize;
use std::{fmt, net::SocketAddr, time::Duration};

/// Time between two questions to the nodes.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// What a node said last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeAnswer {
    /// Its name, or its address.
    pub node: String,
    /// Its version, if it answered.
    pub version: Option<ConfigurationVersion>,
    /// Why there is no version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Where a version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// Nodes that have the version or a later one.
    pub in_force: Vec<NodeAnswer>,
    /// Nodes that answered with an earlier one.
    pub behind: Vec<NodeAnswer>,
    /// Nodes that could not be asked.
    pub not_reached: Vec<NodeAnswer>,
    /// Time spent, in milliseconds.
    pub waited_ms: u64,
}

impl InForceReport {
    /// Whether every node that is known has the version.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.not_reached.is_empty()
    }

    fn read(survey: &MeshSurvey, version: ConfigurationVersion, waited: Duration) -> Self {
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

/// Asks all nodes until each has `version` or the time is up.
#[must_use]
pub fn wait_until_in_force(
    client: &OperatorClient,
    seeds: &[SocketAddr],
    version: ConfigurationVersion,
    limit: Duration,
    timers: &TimerService,
) -> InForceReport {
    let began = timers.now();
    let again = timers.every(ASK_AGAIN);
    loop {
        let survey = survey_nodes(client, seeds);
        let waited = timers.now().since(began);
        let report = InForceReport::read(&survey, version, waited);
        if report.is_everywhere() || waited >= limit {
            return report;
        }
        // The service goes only with the process.
        let _ = again.recv();
    }
}
