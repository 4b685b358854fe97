//! What a seed showed.

use crate::{
    history::{History, Violation},
    plan::PlannedFault,
};
use camphorturn::local_mesh::client::CallFailure;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    io::{self, Write},
};

/// What a seed showed.
#[derive(Clone, Debug, Serialize)]
pub struct PlayReport {
    /// The seed.
    pub seed: u64,
    /// The faults, with their times.
    pub faults: Vec<String>,
    /// Requests by their end.
    pub ends: BTreeMap<String, usize>,
    /// Requests that upstreams ran.
    pub runs: usize,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

impl PlayReport {
    /// Sums up a history.
    #[must_use]
    pub fn build(
        seed: u64,
        faults: &[PlannedFault],
        history: &History,
        runs: usize,
        violations: Vec<Violation>,
    ) -> Self {
        let mut ends = BTreeMap::new();
        for request in &history.requests {
            let end = match &request.answer {
                Ok((status, _)) => status.to_string(),
                Err(CallFailure::Disconnected) => "cut".to_owned(),
                Err(CallFailure::NotSent) => "not sent".to_owned(),
            };
            *ends.entry(end).or_insert(0) += 1;
        }
        Self {
            seed,
            faults: faults.iter().map(describe).collect(),
            ends,
            runs,
            violations,
        }
    }

    /// Whether no promise was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

fn describe(planned: &PlannedFault) -> String {
    format!(
        "{} ms for {} ms: {:?}",
        planned.at.as_millis(),
        planned.lasts.as_millis(),
        planned.fault
    )
}

/// Writes a report: one line, or all there is if a promise was broken.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_report(report: &PlayReport, json: bool, out: &mut dyn Write) -> io::Result<()> {
    if json {
        serde_json::to_writer(&mut *out, report)?;
        return writeln!(out);
    }
    let ends: Vec<String> = report
        .ends
        .iter()
        .map(|(end, count)| format!("{count} x {end}"))
        .collect();
    let verdict = if report.is_clean() { "clean" } else { "BROKEN" };
    writeln!(
        out,
        "seed {}: {verdict}; {} faults; {}; {} runs",
        report.seed,
        report.faults.len(),
        ends.join(", "),
        report.runs
    )?;
    if report.is_clean() {
        return Ok(());
    }
    for fault in &report.faults {
        writeln!(out, "  {fault}")?;
    }
    for Violation { promise, seen } in &report.violations {
        writeln!(out, "  ! {promise}: {seen}")?;
    }
    Ok(())
}
