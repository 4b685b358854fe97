//! Limit on the rate of requests that an upstream gets while its answers name one.
//!
//! All requests reach an upstream through its local node, so this node alone keeps the limit for all entry nodes. Entry nodes
//! remember the limit and send it along with their requests, so that a restarted node knows it before the first answer.
//!
//! Load pattern: an upstream in need names a limit of a fraction of its usual load while the load goes on. Requests beyond the
//! limit would fill its queue and delay all others.

use crate::state::{
    request_rate::{LimitReport, NamedLimit, RequestRate},
    timestamp::Timestamp,
};
use std::time::Duration;

/// After a pause, the requests of this time may start in one burst.
const BURST: Duration = Duration::from_millis(500);

/// Starts of requests at one upstream, paced by the limit that it names.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestLimit {
    named: NamedLimit,
    /// Whether an answer to this process has shown if the current incarnation of the upstream has a limit, or the incarnation
    /// began after this process.
    is_known: bool,
    /// Earliest next start without a burst.
    next_start: Timestamp,
}

impl RequestLimit {
    /// Forgets the limit, since the upstream has a new incarnation.
    pub fn begin_incarnation(&mut self) {
        *self = Self {
            is_known: true,
            ..Self::default()
        };
    }

    /// The limit in force; `None` if the upstream names none.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.named.rate()
    }

    /// Records what an answer to a request that was sent at `sent` says about the limit.
    pub fn record_report(&mut self, report: LimitReport, sent: Timestamp, now: Timestamp) {
        self.is_known |= report != LimitReport::Unknown;
        self.update(report, sent, now);
    }

    /// Records a limit that an entry node remembers, unless an answer has shown whether it still holds.
    pub fn record_remembered(&mut self, rate: RequestRate, now: Timestamp) {
        if !self.is_known {
            self.update(LimitReport::Named(rate), now, now);
        }
    }

    fn update(&mut self, report: LimitReport, sent: Timestamp, now: Timestamp) {
        let had_limit = self.rate().is_some();
        self.named.record(report, sent, now);
        let Some(rate) = self.rate() else {
            return;
        };
        let without_burst = now + rate.interval().max(BURST);
        self.next_start = if had_limit {
            self.next_start.min(without_burst)
        } else {
            without_burst
        };
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Timestamp) {
        if let Some(rate) = self.rate() {
            self.next_start = self.next_start.max(now) + rate.interval();
        }
    }

    /// Time between two starts under the limit in force; zero without one.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.rate().map_or(Duration::ZERO, RequestRate::interval)
    }

    /// Time until a request may start if `ahead` other requests start before it; zero without a limit.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Timestamp) -> Duration {
        let Some(rate) = self.rate() else {
            return Duration::ZERO;
        };
        let interval = rate.interval();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let start = self.next_start.max(now) + interval.saturating_mul(ahead);
        start.since(now + BURST.saturating_sub(interval))
    }
}
