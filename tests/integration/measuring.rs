//! The budget for measuring is a hard limit over every window.

use bolero::check;
use camphorturn::{
    coordination::{
        measuring::{PROBE_BYTES_LIMIT, ProbeLimiter, RateLimit},
        routing::{AttemptEnd, AttemptEndKind, Router, RouterSettings, UpstreamFacts},
    },
    protocol::load_report::{LoadReport, UpstreamCondition},
    state::{
        configuration::{MeasuringBudget, PolicyName},
        member::Incarnation,
        moment::Moment,
    },
};
use std::time::Duration;

fn budget() -> MeasuringBudget {
    MeasuringBudget {
        probes_per_second: 5.0,
        bytes_per_second: 100_000.0,
        capacity_share: 0.01,
    }
}

fn router(measuring: MeasuringBudget) -> Router {
    let settings = RouterSettings {
        policy: PolicyName::TwoChoicesPeak,
        availability_zone: "zone-a".into(),
        region: "region".into(),
        measuring,
        target: Duration::from_millis(100),
    };
    let mut router = Router::new(settings, 1);
    for name in ["a", "b", "c"] {
        let facts = UpstreamFacts {
            node: name.into(),
            availability_zone: "zone-a".into(),
            region: "region".into(),
            slots: 6,
            condition: UpstreamCondition::Serving,
            incarnation: Incarnation(1),
        };
        router.upsert_upstream(facts, Moment::default());
    }
    router
}

#[test]
fn rate_limit_no_window_exceeds() {
    check!()
        .with_type::<(u8, Vec<u32>)>()
        .for_each(|(rate, gaps)| {
            let rate = f64::from(*rate) / 8.0;
            let mut limit = RateLimit::new(rate, 1.0);
            let mut now = Moment(1);
            let mut granted = Vec::new();
            for gap in gaps {
                now = now + Duration::from_micros(u64::from(*gap % 400_000));
                if limit.allows(1.0, now) {
                    limit.spend(1.0, now);
                    granted.push(now);
                }
            }
            // Counted apart from the limit: each window that starts with a grant.
            for (index, start) in granted.iter().enumerate() {
                let inside = granted[index..]
                    .iter()
                    .take_while(|at| at.since(*start) < limit.window())
                    .count();
                let inside = u32::try_from(inside).expect("a small count");
                assert!(f64::from(inside) <= rate.max(1.0));
            }
            assert!(rate > 0.0 || granted.is_empty());
        });
}

#[test]
fn grant_never_above_share_of_calls() {
    check!().with_type::<Vec<(u8, u16)>>().for_each(|steps| {
        let mut limiter = ProbeLimiter::new(budget());
        let mut now = Moment(1);
        for (calls, gap) in steps {
            for _ in 0..*calls {
                limiter.count_call();
            }
            now = now + Duration::from_millis(u64::from(*gap));
            limiter.grant(now);
            let used = limiter.status().used;
            assert!(used.probes * 100 <= used.calls, "{used:?}");
        }
    });
}

#[test]
fn grant_bytes_are_paid_before_sending() {
    // Symptom: bytes of probes exceed their budget for a moment.
    // Sequence: several probes are sent before the first answer tells what it cost.
    // Cause: bytes were counted when the answer came.
    let mut limiter = ProbeLimiter::new(MeasuringBudget {
        probes_per_second: 100.0,
        bytes_per_second: f64::from(PROBE_BYTES_LIMIT) * 2.5,
        capacity_share: 1.0,
    });
    let granted = (0..10)
        .filter(|_| {
            limiter.count_call();
            limiter.grant(Moment(1))
        })
        .count();
    assert_eq!(granted, 2);
}

#[test]
fn grant_zero_budget() {
    let mut limiter = ProbeLimiter::new(MeasuringBudget {
        probes_per_second: 0.0,
        ..budget()
    });
    for second in 0..100 {
        limiter.count_call();
        assert!(!limiter.grant(Moment(second * 1_000_000)));
    }
}

#[test]
fn next_probe_steady_traffic_needs_none() {
    let mut router = router(budget());
    let mut now = Moment(1);
    for _ in 0..2_000 {
        let node = router.choose(&[], now).expect("an upstream");
        router.record_started(&node, now);
        now = now + Duration::from_millis(5);
        let ended = AttemptEnd {
            took: Duration::from_millis(5),
            kind: AttemptEndKind::Answered {
                server_error: false,
            },
        };
        router.record_ended(&node, ended, None, now);
        router.next_probe(now);
    }
    assert_eq!(router.snapshot(now).measuring.used.probes, 0);
}

#[test]
fn next_probe_idle_service() {
    // Symptom: nodes without traffic spend the budget all day.
    // Sequence: no call for an hour.
    // Cause: stale knowledge alone asked for a probe.
    let mut router = router(budget());
    for second in 0..3_600 {
        assert_eq!(router.next_probe(Moment(second * 1_000_000)), None);
    }
}

#[test]
fn next_probe_asks_stalest_and_waits_for_it() {
    let mut router = router(MeasuringBudget {
        capacity_share: 1.0,
        ..budget()
    });
    let now = Moment(2_000_000);
    for name in ["a", "c"] {
        router.record_probe(&name.into(), Some(LoadReport::default()), 90, now);
    }
    for _ in 0..10 {
        router.choose(&[], now);
    }
    assert_eq!(router.next_probe(now), Some("b".into()));
    assert_eq!(router.next_probe(now), None);
    assert_eq!(router.snapshot(now).measuring.used.bytes, 180);
}
