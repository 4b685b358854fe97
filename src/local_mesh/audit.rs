//! Compares what callers were told with what the upstreams ran.

use crate::local_mesh::{
    LocalMesh,
    client::ReportedOutcome,
    load::{CallKind, CallRecord},
};
use serde::Serialize;
use std::{collections::BTreeMap, sync::PoisonError};
use uuid::Uuid;

/// What went wrong, as counts of calls. All zero is the only good result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Told `answered`, but no upstream ran it.
    pub lost: u64,
    /// Not idempotent, and run more than once.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Told `not run`, but an upstream ran it.
    #[serde(rename = "ran_after_all")]
    pub wrongly_reported_not_run: u64,
    /// Got another call's answer, or a part of one.
    #[serde(rename = "mixed")]
    pub wrong_answers: u64,
}

impl Audit {
    /// Whether nothing went wrong.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Number of runs of each marked call.
pub type ExecutionCounts = BTreeMap<Uuid, u32>;

/// Runs of every marked call at all upstreams of the mesh.
#[must_use]
pub fn count_executions(mesh: &LocalMesh) -> ExecutionCounts {
    let mut counts = ExecutionCounts::new();
    for node in &mesh.nodes {
        let runs = node.executions.lock();
        let runs = runs.unwrap_or_else(PoisonError::into_inner);
        for mark in runs.iter().filter_map(|run| find_mark(&run.target)) {
            *counts.entry(mark).or_insert(0) += 1;
        }
    }
    counts
}

fn find_mark(target: &str) -> Option<Uuid> {
    let (_, mark) = target.split_once("mark=")?;
    Uuid::parse_str(mark).ok()
}

/// Judges the records of a load.
#[must_use]
pub fn audit_calls(kinds: &[CallKind], records: &[CallRecord], runs: &ExecutionCounts) -> Audit {
    let mut audit = Audit::default();
    for record in records {
        let ran = runs.get(&record.call_id).copied().unwrap_or(0);
        let refused = matches!(
            record.outcome,
            ReportedOutcome::NotRun | ReportedOutcome::Rejected
        );
        audit.lost += u64::from(record.outcome == ReportedOutcome::Answered && ran == 0);
        audit.duplicated += u64::from(!kinds[record.kind].idempotent && ran > 1);
        audit.wrongly_reported_not_run +=
            u64::from(refused && !kinds[record.kind].idempotent && ran > 0);
        audit.wrong_answers += u64::from(!record.answer_matches);
    }
    audit
}
