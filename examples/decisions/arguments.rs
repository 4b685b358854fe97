//! Command line of the measurement.

use super::scenario::Scenario;
use bpaf::Bpaf;
use camphorturn::state::configuration::PolicyName;
use std::path::PathBuf;

/// Measures the routing policies against each other on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(arguments_parser))]
pub struct Arguments {
    /// Print the report as JSON
    pub json: bool,
    /// Only this scenario; may be given more than once
    #[bpaf(long("scenario"), argument("NAME"))]
    pub scenario: Vec<Scenario>,
    /// Seed of calls, service times and events
    #[bpaf(argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Length of a block in seconds
    #[bpaf(argument("SECONDS"), fallback(3))]
    pub seconds: u64,
    /// Blocks of each policy in each scenario
    #[bpaf(argument("COUNT"), fallback(3))]
    pub blocks: u64,
    /// Only this policy; may be given more than once
    #[bpaf(argument("NAME"))]
    pub policy: Vec<PolicyArgument>,
    /// Write plots as SVG into this directory
    #[bpaf(argument("DIRECTORY"), optional)]
    pub plots: Option<PathBuf>,
}

/// A policy by the name that configurations use.
#[derive(Clone, Copy, Debug)]
pub struct PolicyArgument(pub PolicyName);

impl std::str::FromStr for PolicyArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let value = serde_json::Value::String(text.to_owned());
        serde_json::from_value(value)
            .map(Self)
            .map_err(|e| e.to_string())
    }
}

/// All policies, plain ones first.
const POLICIES: [PolicyName; 6] = [
    PolicyName::Random,
    PolicyName::RoundRobin,
    PolicyName::LeastReported,
    PolicyName::TwoChoices,
    PolicyName::TwoChoicesPeak,
    PolicyName::ProbePool,
];

impl Arguments {
    /// The scenarios to run.
    #[must_use]
    pub fn scenarios(&self) -> Vec<Scenario> {
        if self.scenario.is_empty() {
            Scenario::ALL.to_vec()
        } else {
            self.scenario.clone()
        }
    }

    /// The policies to compare.
    #[must_use]
    pub fn policies(&self) -> Vec<PolicyName> {
        if self.policy.is_empty() {
            POLICIES.to_vec()
        } else {
            self.policy.iter().map(|argument| argument.0).collect()
        }
    }
}

/// Reads the command line, or prints help and ends the process.
pub fn read_arguments() -> Arguments {
    arguments_parser().run()
}
