//! Limit on the requests that an upstream gets while it warms up.
//!
//! During its warm-up, an upstream tolerates a limited request rate and crashes well above it. All requests reach it through its
//! local node, so this node counts the requests of the last second, by the latest time at which they may have arrived. It also counts
//! while the upstream is not warming up: a warm-up may begin at any time, and earlier requests within the same second count towards
//! the limit.
//!
//! Load pattern: all upstreams restart at once, and the requests queued meanwhile would start in one burst.

mod arrivals;

use crate::state::timestamp::Timestamp;
use arrivals::{MAX_ARRIVALS, RecentArrivals};
use std::time::Duration;

/// Sliding window of the limit: one second plus a margin for timer granularity.
const LIMIT_WINDOW: Duration = Duration::from_millis(1_020);
/// Minimum time between the end of a node process and the start of the next one on the same VM.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Factor and slack that turn the request rate that a service tolerates during warm-up into the limit for any second, set by the
/// operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Factor applied to the tolerated rate.
    pub overage: f64,
    /// Number of requests added to the product.
    pub slack: f64,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

impl SlowStartSettings {
    /// Maximum number of requests within any second of the warm-up, if the upstream tolerates `requests_per_minute` then; at least
    /// one.
    #[must_use]
    pub fn limit(&self, requests_per_minute: u32) -> usize {
        let per_second = f64::from(requests_per_minute) / 60.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates"
        )]
        let limit = (per_second * self.overage + self.slack).floor() as usize;
        limit.clamp(1, MAX_ARRIVALS)
    }
}

/// Warm-up state reported by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupReport {
    /// Remaining warm-up time.
    pub remaining: Duration,
    /// Total warm-up time; zero if unknown.
    pub total: Duration,
    /// Maximum number of requests within any second of the warm-up.
    pub limit: usize,
}

/// The start of a request during a warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupStart {
    /// Remaining warm-up time.
    pub remaining: Duration,
    /// Number of requests counted within the window of the limit, including this one.
    pub counted: usize,
    /// Maximum number of requests within any second of the warm-up.
    pub limit: usize,
}

/// Counts requests started at one upstream and limits them while it is cold.
#[derive(Clone, Debug)]
pub struct SlowStart {
    limit: usize,
    warmup_until: Timestamp,
    arrivals: RecentArrivals,
    /// Start of the counting. Set while an earlier process of this node may have sent requests to the current incarnation of the
    /// upstream; these are not counted.
    counted_since: Option<Timestamp>,
    /// Start time of this node process.
    started: Timestamp,
    /// Whether an earlier process of this node has sent requests to the current incarnation of the upstream.
    is_inherited: bool,
}

impl SlowStart {
    /// Creates the state of a node process that starts now. The requests sent by an earlier process are unknown.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            limit: MAX_ARRIVALS,
            warmup_until: Timestamp::default(),
            arrivals: RecentArrivals::default(),
            counted_since: Some(now),
            started: now,
            is_inherited: false,
        }
    }

    /// Resets the warm-up for a new incarnation of the upstream. Starts at the previous incarnation still count, including those of
    /// an earlier process of this node: an upstream may restart under the same identity within the window, and its warm-up may
    /// have begun before.
    pub fn begin_incarnation(&mut self) {
        self.warmup_until = Timestamp::default();
        self.counted_since = Some(self.started);
        self.is_inherited = false;
    }

    /// Records that the current incarnation of the upstream got requests from an earlier process of this node. A warm-up that began
    /// after that process ended doesn't rule this out: the upstream may have been warming up before as well.
    pub fn mark_incarnation_inherited(&mut self) {
        self.counted_since = Some(self.started);
        self.is_inherited = true;
    }

    /// Records a warm-up report of the upstream. A report may be delayed by seconds, so it never shortens the known warm-up.
    pub fn record_report(&mut self, report: WarmupReport, now: Timestamp) {
        if report.remaining.is_zero() {
            return;
        }
        self.limit = report.limit.clamp(1, MAX_ARRIVALS);
        self.warmup_until = self.warmup_until.max(now + report.remaining);
        let elapsed = report.total.saturating_sub(report.remaining);
        let is_known = !self.is_inherited && !report.total.is_zero();
        // Requests of a warm-up that began while this process was running have all been counted.
        let began_in_this_process =
            |counted| is_known && elapsed <= now.since(counted) + MIN_RESTART_PAUSE;
        self.counted_since = self
            .counted_since
            .filter(|counted| !began_in_this_process(*counted));
    }

    /// Whether the upstream is known to be warming up.
    #[must_use]
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        now < self.warmup_until
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Timestamp) {
        self.arrivals.record_start(now);
    }

    /// Records the answer to a request that started at `started`.
    pub fn record_answer(&mut self, started: Timestamp, now: Timestamp) {
        self.arrivals.record_answer(started, now, LIMIT_WINDOW);
    }

    /// Records that a request which started at `started` has ended without an answer.
    pub fn record_abandonment(&mut self, started: Timestamp, now: Timestamp) {
        self.arrivals.record_abandonment(started, now, LIMIT_WINDOW);
    }

    /// What is known of the warm-up when a request has started; `None` if the upstream isn't known to be warming up.
    #[must_use]
    pub fn describe_start(&self, now: Timestamp) -> Option<WarmupStart> {
        self.is_warming_up(now).then(|| WarmupStart {
            remaining: self.warmup_until.since(now),
            counted: self.arrivals.list_within(LIMIT_WINDOW, now).len(),
            limit: self.limit,
        })
    }

    /// Time until a request may start if `ahead` other requests start before it; zero if no warm-up of the upstream is known.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Timestamp) -> Duration {
        if !self.is_warming_up(now) {
            return Duration::ZERO;
        }
        let until_warm = self.warmup_until.since(now);
        let until_all_counted = self
            .counted_since
            .map(|since| (since + LIMIT_WINDOW).since(now));
        let uncounted_wait = until_all_counted.unwrap_or_default();
        (uncounted_wait + self.wait_in_window(ahead, now)).min(until_warm)
    }

    fn wait_in_window(&self, ahead: usize, now: Timestamp) -> Duration {
        let arrivals = self.arrivals.list_within(LIMIT_WINDOW, now);
        let position = arrivals.len() + ahead;
        let Some(to_expire) = position.checked_sub(self.limit) else {
            return Duration::ZERO;
        };
        let windows = u32::try_from(to_expire / self.limit).unwrap_or(u32::MAX);
        let next = arrivals
            .get(to_expire % self.limit)
            .map_or(LIMIT_WINDOW, |at| (*at + LIMIT_WINDOW).since(now));
        next.saturating_add(LIMIT_WINDOW.saturating_mul(windows))
    }
}
