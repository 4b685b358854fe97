//! Refusal of requests at an upstream with a request limit as soon as their turn is forecast beyond their deadline.
//!
//! Load pattern: all upstreams of a service name a limit of a fraction of the load. Requests that arrive later and can meet their
//! target start first, so a late one would wait until its deadline, and its client would learn only then that it was not served.

use super::{SlotAction, SlotNumber, SlotQueue, SlotRequest, Waiting, recent_arrivals::StartRank};
use crate::state::timestamp::Timestamp;
use std::time::Duration;

impl SlotQueue {
    /// Sets whether requests are refused as soon as their turn is forecast beyond their deadline, instead of at the last time at
    /// which they could start.
    pub fn set_early_refusal(&mut self, refuses_early: bool) {
        self.refuses_early = refuses_early;
    }

    /// Counts a request that runs or waits.
    pub(super) fn record_arrival(&mut self, rank: StartRank, now: Timestamp) {
        self.recent_arrivals.record(rank, now);
    }

    /// Time by which late requests that start first delay a new late one under the request limit; zero without one.
    pub(super) fn estimate_limited_wait(&self, late_ahead: usize) -> Duration {
        if !self.forecasts_limited_turns() {
            return Duration::ZERO;
        }
        let starts = self.late_start_share.estimate_starts(late_ahead);
        self.request_limit.interval().mul_f64(starts)
    }

    /// Time in which a new request is forecast to finish, if that is beyond its deadline once requests that are yet to arrive and
    /// start first are counted; `None` if it may finish before. `finish_in` is the forecast without them.
    pub(super) fn find_hopeless_finish(
        &self,
        request: &SlotRequest,
        finish_in: Duration,
        now: Timestamp,
    ) -> Option<Duration> {
        if !self.forecasts_limited_turns() {
            return None;
        }
        let duration = self.slowdown.estimate_baseline_duration(request.expected);
        let wait = finish_in.saturating_sub(duration);
        let rank = (request.priority, finish_in > request.target_left);
        let finish = self.delay_by_arrivals(rank, wait, now) + duration;
        (finish > request.time_left).then(|| finish.max(finish_in))
    }

    /// Removes the waiting requests whose turn is forecast beyond their deadline.
    pub(super) fn remove_hopeless(&mut self, now: Timestamp) -> Vec<SlotAction> {
        if self.waiting.is_empty() || !self.forecasts_limited_turns() {
            return Vec::new();
        }
        let hopeless = self.find_hopeless(now);
        self.waiting
            .retain(|waiting| !hopeless.contains(&waiting.number));
        hopeless.into_iter().map(SlotAction::Expire).collect()
    }

    /// Goes through the waiting requests in the order in which they start; those that are refused don't count.
    fn find_hopeless(&self, now: Timestamp) -> Vec<SlotNumber> {
        let mut order: Vec<&Waiting> = self.waiting.iter().collect();
        order.sort_by_key(|waiting| (waiting.rank(now), waiting.number.0));
        let mut starts = 0;
        let mut hopeless = Vec::new();
        for waiting in order {
            let wait = self.wait_for_rate(starts, now);
            let rank = (waiting.priority, waiting.is_late(now));
            if now + self.delay_by_arrivals(rank, wait, now) > waiting.latest_start {
                hopeless.push(waiting.number);
            } else {
                starts += 1;
            }
        }
        hopeless
    }

    fn forecasts_limited_turns(&self) -> bool {
        self.refuses_early && self.request_limit.rate().is_some()
    }

    /// Lengthens a wait by requests that are yet to arrive and start first.
    fn delay_by_arrivals(&self, rank: StartRank, wait: Duration, now: Timestamp) -> Duration {
        let interval = self.request_limit.interval();
        let arrivals = &self.recent_arrivals;
        wait.mul_f64(arrivals.find_delay_factor(rank, interval, now))
    }
}
