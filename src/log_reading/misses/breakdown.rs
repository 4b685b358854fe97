//! Counts of ends, with how far each is a sample.

use crate::log_reading::misses::kind::{MissKind, Served, Written};
use serde::Serialize;
use std::{cmp::Reverse, collections::BTreeMap};

/// Standard deviations of a sampled number that a range covers on both sides; it then holds the true one about
/// 19 times of 20.
const DEVIATIONS: f64 = 2.0;

/// Of how many requests one is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Sampling {
    /// Of those that go as they should, without a route, or left by their client.
    pub ordinary_one_in: u64,
    /// Of late ones.
    pub late_one_in: u64,
}

impl Sampling {
    /// Of how many requests that ended like this one is written.
    #[must_use]
    pub const fn one_in(&self, kind: &MissKind) -> u64 {
        match kind.written() {
            Written::Ordinary => self.ordinary_one_in,
            Written::Late => self.late_one_in,
            Written::Always => 1,
        }
    }
}

/// Lines on requests that ended the same way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KindCount {
    /// The end.
    pub outcome: &'static str,
    /// Why; empty if the end says it.
    pub cause: String,
    /// Of a refusal, whether any node was asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nodes_asked: Option<bool>,
    /// Lines there are. NB: a sample unless `one_in` is 1.
    pub lines: u64,
    /// Of how many requests one has a line.
    pub one_in: u64,
    /// Requests that so many lines stand for.
    pub estimate: u64,
}

/// Requests by end and cause.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Breakdown {
    /// Lines on ends.
    pub lines: u64,
    /// Of these, on requests that were not served on time.
    pub missed_lines: u64,
    /// Share on time, with each line counted for the requests that it stands for; none without such lines.
    pub on_time_share_estimate: Option<f64>,
    /// Least and greatest share that the size of the sample speaks for. NB: lines left out are not in it.
    pub on_time_share_range: Option<(f64, f64)>,
    /// The most lines first.
    pub kinds: Vec<KindCount>,
}

/// Lines by kind.
#[derive(Clone, Debug, Default)]
pub struct Counts(BTreeMap<MissKind, u64>);

impl Counts {
    /// Counts a line.
    pub fn add(&mut self, kind: &MissKind) {
        *self.0.entry(kind.clone()).or_default() += 1;
    }

    /// What was counted.
    #[must_use]
    pub fn close(self, sampling: Sampling) -> Breakdown {
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
                Served::LeftOut => {}
            }
            breakdown.kinds.push(describe(&kind, lines, one_in));
        }
        breakdown.kinds.sort_by_key(|kind| Reverse(kind.lines));
        if on_time.requests + missed.requests > 0.0 {
            // A sample without a line on any request on time doesn't show that there was none.
            on_time.allow_unseen(sampling.ordinary_one_in);
            missed.allow_unseen(sampling.late_one_in);
            breakdown.on_time_share_estimate = Some(divide(on_time.requests, missed.requests));
            let least = divide(on_time.least(), missed.most());
            breakdown.on_time_share_range = Some((least, divide(on_time.most(), missed.least())));
        }
        breakdown
    }
}

fn describe(kind: &MissKind, lines: u64, one_in: u64) -> KindCount {
    KindCount {
        outcome: kind.outcome(),
        cause: kind.cause(),
        nodes_asked: match kind {
            MissKind::Refused { asked, .. } => Some(*asked),
            _ => None,
        },
        lines,
        one_in,
        estimate: lines.saturating_mul(one_in),
    }
}

/// How many requests a number of lines stands for.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    requests: f64,
    variance: f64,
}

impl Estimate {
    /// Of a sample of one in N, the number of lines varies by its root, and each stands for N requests.
    fn add(&mut self, lines: u64, one_in: u64) {
        let (lines, one_in) = (as_float(lines), as_float(one_in));
        self.requests += lines * one_in;
        self.variance += lines * one_in * (one_in - 1.0);
    }

    /// Adds to the range, though not to the estimate, what one line more would have stood for.
    fn allow_unseen(&mut self, one_in: u64) {
        let one_in = as_float(one_in);
        self.variance += one_in * (one_in - 1.0);
    }

    fn least(&self) -> f64 {
        (self.requests - DEVIATIONS * self.variance.sqrt()).max(0.0)
    }

    fn most(&self) -> f64 {
        self.requests + DEVIATIONS * self.variance.sqrt()
    }
}

/// Share of a part in itself and the rest; 0 of nothing.
fn divide(part: f64, rest: f64) -> f64 {
    let whole = part + rest;
    if whole > 0.0 { part / whole } else { 0.0 }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
const fn as_float(count: u64) -> f64 {
    count as f64
}
