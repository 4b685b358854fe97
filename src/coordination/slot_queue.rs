//! Admission of requests to an upstream at its local node: each request runs, waits in the queue or is refused.
//!
//! The code is pure: every event carries its time. All requests reach an upstream through its local node, so the count of running
//! requests is exact, and an upstream that never gets more than its limit never rejects a request.
//!
//! Upstreams share their hosts with other VMs. Work that starts while the VM is slowed down stays slow until its end and occupies
//! its slot for several times as long. So a start is delayed until the slowdown ends if the request then finishes sooner, and new
//! requests try other nodes meanwhile.
//!
//! Load pattern: for seconds, more requests arrive than can be executed, so most of those that wait would finish late, and in
//! order of arrival all of them would. So a request that can't finish within its latency target is never started before a request
//! of the same priority that can. It waits only if late requests have recently got slots; otherwise it is refused at once, while
//! its client still has time to do something else.

mod early_end;
mod early_refusal;
mod fair_order;
mod forecast;
mod late_start_share;
mod recent_arrivals;
mod waiting;

use crate::{
    coordination::{
        request_limit::RequestLimit,
        slow_start::{SlowStart, WarmupReport, WarmupStart},
        vm_slowdown::VmSlowdown,
    },
    state::{
        names::OrganisationName,
        request_rate::{LimitReport, RequestRate},
        timestamp::Timestamp,
    },
};
use fair_order::{FairOrder, FairTag};
use forecast::forecast_start;
use late_start_share::LateStartShare;
use recent_arrivals::RecentArrivals;
use std::time::Duration;
use waiting::Waiting;

/// Number that identifies a request while it waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotNumber(pub u64);

/// Request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Priority; 0 is the highest.
    pub priority: u16,
    /// Organisation that sent the request, among which the slots are shared.
    pub organisation: Option<OrganisationName>,
    /// Time within which the request must finish, otherwise it is refused; zero if it is refused unless a slot is free.
    pub finish_within: Duration,
    /// Time left until its latency target; zero if the target has passed.
    pub target_left: Duration,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// Expected execution time at full speed of the VM.
    pub expected: Duration,
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request runs now.
    Run(SlotNumber),
    /// The request waits in the queue.
    Wait(SlotNumber),
    /// The request could not finish in time.
    Refuse {
        /// Time in which the request would have finished.
        finish_in: Duration,
    },
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// The request runs now.
    Start(SlotNumber),
    /// The request is removed from the queue: it can't finish before its deadline, or the node has stopped executing requests.
    Expire(SlotNumber),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    number: SlotNumber,
    started: Timestamp,
    ends_at: Timestamp,
    is_answered: bool,
}

/// Running and waiting requests of one upstream.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    limit: usize,
    running: Vec<Running>,
    /// In order of arrival.
    waiting: Vec<Waiting>,
    next_number: u64,
    slowdown: VmSlowdown,
    late_start_share: LateStartShare,
    slow_start: SlowStart,
    request_limit: RequestLimit,
    fair_order: FairOrder,
    /// Whether requests are refused as soon as their turn is forecast beyond their deadline.
    refuses_early: bool,
    recent_arrivals: RecentArrivals,
}

impl SlotQueue {
    /// Creates the queue of an idle upstream that executes at most `limit` requests concurrently.
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
            request_limit: RequestLimit::default(),
            fair_order: FairOrder::default(),
            refuses_early: false,
            recent_arrivals: RecentArrivals::default(),
        }
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Maximum number of running requests.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Last known slowdown of the VM.
    #[must_use]
    pub fn slowdown(&self) -> VmSlowdown {
        self.slowdown
    }

    /// Changes the limit. Running requests that exceed a lowered limit continue.
    pub fn set_limit(&mut self, limit: usize, now: Timestamp) -> Vec<SlotAction> {
        self.limit = limit.max(1);
        self.start_waiting(now)
    }

    /// Resets the warm-up and the request limit for a new incarnation of the upstream.
    pub fn begin_incarnation(&mut self) {
        self.slow_start.begin_incarnation();
        self.request_limit.begin_incarnation();
    }

    /// Records that the current incarnation of the upstream got requests from an earlier process of this node.
    pub fn mark_incarnation_inherited(&mut self) {
        self.slow_start.mark_incarnation_inherited();
    }

    /// Records the warm-up state that the upstream reports.
    pub fn record_warmup(&mut self, report: WarmupReport, now: Timestamp) {
        self.slow_start.record_report(report, now);
    }

    /// Whether the upstream is known to be warming up.
    #[must_use]
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.slow_start.is_warming_up(now)
    }

    /// What is known of the warm-up when a request has started; `None` if the upstream isn't known to be warming up.
    #[must_use]
    pub fn describe_warmup_start(&self, now: Timestamp) -> Option<WarmupStart> {
        self.slow_start.describe_start(now)
    }

    /// The request limit that the upstream names; `None` if it names none.
    #[must_use]
    pub fn request_limit(&self) -> Option<RequestRate> {
        self.request_limit.rate()
    }

    /// Records what an answer to a request that was sent at `sent` says about the request limit.
    pub fn record_limit_report(
        &mut self,
        report: LimitReport,
        sent: Timestamp,
        now: Timestamp,
    ) -> Vec<SlotAction> {
        self.request_limit.record_report(report, sent, now);
        self.start_waiting(now)
    }

    /// Records a request limit that an entry node remembers.
    pub fn record_remembered_limit(&mut self, rate: RequestRate, now: Timestamp) {
        self.request_limit.record_remembered(rate, now);
    }

    /// Records the current slowdown of the VM.
    pub fn set_slowdown(&mut self, slowdown: VmSlowdown, now: Timestamp) -> Vec<SlotAction> {
        self.slowdown = slowdown;
        self.start_waiting(now)
    }

    /// Decides on a new request.
    pub fn submit(&mut self, request: &SlotRequest, now: Timestamp) -> SlotDecision {
        let fair_tag = self.fair_order.next_tag(request.organisation.as_ref());
        let finish_before_late = self.forecast_finish(request, fair_tag, now);
        let meets_target = finish_before_late <= request.target_left;
        let waiting = self.build_entry(request, fair_tag, meets_target, now);
        if self.may_start(request, now) {
            self.next_number += 1;
            self.charge_organisation(request);
            self.late_start_share.record_immediate_start();
            let rank = (request.priority, !meets_target);
            self.record_arrival(rank, now);
            self.start(&waiting, now);
            return SlotDecision::Run(waiting.number);
        }
        let finish_in = if meets_target {
            finish_before_late
        } else {
            self.forecast_late_finish(request, fair_tag, now)
        };
        if let Some(finish_in) = self.find_hopeless_finish(request, finish_in, now) {
            return SlotDecision::Refuse { finish_in };
        }
        if finish_in > request.finish_within {
            return SlotDecision::Refuse { finish_in };
        }
        self.next_number += 1;
        self.charge_organisation(request);
        let rank = (request.priority, !meets_target);
        self.record_arrival(rank, now);
        self.waiting.push(waiting);
        SlotDecision::Wait(waiting.number)
    }

    /// Builds the queue entry of a request; `meets_target` is true if it can finish within its latency target.
    fn build_entry(
        &self,
        request: &SlotRequest,
        fair_tag: FairTag,
        meets_target: bool,
        now: Timestamp,
    ) -> Waiting {
        let duration = self.slowdown.estimate_baseline_duration(request.expected);
        let latest_on_time_start = now + request.target_left.saturating_sub(duration);
        Waiting {
            number: SlotNumber(self.next_number),
            priority: request.priority,
            fair_tag,
            expected: request.expected,
            latest_on_time_start: meets_target.then_some(latest_on_time_start),
            latest_start: now + request.time_left.saturating_sub(duration),
            ends_early: false,
        }
    }

    /// Charges the execution time of an accepted request to its organisation.
    fn charge_organisation(&mut self, request: &SlotRequest) {
        if let Some(organisation) = &request.organisation {
            self.fair_order.charge(organisation, request.expected);
        }
    }

    /// Whether a new request runs at once. While the VM is slowed down, a request that must not wait is refused, so that its entry
    /// node tries another node.
    fn may_start(&self, request: &SlotRequest, now: Timestamp) -> bool {
        let can_start_another = self.can_start_another(now) && self.waiting.is_empty();
        let is_redirected = self.slowdown.is_above_baseline() && request.finish_within.is_zero();
        can_start_another && self.slowdown.should_start_now(request.expected) && !is_redirected
    }

    /// Whether the limits and the warm-up of the upstream permit one more request now.
    fn can_start_another(&self, now: Timestamp) -> bool {
        self.running.len() < self.limit && self.wait_for_rate(0, now).is_zero()
    }

    /// Time until the warm-up and the request limit of the upstream permit a request, if `ahead` other requests start before it.
    fn wait_for_rate(&self, ahead: usize, now: Timestamp) -> Duration {
        let warmup_wait = self.slow_start.wait(ahead, now);
        warmup_wait.max(self.request_limit.wait(ahead, now))
    }

    /// Records that the upstream has answered a request, which still holds its slot.
    pub fn record_answer(&mut self, number: SlotNumber, now: Timestamp) {
        let mut running = self.running.iter_mut();
        let answered = running.find(|running| running.number == number && !running.is_answered);
        if let Some(answered) = answered {
            answered.is_answered = true;
            self.slow_start.record_answer(answered.started, now);
        }
    }

    /// Records the end of a request at the upstream.
    pub fn finish(&mut self, number: SlotNumber, now: Timestamp) -> Vec<SlotAction> {
        let index = self
            .running
            .iter()
            .position(|running| running.number == number);
        if let Some(index) = index {
            let ended = self.running.remove(index);
            if !ended.is_answered {
                self.slow_start.record_abandonment(ended.started, now);
            }
        }
        self.start_waiting(now)
    }

    /// Removes a waiting request from the queue; returns false if it is no longer waiting.
    pub fn withdraw(&mut self, number: SlotNumber) -> bool {
        let previous_len = self.waiting.len();
        self.waiting.retain(|waiting| waiting.number != number);
        self.waiting.len() < previous_len
    }

    /// Removes all waiting requests from the queue.
    pub fn withdraw_all(&mut self) -> Vec<SlotAction> {
        let waiting = self.waiting.drain(..);
        waiting
            .map(|waiting| SlotAction::Expire(waiting.number))
            .collect()
    }

    /// Removes expired requests from the queue and starts those that the limits now permit.
    pub fn expire(&mut self, now: Timestamp) -> Vec<SlotAction> {
        self.start_waiting(now)
    }

    /// Time at which [`Self::expire`] must be called next, if requests wait.
    #[must_use]
    pub fn next_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        let expiry = self
            .waiting
            .iter()
            .map(|waiting| waiting.latest_start)
            .min()?;
        let wait = self.wait_for_rate(0, now);
        let waits_for_rate = self.running.len() < self.limit && !wait.is_zero();
        Some(if waits_for_rate {
            expiry.min(now + wait)
        } else {
            expiry
        })
    }

    /// Time in which a request submitted now would finish, if it precedes waiting requests that are late.
    fn forecast_finish(
        &self,
        request: &SlotRequest,
        fair_tag: FairTag,
        now: Timestamp,
    ) -> Duration {
        let rank = (request.priority, false, fair_tag);
        let before = self
            .waiting
            .iter()
            .filter(|waiting| waiting.rank(now) <= rank);
        let rate_wait = self.wait_for_rate(before.clone().count(), now);
        let ahead =
            before.map(|waiting| self.slowdown.estimate_baseline_duration(waiting.expected));
        let running_ends = self
            .running
            .iter()
            .map(|running| running.ends_at.since(now));
        let starts_now = self.slowdown.should_start_now(request.expected);
        let (pause, duration) = if starts_now {
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
        forecast_start(self.limit, running_ends, ahead, pause).max(rate_wait) + duration
    }

    /// Time in which a request submitted now would finish if all requests that can meet their target precede it, including those
    /// that have yet to arrive.
    fn forecast_late_finish(
        &self,
        request: &SlotRequest,
        fair_tag: FairTag,
        now: Timestamp,
    ) -> Duration {
        let late_ahead = self.late_ahead(request, fair_tag, now);
        let ahead: Duration = late_ahead.clone().map(|waiting| waiting.expected).sum();
        let wait = self
            .late_start_share
            .estimate_wait(ahead, request.expected, self.limit);
        let wait = self.slowdown.estimate_baseline_duration(wait);
        let limited_wait = self.estimate_limited_wait(late_ahead.count());
        self.forecast_finish(request, fair_tag, now) + wait.max(limited_wait)
    }

    /// The late requests that start before a late request submitted now.
    fn late_ahead(
        &self,
        request: &SlotRequest,
        fair_tag: FairTag,
        now: Timestamp,
    ) -> impl Iterator<Item = &Waiting> + Clone {
        let rank = (request.priority, true, fair_tag);
        let late = self
            .waiting
            .iter()
            .filter(move |waiting| waiting.is_late(now));
        late.filter(move |waiting| waiting.rank(now) <= rank)
    }

    fn start(&mut self, waiting: &Waiting, now: Timestamp) {
        self.slow_start.record_start(now);
        self.request_limit.record_start(now);
        self.fair_order.record_start(waiting.fair_tag);
        self.running.push(Running {
            number: waiting.number,
            started: now,
            is_answered: false,
            ends_at: now + self.slowdown.estimate_duration(waiting.expected),
        });
    }

    /// Removes waiting requests that can no longer finish before their deadline, and starts others while possible.
    fn start_waiting(&mut self, now: Timestamp) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let kept = now < waiting.latest_start;
            if !kept {
                actions.push(SlotAction::Expire(waiting.number));
            }
            kept
        });
        actions.extend(self.remove_hopeless(now));
        actions.extend(self.remove_ending_late(now));
        while self.can_start_another(now) {
            let Some(index) = self.find_next_startable(now) else {
                break;
            };
            let has_late_waiting = self.waiting.iter().any(|waiting| waiting.is_late(now));
            let next = self.waiting.remove(index);
            self.late_start_share
                .record_queued_start(has_late_waiting, next.is_late(now));
            self.start(&next, now);
            actions.push(SlotAction::Start(next.number));
        }
        actions
    }

    fn find_next_startable(&self, now: Timestamp) -> Option<usize> {
        let can_start = |waiting: &Waiting| self.slowdown.should_start_now(waiting.expected);
        let indexed = self.waiting.iter().enumerate();
        indexed
            .filter(|(_, waiting)| can_start(waiting))
            .min_by_key(|(index, waiting)| (waiting.rank(now), *index))
            .map(|(index, _)| index)
    }
}
