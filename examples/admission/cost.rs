//! The time that one decision takes, by the number of waiting calls.

use camphorturn::{
    coordination::admission::{Admission, AdmissionSettings, End, EndKind},
    protocol::{
        attempt::{AttemptId, CallId},
        load_report::UpstreamCondition,
    },
    state::{
        class::{Class, KeyRule, Target},
        concurrency::limit::LimitRule,
        moment::Moment,
        names::ClassName,
    },
};
use serde::Serialize;
use std::{
    hint::black_box,
    time::{Duration, Instant},
};
use uuid::Uuid;

const ROUNDS: u32 = 100_000;
const SLOTS: u16 = 6;
const HOUR: Duration = Duration::from_hours(1);

/// Cost at one length of the queue, in nanoseconds.
#[derive(Serialize)]
pub struct Cost {
    /// Calls waiting throughout.
    pub queued: usize,
    /// One offer and one finish.
    pub offer_finish_ns: f64,
    /// One look at all waiting calls.
    pub expire_ns: f64,
}

/// Measures queues of 0, 50 and 500 calls.
pub fn measure_all() -> Vec<Cost> {
    [0, 50, 500].map(measure).into()
}

fn measure(queued: usize) -> Cost {
    let (mut admission, present) = prepare(queued);
    let begin = Instant::now();
    for round in 0..ROUNDS {
        let now = Moment(u64::from(round));
        let oldest = u128::from(round);
        black_box(offer(&mut admission, oldest + present, now));
        black_box(admission.finish(id(oldest), end(), now));
    }
    let offer_finish = begin.elapsed();
    let begin = Instant::now();
    for _ in 0..ROUNDS / 100 {
        black_box(admission.expire(Moment(u64::from(ROUNDS))));
    }
    Cost {
        queued: usize::from(admission.load_report(Moment(0)).queued),
        offer_finish_ns: offer_finish.as_secs_f64() * 1e9 / f64::from(ROUNDS),
        expire_ns: begin.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS / 100),
    }
}

fn prepare(queued: usize) -> (Admission, u128) {
    let mut admission = Admission::new(AdmissionSettings {
        slots: SLOTS,
        queue_limit: 1000,
        ramp: Duration::ZERO,
        rule: LimitRule::Fixed,
        ..AdmissionSettings::default()
    });
    admission.set_classes(&[class()]);
    admission.set_condition(UpstreamCondition::Serving, Moment(0));
    // With an empty queue one slot stays free, so that each offer runs at once.
    let calls = if queued == 0 {
        usize::from(SLOTS) - 1
    } else {
        usize::from(SLOTS) + queued
    };
    for i in 0..calls {
        offer(&mut admission, i as u128, Moment(0));
    }
    (admission, calls as u128)
}

fn offer(admission: &mut Admission, number: u128, now: Moment) -> bool {
    let name = ClassName::from("lookup");
    let offer = admission.offer(id(number), &name, HOUR, now);
    matches!(
        offer,
        camphorturn::coordination::admission::Offer::Refused(_)
    )
}

fn id(number: u128) -> AttemptId {
    AttemptId {
        call: CallId(Uuid::from_u128(number)),
        number: 0,
    }
}

fn end() -> End {
    End {
        took: Duration::from_micros(10),
        kind: EndKind::Answered {
            server_error: false,
        },
    }
}

fn class() -> Class {
    Class {
        name: ClassName::from("lookup"),
        rules: Vec::new(),
        target: Target {
            latency_ms: 3_600_000,
            share: 0.99,
        },
        deadline_ms: 3_600_000,
        priority: 1,
        idempotent: true,
        key: KeyRule::None,
        hedge: false,
    }
}
