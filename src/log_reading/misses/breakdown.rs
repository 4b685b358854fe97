//! Counts of requests by outcome, and estimates from samples.

use crate::log_reading::misses::kind::{MissKind, SamplingRule, Served};
use serde::Serialize;
use std::{cmp::Reverse, collections::BTreeMap};

/// Half width of a range, in standard deviations of the sampled number. The range then contains the true number in
/// about 19 of 20 cases.
const RANGE_DEVIATIONS: f64 = 2.0;

/// Sampling rates of the log: one in so many requests is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Sampling {
    /// For requests that were answered on time, had no route, or whose client disconnected.
    pub ordinary_one_in: u64,
    /// For late requests.
    pub late_one_in: u64,
}

impl Sampling {
    /// Returns of how many requests of this kind one is logged.
    #[must_use]
    pub fn one_in(&self, kind: &MissKind) -> u64 {
        match kind.sampling_rule() {
            SamplingRule::Ordinary => self.ordinary_one_in,
            SamplingRule::Late => self.late_one_in,
            SamplingRule::Always => 1,
        }
    }
}

/// Logged requests with the same outcome and cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KindCount {
    /// Outcome, as one word.
    pub outcome: &'static str,
    /// Cause in words; empty if the outcome implies it.
    pub cause: String,
    /// For a refusal: whether any node was asked for a slot.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nodes_asked: Option<bool>,
    /// Number of logged requests. This is a sample unless `one_in` is 1.
    pub lines: u64,
    /// Sampling rate: one in so many requests is logged.
    pub one_in: u64,
    /// Estimated number of requests: `lines` times `one_in`.
    pub estimate: u64,
}

/// Requests by outcome and cause.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Breakdown {
    /// Number of logged requests.
    pub lines: u64,
    /// Number of logged requests that were not served on time.
    pub missed_lines: u64,
    /// Estimated share of requests that were served on time; none without requests that count in it.
    pub on_time_share_estimate: Option<f64>,
    /// Lower and upper limit of that share, from the size of the sample. Dropped lines are not taken into account.
    pub on_time_share_range: Option<(f64, f64)>,
    /// Outcomes and causes, the one with the most logged requests first.
    pub kinds: Vec<KindCount>,
}

/// Number of logged requests by kind.
#[derive(Clone, Debug, Default)]
pub struct Counts(BTreeMap<MissKind, u64>);

impl Counts {
    /// Counts one logged request.
    pub fn add(&mut self, kind: &MissKind) {
        *self.0.entry(kind.clone()).or_default() += 1;
    }

    /// Converts the counts to a breakdown, with estimates for the given sampling rates.
    #[must_use]
    pub fn into_breakdown(self, sampling: Sampling) -> Breakdown {
        let mut breakdown = Breakdown::default();
        let (mut on_time, mut missed) = (Estimate::default(), Estimate::default());
        for (kind, lines) in self.0 {
            let one_in = sampling.one_in(&kind);
            breakdown.lines += lines;
            match kind.served() {
                Served::OnTime => on_time.add(lines, one_in),
                Served::Missed => {
                    missed.add(lines, one_in);
                    breakdown.missed_lines += lines;
                }
                Served::Excluded => {}
            }
            breakdown.kinds.push(build_count(&kind, lines, one_in));
        }
        breakdown.kinds.sort_by_key(|kind| Reverse(kind.lines));
        if on_time.requests + missed.requests > 0.0 {
            // A sample that holds no request on time doesn't show that there was none.
            on_time.widen_for_unseen(sampling.ordinary_one_in);
            missed.widen_for_unseen(sampling.late_one_in);
            breakdown.on_time_share_estimate =
                Some(compute_share(on_time.requests, missed.requests));
            let lower_limit = compute_share(on_time.lower_limit(), missed.upper_limit());
            breakdown.on_time_share_range = Some((
                lower_limit,
                compute_share(on_time.upper_limit(), missed.lower_limit()),
            ));
        }
        breakdown
    }
}

fn build_count(kind: &MissKind, lines: u64, one_in: u64) -> KindCount {
    KindCount {
        outcome: kind.outcome(),
        cause: kind.cause(),
        nodes_asked: match kind {
            MissKind::Refused { nodes_asked, .. } => Some(*nodes_asked),
            _ => None,
        },
        lines,
        one_in,
        estimate: lines.saturating_mul(one_in),
    }
}

/// Estimated number of requests, with its variance.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    requests: f64,
    variance: f64,
}

impl Estimate {
    /// Adds a sample of one in N. The number of lines in it has a standard deviation of about its square root, and each
    /// line represents N requests.
    fn add(&mut self, lines: u64, one_in: u64) {
        let (lines, one_in) = (as_float(lines), as_float(one_in));
        self.requests += lines * one_in;
        self.variance += lines * one_in * (one_in - 1.0);
    }

    /// Widens the range, but doesn't change the estimate, by the requests that one more line would represent.
    fn widen_for_unseen(&mut self, one_in: u64) {
        let one_in = as_float(one_in);
        self.variance += one_in * (one_in - 1.0);
    }

    fn lower_limit(&self) -> f64 {
        (self.requests - RANGE_DEVIATIONS * self.variance.sqrt()).max(0.0)
    }

    fn upper_limit(&self) -> f64 {
        self.requests + RANGE_DEVIATIONS * self.variance.sqrt()
    }
}

/// Share of a part in the sum of the part and the rest; 0 if both are 0.
fn compute_share(part: f64, rest: f64) -> f64 {
    let whole = part + rest;
    if whole > 0.0 { part / whole } else { 0.0 }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
const fn as_float(count: u64) -> f64 {
    count as f64
}
