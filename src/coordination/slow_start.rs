//! How many requests a cold upstream is given.
//!
//! A cold upstream tolerates a limited request rate and crashes well above it. All requests reach it through the local node, so this
//! node counts the starts of the last second, also while the upstream is warm: it may become cold at any moment, and earlier
//! starts within the same second count.
//!
//! Load pattern: all upstreams restart cold at once, and the requests queued meanwhile would start in one burst.

use crate::state::timestamp::Timestamp;
use std::{collections::VecDeque, time::Duration};

/// Sliding window of the limit: one second plus a margin for timer granularity.
const WINDOW: Duration = Duration::from_millis(1_020);
/// Maximum number of remembered starts, and upper bound of any limit.
const REMEMBERED: usize = 4_096;
/// Minimum time between the end of a node process and the start of the next one on the same VM.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Bounds on the requests that a cold upstream gets within any second, beside the rate that its service tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// Times the rate that the service tolerates.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for SlowStartRules {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

impl SlowStartRules {
    /// Most requests within a second for a cold upstream that tolerates that many a minute; one at least.
    #[must_use]
    pub fn limit(&self, requests_per_minute: u32) -> usize {
        let per_second = f64::from(requests_per_minute) / 60.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates"
        )]
        let limit = (per_second * self.overage + self.slack).floor() as usize;
        limit.clamp(1, REMEMBERED)
    }
}

/// Warmup state as reported by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupReport {
    /// Remaining warmup time.
    pub remaining: Duration,
    /// Total warmup time; zero if unknown.
    pub total: Duration,
    /// Maximum number of requests within any second of the warmup.
    pub limit: usize,
}

/// Counts requests started at one upstream and limits them while it is cold.
#[derive(Clone, Debug)]
pub struct SlowStart {
    limit: usize,
    warmup_until: Timestamp,
    /// The last starts, oldest first.
    starts: VecDeque<Timestamp>,
    /// Start of the counting, while an earlier process of this node may have sent requests to the current run of the upstream.
    counted_since: Option<Timestamp>,
    /// When this process started.
    started: Timestamp,
    /// An earlier process of this node has sent requests to the current run of the upstream.
    is_inherited: bool,
}

impl SlowStart {
    /// State of a node process that starts now. Requests sent by an earlier process are unknown.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            limit: REMEMBERED,
            warmup_until: Timestamp::default(),
            starts: VecDeque::new(),
            counted_since: Some(now),
            started: now,
            is_inherited: false,
        }
    }

    /// Resets the warmup for a new run of the upstream, whose requests all went through this process. Starts of the previous run still
    /// count: an upstream may restart under the same identity within the window.
    pub fn begin_incarnation(&mut self) {
        self.warmup_until = Timestamp::default();
        self.counted_since = None;
        self.is_inherited = false;
    }

    /// Records that the current run of the upstream got requests of an earlier process of this node. That the present warmup began
    /// after that process ended proves nothing: the upstream may have been cold before as well.
    pub fn mark_incarnation_inherited(&mut self) {
        self.counted_since = Some(self.started);
        self.is_inherited = true;
    }

    /// Records a report of the upstream. A report may have been delayed for seconds, so it never shortens the known warmup.
    pub fn record_report(&mut self, told: WarmupReport, now: Timestamp) {
        if told.remaining.is_zero() {
            return;
        }
        self.limit = told.limit.clamp(1, REMEMBERED);
        self.warmup_until = self.warmup_until.max(now + told.remaining);
        let elapsed = told.total.saturating_sub(told.remaining);
        let is_known = !self.is_inherited && !told.total.is_zero();
        let began_here = |counted| is_known && elapsed <= now.since(counted) + RESTART_PAUSE;
        self.counted_since = self.counted_since.filter(|counted| !began_here(*counted));
    }

    /// Whether the upstream is known to be cold.
    #[must_use]
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        now < self.warmup_until
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Timestamp) {
        while self
            .starts
            .front()
            .is_some_and(|start| *start + WINDOW <= now)
            || self.starts.len() >= REMEMBERED
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Time until a request may start if `ahead` other requests start before it.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Timestamp) -> Duration {
        if !self.is_warming_up(now) {
            return Duration::ZERO;
        }
        let until_warm = self.warmup_until.since(now);
        let counted = self.counted_since.map(|since| (since + WINDOW).since(now));
        let uncounted = counted.unwrap_or_default();
        (uncounted + self.wait_in_window(ahead, now)).min(until_warm)
    }

    fn wait_in_window(&self, ahead: usize, now: Timestamp) -> Duration {
        let counted = self.starts.iter().filter(|start| **start + WINDOW > now);
        let place = counted.clone().count() + ahead;
        let Some(leaving) = place.checked_sub(self.limit) else {
            return Duration::ZERO;
        };
        let windows = u32::try_from(leaving / self.limit).unwrap_or(u32::MAX);
        let nth = leaving % self.limit;
        let mut counted = counted.copied();
        let next = counted
            .nth(nth)
            .map_or(WINDOW, |start| (start + WINDOW).since(now));
        next.saturating_add(WINDOW.saturating_mul(windows))
    }
}
