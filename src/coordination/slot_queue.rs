//! Which requests run at an upstream, which wait and which are refused, at the node beside it.
//!
//! Pure: every event carries its moment. The node is the only way to its upstream, so the count of
//! running requests is exact, and an upstream that is never given more than its limit never rejects.
//!
//! VMs are shared with others, and work that starts while the VM is slow stays slow to its end: it
//! holds its slot for several times as long. So a start waits for the VM to recover if that is the
//! sooner end, and other nodes are asked meanwhile.
//!
//! Load pattern answered: more work comes than can be done, for seconds. Then nearly all that waits would be late, and
//! an order of arrival makes all of it late. So a request that can't be on time never goes before one that can, and
//! it waits only if such requests were given slots lately; else it is refused at once, while its client still has
//! time to do something else.

mod forecast;
mod late_start_share;

use crate::{
    coordination::{
        slow_start::{SlowStart, WarmupReport},
        vm_slowdown::VmSlowdown,
    },
    state::{ablation::Mechanism, timestamp::Timestamp},
};
use forecast::forecast_start;
use late_start_share::LateStartShare;
use std::time::Duration;

/// Number of a request in the queue or at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotNumber(pub u64);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Time in which it has to end to be taken; zero if it wants a slot at once or none.
    pub finish_within: Duration,
    /// Time in which it is to end to be on time; zero if that is over.
    pub target_left: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Time that it takes at the best pace.
    pub expected: Duration,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// It runs now.
    Run(SlotNumber),
    /// It waits.
    Wait(SlotNumber),
    /// It would not end in time.
    Refuse {
        /// Time in which it would have ended.
        finish_in: Duration,
    },
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// It runs now.
    Start(SlotNumber),
    /// It waits no longer: it can't end before its deadline, or nothing runs here.
    Expire(SlotNumber),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: SlotNumber,
    priority: u8,
    expected: Duration,
    /// Started later, it ends later than it should; none if it could not end in time when it came.
    on_time_until: Option<Timestamp>,
    /// Started later, it does not end before its deadline.
    until: Timestamp,
}

impl Waiting {
    /// Requests that can still be on time go before those of their priority that can't: work for an
    /// answer that is late already would make the next one late as well.
    fn rank(&self, now: Timestamp) -> (u8, bool) {
        let priority = if Mechanism::Priorities.is_disabled() {
            0
        } else {
            self.priority
        };
        (priority, self.is_late(now))
    }

    fn is_late(&self, now: Timestamp) -> bool {
        self.on_time_until.is_none_or(|until| now > until)
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    number: SlotNumber,
    ends: Timestamp,
}

/// The slots of one upstream.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    limit: usize,
    running: Vec<Running>,
    /// In the order of arrival.
    waiting: Vec<Waiting>,
    next_number: u64,
    slowdown: VmSlowdown,
    late_start_share: LateStartShare,
    slow_start: SlowStart,
}

impl SlotQueue {
    /// An idle upstream that runs `limit` requests at once.
    #[must_use]
    pub fn new(limit: usize, now: Timestamp) -> Self {
        Self {
            limit: limit.max(1),
            running: Vec::new(),
            waiting: Vec::new(),
            next_number: 0,
            slowdown: VmSlowdown::NONE,
            late_start_share: LateStartShare::default(),
            slow_start: SlowStart::new(now),
        }
    }

    /// Requests at the upstream.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
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

    /// How fast the VM works, as last told.
    #[must_use]
    pub fn slowdown(&self) -> VmSlowdown {
        self.slowdown
    }

    /// Takes a new limit; requests beyond a lowered one end as they would have.
    pub fn set_limit(&mut self, limit: usize, now: Timestamp) -> Vec<SlotAction> {
        self.limit = limit.max(1);
        self.fill(now)
    }

    /// Resets the warmup for a new run of the upstream.
    pub fn begin_incarnation(&mut self) {
        self.slow_start.begin_incarnation();
    }

    /// Records that the current run of the upstream got requests of an earlier process of this node.
    pub fn mark_incarnation_inherited(&mut self) {
        self.slow_start.mark_incarnation_inherited();
    }

    /// Records the warmup state that the upstream reports.
    pub fn record_warmup(&mut self, told: WarmupReport, now: Timestamp) {
        self.slow_start.record_report(told, now);
    }

    /// Whether the upstream is cold as far as is known.
    #[must_use]
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.slow_start.is_warming_up(now)
    }

    /// Records the current pace of the VM.
    pub fn set_slowdown(&mut self, slowdown: VmSlowdown, now: Timestamp) -> Vec<SlotAction> {
        self.slowdown = slowdown;
        self.fill(now)
    }

    /// Decides on a new request.
    pub fn submit(&mut self, request: SlotRequest, now: Timestamp) -> SlotDecision {
        let on_time = self.forecast(&request, now);
        let fits = on_time <= request.target_left;
        let waiting = self.describe(&request, fits, now);
        if self.may_start(&request, now) {
            self.next_number += 1;
            self.late_start_share.note_idle();
            self.start(&waiting, now);
            return SlotDecision::Run(waiting.number);
        }
        let finish_in = if fits {
            on_time
        } else {
            self.forecast_late(&request, now)
        };
        if finish_in > request.finish_within {
            return SlotDecision::Refuse { finish_in };
        }
        self.next_number += 1;
        self.waiting.push(waiting);
        SlotDecision::Wait(waiting.number)
    }

    /// The request as it would wait; `fits` if it could end in time.
    fn describe(&self, request: &SlotRequest, fits: bool, now: Timestamp) -> Waiting {
        let takes = self.slowdown.estimate_baseline_duration(request.expected);
        let latest = now + request.target_left.saturating_sub(takes);
        Waiting {
            number: SlotNumber(self.next_number),
            priority: request.priority,
            expected: request.expected,
            on_time_until: fits.then_some(latest),
            until: now + request.time_left.saturating_sub(takes),
        }
    }

    /// Whether a new request runs at once. At a slow moment one that wants a slot at once goes to another node.
    fn may_start(&self, request: &SlotRequest, now: Timestamp) -> bool {
        let has_room = self.has_room(now) && self.waiting.is_empty();
        let goes_elsewhere = self.slowdown.is_above_baseline() && request.finish_within.is_zero();
        has_room && self.slowdown.should_start_now(request.expected) && !goes_elsewhere
    }

    /// Whether one more request may run now.
    fn has_room(&self, now: Timestamp) -> bool {
        self.running.len() < self.limit && self.slow_start.wait(0, now).is_zero()
    }

    /// Records the end of a request at the upstream.
    pub fn finish(&mut self, number: SlotNumber, now: Timestamp) -> Vec<SlotAction> {
        self.running.retain(|running| running.number != number);
        self.fill(now)
    }

    /// Takes out a request that waits; false if it does not wait any longer.
    pub fn withdraw(&mut self, number: SlotNumber) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.number != number);
        self.waiting.len() < before
    }

    /// Takes out all requests that wait.
    pub fn withdraw_all(&mut self) -> Vec<SlotAction> {
        let waiting = self.waiting.drain(..);
        waiting
            .map(|waiting| SlotAction::Expire(waiting.number))
            .collect()
    }

    /// Looks at the waiting requests again.
    pub fn expire(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.fill(now)
    }

    /// When [`Self::expire`] has something to do.
    #[must_use]
    pub fn next_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        let expiry = self.waiting.iter().map(|waiting| waiting.until).min()?;
        let wait = self.slow_start.wait(0, now);
        let is_held_back = self.running.len() < self.limit && !wait.is_zero();
        Some(if is_held_back {
            expiry.min(now + wait)
        } else {
            expiry
        })
    }

    /// Time in which a request would have ended that is offered now and goes before those that are late.
    fn forecast(&self, request: &SlotRequest, now: Timestamp) -> Duration {
        let rank = (request.priority, false);
        let before = self
            .waiting
            .iter()
            .filter(|waiting| waiting.rank(now) <= rank);
        let held_back = self.slow_start.wait(before.clone().count(), now);
        let ahead =
            before.map(|waiting| self.slowdown.estimate_baseline_duration(waiting.expected));
        let ends = self.running.iter().map(|running| running.ends.since(now));
        let starts_slow = self.slowdown.should_start_now(request.expected);
        let (pause, takes) = if starts_slow {
            (
                Duration::ZERO,
                self.slowdown.estimate_duration(request.expected),
            )
        } else {
            (
                self.slowdown.remaining,
                self.slowdown.estimate_baseline_duration(request.expected),
            )
        };
        forecast_start(self.limit, ends, ahead, pause).max(held_back) + takes
    }

    /// The same for one that goes after those that can be on time, also those that are still to come.
    fn forecast_late(&self, request: &SlotRequest, now: Timestamp) -> Duration {
        let rank = (request.priority, true);
        let late = self.waiting.iter().filter(|waiting| waiting.is_late(now));
        let ahead: Duration = late
            .filter(|waiting| waiting.rank(now) <= rank)
            .map(|waiting| waiting.expected)
            .sum();
        let wait = self
            .late_start_share
            .stretch(ahead, request.expected, self.limit);
        self.forecast(request, now) + self.slowdown.estimate_baseline_duration(wait)
    }

    fn start(&mut self, waiting: &Waiting, now: Timestamp) {
        self.slow_start.record_start(now);
        self.running.push(Running {
            number: waiting.number,
            ends: now + self.slowdown.estimate_duration(waiting.expected),
        });
    }

    fn fill(&mut self, now: Timestamp) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let kept = now < waiting.until;
            if !kept {
                actions.push(SlotAction::Expire(waiting.number));
            }
            kept
        });
        while self.has_room(now) {
            let Some(index) = self.find_next(now) else {
                break;
            };
            let late_waits = self.waiting.iter().any(|waiting| waiting.is_late(now));
            let next = self.waiting.remove(index);
            self.late_start_share
                .note_start(late_waits, next.is_late(now));
            self.start(&next, now);
            actions.push(SlotAction::Start(next.number));
        }
        actions
    }

    fn find_next(&self, now: Timestamp) -> Option<usize> {
        let startable = |waiting: &Waiting| self.slowdown.should_start_now(waiting.expected);
        let indexed = self.waiting.iter().enumerate();
        indexed
            .filter(|(_, waiting)| startable(waiting))
            .min_by_key(|(index, waiting)| (waiting.rank(now), *index))
            .map(|(index, _)| index)
    }
}
