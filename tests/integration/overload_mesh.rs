//! Replays of overload through placement, slot search and slot queues: how soon requests that can't be served are refused.

mod replay;

use camphorturn::state::request_rate::RequestRate;
use replay::{Class, ClassOutcome, Replay, Setup};
use std::time::Duration;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Six upstreams that all name a limit of 4 requests a second, under 60 requests a second in total.
fn limited(refuses_early: bool, seed: u64) -> Setup {
    Setup {
        upstreams: 6,
        slots: 11,
        request_limit: Some(RequestRate(4_000)),
        classes: vec![Class {
            priority: 1,
            rate: 60.0,
            work: millis(110),
            target: millis(300),
            deadline: millis(1_200),
            failed_share: 0.0,
        }],
        phases: vec![(1.0, Duration::from_secs(20))],
        refuses_early,
        clients_return: false,
        admits_by_calls: false,
        accepted_share: 1.0,
        seed,
    }
}

/// Sums of the outcomes of all classes over several seeds.
fn play_all(setup: impl Fn(u64) -> Setup) -> ClassOutcome {
    let mut sum = ClassOutcome::default();
    for seed in 0..6 {
        for outcome in Replay::new(setup(seed)).play() {
            sum.add(outcome);
        }
    }
    sum
}

/// One upstream of 18 slots under 2.2 times the load that it can serve, for 12 seconds, by two classes of different priority.
fn two_classes(refuses_early: bool, seed: u64) -> Setup {
    let slots = 14;
    // Usually each class takes 0.28 of the capacity.
    let rate = |work_s: f64| 0.28 * 14.0 / work_s;
    Setup {
        upstreams: 1,
        slots,
        request_limit: None,
        classes: vec![
            Class {
                priority: 1,
                rate: rate(0.410),
                work: millis(410),
                target: millis(1_200),
                deadline: millis(5_000),
                failed_share: 0.0,
            },
            Class {
                priority: 2,
                rate: rate(0.310),
                work: millis(310),
                target: millis(1_000),
                deadline: millis(4_000),
                failed_share: 0.0,
            },
        ],
        phases: vec![
            (1.0, Duration::from_secs(3)),
            (2.2, Duration::from_secs(12)),
            (1.0, Duration::from_secs(6)),
        ],
        refuses_early,
        clients_return: false,
        admits_by_calls: false,
        accepted_share: 1.0,
        seed,
    }
}

fn with_return(setup: Setup) -> Setup {
    Setup {
        clients_return: true,
        ..setup
    }
}

/// Without the setting, the decisions are those of the code before it: 410 requests on time, 79 late, 695 refusals, of which 89
/// come within 50 ms.
#[test]
fn replay_limited_upstreams_without_early_refusal() {
    let outcomes = Replay::new(limited(false, 0)).play();
    let outcome = &outcomes[0];
    assert_eq!((outcome.on_time, outcome.late), (410, 79));
    assert_eq!(outcome.refused_after.len(), 695);
    assert_eq!(outcome.refused_sooner_than(millis(50)), 89);
}

/// Guards against clients that learn only at their deadlines that they are not served. Late requests wait at upstreams with a
/// request limit, and those that arrive later and can be on time get all starts.
#[test]
fn replay_limited_upstreams() {
    let before = play_all(|seed| limited(false, seed));
    let after = play_all(|seed| limited(true, seed));
    let soon = after.refused_sooner_than(millis(50));
    println!("{}\n{}", before.describe(), after.describe());
    assert!(soon * 100 >= after.refused_after.len() * 90, "{soon}");
    assert!(after.on_time >= before.on_time);
    assert!(after.served() * 100 >= before.served() * 97);
}

/// Guards against refused clients that return so soon that they take the starts of requests that can still be on time.
#[test]
fn replay_limited_upstreams_with_returning_clients() {
    let before = play_all(|seed| with_return(limited(false, seed)));
    let after = play_all(|seed| with_return(limited(true, seed)));
    let soon = after.refused_sooner_than(millis(50));
    println!("{}\n{}", before.describe(), after.describe());
    assert!(soon * 100 >= after.refused_after.len() * 90, "{soon}");
    assert!(after.on_time * 100 >= before.on_time * 99);
    assert!(after.served() * 100 >= before.served() * 97);
}

/// Guards against clients that return in vain while a service is overloaded: `Retry-After` is the same however long the queue is.
#[test]
fn replay_overload_with_returning_clients() {
    let before = play_all(|seed| with_return(two_classes(false, seed)));
    let after = play_all(|seed| with_return(two_classes(true, seed)));
    println!("{}\n{}", before.describe(), after.describe());
    assert!(after.refused_after.len() * 100 <= before.refused_after.len() * 75);
    assert!(after.on_time >= before.on_time && after.served() >= before.served());
}

/// Upstreams that name no request limit decide with early refusal as without it.
#[test]
fn replay_without_request_limit() {
    for seed in 0..3 {
        let [before, after] =
            [false, true].map(|early| Replay::new(two_classes(early, seed)).play());
        for (before, after) in before.iter().zip(&after) {
            assert_eq!(before, after);
        }
    }
}

/// Four upstreams with two classes under `load` times the capacity. The first class calls a service that rejects 55% of the calls.
fn with_calls(load: f64, admits_by_calls: bool, seed: u64) -> Setup {
    let class = |failed_share| Class {
        priority: 1,
        rate: load / 2.0 * 16.0 / 0.2,
        work: millis(200),
        target: millis(600),
        deadline: millis(2_000),
        failed_share,
    };
    Setup {
        upstreams: 4,
        slots: 4,
        request_limit: None,
        classes: vec![class(0.55), class(0.0)],
        phases: vec![(1.0, Duration::from_secs(20))],
        refuses_early: false,
        clients_return: false,
        admits_by_calls,
        accepted_share: 0.45,
        seed,
    }
}

/// Sums of the outcomes by class over several seeds.
fn play_by_class(setup: impl Fn(u64) -> Setup) -> [ClassOutcome; 2] {
    [0, 1].map(|class| {
        let mut sum = ClassOutcome::default();
        for seed in 0..6 {
            sum.add(Replay::new(setup(seed)).play().swap_remove(class));
        }
        sum
    })
}

/// Guards against requests that wait behind executions whose calls are rejected after their work. The calling class must not be
/// starved either.
#[test]
fn replay_rejected_calls_under_overload() {
    for load in [1.1, 1.3, 2.0] {
        let before = play_by_class(|seed| with_calls(load, false, seed));
        let after = play_by_class(|seed| with_calls(load, true, seed));
        for outcomes in [&before, &after] {
            println!(
                "load {load}\n{}\n{}",
                outcomes[0].describe(),
                outcomes[1].describe()
            );
        }
        let served = |outcomes: &[ClassOutcome; 2]| outcomes[0].served() + outcomes[1].served();
        let on_time = |outcomes: &[ClassOutcome; 2]| outcomes[0].on_time + outcomes[1].on_time;
        assert!(on_time(&after) * 100 >= on_time(&before) * 105);
        assert!(served(&after) >= served(&before));
        assert!(after[0].served() * 8 >= served(&after), "starved");
    }
}

/// Without overload, and while most calls are accepted, the decisions are those without the setting.
#[test]
fn replay_accepted_calls() {
    for seed in 0..3 {
        for (load, accepted_share) in [(0.6, 0.45), (1.3, 0.95)] {
            let [before, after] = [false, true].map(|admits| {
                let setup = with_calls(load, admits, seed);
                Replay::new(Setup {
                    accepted_share,
                    ..setup
                })
                .play()
            });
            assert_eq!(before, after);
        }
    }
}
