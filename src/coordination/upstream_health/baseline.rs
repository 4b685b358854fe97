//! The failed share that is usual at present among the upstreams of a service.

use crate::{
    coordination::upstream_health::evidence::EVIDENCE_AGE,
    state::{known_node::NodeLoad, timestamp::Timestamp},
};
use std::time::Duration;

/// Minimum number of peers whose reports are needed. With fewer, a fault of all upstreams can't be told from a fault of one.
const MIN_PEERS: usize = 3;
/// The share of upstreams that may be ejected is at least this, whatever the load: an upstream that fails most of its requests adds
/// little capacity.
const MIN_EJECTED_SHARE: f64 = 0.1;

/// Time from the first failure of an upstream until peers' reports count. Shortly after all upstreams have begun to fail, peers still
/// answer requests that they executed before.
const REPORT_LAG: Duration = Duration::from_millis(150);

/// What is known of another upstream of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// The load that its node reported last.
    pub load: NodeLoad,
    /// When the report arrived.
    pub at: Timestamp,
    /// Whether its node has recently refused a request because the upstream is ejected.
    pub is_ejected: bool,
}

/// How the other upstreams of a service do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// Failed share that counts as usual, from 0 to 1.
    pub failed_share: f64,
    /// Whether as many upstreams are ejected as may be, so that one more would be too many.
    pub is_share_used: bool,
}

/// Finds the failed share of the peers: the quantile at 1 - `max_ejected_share` of what they reported since `since`, the beginning of
/// the upstream's own failures, with that share lowered to the spare capacity of the healthy peers. Recent reports weigh more.
/// `None` if there are too few reports.
///
/// Earlier reports are left out: when all upstreams begin to fail at the same time, they still show healthy peers.
#[must_use]
pub fn find_baseline(
    reports: &[PeerReport],
    max_ejected_share: f64,
    since: Timestamp,
    now: Timestamp,
) -> Option<Baseline> {
    let recent = || {
        let reports = reports.iter();
        reports.filter(|report| now.since(report.at) <= EVIDENCE_AGE)
    };
    let mut values: Vec<(f64, f64, NodeLoad)> = recent()
        .filter(|report| report.at >= since + REPORT_LAG)
        .map(|report| {
            let age = now.since(report.at).as_secs_f64() / EVIDENCE_AGE.as_secs_f64();
            let weight = (1.0 - age).max(f64::EPSILON);
            let failed = f64::from(report.load.failed_percent) / 100.0;
            (failed, weight, report.load)
        })
        .collect();
    if values.len() < MIN_PEERS {
        return None;
    }
    values.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
    let healthiest = find_quantile(&values, 1.0 - max_ejected_share);
    let unused = find_unused_share(&values, healthiest);
    let share = max_ejected_share.min(unused.max(MIN_EJECTED_SHARE));
    let ejected = recent().filter(|report| report.is_ejected).count();
    Some(Baseline {
        failed_share: find_quantile(&values, 1.0 - share),
        is_share_used: exceeds_share(ejected + 1, recent().count() + 1, share),
    })
}

/// Whether a number of upstreams is a larger part of all than `share`.
fn exceeds_share(ejected: usize, all: usize, share: f64) -> bool {
    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of nodes are far below 2^52"
    )]
    let (ejected, all) = (ejected as f64, all as f64);
    // A single upstream may be ejected however few there are.
    ejected > (all * share).max(1.0)
}

/// The smallest value at which the weights of it and all smaller values reach a share of all weights.
fn find_quantile(sorted: &[(f64, f64, NodeLoad)], share: f64) -> f64 {
    let total: f64 = sorted.iter().map(|(_, weight, _)| weight).sum();
    let mut sum = 0.0;
    for (value, weight, _) in sorted {
        sum += weight;
        if sum >= total * share {
            return *value;
        }
    }
    sorted.last().map_or(0.0, |(value, ..)| *value)
}

/// Share of their slots that the peers with at most this failed share do not use.
fn find_unused_share(values: &[(f64, f64, NodeLoad)], max_failed: f64) -> f64 {
    let healthy = values.iter().filter(|(value, ..)| *value <= max_failed);
    let (used, limit) = healthy.fold((0.0, 0.0), |(used, limit), (_, weight, load)| {
        let requests = f64::from(load.running) + f64::from(load.queued);
        (
            used + weight * requests,
            limit + weight * f64::from(load.limit),
        )
    });
    if limit > 0.0 { 1.0 - used / limit } else { 0.0 }
}
