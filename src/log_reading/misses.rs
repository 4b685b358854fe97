//! Reports which requests were not served on time, when and why.

pub mod breakdown;
pub mod kind;
pub mod requests;

use crate::log_reading::{
    description::NodeNames,
    incarnations::NodeIncarnation,
    line::{LogLine, event_numbers},
    misses::{
        breakdown::{Breakdown, Counts, Sampling},
        kind::MissKind,
        requests::{EndedRequest, collect_requests},
    },
    order::{TimedLine, order_lines},
};
use serde::Serialize;
use std::{
    cmp::Ordering,
    collections::BTreeMap,
    time::{Duration, UNIX_EPOCH},
};

/// Last second of the year 9999, in milliseconds since the Unix epoch. A damaged line may hold a later time, which
/// could not be formatted with a year of four digits.
const MAX_TIME_MS: f64 = 253_402_300_799_000.0;

/// Requests by class, time window and cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MissReport {
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// Sampling rates with which nodes log requests.
    pub sampling: Sampling,
    /// Requests for which an executing node logged an attempt, but no entry node logged the end.
    pub without_end: usize,
    /// Important lines that nodes dropped because of their rate limits. Dropped ordinary lines are not counted.
    pub dropped_lines: u64,
    /// Lines that nodes wrote and the input lacks, computed from gaps in their sequence numbers.
    pub missing_lines: u64,
    /// All requests.
    pub total: Breakdown,
    /// Requests by class; the class is empty for a request without a route.
    pub classes: BTreeMap<String, Breakdown>,
    /// Requests by arrival time, the window with the lowest on-time share first.
    pub windows: Vec<MissWindow>,
}

/// The requests that arrived in one time window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MissWindow {
    /// Start of the window on the common clock of all nodes, as an RFC 3339 timestamp.
    pub from: String,
    /// Important lines that nodes reported as dropped during the window.
    pub dropped_lines: u64,
    /// Requests of all classes.
    pub total: Breakdown,
    /// Requests by class.
    pub classes: BTreeMap<String, Breakdown>,
}

/// Counts that are accumulated while lines are read.
#[derive(Default)]
struct WindowCounts {
    dropped: u64,
    total: Counts,
    classes: BTreeMap<String, Counts>,
}

impl WindowCounts {
    fn add(&mut self, class: &str, kind: &MissKind) {
        self.total.add(kind);
        self.classes.entry(class.to_owned()).or_default().add(kind);
    }
}

/// Reports on the requests in the lines of all incarnations.
#[must_use]
pub fn report_misses(
    incarnations: &[NodeIncarnation],
    window: Duration,
    sampling: Sampling,
) -> MissReport {
    let ordered = order_lines(incarnations);
    let names = NodeNames::collect(incarnations);
    let requests = collect_requests(&ordered, &names);
    let mut all = WindowCounts::default();
    let mut windows: BTreeMap<u64, WindowCounts> = BTreeMap::new();
    for EndedRequest {
        arrived_ms,
        class,
        kind,
    } in &requests.ended
    {
        all.add(class, kind);
        let number = find_window(*arrived_ms, window);
        windows.entry(number).or_default().add(class, kind);
    }
    for (at_ms, dropped) in ordered.iter().filter_map(read_dropped) {
        all.dropped = all.dropped.saturating_add(dropped);
        let number = find_window(at_ms, window);
        let counts = windows.entry(number).or_default();
        counts.dropped = counts.dropped.saturating_add(dropped);
    }
    let mut windows: Vec<MissWindow> = windows
        .into_iter()
        .map(|(number, counts)| build_window(number, window, counts, sampling))
        .collect();
    windows.sort_by(compare_windows);
    MissReport {
        window_ms: to_millis(window),
        sampling,
        without_end: requests.without_end,
        dropped_lines: all.dropped,
        missing_lines: incarnations
            .iter()
            .map(count_gaps)
            .fold(0, u64::saturating_add),
        total: all.total.into_breakdown(sampling),
        classes: build_breakdowns(all.classes, sampling),
        windows,
    }
}

fn build_window(
    number: u64,
    window: Duration,
    counts: WindowCounts,
    sampling: Sampling,
) -> MissWindow {
    let from_ms = number.saturating_mul(to_millis(window));
    let from = UNIX_EPOCH + Duration::from_millis(from_ms);
    MissWindow {
        from: humantime::format_rfc3339_millis(from).to_string(),
        dropped_lines: counts.dropped,
        total: counts.total.into_breakdown(sampling),
        classes: build_breakdowns(counts.classes, sampling),
    }
}

fn build_breakdowns(
    classes: BTreeMap<String, Counts>,
    sampling: Sampling,
) -> BTreeMap<String, Breakdown> {
    let classes = classes.into_iter();
    classes
        .map(|(class, counts)| (class, counts.into_breakdown(sampling)))
        .collect()
}

/// Orders windows by on-time share, the lowest first; for equal shares the one with more misses, then the earlier
/// one, comes first. Windows without a share come last.
fn compare_windows(one: &MissWindow, other: &MissWindow) -> Ordering {
    let share = |window: &MissWindow| window.total.on_time_share_estimate.unwrap_or(f64::INFINITY);
    let by_share = share(one).total_cmp(&share(other));
    by_share
        .then_with(|| other.total.missed_lines.cmp(&one.total.missed_lines))
        .then_with(|| one.from.cmp(&other.from))
}

fn read_dropped(timed: &TimedLine) -> Option<(f64, u64)> {
    (timed.line.number == event_numbers::LINES_DROPPED)
        .then(|| (timed.at_ms, timed.line.number("lines")))
}

/// Counts the lines that are missing between the lines of an incarnation, by their sequence numbers.
fn count_gaps(incarnation: &NodeIncarnation) -> u64 {
    let pairs = incarnation.lines.windows(2);
    let gap = |one: &LogLine, next: &LogLine| next.seq.saturating_sub(one.seq).saturating_sub(1);
    pairs
        .map(|pair| gap(&pair[0], &pair[1]))
        .fold(0, u64::saturating_add)
}

/// Returns the index of the window. Windows begin at whole multiples of their length, so that windows of two reports
/// can be compared.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "whole milliseconds since the Unix epoch, never before it"
)]
fn find_window(at_ms: f64, window: Duration) -> u64 {
    at_ms.clamp(0.0, MAX_TIME_MS) as u64 / to_millis(window)
}

/// Converts to milliseconds; at least 1, since it is used as a divisor.
fn to_millis(window: Duration) -> u64 {
    u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1)
}
