//! Compares the outcomes that were reported to callers with the requests that the upstreams ran.

use crate::local_mesh::{
    LocalMesh,
    client::ReportedOutcome,
    load::{CallKind, CallRecord},
};
use serde::Serialize;
use std::{collections::BTreeMap, sync::PoisonError};
use uuid::Uuid;

/// Number of calls by fault. A correct mesh has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Reported as answered, but no upstream ran the call.
    pub lost: u64,
    /// Not idempotent, but run more than once.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Not idempotent, and reported as not run or rejected, but an upstream ran the call.
    #[serde(rename = "ran_after_all")]
    pub wrongly_reported_not_run: u64,
    /// Answered with the answer of another call, or with an incomplete one.
    #[serde(rename = "mixed")]
    pub wrong_answers: u64,
}

impl Audit {
    /// Whether no fault was found.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Number of times that each call was run, by [`CallRecord::call_id`].
pub type ExecutionCounts = BTreeMap<Uuid, u32>;

/// Counts the executions of every call at all upstreams of the mesh.
#[must_use]
pub fn count_executions(mesh: &LocalMesh) -> ExecutionCounts {
    let mut counts = ExecutionCounts::new();
    for node in &mesh.nodes {
        let executions = node.executions.lock();
        let executions = executions.unwrap_or_else(PoisonError::into_inner);
        for call_id in executions
            .iter()
            .filter_map(|execution| parse_call_id(&execution.target))
        {
            *counts.entry(call_id).or_insert(0) += 1;
        }
    }
    counts
}

fn parse_call_id(target: &str) -> Option<Uuid> {
    let (_, call_id) = target.split_once("mark=")?;
    Uuid::parse_str(call_id).ok()
}

/// Counts the faults in the records of a load. `kinds` are those of the load's plan.
#[must_use]
pub fn audit_calls(
    kinds: &[CallKind],
    records: &[CallRecord],
    executions: &ExecutionCounts,
) -> Audit {
    let mut audit = Audit::default();
    for record in records {
        let execution_count = executions.get(&record.call_id).copied().unwrap_or(0);
        let reported_not_run = matches!(
            record.outcome,
            ReportedOutcome::NotRun | ReportedOutcome::Rejected
        );
        audit.lost +=
            u64::from(record.outcome == ReportedOutcome::Answered && execution_count == 0);
        audit.duplicated += u64::from(!kinds[record.kind].idempotent && execution_count > 1);
        audit.wrongly_reported_not_run +=
            u64::from(reported_not_run && !kinds[record.kind].idempotent && execution_count > 0);
        audit.wrong_answers += u64::from(!record.answer_matches);
    }
    audit
}
