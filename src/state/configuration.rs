//! The configuration that operators publish: services, their classes and budgets.

use crate::state::{
    class::Class,
    names::{ClassName, ServiceName},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Which rule chooses an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// Any upstream, evenly.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The least load by the last report.
    LeastReported,
    /// The better of two at random, by the last report.
    TwoChoices,
    /// The better of two at random, by a peak-sensitive moving average of latency.
    #[default]
    TwoChoicesPeak,
    /// A pool of recent reports with a hot/cold rule.
    ProbePool,
}

/// The most that measuring upstreams may cost, each a hard limit for one node and one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuringBudget {
    /// Probes a second.
    pub probes_per_second: f64,
    /// Bytes of probes and their answers a second.
    pub bytes_per_second: f64,
    /// Probes as a share of the calls this node sends, from 0 to 1.
    pub capacity_share: f64,
}

impl Default for MeasuringBudget {
    fn default() -> Self {
        Self {
            probes_per_second: 5.0,
            bytes_per_second: 1_000.0,
            capacity_share: 0.01,
        }
    }
}

const fn default_retry_share() -> f64 {
    0.1
}

/// One service as published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique in the configuration; `/NAME/` as path prefix selects the service too.
    pub name: ServiceName,
    /// Values of the Host header (without port) that select the service.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// How an upstream is chosen.
    #[serde(default)]
    pub policy: PolicyName,
    /// What measuring may cost.
    #[serde(default)]
    pub measuring: MeasuringBudget,
    /// Second attempts as a share of calls, from 0 to 1.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Classes, in the order in which their rules are tried.
    pub classes: Vec<Class>,
}

impl Service {
    /// A service without classes, all else at its default.
    #[must_use]
    pub fn named(name: ServiceName) -> Self {
        Self {
            name,
            hosts: Vec::new(),
            policy: PolicyName::default(),
            measuring: MeasuringBudget::default(),
            retry_share: default_retry_share(),
            classes: Vec::new(),
        }
    }

    /// The shortest target time of its classes.
    #[must_use]
    pub fn strictest_target(&self) -> Duration {
        let targets = self.classes.iter().map(|class| class.target.latency());
        targets.min().unwrap_or_default()
    }

    /// The class of that name.
    #[must_use]
    pub fn find_class(&self, name: &ClassName) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == *name)
    }
}

/// The whole published content.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// All services.
    pub services: Vec<Service>,
}

impl Configuration {
    /// The service of that name.
    #[must_use]
    pub fn find_service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

/// A count of accepted publications; 0 is the empty configuration before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);
