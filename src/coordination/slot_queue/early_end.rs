//! Waiting requests that must end before their deadlines, because the node that waits for their answers stops.

use super::{SlotAction, SlotNumber, SlotQueue, Waiting, forecast::forecast_start};
use crate::{coordination::vm_slowdown::VmSlowdown, state::timestamp::Timestamp};
use std::time::Duration;

/// Time that is reserved for a request that must not be cut, as a multiple of its expected duration. Many requests take longer than
/// expected.
const RESERVED_DURATION_FACTOR: f64 = 1.5;

impl SlotQueue {
    /// Whether a request of this expected duration can be expected to end within `time_left` if it starts now.
    #[must_use]
    pub fn can_end_within(&self, expected: Duration, time_left: Duration) -> bool {
        reserve_duration(self.slowdown, expected) <= time_left
    }

    /// Bounds the end of waiting requests. Those that are forecast to end later are removed, now or as soon as the forecast says so.
    pub fn limit_end(
        &mut self,
        numbers: &[SlotNumber],
        end: Timestamp,
        now: Timestamp,
    ) -> Vec<SlotAction> {
        let slowdown = self.slowdown;
        let waiting = self.waiting.iter_mut();
        for waiting in waiting.filter(|waiting| numbers.contains(&waiting.number)) {
            let latest_start = end - reserve_duration(slowdown, waiting.expected);
            if latest_start < waiting.latest_start {
                waiting.latest_start = latest_start;
                waiting.ends_early = true;
            }
        }
        self.start_waiting(now)
    }

    /// Removes the requests with a bounded end that are forecast to start too late. Their clients have more time elsewhere the sooner
    /// they know it.
    pub(super) fn remove_ending_late(&mut self, now: Timestamp) -> Vec<SlotAction> {
        if !self.waiting.iter().any(|waiting| waiting.ends_early) {
            return Vec::new();
        }
        let mut order = self.waiting.clone();
        order.sort_by_key(|waiting| (waiting.rank(now), waiting.number.0));
        let mut actions = Vec::new();
        for waiting in order.iter().filter(|waiting| waiting.ends_early) {
            if now + self.forecast_wait(waiting, now) > waiting.latest_start {
                self.withdraw(waiting.number);
                actions.push(SlotAction::Expire(waiting.number));
            }
        }
        actions
    }

    /// Removes those of the waiting requests whose deadline is after `end`.
    pub fn withdraw_ending_after(
        &mut self,
        numbers: &[SlotNumber],
        end: Timestamp,
    ) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        let slowdown = self.slowdown;
        self.waiting.retain(|waiting| {
            let duration = slowdown.estimate_baseline_duration(waiting.expected);
            let ends_in_time = waiting.latest_start + duration <= end;
            let kept = ends_in_time || !numbers.contains(&waiting.number);
            if !kept {
                actions.push(SlotAction::Expire(waiting.number));
            }
            kept
        });
        actions
    }

    /// Time until a waiting request starts, if those that precede it keep arriving as they did lately.
    fn forecast_wait(&self, waiting: &Waiting, now: Timestamp) -> Duration {
        let place = |waiting: &Waiting| (waiting.rank(now), waiting.number.0);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| place(other) < place(waiting));
        let rate_wait = self.wait_for_rate(ahead.clone().count(), now);
        let ahead = ahead.map(|other| self.slowdown.estimate_baseline_duration(other.expected));
        let running_ends = self
            .running
            .iter()
            .map(|running| running.ends_at.since(now));
        let wait = forecast_start(self.limit, running_ends, ahead, self.slowdown.remaining);
        let rank = (waiting.priority, waiting.is_late(now));
        let interval = self.estimate_start_interval();
        let factor = self.recent_arrivals.find_delay_factor(rank, interval, now);
        wait.max(rate_wait).mul_f64(factor)
    }

    /// Mean time between two starts while all slots are used.
    fn estimate_start_interval(&self) -> Duration {
        let durations = self
            .running
            .iter()
            .map(|running| running.ends_at.since(running.started));
        let total: Duration = durations.sum();
        let slots = self.running.len().max(1) * self.limit;
        total / u32::try_from(slots).unwrap_or(u32::MAX)
    }
}

fn reserve_duration(slowdown: VmSlowdown, expected: Duration) -> Duration {
    let duration = slowdown.estimate_baseline_duration(expected);
    duration.mul_f64(RESERVED_DURATION_FACTOR)
}
