//! Slots of an upstream: who runs, who waits, who is refused.

use camphorturn::{
    coordination::{
        slot_queue::{SlotAction, SlotDecision, SlotNumber, SlotQueue, SlotRequest},
        vm_slowdown::VmSlowdown,
    },
    state::timestamp::Timestamp,
};
use std::{collections::HashSet, time::Duration};

const START: Timestamp = Timestamp(0);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn request(priority: u8, finish_within: u64) -> SlotRequest {
    SlotRequest {
        priority,
        finish_within: ms(finish_within),
        target_left: ms(finish_within),
        time_left: ms(1_000),
        expected: ms(100),
    }
}

fn slow() -> VmSlowdown {
    VmSlowdown {
        percent: 400,
        baseline_percent: 100,
        remaining: ms(200),
    }
}

fn number_of(decision: SlotDecision) -> SlotNumber {
    match decision {
        SlotDecision::Run(number) | SlotDecision::Wait(number) => number,
        SlotDecision::Refuse { .. } => panic!("refused"),
    }
}

#[test]
fn offer_at_once_or_none() {
    let mut queue = SlotQueue::new(1, START);
    assert!(matches!(
        queue.submit(request(1, 0), START),
        SlotDecision::Run(_)
    ));
    let finish_in = ms(200);
    assert_eq!(
        queue.submit(request(1, 0), START),
        SlotDecision::Refuse { finish_in }
    );
}

#[test]
fn offer_waits_if_it_ends_in_time() {
    let mut queue = SlotQueue::new(1, START);
    let first = number_of(queue.submit(request(1, 500), START));
    let second = queue.submit(request(1, 500), START);
    assert!(matches!(second, SlotDecision::Wait(_)));
    let started = queue.finish(first, at(100));
    assert_eq!(started, [SlotAction::Start(number_of(second))]);
}

#[test]
fn finish_starts_higher_rank_first() {
    let mut queue = SlotQueue::new(1, START);
    let first = number_of(queue.submit(request(2, 900), START));
    let low = number_of(queue.submit(request(2, 900), START));
    let high = number_of(queue.submit(request(0, 900), START));
    assert_eq!(queue.finish(first, at(50)), [SlotAction::Start(high)]);
    assert_eq!(queue.finish(high, at(150)), [SlotAction::Start(low)]);
}

/// Symptom: under overload every answer is late. Sequence: requests wait longer than their target, are
/// run in the order of their arrival, and the next ones wait as long. Cause: work for late answers
/// comes before work that could be on time.
#[test]
fn finish_starts_those_on_time_first() {
    let mut queue = SlotQueue::new(1, START);
    let first = number_of(queue.submit(request(1, 900), START));
    let late = number_of(queue.submit(request(1, 300), START));
    let on_time = number_of(queue.submit(request(1, 900), at(10)));
    assert_eq!(queue.finish(first, at(400)), [SlotAction::Start(on_time)]);
    assert_eq!(queue.finish(on_time, at(500)), [SlotAction::Start(late)]);
}

/// Symptom: a VM that is slow for a moment holds all its slots for a second. Sequence: requests start
/// while work takes four times as long. Cause: a free slot counts as a reason to start.
#[test]
fn slow_moment_starts_nothing_that_gains_by_waiting() {
    let mut queue = SlotQueue::new(2, START);
    queue.set_slowdown(slow(), START);
    let finish_in = ms(300);
    assert_eq!(
        queue.submit(request(1, 0), START),
        SlotDecision::Refuse { finish_in }
    );
    let waiting = queue.submit(request(1, 500), START);
    assert!(matches!(waiting, SlotDecision::Wait(_)));
    let started = queue.set_slowdown(VmSlowdown::NONE, at(40));
    assert_eq!(started, [SlotAction::Start(number_of(waiting))]);
}

#[test]
fn slow_moment_starts_short_work() {
    let mut queue = SlotQueue::new(2, START);
    queue.set_slowdown(slow(), START);
    let short = SlotRequest {
        expected: ms(15),
        ..request(1, 80)
    };
    assert!(matches!(queue.submit(short, START), SlotDecision::Run(_)));
}

/// Symptom: short calls are refused though they would end in time. Sequence: all slots are taken on a slow
/// VM; a call of 15 ms could start when the first is free, slow as the VM is. Cause: the forecast takes it
/// to wait for the VM to recover, like long work.
#[test]
fn slow_moment_forecast_of_short_work() {
    let mut queue = SlotQueue::new(1, START);
    number_of(queue.submit(request(1, 500), START));
    queue.set_slowdown(slow(), at(50));
    let short = SlotRequest {
        expected: ms(15),
        time_left: ms(200),
        ..request(1, 150)
    };
    assert!(matches!(queue.submit(short, at(50)), SlotDecision::Wait(_)));
}

#[test]
fn expire_refuses_what_misses_its_deadline() {
    let mut queue = SlotQueue::new(1, START);
    number_of(queue.submit(request(1, 900), START));
    let waiting = number_of(queue.submit(request(1, 900), START));
    assert_eq!(queue.next_expiry(START), Some(at(900)));
    assert_eq!(queue.expire(at(899)), []);
    assert_eq!(queue.expire(at(900)), [SlotAction::Expire(waiting)]);
}

#[test]
fn withdraw_frees_the_place() {
    let mut queue = SlotQueue::new(1, START);
    let first = number_of(queue.submit(request(1, 900), START));
    let waiting = number_of(queue.submit(request(1, 900), START));
    assert!(queue.withdraw(waiting));
    assert!(!queue.withdraw(waiting));
    assert_eq!(queue.finish(first, at(10)), []);
}

/// Follows a queue and checks what must hold after every step.
#[derive(Default)]
struct Checker {
    running: HashSet<u64>,
    waiting: HashSet<u64>,
}

impl Checker {
    fn take(&mut self, actions: &[SlotAction]) {
        for action in actions {
            match action {
                SlotAction::Start(number) => {
                    assert!(self.waiting.remove(&number.0), "started out of nothing");
                    self.running.insert(number.0);
                }
                SlotAction::Expire(number) => {
                    assert!(self.waiting.remove(&number.0), "expired out of nothing");
                }
            }
        }
    }

    fn check(&self, queue: &SlotQueue) {
        assert_eq!(queue.running(), self.running.len());
        assert_eq!(queue.queued(), self.waiting.len());
        assert!(queue.running() <= queue.limit());
    }
}

#[test]
fn steps_keep_the_limit() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|steps| {
            let mut queue = SlotQueue::new(3, START);
            let mut checker = Checker::default();
            let mut now = START;
            for (step, choice, span) in steps {
                now = now + ms(u64::from(*span) % 400);
                let actions = take_step(&mut queue, &mut checker, *step, *choice, now);
                checker.take(&actions);
                checker.check(&queue);
            }
        });
}

fn take_step(
    queue: &mut SlotQueue,
    checker: &mut Checker,
    step: u8,
    choice: u8,
    now: Timestamp,
) -> Vec<SlotAction> {
    match step % 5 {
        0 | 1 => {
            match queue.submit(request(choice % 3, u64::from(choice) * 4), now) {
                SlotDecision::Run(number) => {
                    checker.running.insert(number.0);
                }
                SlotDecision::Wait(number) => {
                    checker.waiting.insert(number.0);
                }
                SlotDecision::Refuse { finish_in } => assert!(finish_in >= ms(100)),
            }
            Vec::new()
        }
        2 => {
            let Some(number) = checker.running.iter().min().copied() else {
                return Vec::new();
            };
            checker.running.remove(&number);
            queue.finish(SlotNumber(number), now)
        }
        3 => {
            if let Some(number) = checker.waiting.iter().min().copied() {
                assert!(queue.withdraw(SlotNumber(number)));
                checker.waiting.remove(&number);
            }
            Vec::new()
        }
        _ => {
            let pace = if choice.is_multiple_of(2) {
                VmSlowdown::NONE
            } else {
                slow()
            };
            queue.set_slowdown(pace, now)
        }
    }
}
