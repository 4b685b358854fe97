//! Which requests run at an upstream, which wait and which are refused, at the node beside it.
//!
//! Pure: every event carries its moment. The node is the only way to its upstream, so the count of
//! running requests is exact, and an upstream that is never given more than its limit never rejects.

use crate::state::moment::Moment;
use std::time::Duration;

/// Time that a request is taken to need before any has ended here.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Weight of the newest service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Number of a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaitNumber(pub u64);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Longest time that it may wait for a slot; zero if it wants one at once or none.
    pub patience: Duration,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// It runs now.
    Run,
    /// It waits.
    Wait(WaitNumber),
    /// It would wait longer than it may; the estimate is for requests of its priority.
    Refuse {
        /// Expected wait.
        wait: Duration,
    },
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// It runs now.
    Start(WaitNumber),
    /// Its patience has ended.
    Expire(WaitNumber),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: WaitNumber,
    priority: u8,
    until: Moment,
}

/// The slots of one upstream.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    limit: usize,
    running: usize,
    /// Sorted by priority, then by arrival.
    waiting: Vec<Waiting>,
    next_number: u64,
    service_micros: f64,
}

impl SlotQueue {
    /// An idle upstream that runs `limit` requests at once.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            running: 0,
            waiting: Vec::new(),
            next_number: 0,
            service_micros: FIRST_SERVICE_TIME.as_secs_f64() * 1e6,
        }
    }

    /// Requests at the upstream.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Takes a new limit; requests beyond a lowered one end as they would have.
    pub fn set_limit(&mut self, limit: usize, now: Moment) -> Vec<SlotAction> {
        self.limit = limit.max(1);
        self.fill(now)
    }

    /// Decides on a new request.
    pub fn offer(&mut self, request: SlotRequest, now: Moment) -> SlotDecision {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return SlotDecision::Run;
        }
        let wait = self.expected_wait(request.priority);
        if wait > request.patience {
            return SlotDecision::Refuse { wait };
        }
        let number = WaitNumber(self.next_number);
        self.next_number += 1;
        let place = self
            .waiting
            .partition_point(|waiting| waiting.priority <= request.priority);
        let waiting = Waiting {
            number,
            priority: request.priority,
            until: now + request.patience,
        };
        self.waiting.insert(place, waiting);
        SlotDecision::Wait(number)
    }

    /// Takes in that a request at the upstream ended after `took`, if it ran to its end.
    pub fn finish(&mut self, took: Option<Duration>, now: Moment) -> Vec<SlotAction> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            let micros = took.as_secs_f64() * 1e6;
            self.service_micros += (micros - self.service_micros) * SERVICE_TIME_WEIGHT;
        }
        self.fill(now)
    }

    /// Takes out a request that waits; false if it does not wait any longer.
    pub fn withdraw(&mut self, number: WaitNumber) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.number != number);
        self.waiting.len() < before
    }

    /// Refuses what has waited too long.
    pub fn expire(&mut self, now: Moment) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let kept = now < waiting.until;
            if !kept {
                actions.push(SlotAction::Expire(waiting.number));
            }
            kept
        });
        actions
    }

    /// When [`Self::expire`] has something to do.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Moment> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }

    /// Time until a request of that priority would start.
    #[must_use]
    pub fn expected_wait(&self, priority: u8) -> Duration {
        if self.running < self.limit && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self
            .waiting
            .partition_point(|waiting| waiting.priority <= priority);
        let over = (self.running + 1).saturating_sub(self.limit).max(1);
        let turns = as_float(ahead + over) / as_float(self.limit);
        Duration::from_secs_f64(self.service_micros * turns / 1e6)
    }

    fn fill(&mut self, now: Moment) -> Vec<SlotAction> {
        let mut actions = self.expire(now);
        while self.running < self.limit && !self.waiting.is_empty() {
            let first = self.waiting.remove(0);
            self.running += 1;
            actions.push(SlotAction::Start(first.number));
        }
        actions
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests at one upstream are small"
)]
fn as_float(count: usize) -> f64 {
    count as f64
}
