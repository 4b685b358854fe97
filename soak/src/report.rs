//! Report on the run of one seed, as text or JSON.

use crate::{
    fault_plan::PlannedFault,
    history::{History, Violation},
};
use camphorturn::local_mesh::client::CallFailure;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    io::{self, Write},
};

/// Result of the run of one seed. The JSON keys are those of the fields, unless renamed.
#[derive(Clone, Debug, Serialize)]
pub struct SeedReport {
    /// The seed that determined the run.
    pub seed: u64,
    /// The faults, each with its start and duration.
    pub faults: Vec<String>,
    /// Number of requests by their outcome: a status, `cut` or `not sent`.
    #[serde(rename = "ends")]
    pub outcomes: BTreeMap<String, usize>,
    /// Number of requests that upstreams executed.
    #[serde(rename = "runs")]
    pub executions: usize,
    /// Violations that the checks found.
    pub violations: Vec<Violation>,
}

impl SeedReport {
    /// Builds the report from a run's history; `executions` is the number of requests that upstreams executed.
    #[must_use]
    pub fn build(
        seed: u64,
        faults: &[PlannedFault],
        history: &History,
        executions: usize,
        violations: Vec<Violation>,
    ) -> Self {
        let mut outcomes = BTreeMap::new();
        for request in &history.requests {
            let outcome = match &request.answer {
                Ok((status, _)) => status.to_string(),
                Err(CallFailure::Disconnected) => "cut".to_owned(),
                Err(CallFailure::NotSent) => "not sent".to_owned(),
            };
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
        Self {
            seed,
            faults: faults.iter().map(format_fault).collect(),
            outcomes,
            executions,
            violations,
        }
    }

    /// Whether the checks found no violation.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

fn format_fault(planned: &PlannedFault) -> String {
    format!(
        "{} ms for {} ms: {:?}",
        planned.start.as_millis(),
        planned.duration.as_millis(),
        planned.fault
    )
}

/// Writes a report as one line. With violations, the faults and the violations follow, one a line. With `json`, it is one
/// JSON object on a line.
///
/// # Errors
/// If writing to `out` fails.
pub fn write_report(report: &SeedReport, json: bool, out: &mut dyn Write) -> io::Result<()> {
    if json {
        serde_json::to_writer(&mut *out, report)?;
        return writeln!(out);
    }
    let outcomes: Vec<String> = report
        .outcomes
        .iter()
        .map(|(outcome, count)| format!("{count} x {outcome}"))
        .collect();
    let verdict = if report.is_clean() { "clean" } else { "BROKEN" };
    writeln!(
        out,
        "seed {}: {verdict}; {} faults; {}; {} runs",
        report.seed,
        report.faults.len(),
        outcomes.join(", "),
        report.executions
    )?;
    if report.is_clean() {
        return Ok(());
    }
    for fault in &report.faults {
        writeln!(out, "  {fault}")?;
    }
    for Violation { promise, observed } in &report.violations {
        writeln!(out, "  ! {promise}: {observed}")?;
    }
    Ok(())
}
