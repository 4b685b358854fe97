//! Which requests were not served on time, when and why.

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

/// The last second that a date with four digits of the year can tell, in milliseconds since the Unix epoch. A
/// damaged line may tell a later time, which could not be written.
const LATEST_MS: f64 = 253_402_300_799_000.0;

/// Requests by class, window of time and cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MissReport {
    /// How long a window is.
    pub window_ms: u64,
    /// What part of the requests lines tell of.
    pub sampling: Sampling,
    /// Requests whose end was not told, though the node beside an upstream tells of an attempt.
    pub without_end: usize,
    /// Telling lines that nodes left out to keep to their bounds. NB: ordinary ones are left out uncounted.
    pub dropped_lines: u64,
    /// Lines that a node wrote and the input lacks, by the gaps in their numbers.
    pub missing_lines: u64,
    /// All of them.
    pub total: Breakdown,
    /// By class; a request without a route has none.
    pub classes: BTreeMap<String, Breakdown>,
    /// By the time that they came, the worst share on time first.
    pub windows: Vec<MissWindow>,
}

/// The requests that came in one span of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MissWindow {
    /// When it begins, on the common clock of all nodes.
    pub from: String,
    /// Telling lines that nodes said in it that they had left out.
    pub dropped_lines: u64,
    /// All classes.
    pub total: Breakdown,
    /// By class.
    pub classes: BTreeMap<String, Breakdown>,
}

/// Counts while lines are read.
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

/// Breaks the requests of all runs down.
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
        came_ms,
        class,
        kind,
    } in &requests.ended
    {
        all.add(class, kind);
        let number = find_window(*came_ms, window);
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
        .map(|(number, counts)| close_window(number, window, counts, sampling))
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
        total: all.total.close(sampling),
        classes: close_classes(all.classes, sampling),
        windows,
    }
}

fn close_window(
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
        total: counts.total.close(sampling),
        classes: close_classes(counts.classes, sampling),
    }
}

fn close_classes(
    classes: BTreeMap<String, Counts>,
    sampling: Sampling,
) -> BTreeMap<String, Breakdown> {
    let classes = classes.into_iter();
    classes
        .map(|(class, counts)| (class, counts.close(sampling)))
        .collect()
}

/// The worst share first, of equal shares that with more misses, then the earlier. Windows without a share
/// come last.
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

/// Lines that lie between two lines of a run by their numbers.
fn count_gaps(incarnation: &NodeIncarnation) -> u64 {
    let pairs = incarnation.lines.windows(2);
    let gap = |one: &LogLine, next: &LogLine| next.seq.saturating_sub(one.seq).saturating_sub(1);
    pairs
        .map(|pair| gap(&pair[0], &pair[1]))
        .fold(0, u64::saturating_add)
}

/// Windows begin at whole multiples of their length, so that those of two reports can be compared.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "whole milliseconds since the Unix epoch, never before it"
)]
fn find_window(at_ms: f64, window: Duration) -> u64 {
    at_ms.clamp(0.0, LATEST_MS) as u64 / to_millis(window)
}

/// At least one, since it divides.
fn to_millis(window: Duration) -> u64 {
    u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1)
}
