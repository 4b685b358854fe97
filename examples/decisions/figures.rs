//! Figures from the records of calls.

use super::scenario::Scenario;
use camphorturn::{
    local_mesh::{
        client::ToldOutcome,
        load::{CallKind, CallRecord},
    },
    state::configuration::PolicyName,
};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// A refusal that takes longer than this came too late.
const REFUSAL_LIMIT: Duration = Duration::from_millis(5);

/// What one block gave.
pub struct BlockResult {
    /// Kinds of calls.
    pub kinds: Vec<CallKind>,
    /// Every call.
    pub records: Vec<CallRecord>,
    /// Runs at the upstreams.
    pub runs: u64,
    /// Probes sent.
    pub probes: u64,
    /// Bytes of probes and their answers.
    pub probe_bytes: u64,
}

/// Figures of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioFigures {
    /// The scenario.
    pub scenario: Scenario,
    /// Calls a second that the upstreams can run, from the mean time of a run.
    pub capacity: f64,
    /// Each policy.
    pub policies: Vec<PolicyFigures>,
}

/// Figures of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyFigures {
    /// The policy.
    pub policy: PolicyName,
    /// All classes together.
    pub all: ClassFigures,
    /// Each class.
    pub classes: Vec<ClassFigures>,
    /// Answers on target a second, as a share of capacity.
    pub goodput_share: f64,
    /// Runs beyond one for each answered call, as a share of calls.
    pub extra_runs_a_call: f64,
    /// Probes as a share of calls.
    pub probes_a_call: f64,
    /// Bytes of probes and their answers a second.
    pub probe_bytes_a_second: f64,
    /// Most calls that were in flight at one upstream at once, queued ones included.
    pub largest_herd: usize,
    /// The slowest refusal, in milliseconds.
    pub slowest_refusal_ms: f64,
    /// Refusals that took longer than 5 ms.
    pub late_refusals: usize,
}

/// Figures of a class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    /// Name of the class, or `all`.
    pub class: String,
    /// Calls made.
    pub calls: usize,
    /// Calls answered without a server error.
    pub answered: usize,
    /// Calls answered with a server error.
    pub failed: usize,
    /// Calls refused as not run.
    pub not_run: usize,
    /// Calls whose outcome is unknown.
    pub unknown: usize,
    /// Good answers within the target, as a share of calls.
    pub on_target: f64,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// Quantile 0.99.
    pub p99_ms: f64,
    /// Quantile 0.999.
    pub p999_ms: f64,
}

/// Summarises the blocks of all policies.
#[must_use]
pub fn summarise(
    scenario: Scenario,
    capacity: f64,
    span: Duration,
    results: &[(PolicyName, Vec<BlockResult>)],
) -> ScenarioFigures {
    ScenarioFigures {
        scenario,
        capacity,
        policies: results
            .iter()
            .map(|(policy, blocks)| summarise_policy(*policy, capacity, span, blocks))
            .collect(),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn summarise_policy(
    policy: PolicyName,
    capacity: f64,
    span: Duration,
    blocks: &[BlockResult],
) -> PolicyFigures {
    let kinds = &blocks[0].kinds;
    let records = blocks
        .iter()
        .flat_map(|block| &block.records)
        .collect::<Vec<_>>();
    let calls = records.len().max(1) as f64;
    let seconds = span.as_secs_f64() * blocks.len() as f64;
    let refusals = records
        .iter()
        .filter(|record| record.outcome == ToldOutcome::NotRun)
        .map(|record| record.took)
        .collect::<Vec<_>>();
    let all = summarise_class("all", kinds, &records);
    let classes = (0..kinds.len())
        .map(|kind| {
            let of_kind = records
                .iter()
                .copied()
                .filter(|record| record.kind == kind)
                .collect::<Vec<_>>();
            summarise_class(kinds[kind].class.as_str(), kinds, &of_kind)
        })
        .collect();
    let runs = blocks.iter().map(|block| block.runs).sum::<u64>() as f64;
    let ran_once = (all.answered + all.failed + all.unknown) as f64;
    PolicyFigures {
        policy,
        goodput_share: all.on_target * calls / seconds / capacity,
        extra_runs_a_call: (runs - ran_once).max(0.0) / calls,
        probes_a_call: blocks.iter().map(|block| block.probes).sum::<u64>() as f64 / calls,
        probe_bytes_a_second: blocks.iter().map(|block| block.probe_bytes).sum::<u64>() as f64
            / seconds,
        largest_herd: blocks
            .iter()
            .map(|block| find_largest_herd(&block.records))
            .max()
            .unwrap_or_default(),
        slowest_refusal_ms: refusals.iter().max().copied().map_or(0.0, to_millis),
        late_refusals: refusals
            .iter()
            .filter(|took| **took > REFUSAL_LIMIT)
            .count(),
        all,
        classes,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn summarise_class(name: &str, kinds: &[CallKind], records: &[&CallRecord]) -> ClassFigures {
    let count = |wanted: ToldOutcome| {
        records
            .iter()
            .filter(|record| record.outcome == wanted)
            .count()
    };
    let mut good = records
        .iter()
        .filter(|record| is_good(record))
        .map(|record| record.took)
        .collect::<Vec<_>>();
    good.sort_unstable();
    let on_target = records
        .iter()
        .filter(|record| is_good(record) && record.took <= kinds[record.kind].target)
        .count();
    ClassFigures {
        class: name.to_owned(),
        calls: records.len(),
        answered: good.len(),
        failed: count(ToldOutcome::Answered) - good.len(),
        not_run: count(ToldOutcome::NotRun) + count(ToldOutcome::Rejected),
        unknown: count(ToldOutcome::Unknown),
        on_target: on_target as f64 / records.len().max(1) as f64,
        p50_ms: to_millis(quantile(&good, 0.5)),
        p99_ms: to_millis(quantile(&good, 0.99)),
        p999_ms: to_millis(quantile(&good, 0.999)),
    }
}

fn is_good(record: &CallRecord) -> bool {
    record.outcome == ToldOutcome::Answered && record.status < 500
}

/// Most calls in flight at one upstream at once, from the times that callers saw.
fn find_largest_herd(records: &[CallRecord]) -> usize {
    let mut edges: BTreeMap<&str, Vec<(Duration, i32)>> = BTreeMap::new();
    for record in records {
        let Some(upstream) = &record.upstream else {
            continue;
        };
        let edges = edges.entry(upstream).or_default();
        edges.push((record.started, 1));
        edges.push((record.started + record.took, -1));
    }
    edges
        .into_values()
        .map(|mut edges| {
            edges.sort_unstable();
            let mut present = 0;
            let mut most = 0;
            for (_, step) in edges {
                present += step;
                most = most.max(present);
            }
            usize::try_from(most).unwrap_or_default()
        })
        .max()
        .unwrap_or_default()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "an index into the sorted values"
)]
fn quantile(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

fn to_millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
