//! Report on a load that was put on a local mesh.

use crate::{
    local_mesh::{
        LocalMesh,
        audit::Audit,
        client::ReportedOutcome,
        load::{CallKind, CallRecord},
    },
    protocol::operator_views::compute_share,
    state::names::ClassName,
};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{collections::BTreeMap, fmt, time::Duration};

/// Precision of the histogram of durations, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// Results of the calls of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: ClassName,
    /// Number of calls made.
    pub calls: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that the node reported as not executed.
    pub not_run: u64,
    /// Calls whose outcome the node reported as unknown, or that got no reply.
    pub unknown: u64,
    /// Calls that were rejected as malformed.
    pub rejected: u64,
    /// Share of the calls made that were answered within the latency target.
    pub share_on_target: f64,
    /// Median duration of answered calls, in microseconds.
    pub p50_micros: u64,
    /// 99th percentile of the durations, in microseconds.
    pub p99_micros: u64,
    /// 99.9th percentile of the durations, in microseconds.
    pub p999_micros: u64,
    /// Number of calls that were not answered, by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// Results of the whole load.
#[derive(Clone, Debug, Serialize)]
pub struct DevReport {
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Comparison of the outcomes that the callers saw with what the upstreams executed.
    pub audit: Audit,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Calls made per second.
    pub calls_per_second: f64,
    /// Number of probes sent by all nodes, divided by the number of calls made.
    pub probes_per_call: f64,
}

impl DevReport {
    /// Builds the report from the records of the calls.
    #[must_use]
    pub fn build(
        kinds: &[CallKind],
        records: &[CallRecord],
        audit: Audit,
        took: Duration,
        mesh: &LocalMesh,
    ) -> Self {
        let classes = kinds.iter().enumerate();
        let classes = classes
            .map(|(i, kind)| ClassReport::build(kind, i, records))
            .collect();
        let calls = records.len() as u64;
        Self {
            classes,
            audit,
            seconds: took.as_secs_f64(),
            calls_per_second: compute_share(calls, 1) / took.as_secs_f64().max(0.001),
            probes_per_call: compute_share(mesh.count_probes(), calls.max(1)),
        }
    }

    /// Whether no call was lost, executed twice, given the answer of another call, or executed though reported as not
    /// executed.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean()
    }
}

impl ClassReport {
    fn build(kind: &CallKind, index: usize, records: &[CallRecord]) -> Self {
        let mut report = Self {
            class: kind.class.clone(),
            calls: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            rejected: 0,
            share_on_target: 1.0,
            p50_micros: 0,
            p99_micros: 0,
            p999_micros: 0,
            reasons: BTreeMap::new(),
        };
        // `new` fails only for a precision above 5 digits.
        let Ok(mut times) = Histogram::<u32>::new(HISTOGRAM_DIGITS) else {
            return report;
        };
        let mut on_target = 0;
        for record in records.iter().filter(|record| record.kind == index) {
            report.count(record);
            if record.outcome == ReportedOutcome::Answered {
                let micros = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
                // `record` fails only if the histogram can't grow; this one is resizable.
                let _ = times.record(micros);
                on_target += u64::from(record.latency <= kind.target);
            }
        }
        report.share_on_target = compute_share(on_target, report.calls);
        report.p50_micros = times.value_at_quantile(0.5);
        report.p99_micros = times.value_at_quantile(0.99);
        report.p999_micros = times.value_at_quantile(0.999);
        report
    }

    fn count(&mut self, record: &CallRecord) {
        self.calls += 1;
        match record.outcome {
            ReportedOutcome::Answered => self.answered += 1,
            ReportedOutcome::NotRun => self.not_run += 1,
            ReportedOutcome::Unknown => self.unknown += 1,
            ReportedOutcome::Rejected => self.rejected += 1,
        }
        if record.outcome != ReportedOutcome::Answered {
            let reason = record
                .reason
                .clone()
                .unwrap_or_else(|| "no reply".to_owned());
            *self.reasons.entry(reason).or_insert(0) += 1;
        }
    }
}

impl fmt::Display for DevReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24}{:>7}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}",
            "class", "calls", "answered", "not run", "unknown", "target", "p50 ms", "p99 ms"
        )?;
        for class in &self.classes {
            writeln!(
                f,
                "{:<24}{:>7}{:>9}{:>8}{:>8}{:>7.2}%{:>8.2}{:>8.2}",
                class.class,
                class.calls,
                class.answered,
                class.not_run,
                class.unknown,
                class.share_on_target * 100.0,
                to_millis(class.p50_micros),
                to_millis(class.p99_micros),
            )?;
            for (reason, count) in &class.reasons {
                writeln!(f, "    {count} x {reason}")?;
            }
        }
        writeln!(
            f,
            "\n{:.0} calls/s for {:.1} s; {:.4} probes per call",
            self.calls_per_second, self.seconds, self.probes_per_call
        )?;
        writeln!(
            f,
            "lost {}, executed twice {}, executed though reported as not run {}, wrong answers {}",
            self.audit.lost,
            self.audit.duplicated,
            self.audit.wrongly_reported_not_run,
            self.audit.wrong_answers
        )
    }
}

fn to_millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1_000.0
}
