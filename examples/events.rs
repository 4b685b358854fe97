//! Measures what recording an event costs: `cargo run --release --example events -- --json`.

use camphorturn::{
    events::{
        event::Event,
        reasons::{ChoiceReason, OutcomeSummary},
        recorder::{EventRecorder, RingSizes},
    },
    protocol::attempt::CallId,
    state::{
        member::Incarnation,
        names::{ClassName, NodeName, ServiceName},
    },
    timers::TimerService,
};
use serde::Serialize;
use std::{env, hint::black_box, time::Instant};
use uuid::Uuid;

/// Calls in a round.
const CALLS: u32 = 200_000;
/// Rounds; the median is told.
const ROUNDS: usize = 9;

/// What was measured.
#[derive(Debug, Serialize)]
struct Cost {
    /// Events recorded for one call, at the entry node and the executing node together.
    events_per_call: u32,
    /// Median of the rounds.
    nanos_per_call: f64,
    /// Median of the rounds.
    nanos_per_event: f64,
    /// Fastest round.
    best_nanos_per_call: f64,
    /// Slowest round.
    worst_nanos_per_call: f64,
}

fn main() {
    let timers = TimerService::system();
    let recorder = EventRecorder::new(
        NodeName::from("node-1"),
        Incarnation(1),
        timers.clone(),
        RingSizes::default(),
    );
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| run_round(&recorder)).collect();
    rounds.sort_by(f64::total_cmp);
    let events_per_call = count_events(&recorder);
    let median = rounds[ROUNDS / 2];
    let cost = Cost {
        events_per_call,
        nanos_per_call: median,
        nanos_per_event: median / f64::from(events_per_call),
        best_nanos_per_call: rounds[0],
        worst_nanos_per_call: rounds[ROUNDS - 1],
    };
    if env::args().any(|argument| argument == "--json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&cost).expect("plain numbers")
        );
    } else {
        println!("{cost:#?}");
    }
    timers.stop();
}

fn count_events(recorder: &EventRecorder) -> u32 {
    let before = recorder.count();
    record_call(recorder, CallId(Uuid::from_u128(0)), &Names::new());
    u32::try_from(recorder.count() - before).expect("a handful")
}

/// Nanoseconds a call.
fn run_round(recorder: &EventRecorder) -> f64 {
    let names = Names::new();
    let start = Instant::now();
    for number in 0..CALLS {
        let call = CallId(Uuid::from_u128(u128::from(number)));
        record_call(recorder, black_box(call), &names);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS)
}

struct Names {
    service: ServiceName,
    class: ClassName,
    upstream: NodeName,
}

impl Names {
    fn new() -> Self {
        Self {
            service: ServiceName::from("booking"),
            class: ClassName::from("confirm"),
            upstream: NodeName::from("node-2"),
        }
    }
}

/// The steps of a call that is answered at the first attempt.
fn record_call(recorder: &EventRecorder, call: CallId, names: &Names) {
    let record = |event| recorder.record(event, Some(call));
    record(Event::CallReceived {
        service: names.service.clone(),
        class: names.class.clone(),
        depth: 0,
        time_left_micros: 300_000,
        target_micros: 100_000,
        keyed: false,
    });
    record(Event::AttemptChosen {
        attempt: 0,
        upstream: names.upstream.clone(),
        reason: ChoiceReason::Policy,
        candidates: 6,
        known_load: 3,
        known_age_ms: 4,
    });
    record(Event::AttemptAdmitted {
        attempt: 0,
        class: names.class.clone(),
        running: 3,
        limit: 6,
    });
    record(Event::AttemptDispatched {
        attempt: 0,
        waited_micros: 0,
    });
    record(Event::UpstreamAnswered {
        attempt: 0,
        status: 200,
        took_micros: 5_000,
    });
    record(Event::AttemptReturned {
        attempt: 0,
        upstream: names.upstream.clone(),
        outcome: OutcomeSummary::Answered(200),
        took_micros: 6_000,
    });
    record(Event::CallEnded {
        service: names.service.clone(),
        class: names.class.clone(),
        outcome: OutcomeSummary::Answered(200),
        attempts: 1,
        took_micros: 6_000,
        target_micros: 100_000,
    });
}
