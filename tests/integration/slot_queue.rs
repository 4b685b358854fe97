//! Slot queue of an upstream: which requests run, wait or are refused.

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

fn request(priority: u16, finish_within: u64) -> SlotRequest {
    SlotRequest {
        priority,
        finish_within: ms(finish_within),
        target_left: ms(finish_within),
        time_left: ms(1_000),
        expected: ms(100),
        organisation: None,
    }
}

fn slowed_down() -> VmSlowdown {
    VmSlowdown {
        percent: 400,
        baseline_percent: 100,
        remaining: ms(200),
    }
}

fn slot_number(decision: SlotDecision) -> SlotNumber {
    match decision {
        SlotDecision::Run(number) | SlotDecision::Wait(number) => number,
        SlotDecision::Refuse { .. } => panic!("refused"),
    }
}

#[test]
fn submit_refused_without_free_slot() {
    let mut queue = SlotQueue::new(1, START);
    assert!(matches!(
        queue.submit(&request(1, 0), START),
        SlotDecision::Run(_)
    ));
    let finish_in = ms(200);
    assert_eq!(
        queue.submit(&request(1, 0), START),
        SlotDecision::Refuse { finish_in }
    );
}

#[test]
fn submit_waits_if_finished_in_time() {
    let mut queue = SlotQueue::new(1, START);
    let first = slot_number(queue.submit(&request(1, 500), START));
    let second = queue.submit(&request(1, 500), START);
    assert!(matches!(second, SlotDecision::Wait(_)));
    let started = queue.finish(first, at(100));
    assert_eq!(started, [SlotAction::Start(slot_number(second))]);
}

#[test]
fn finish_starts_higher_priority_first() {
    let mut queue = SlotQueue::new(1, START);
    let first = slot_number(queue.submit(&request(2, 900), START));
    let low = slot_number(queue.submit(&request(2, 900), START));
    let high = slot_number(queue.submit(&request(0, 900), START));
    assert_eq!(queue.finish(first, at(50)), [SlotAction::Start(high)]);
    assert_eq!(queue.finish(high, at(150)), [SlotAction::Start(low)]);
}

/// Failure: under overload every response is late. Requests that wait longer than their latency target are executed in order of
/// arrival, so the next ones wait as long, although some could still meet their target.
#[test]
fn finish_starts_requests_within_target_first() {
    let mut queue = SlotQueue::new(1, START);
    let first = slot_number(queue.submit(&request(1, 900), START));
    let late = slot_number(queue.submit(&request(1, 300), START));
    let on_time = slot_number(queue.submit(&request(1, 900), at(10)));
    assert_eq!(queue.finish(first, at(400)), [SlotAction::Start(on_time)]);
    assert_eq!(queue.finish(on_time, at(500)), [SlotAction::Start(late)]);
}

/// Failure: a short slowdown of the VM occupies all slots for a second, because requests start in free slots while work takes four
/// times as long.
#[test]
fn set_slowdown_delays_long_request() {
    let mut queue = SlotQueue::new(2, START);
    queue.set_slowdown(slowed_down(), START);
    let finish_in = ms(300);
    assert_eq!(
        queue.submit(&request(1, 0), START),
        SlotDecision::Refuse { finish_in }
    );
    let waiting = queue.submit(&request(1, 500), START);
    assert!(matches!(waiting, SlotDecision::Wait(_)));
    let started = queue.set_slowdown(VmSlowdown::NONE, at(40));
    assert_eq!(started, [SlotAction::Start(slot_number(waiting))]);
}

#[test]
fn submit_short_request_during_slowdown() {
    let mut queue = SlotQueue::new(2, START);
    queue.set_slowdown(slowed_down(), START);
    let short = SlotRequest {
        expected: ms(15),
        ..request(1, 80)
    };
    assert!(matches!(queue.submit(&short, START), SlotDecision::Run(_)));
}

/// Failure: short requests are refused although they would finish in time. All slots of a slowed-down VM are occupied, and a
/// request of 15 ms could start in the first slot that becomes free, despite the slowdown. The forecast assumes that the request
/// waits for the end of the slowdown, as a long request does.
#[test]
fn submit_short_request_waits_for_slot_during_slowdown() {
    let mut queue = SlotQueue::new(1, START);
    slot_number(queue.submit(&request(1, 500), START));
    queue.set_slowdown(slowed_down(), at(50));
    let short = SlotRequest {
        expected: ms(15),
        time_left: ms(200),
        ..request(1, 150)
    };
    assert!(matches!(
        queue.submit(&short, at(50)),
        SlotDecision::Wait(_)
    ));
}

#[test]
fn expire_request_beyond_deadline() {
    let mut queue = SlotQueue::new(1, START);
    slot_number(queue.submit(&request(1, 900), START));
    let waiting = slot_number(queue.submit(&request(1, 900), START));
    assert_eq!(queue.next_expiry(START), Some(at(900)));
    assert_eq!(queue.expire(at(899)), []);
    assert_eq!(queue.expire(at(900)), [SlotAction::Expire(waiting)]);
}

#[test]
fn withdraw_removes_waiting_request() {
    let mut queue = SlotQueue::new(1, START);
    let first = slot_number(queue.submit(&request(1, 900), START));
    let waiting = slot_number(queue.submit(&request(1, 900), START));
    assert!(queue.withdraw(waiting));
    assert!(!queue.withdraw(waiting));
    assert_eq!(queue.finish(first, at(10)), []);
}

/// Expected running and waiting requests, compared with the queue after every step.
#[derive(Default)]
struct QueueModel {
    running: HashSet<u64>,
    waiting: HashSet<u64>,
}

impl QueueModel {
    fn apply(&mut self, actions: &[SlotAction]) {
        for action in actions {
            match action {
                SlotAction::Start(number) => {
                    assert!(self.waiting.remove(&number.0), "started without waiting");
                    self.running.insert(number.0);
                }
                SlotAction::Expire(number) => {
                    assert!(self.waiting.remove(&number.0), "expired without waiting");
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
fn running_stays_within_limit() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|steps| {
            let mut queue = SlotQueue::new(3, START);
            let mut model = QueueModel::default();
            let mut now = START;
            for (step, choice, span) in steps {
                now = now + ms(u64::from(*span) % 400);
                let actions = perform_step(&mut queue, &mut model, *step, *choice, now);
                model.apply(&actions);
                model.check(&queue);
            }
        });
}

fn perform_step(
    queue: &mut SlotQueue,
    model: &mut QueueModel,
    step: u8,
    choice: u8,
    now: Timestamp,
) -> Vec<SlotAction> {
    match step % 5 {
        0 | 1 => {
            match queue.submit(&request(u16::from(choice % 3), u64::from(choice) * 4), now) {
                SlotDecision::Run(number) => {
                    model.running.insert(number.0);
                }
                SlotDecision::Wait(number) => {
                    model.waiting.insert(number.0);
                }
                SlotDecision::Refuse { finish_in } => assert!(finish_in >= ms(100)),
            }
            Vec::new()
        }
        2 => {
            let Some(number) = model.running.iter().min().copied() else {
                return Vec::new();
            };
            model.running.remove(&number);
            queue.finish(SlotNumber(number), now)
        }
        3 => {
            if let Some(number) = model.waiting.iter().min().copied() {
                assert!(queue.withdraw(SlotNumber(number)));
                model.waiting.remove(&number);
            }
            Vec::new()
        }
        _ => {
            let slowdown = if choice.is_multiple_of(2) {
                VmSlowdown::NONE
            } else {
                slowed_down()
            };
            queue.set_slowdown(slowdown, now)
        }
    }
}
