//! Retries, moves and hedges: what may run again, and how often.

use bolero::{TypeGenerator, check};
use camphorturn::{
    coordination::{
        hedging::{hedge_delay, hedge_delay_for_target},
        retries::{
            AttemptEnding, FinalOutcome, MAX_ATTEMPTS, RetryBudget, RetryDecision, RetryRules,
            RetryState, decide_retry, give_up_without_upstream, may_hedge,
        },
    },
    protocol::outcome::{Refusal, RefusalReason, RetryAdvice, UnknownCause},
    state::{latency_history::LatencyHistory, moment::Moment, names::NodeName},
};
use std::time::Duration;

const CUT: AttemptEnding = AttemptEnding::Unknown(UnknownCause::UpstreamCut);
const FAILED: AttemptEnding = AttemptEnding::Answered { server_error: true };

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn refused(advice: RetryAdvice) -> AttemptEnding {
    AttemptEnding::NotRun(Refusal {
        reason: RefusalReason::QueueFull,
        advice,
    })
}

const fn rules(idempotent: bool) -> RetryRules {
    RetryRules {
        idempotent,
        time_left: ms(100),
        time_needed: ms(5),
    }
}

/// A budget that `calls` calls have paid into.
fn budget(share: f64, calls: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(share);
    for _ in 0..calls {
        budget.count_call();
    }
    budget
}

/// Ends one attempt at `node`.
fn end(
    budget: &mut RetryBudget,
    state: &mut RetryState,
    node: &str,
    ended: AttemptEnding,
    rules: RetryRules,
) -> RetryDecision {
    let node = NodeName::from(node);
    state.start_attempt(node.clone());
    decide_retry(budget, state, &node, ended, rules)
}

fn is_again(decision: &RetryDecision) -> bool {
    matches!(decision, RetryDecision::Again { .. })
}

#[test]
fn decide_retry_booking_after_unknown() {
    // Symptom: a client is charged two deposits.
    // Sequence: the connection breaks after the booking was handed over; it is sent elsewhere.
    // Cause: a broken connection was taken as proof that nothing ran.
    for ended in [CUT, FAILED] {
        let mut budget = budget(1.0, 100);
        let decision = end(
            &mut budget,
            &mut RetryState::default(),
            "a",
            ended,
            rules(false),
        );
        assert_eq!(decision, RetryDecision::GiveUp(FinalOutcome::Last));
    }
}

#[test]
fn decide_retry_booking_after_refusal() {
    let mut budget = budget(0.1, 100);
    let elsewhere = refused(RetryAdvice::Elsewhere);
    let decision = end(
        &mut budget,
        &mut RetryState::default(),
        "a",
        elsewhere,
        rules(false),
    );
    let excluding = vec!["a".into()];
    assert_eq!(decision, RetryDecision::Again { excluding });
}

#[test]
fn decide_retry_refusal_after_unknown_is_not_a_refusal() {
    // Symptom: a caller is told `not run` of a call that ran.
    // Sequence: the first attempt is cut off, the second one is refused.
    // Cause: the outcome of the last attempt stood for the whole call.
    let mut budget = budget(1.0, 100);
    let mut state = RetryState::default();
    assert!(is_again(&end(
        &mut budget,
        &mut state,
        "a",
        CUT,
        rules(true)
    )));
    let decision = end(
        &mut budget,
        &mut state,
        "b",
        refused(RetryAdvice::Never),
        rules(true),
    );
    assert_eq!(decision, RetryDecision::GiveUp(FinalOutcome::Earlier));
    let none_left = give_up_without_upstream(&mut budget, &state, None);
    assert_eq!(none_left, FinalOutcome::Earlier);
}

#[test]
fn decide_retry_advice_is_passed_up() {
    // Symptom: one call at the top makes thousands at the bottom.
    // Sequence: the lowest of eight levels is overloaded; each level tries three times.
    // Cause: each level took the refusal of the one below as a reason to try again.
    for advice in [RetryAdvice::After(ms(700)), RetryAdvice::Never] {
        let mut budget = budget(1.0, 100);
        let mut attempts_at_bottom = 0;
        let mut ended = refused(advice);
        for level in 0..8 {
            let mut state = RetryState::default();
            let decision = end(&mut budget, &mut state, "a", ended, rules(true));
            attempts_at_bottom += u32::from(level == 0);
            let RetryDecision::GiveUp(FinalOutcome::Refused(refusal)) = decision else {
                panic!("level {level}: {decision:?}");
            };
            assert_eq!(refusal.advice, advice);
            ended = AttemptEnding::NotRun(refusal);
        }
        assert_eq!(attempts_at_bottom, 1);
    }
}

#[test]
fn decide_retry_gives_up_at_once_with_time_to_come_back() {
    // Symptom: a caller waits until its deadline for a refusal that was certain long before.
    // Sequence: every upstream that was asked refuses.
    // Cause: the call was kept in the hope that one might take it.
    let mut budget = budget(0.1, 1_000);
    let mut times = Vec::new();
    for _ in 0..16 {
        let mut state = RetryState::default();
        for node in ["a", "b"] {
            let decision = end(
                &mut budget,
                &mut state,
                node,
                refused(RetryAdvice::Elsewhere),
                rules(true),
            );
            assert!(is_again(&decision));
        }
        let decision = end(
            &mut budget,
            &mut state,
            "c",
            refused(RetryAdvice::Elsewhere),
            rules(true),
        );
        let RetryDecision::GiveUp(FinalOutcome::Refused(refusal)) = decision else {
            panic!("{decision:?}");
        };
        let RetryAdvice::After(time) = refusal.advice else {
            panic!("{refusal:?}");
        };
        times.push(time);
    }
    // Callers that were refused together are told different times.
    times.sort();
    times.dedup();
    assert!(times.len() > 4, "{times:?}");
}

#[test]
fn decide_retry_no_time_left() {
    let mut budget = budget(1.0, 100);
    let late = RetryRules {
        time_left: ms(4),
        ..rules(true)
    };
    let decision = end(&mut budget, &mut RetryState::default(), "a", FAILED, late);
    assert_eq!(decision, RetryDecision::GiveUp(FinalOutcome::Last));
    assert_eq!(budget.status().retries, 0);
}

#[test]
fn decide_retry_everything_fails() {
    // Symptom: a service that fails gets twice its load and can't recover.
    // Sequence: every attempt of 1000 idempotent calls fails.
    // Cause: each call was allowed its own retries, whatever the others did.
    let mut budget = RetryBudget::new(0.1);
    let mut attempts = 0;
    for _ in 0..1_000 {
        budget.count_call();
        let mut state = RetryState::default();
        for node in ["a", "b", "c"] {
            attempts += 1;
            if !is_again(&end(&mut budget, &mut state, node, FAILED, rules(true))) {
                break;
            }
        }
    }
    assert!(attempts <= 1_100, "{attempts}");
    assert!(budget.status().denied > 0);
}

#[test]
fn may_hedge_only_idempotent_beside_one_attempt() {
    let mut budget = budget(1.0, 100);
    let mut state = RetryState::default();
    assert!(!may_hedge(&mut budget, &state, rules(true)));
    state.start_attempt("a".into());
    assert!(!may_hedge(&mut budget, &state, rules(false)));
    assert!(may_hedge(&mut budget, &state, rules(true)));
    state.start_attempt("b".into());
    assert!(!may_hedge(&mut budget, &state, rules(true)));
    let decision = decide_retry(&mut budget, &mut state, &"b".into(), FAILED, rules(true));
    assert_eq!(decision, RetryDecision::Wait);
}

#[test]
fn hedge_delay_follows_measured_tail() {
    let mut history = LatencyHistory::default();
    let now = Moment(1);
    for _ in 0..99 {
        history.record(ms(5), now);
    }
    assert_eq!(hedge_delay(&history, now), None, "too few samples");
    for _ in 0..900 {
        history.record(ms(5), now);
    }
    assert_eq!(hedge_delay(&history, now), None, "no tail");
    for _ in 0..25 {
        history.record(ms(80), now);
    }
    let delay = hedge_delay(&history, now).expect("a tail");
    assert!(delay >= ms(4) && delay <= ms(6), "{delay:?}");
    let later = now + Duration::from_secs(20);
    assert_eq!(hedge_delay(&history, later), None, "all too old");
}

#[test]
fn hedge_delay_for_target_leaves_time_for_the_second_attempt() {
    // Symptom: second attempts run, but their calls still miss the target.
    // Sequence: a tenth of the calls takes 100 ms, so the 0.95 quantile lies there too.
    // Cause: the delay followed the quantile, past the time at which a second attempt could help.
    let mut history = LatencyHistory::default();
    let now = Moment(1);
    for call in 0..1_000 {
        history.record(if call % 10 == 0 { ms(100) } else { ms(10) }, now);
    }
    assert_eq!(hedge_delay(&history, now), None, "the tail is flat");
    let delay = hedge_delay_for_target(&history, ms(60), now).expect("a tail");
    assert!(delay >= ms(36) && delay <= ms(40), "{delay:?}");
    let delay = hedge_delay_for_target(&history, ms(15), now).expect("a tail");
    assert!(delay > ms(12), "never at once: {delay:?}");
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct GeneratedCall {
    idempotent: bool,
    endings: [u8; 4],
    time_left: u8,
}

#[test]
fn decide_retry_holds_for_all_calls() {
    check!()
        .with_type::<Vec<GeneratedCall>>()
        .for_each(|calls| {
            let mut budget = RetryBudget::new(0.1);
            for call in calls {
                budget.count_call();
                run_generated_call(&mut budget, *call);
                let used = budget.status();
                assert!(used.retries * 10 <= used.calls, "{used:?}");
                assert!(used.moves * 2 <= used.calls, "{used:?}");
            }
        });
}

fn run_generated_call(budget: &mut RetryBudget, call: GeneratedCall) {
    let mut state = RetryState::default();
    let mut time_left = u64::from(call.time_left);
    for (index, kind) in call.endings.into_iter().enumerate() {
        let node = format!("node-{index}");
        let ended = match kind % 5 {
            0 => AttemptEnding::Answered {
                server_error: false,
            },
            1 => FAILED,
            2 => CUT,
            3 => refused(RetryAdvice::Elsewhere),
            _ => refused(RetryAdvice::After(ms(9))),
        };
        let ran_before = state.may_have_run();
        let rules = RetryRules {
            idempotent: call.idempotent,
            time_left: ms(time_left),
            time_needed: ms(5),
        };
        match end(budget, &mut state, &node, ended, rules) {
            RetryDecision::Wait => panic!("no other attempt was out"),
            RetryDecision::Again { excluding } => {
                assert!(call.idempotent || !state.may_have_run());
                assert!(time_left > 5, "no time is left to try again");
                assert!(state.attempts() < MAX_ATTEMPTS);
                assert_eq!(excluding.len(), index + 1, "each one tried is excluded");
            }
            RetryDecision::GiveUp(FinalOutcome::Refused(refusal)) => {
                assert!(!ran_before, "told `not run` though an attempt may have run");
                assert_ne!(refusal.advice, RetryAdvice::Elsewhere);
                return;
            }
            RetryDecision::GiveUp(_) => return,
        }
        time_left = time_left.saturating_sub(20);
    }
    panic!("more than {MAX_ATTEMPTS} attempts");
}
