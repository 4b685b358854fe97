//! Choosing an upstream: each policy, and the failures it must withstand.

use bolero::{TypeGenerator, check};
use camphorturn::{
    coordination::routing::{AttemptEnd, AttemptEndKind, Router, RouterSettings, UpstreamFacts},
    protocol::{
        load_report::{LoadReport, UpstreamCondition},
        outcome::RefusalReason,
    },
    state::{
        configuration::{MeasuringBudget, PolicyName},
        member::Incarnation,
        moment::Moment,
        names::NodeName,
    },
};
use std::{collections::BTreeMap, time::Duration};

const ALL: [PolicyName; 6] = [
    PolicyName::Random,
    PolicyName::RoundRobin,
    PolicyName::LeastReported,
    PolicyName::TwoChoices,
    PolicyName::TwoChoicesPeak,
    PolicyName::ProbePool,
];
const INFORMED: [PolicyName; 2] = [PolicyName::TwoChoicesPeak, PolicyName::ProbePool];
const ANSWERED: AttemptEndKind = AttemptEndKind::Answered {
    server_error: false,
};
const FAILED: AttemptEndKind = AttemptEndKind::Answered { server_error: true };

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn settings(policy: PolicyName) -> RouterSettings {
    RouterSettings {
        policy,
        availability_zone: "zone-a".into(),
        region: "region".into(),
        measuring: MeasuringBudget::default(),
        target: ms(100),
    }
}

fn facts(name: &str, zone: &str, condition: UpstreamCondition) -> UpstreamFacts {
    UpstreamFacts {
        node: name.into(),
        availability_zone: zone.into(),
        region: "region".into(),
        slots: 6,
        condition,
        incarnation: Incarnation(1),
    }
}

fn report(running: u16, condition: UpstreamCondition) -> LoadReport {
    LoadReport {
        running,
        limit: 6,
        latency_micros: 5_000,
        condition,
        ..LoadReport::default()
    }
}

/// A router with serving upstreams `a`, `b`, ... in the zones given.
fn router_in_zones(policy: PolicyName, zones: &[&str]) -> Router {
    let mut router = Router::new(settings(policy), 7);
    for (name, zone) in ["a", "b", "c", "d", "e", "f"].into_iter().zip(zones) {
        router.upsert_upstream(
            facts(name, zone, UpstreamCondition::Serving),
            Moment::default(),
        );
    }
    router
}

fn router(policy: PolicyName, count: usize) -> Router {
    router_in_zones(policy, &["zone-a"; 6][..count])
}

/// Sends calls one at a time, each ended before the next, and counts them by upstream.
fn run_calls(
    router: &mut Router,
    calls: usize,
    now: &mut Moment,
    mut end: impl FnMut(&NodeName) -> AttemptEnd,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..calls {
        let node = router.choose(&[], *now).expect("an upstream");
        router.record_started(&node, *now);
        let ended = end(&node);
        *now = *now + ended.took;
        router.record_ended(&node, ended, None, *now);
        *counts.entry(node.to_string()).or_default() += 1;
    }
    counts
}

fn answered(took: Duration) -> AttemptEnd {
    AttemptEnd {
        took,
        kind: ANSWERED,
    }
}

#[test]
fn choose_without_upstreams() {
    for policy in ALL {
        assert_eq!(router(policy, 0).choose(&[], Moment(1)), None);
    }
}

#[test]
fn choose_reaches_every_equal_upstream() {
    for policy in ALL {
        let mut router = router(policy, 6);
        let counts = run_calls(&mut router, 600, &mut Moment(1), |_| answered(ms(5)));
        assert_eq!(counts.len(), 6, "{policy:?}: {counts:?}");
        let most = counts.values().max().copied().unwrap_or_default();
        assert!(most < 250, "{policy:?}: {counts:?}");
    }
}

#[test]
fn choose_leaves_out_draining_and_down() {
    // Symptom: a leaving upstream still gets new work.
    // Sequence: one upstream drains, a late report sent before the drain says that it serves.
    // Cause: the newest message was believed, though it was the older one in truth.
    for policy in ALL {
        let mut router = router(policy, 3);
        let now = Moment(1);
        router.upsert_upstream(facts("a", "zone-a", UpstreamCondition::Draining), now);
        router.upsert_upstream(facts("b", "zone-a", UpstreamCondition::Down), now);
        router.record_started(&"a".into(), now);
        let late = report(0, UpstreamCondition::Serving);
        router.record_ended(&"a".into(), answered(ms(1)), Some(late), now);
        for _ in 0..50 {
            assert_eq!(router.choose(&[], now), Some("c".into()), "{policy:?}");
        }
        assert_eq!(router.choose(&["c".into()], now), None);
    }
}

#[test]
fn choose_follows_new_incarnation() {
    for policy in ALL {
        let mut router = router(policy, 1);
        router.upsert_upstream(facts("a", "zone-a", UpstreamCondition::Draining), Moment(1));
        let mut next = facts("a", "zone-a", UpstreamCondition::Serving);
        next.incarnation = Incarnation(2);
        router.upsert_upstream(next, Moment(2));
        assert_eq!(router.choose(&[], Moment(3)), Some("a".into()));
    }
}

#[test]
fn choose_returned_beside_same_node() {
    // Symptom: an upstream that was replaced never gets work again.
    // Sequence: it drains, leaves, and comes back beside the same run of its node.
    // Cause: the news of the drain was held for good.
    for policy in ALL {
        let mut router = router(policy, 1);
        let mut now = Moment(1);
        router.upsert_upstream(facts("a", "zone-a", UpstreamCondition::Draining), now);
        assert_eq!(router.choose(&[], now), None);
        now = now + Duration::from_secs(2);
        router.upsert_upstream(facts("a", "zone-a", UpstreamCondition::Warming), now);
        assert_eq!(router.choose(&[], now), Some("a".into()), "{policy:?}");
    }
}

#[test]
fn choose_black_hole() {
    // Symptom: most calls fail while other upstreams are fine.
    // Sequence: one upstream answers every call with 500 in a tenth of the usual time.
    // Cause: quick failures look like low latency and few calls in flight.
    for policy in INFORMED {
        let mut router = router(policy, 6);
        let mut now = Moment(1);
        let end = |node: &NodeName| match node.as_str() {
            "a" => AttemptEnd {
                took: Duration::from_micros(500),
                kind: FAILED,
            },
            _ => answered(ms(5)),
        };
        let counts = run_calls(&mut router, 2_000, &mut now, end);
        let failed = counts.get("a").copied().unwrap_or_default();
        assert!(failed < 60, "{policy:?}: {counts:?}");
        // Recovery: the trial share finds that the upstream works again.
        let counts = run_calls(&mut router, 4_000, &mut now, |_| answered(ms(5)));
        assert!(counts["a"] > 200, "{policy:?}: {counts:?}");
    }
}

#[test]
fn choose_all_failing_alike() {
    // Symptom: a fault that all upstreams share stops the service altogether.
    // Sequence: every upstream answers every call with 500.
    // Cause: failures were judged for each upstream alone, so all were shunned.
    for policy in INFORMED {
        let mut router = router(policy, 3);
        let counts = run_calls(&mut router, 600, &mut Moment(1), |_| AttemptEnd {
            took: ms(5),
            kind: FAILED,
        });
        assert_eq!(counts.len(), 3, "{policy:?}: {counts:?}");
    }
}

#[test]
fn choose_sudden_slowness_before_any_answer() {
    // Symptom: calls pile up at an upstream that has just slowed down.
    // Sequence: calls sent to it stay out for 50 ms, ten times the usual time; none has ended.
    // Cause: only ended calls were counted, and a slow upstream ends none for a while.
    for policy in INFORMED {
        let mut router = router(policy, 3);
        let mut now = Moment(1);
        run_calls(&mut router, 60, &mut now, |_| answered(ms(5)));
        router.record_started(&"a".into(), now);
        router.record_started(&"a".into(), now);
        now = now + ms(50);
        let counts = run_calls(&mut router, 100, &mut now, |_| answered(ms(5)));
        assert_eq!(counts.get("a"), None, "{policy:?}: {counts:?}");
    }
}

#[test]
fn choose_slow_upstream_recovers() {
    for policy in INFORMED {
        let mut router = router(policy, 3);
        let mut now = Moment(1);
        run_calls(&mut router, 60, &mut now, |_| answered(ms(5)));
        run_calls(&mut router, 60, &mut now, |node| match node.as_str() {
            "a" => answered(ms(200)),
            _ => answered(ms(5)),
        });
        let counts = run_calls(&mut router, 1_000, &mut now, |_| answered(ms(5)));
        assert!(counts["a"] > 100, "{policy:?}: {counts:?}");
    }
}

#[test]
fn choose_herd_of_entry_nodes() {
    // Symptom: an idle upstream is swamped within a millisecond and its calls are late.
    // Sequence: 20 entry nodes hold the same report, that `a` is idle and the others are not; each
    // sends three calls before any answer comes.
    // Cause: all take the one best upstream, and none counts what it has just sent.
    for policy in INFORMED {
        let mut herd = 0;
        for seed in 0..20 {
            let mut router = router(policy, 6);
            let now = Moment(1_000);
            router.update_settings(settings(policy));
            for name in ["b", "c", "d", "e", "f"] {
                let busy = report(4, UpstreamCondition::Serving);
                router.record_probe(&name.into(), Some(busy), 100, now);
            }
            let idle = report(0, UpstreamCondition::Serving);
            router.record_probe(&"a".into(), Some(idle), 100, now);
            // Different seeds stand for different entry nodes.
            for _ in 0..seed {
                router.choose(&[], now);
            }
            for _ in 0..3 {
                let node = router.choose(&[], now).expect("an upstream");
                router.record_started(&node, now);
                herd += usize::from(node.as_str() == "a");
            }
        }
        assert!(herd < 42, "{policy:?}: {herd} of 60");
    }
}

#[test]
fn choose_lying_reports() {
    // Symptom: an upstream that is slow gets most calls because it claims to be idle.
    // Sequence: `a` takes ten times as long and reports no load; `b` and `c` are quick and report
    // long queues.
    // Cause: reports were believed against what the calls themselves show.
    for policy in INFORMED {
        let mut router = router(policy, 3);
        let mut now = Moment(1);
        let mut slow = 0;
        for _ in 0..500 {
            let node = router.choose(&[], now).expect("an upstream");
            router.record_started(&node, now);
            let is_slow = node.as_str() == "a";
            slow += usize::from(is_slow);
            let took = if is_slow { ms(50) } else { ms(5) };
            let claimed = if is_slow { 0 } else { 500 };
            now = now + took;
            let load = report(claimed, UpstreamCondition::Serving);
            router.record_ended(&node, answered(took), Some(load), now);
        }
        assert!(slow < 75, "{policy:?}: {slow} of 500 to the slow one");
    }
}

#[test]
fn choose_avoids_refusing_upstream_for_a_while() {
    // Symptom: a shedding upstream is asked again and again, and each call pays for a refusal.
    // Sequence: `a` refuses one call for want of room.
    // Cause: a refusal is quick and left no trace in latency.
    for policy in INFORMED {
        let mut router = router(policy, 3);
        let mut now = Moment(1);
        router.record_started(&"a".into(), now);
        let refused = AttemptEnd {
            took: ms(1),
            kind: AttemptEndKind::Refused(RefusalReason::UpstreamShed),
        };
        now = now + ms(1);
        router.record_ended(&"a".into(), refused, None, now);
        for _ in 0..50 {
            assert_ne!(router.choose(&[], now), Some("a".into()), "{policy:?}");
        }
        let counts = run_calls(&mut router, 300, &mut now, |_| answered(ms(5)));
        assert!(counts.contains_key("a"), "{policy:?}: {counts:?}");
    }
}

#[test]
fn choose_all_refusing_still_chooses() {
    for policy in INFORMED {
        let mut router = router(policy, 2);
        for name in ["a", "b"] {
            let refused = AttemptEnd {
                took: ms(1),
                kind: AttemptEndKind::Refused(RefusalReason::QueueFull),
            };
            router.record_ended(&name.into(), refused, None, Moment(1));
        }
        assert!(router.choose(&[], Moment(2)).is_some());
    }
}

#[test]
fn choose_prefers_own_zone_and_spills() {
    // Symptom: the own zone misses its target while other zones have room.
    // Sequence: calls stay out until the upstreams of the own zone are full.
    // Cause: nearness was put above room.
    for policy in INFORMED {
        let mut router = router_in_zones(policy, &["zone-a", "zone-a", "zone-b", "zone-b"]);
        let now = Moment(1);
        let chosen = (0..16)
            .map(|_| {
                let node = router.choose(&[], now).expect("an upstream");
                router.record_started(&node, now);
                node
            })
            .collect::<Vec<_>>();
        let near = |node: &NodeName| ["a", "b"].contains(&node.as_str());
        assert!(chosen[..8].iter().all(near), "{policy:?}: {chosen:?}");
        assert!(!chosen[14..].iter().any(near), "{policy:?}: {chosen:?}");
    }
}

#[test]
fn choose_warming_upstream_gets_small_share() {
    // Symptom: a fresh upstream is flooded, answers late, and is taken as slow.
    // Sequence: one upstream starts cold beside five warm ones; calls come evenly for 10 s.
    // Cause: without calls in flight it looked like the best one.
    for policy in INFORMED {
        let mut router = router(policy, 5);
        let mut now = Moment(1);
        run_calls(&mut router, 100, &mut now, |_| answered(ms(5)));
        router.upsert_upstream(facts("f", "zone-a", UpstreamCondition::Warming), now);
        let cold = run_calls(&mut router, 200, &mut now, |_| answered(ms(5)));
        let cold = cold.get("f").copied().unwrap_or_default();
        assert!((1..20).contains(&cold), "{policy:?}: {cold} of 200");
        now = now + Duration::from_secs(10);
        let warm = run_calls(&mut router, 600, &mut now, |_| answered(ms(5)));
        assert!(warm["f"] > 50, "{policy:?}: {warm:?}");
    }
}

#[test]
fn update_settings_keeps_knowledge() {
    let mut router = router(PolicyName::Random, 2);
    router.record_started(&"a".into(), Moment(1));
    router.update_settings(settings(PolicyName::ProbePool));
    let status = router.snapshot(Moment(2));
    assert_eq!(status.policy, PolicyName::ProbePool);
    assert_eq!(status.upstreams[0].outstanding, 1);
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Advance(u16),
    Call { outcome: u8 },
    Condition { upstream: u8, condition: u8 },
}

#[test]
fn choose_never_excluded_nor_leaving() {
    check!()
        .with_type::<(u8, Vec<Step>)>()
        .for_each(|(policy, steps)| {
            let policy = ALL[usize::from(*policy) % ALL.len()];
            let mut router = router(policy, 4);
            let mut now = Moment(1);
            let mut incarnation = 1;
            let mut leaving = BTreeMap::new();
            for step in steps {
                match *step {
                    Step::Advance(millis) => now = now + ms(u64::from(millis)),
                    Step::Call { outcome } => run_call(&mut router, outcome, &leaving, now),
                    Step::Condition {
                        upstream,
                        condition,
                    } => {
                        let name = ["a", "b", "c", "d"][usize::from(upstream) % 4];
                        let condition = match condition % 4 {
                            0 => UpstreamCondition::Down,
                            1 => UpstreamCondition::Draining,
                            2 => UpstreamCondition::Warming,
                            _ => UpstreamCondition::Serving,
                        };
                        incarnation += 1;
                        let mut facts = facts(name, "zone-a", condition);
                        facts.incarnation = Incarnation(incarnation);
                        router.upsert_upstream(facts, now);
                        leaving.insert(name.into(), condition);
                    }
                }
            }
        });
}

/// One call that excludes each upstream that refused it, until one answers or none is left.
fn run_call(
    router: &mut Router,
    outcome: u8,
    conditions: &BTreeMap<NodeName, UpstreamCondition>,
    now: Moment,
) {
    let mut refused = Vec::new();
    while let Some(node) = router.choose(&refused, now) {
        assert!(!refused.contains(&node), "{node} was chosen twice");
        let condition = conditions.get(&node);
        let works = condition.is_none_or(|condition| {
            [UpstreamCondition::Serving, UpstreamCondition::Warming].contains(condition)
        });
        assert!(works, "{node} takes no work");
        router.record_started(&node, now);
        let kind = match outcome % 4 {
            0 => ANSWERED,
            1 => FAILED,
            2 => AttemptEndKind::Unknown,
            _ => AttemptEndKind::Refused(RefusalReason::QueueFull),
        };
        let ended = AttemptEnd { took: ms(0), kind };
        router.record_ended(&node, ended, None, now);
        if kind == ANSWERED {
            return;
        }
        refused.push(node);
    }
}

#[test]
fn choose_slowness_seen_only_by_cut_off_attempts() {
    // Symptom: an upstream stays in favour while each call to it needs a hedge.
    // Sequence: its attempts are cut off after 40 ms because a second attempt elsewhere answered.
    // Cause: only answers counted, and the slow upstream never got to answer.
    for policy in INFORMED {
        let mut router = router(policy, 3);
        let mut now = Moment(1);
        let counts = run_calls(&mut router, 600, &mut now, |node| match node.as_str() {
            "a" => AttemptEnd {
                took: ms(40),
                kind: AttemptEndKind::Refused(RefusalReason::Cancelled),
            },
            _ => answered(ms(5)),
        });
        let slow = counts.get("a").copied().unwrap_or_default();
        assert!(slow < 100, "{policy:?}: {counts:?}");
    }
}
