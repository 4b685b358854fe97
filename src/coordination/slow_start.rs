//! How many requests a cold upstream is given.
//!
//! A cold upstream tolerates a rate and crashes at much more. The node beside it is the only way to it, so the starts of any second are
//! counted here, also while it is warm: it may become cold at any moment, and the starts of the second before still count.
//!
//! Load pattern answered: all upstreams come back cold at once, and what has waited meanwhile is started in one go.

use crate::state::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Span within which starts are counted: the second of the operators' bound, and the time that the clocks of node and upstream
/// may run apart in it.
const WINDOW: Duration = Duration::from_millis(1_020);
/// Starts that are remembered at most. No service tolerates as many within the window when cold.
const REMEMBERED: usize = 4_096;
/// A process that ended is started again later than that.
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
        let limit = (per_second * self.overage + self.slack).clamp(1.0, 4_096.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped"
        )]
        let limit = limit.floor() as usize;
        limit
    }
}

/// What an upstream told of its cold time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldColdTime {
    /// How much longer it is cold.
    pub left: Duration,
    /// How long it is cold altogether.
    pub lasts: Duration,
    /// Most requests within a second meanwhile.
    pub limit: usize,
}

/// Counts the starts at one upstream, and bounds them while it is cold.
#[derive(Clone, Debug)]
pub struct SlowStart {
    limit: usize,
    cold_until: Moment,
    /// The last starts, oldest first.
    starts: VecDeque<Moment>,
    /// Since when starts at the present run are counted, if an earlier process of the node may have started some before.
    counted_since: Option<Moment>,
}

impl SlowStart {
    /// Of a node that has started now, and does not know what an earlier process of it has started.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            limit: REMEMBERED,
            cold_until: Moment::default(),
            starts: VecDeque::new(),
            counted_since: Some(now),
        }
    }

    /// Another run of the upstream has come: this process has seen all its starts. Those of the run before still count, since it may be
    /// the same upstream under the identity that it had.
    pub fn begin_run(&mut self) {
        self.cold_until = Moment::default();
        self.counted_since = None;
    }

    /// Takes in what the upstream told. It never shortens the cold time: the word may have been under way for seconds.
    pub fn note_told(&mut self, told: ToldColdTime, now: Moment) {
        if told.left.is_zero() {
            return;
        }
        self.limit = told.limit.clamp(1, REMEMBERED);
        self.cold_until = self.cold_until.max(now + told.left);
        let cold_for = told.lasts.saturating_sub(told.left);
        let began_here =
            |counted| !told.lasts.is_zero() && cold_for <= now.since(counted) + RESTART_PAUSE;
        self.counted_since = self.counted_since.filter(|counted| !began_here(*counted));
    }

    /// Whether the upstream is cold as far as is known.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Notes a start.
    pub fn note_start(&mut self, now: Moment) {
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

    /// Time until a request may start with `ahead` others before it.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Moment) -> Duration {
        if !self.is_cold(now) {
            return Duration::ZERO;
        }
        let until_warm = self.cold_until.since(now);
        let counted = self.counted_since.map(|since| (since + WINDOW).since(now));
        let uncounted = counted.unwrap_or_default();
        (uncounted + self.wait_in_window(ahead, now)).min(until_warm)
    }

    fn wait_in_window(&self, ahead: usize, now: Moment) -> Duration {
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
