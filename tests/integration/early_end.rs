//! Waiting requests whose sender stops: they end in time, or are refused before.

use camphorturn::{
    coordination::slot_queue::{SlotAction, SlotDecision, SlotNumber, SlotQueue, SlotRequest},
    state::timestamp::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};

const START: Timestamp = Timestamp(0);
const TARGET: Duration = ms(1_500);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn request(priority: u16, expected: Duration, time_left: Duration) -> SlotRequest {
    SlotRequest {
        priority,
        finish_within: time_left,
        target_left: TARGET,
        time_left,
        expected,
        organisation: None,
    }
}

/// Submits a request that waits.
fn enqueue(queue: &mut SlotQueue, request: &SlotRequest) -> SlotNumber {
    match queue.submit(request, START) {
        SlotDecision::Wait(number) => number,
        decision => panic!("{decision:?}"),
    }
}

/// A queue with one slot, in which a request of 100 ms runs and `count` more wait.
fn build_queue(count: usize) -> (SlotQueue, SlotNumber, Vec<SlotNumber>) {
    let mut queue = SlotQueue::new(1, START);
    let request = request(1, ms(100), ms(1_000));
    let SlotDecision::Run(running) = queue.submit(&request, START) else {
        panic!("no free slot");
    };
    let waiting = (0..count).map(|_| enqueue(&mut queue, &request)).collect();
    (queue, running, waiting)
}

/// Failure: clients of a stopping node learn only at its end that their requests were not run. Cause: requests that can't start in
/// time were refused when their last start had passed.
#[test]
fn limit_end_refuses_at_once() {
    let (mut queue, running, waiting) = build_queue(5);
    // A request needs 150 ms, so the ones that start after 100 and 200 ms stay.
    let refused = queue.limit_end(&waiting, at(350), START);
    let expected: Vec<_> = waiting[2..]
        .iter()
        .copied()
        .map(SlotAction::Expire)
        .collect();
    assert_eq!(refused, expected);
    assert_eq!(
        queue.finish(running, at(100)),
        [SlotAction::Start(waiting[0])]
    );
}

/// Failure: a request starts too late, and is cut when its sender ends. Cause: the forecast was too early, and the request kept its
/// own deadline.
#[test]
fn limit_end_expires_request_at_last_start() {
    let (mut queue, running, waiting) = build_queue(1);
    assert_eq!(queue.limit_end(&waiting, at(350), START), []);
    assert_eq!(queue.next_expiry(START), Some(at(200)));
    let expired = [SlotAction::Expire(waiting[0])];
    assert_eq!(queue.finish(running, at(200)), expired);
}

#[test]
fn limit_end_keeps_other_requests() {
    let (mut queue, _, waiting) = build_queue(5);
    let refused = queue.limit_end(&waiting[4..], at(350), START);
    assert_eq!(refused, [SlotAction::Expire(waiting[4])]);
    assert_eq!(queue.queued(), 4);
    // The own deadline is earlier.
    assert_eq!(queue.limit_end(&waiting[..1], at(5_000), START), []);
    assert_eq!(queue.next_expiry(START), Some(at(900)));
}

#[test]
fn withdraw_ending_after_keeps_earlier_deadlines() {
    let (mut queue, _, waiting) = build_queue(2);
    let late = enqueue(&mut queue, &request(1, ms(100), ms(1_500)));
    let listed = [waiting[0], late];
    let withdrawn = queue.withdraw_ending_after(&listed, at(1_200));
    assert_eq!(withdrawn, [SlotAction::Expire(late)]);
    assert_eq!(queue.queued(), 2);
}

/// Replays a steady load of two classes, of which the urgent one uses most of the slots; one of three senders stops at `STOP_MS`.
struct Replay {
    queue: SlotQueue,
    rng: StdRng,
    now_ms: u64,
    /// When running requests end.
    running: BTreeMap<u64, Vec<SlotNumber>>,
    /// Waiting requests of the stopping node whose deadline is after its end.
    waiting: Vec<SlotNumber>,
    /// Number of these that ran.
    served: usize,
    /// When the last of those ended.
    last_end_ms: u64,
    /// When the others were refused.
    refused_at_ms: Vec<u64>,
}

const STOP_MS: u64 = 12_000;
/// Clients of the stopping node send no requests any more.
const LAST_ARRIVAL_MS: u64 = STOP_MS + 2_000;
const SENDER_END_MS: u64 = STOP_MS + 5_500;
const DEADLINE: Duration = ms(6_000);
const WORK: Duration = ms(590);

impl Replay {
    fn new(seed: u64) -> Self {
        Self {
            queue: SlotQueue::new(14, START),
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            running: BTreeMap::new(),
            waiting: Vec::new(),
            served: 0,
            last_end_ms: 0,
            refused_at_ms: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        while self.now_ms < SENDER_END_MS {
            self.now_ms += 1;
            self.finish_due();
            let now = at(self.now_ms);
            let actions = self.queue.expire(now);
            self.apply(&actions);
            // 20 urgent requests a second and 8 others, for 23.7 a second that the slots can run.
            for (priority, per_second) in [(1, 20.0), (2, 8.0)] {
                if self.rng.random_bool(per_second / 1_000.0) {
                    self.submit(priority);
                }
            }
            if self.now_ms == STOP_MS {
                self.limit_end(&self.waiting.clone());
            }
        }
        self
    }

    fn submit(&mut self, priority: u16) {
        let is_of_stopping = self.now_ms < LAST_ARRIVAL_MS && self.rng.random_bool(1.0 / 3.0);
        let is_stopping = is_of_stopping && self.now_ms >= STOP_MS;
        let time_left = if is_stopping {
            ms(SENDER_END_MS - self.now_ms)
        } else {
            DEADLINE
        };
        let request = request(priority, WORK, time_left);
        match self.queue.submit(&request, at(self.now_ms)) {
            SlotDecision::Run(number) => {
                self.start(number);
            }
            SlotDecision::Wait(number) if at(self.now_ms) + DEADLINE > at(SENDER_END_MS) => {
                if is_of_stopping {
                    self.waiting.push(number);
                }
                if is_stopping {
                    self.limit_end(&[number]);
                }
            }
            SlotDecision::Wait(_) | SlotDecision::Refuse { .. } => {}
        }
    }

    fn limit_end(&mut self, numbers: &[SlotNumber]) {
        let now = at(self.now_ms);
        let actions = self.queue.limit_end(numbers, at(SENDER_END_MS), now);
        self.apply(&actions);
    }

    fn start(&mut self, number: SlotNumber) -> u64 {
        let work = WORK.mul_f64(self.rng.random_range(0.7..1.3));
        let end_ms = self.now_ms + u64::try_from(work.as_millis()).expect("short");
        self.running.entry(end_ms).or_default().push(number);
        end_ms
    }

    fn finish_due(&mut self) {
        for number in self.running.remove(&self.now_ms).unwrap_or_default() {
            let actions = self.queue.finish(number, at(self.now_ms));
            self.apply(&actions);
        }
    }

    fn apply(&mut self, actions: &[SlotAction]) {
        for action in actions {
            let (SlotAction::Start(number) | SlotAction::Expire(number)) = *action;
            let is_tracked = self.waiting.contains(&number);
            self.waiting.retain(|waiting| *waiting != number);
            if matches!(action, SlotAction::Expire(_)) {
                if is_tracked {
                    self.refused_at_ms.push(self.now_ms);
                }
                continue;
            }
            let end_ms = self.start(number);
            if is_tracked {
                self.served += 1;
                self.last_end_ms = self.last_end_ms.max(end_ms);
            }
        }
    }
}

/// Failure: requests that wait for a slot get no answer when their sender ends, or a refusal that comes too late for another try. Load:
/// an urgent class uses most of the slots for seconds, so that others wait for seconds, and some arrive shortly before their sender is
/// stopped or after.
#[test]
fn limit_end_leaves_no_request_waiting() {
    let mut served = 0;
    let mut refused = 0;
    for seed in 0..20 {
        let replay = Replay::new(seed).run();
        assert_eq!(replay.waiting, [], "seed {seed}");
        assert!(replay.last_end_ms <= SENDER_END_MS, "seed {seed}");
        // Enough time is left for another try elsewhere.
        let latest_ms = replay.refused_at_ms.iter().max().copied();
        let latest_refusal = latest_ms.map_or(START, at);
        assert!(
            latest_refusal + TARGET <= at(SENDER_END_MS),
            "seed {seed}: {latest_refusal:?}"
        );
        served += replay.served;
        refused += replay.refused_at_ms.len();
    }
    assert!(served > refused, "{served} served, {refused} refused");
}
