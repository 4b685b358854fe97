//! The report, as a table for people and as JSON.

use super::{
    arguments::Arguments,
    figures::{ClassFigures, PolicyFigures, ScenarioFigures},
};
use serde::Serialize;

/// Everything that was measured in one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Length of a block in seconds.
    pub seconds: u64,
    /// Blocks of each policy in each scenario.
    pub blocks: u64,
    /// Each scenario.
    pub scenarios: Vec<ScenarioFigures>,
}

impl Report {
    /// A report without figures.
    #[must_use]
    pub fn new(arguments: &Arguments) -> Self {
        Self {
            seed: arguments.seed,
            seconds: arguments.seconds,
            blocks: arguments.blocks,
            scenarios: Vec::new(),
        }
    }
}

/// Prints the figures of a scenario as a table.
pub fn print_table(figures: &ScenarioFigures) {
    println!(
        "\n{} at {:.0} calls/s of {:.0}",
        figures.scenario,
        figures.capacity * figures.scenario.load_share(),
        figures.capacity
    );
    println!(
        "{:<17}{:<9}{:>7}{:>10}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}",
        "policy",
        "class",
        "calls",
        "on target",
        "p50",
        "p99",
        "p99.9",
        "failed",
        "not run",
        "unknown"
    );
    for policy in &figures.policies {
        print_class(policy, &policy.all);
        for class in &policy.classes {
            print_class(policy, class);
        }
        println!(
            "{:<17}goodput {:.3}  extra runs a call {:.4}  probes a call {:.4}  probe bytes/s {:.0}  \
             herd {}  slowest refusal {:.1} ms  late refusals {}",
            "",
            policy.goodput_share,
            policy.extra_runs_a_call,
            policy.probes_a_call,
            policy.probe_bytes_a_second,
            policy.largest_herd,
            policy.slowest_refusal_ms,
            policy.late_refusals
        );
    }
}

fn print_class(policy: &PolicyFigures, class: &ClassFigures) {
    println!(
        "{:<17}{:<9}{:>7}{:>10.4}{:>8.1}{:>8.1}{:>8.1}{:>8}{:>8}{:>8}",
        format!("{:?}", policy.policy),
        class.class,
        class.calls,
        class.on_target,
        class.p50_ms,
        class.p99_ms,
        class.p999_ms,
        class.failed,
        class.not_run,
        class.unknown
    );
}
