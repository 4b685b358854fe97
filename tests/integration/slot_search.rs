//! Search for a free slot, with fixed and with generated answers of the nodes.

use bolero::check;
use camphorturn::coordination::{
    placement::PlacementCandidate,
    slot_search::{
        MAX_LOCAL_ZONE_NODES, MAX_REMOTE_ZONE_NODES, MAX_REMOTE_ZONE_NODES_WITHOUT_LOCAL,
        MAX_WAITS, RETRY_AFTER_RANGE, Refusal, SearchStep, SearchTime, SlotSearch,
        find_hedge_delay,
    },
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

const TARGET: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_millis(1_200);

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn candidate(last: u8, in_local_zone: bool) -> PlacementCandidate {
    PlacementCandidate {
        address: address(last),
        in_local_zone,
        cost: 1.0,
        is_limited: false,
        reported_finish: None,
    }
}

fn time(elapsed: u64) -> SearchTime {
    let elapsed = Duration::from_millis(elapsed);
    SearchTime {
        elapsed,
        remaining: TIMEOUT.saturating_sub(elapsed),
    }
}

fn refusal(last: u8, in_local_zone: bool, finish: u64) -> Refusal {
    Refusal {
        node: address(last),
        in_local_zone,
        finish_in: Duration::from_millis(finish),
    }
}

/// Failure: each request asks in vain a node of its zone whose upstream has a request limit that is used up.
#[test]
fn find_next_limited_node_in_local_zone() {
    let limited = PlacementCandidate {
        is_limited: true,
        reported_finish: Some(Duration::from_millis(500)),
        ..candidate(1, true)
    };
    let candidates = vec![limited, candidate(2, true)];
    let mut search = SlotSearch::begin(candidates, TARGET, 0.0);
    assert_eq!(search.find_next(time(0)), SearchStep::TryNode(address(2)));
    assert!(search.has_refusals());
}

#[test]
fn find_next_short_wait_in_local_zone() {
    let candidates = vec![candidate(1, true), candidate(2, false)];
    let mut search = SlotSearch::begin(candidates, TARGET, 0.0);
    assert_eq!(search.find_next(time(0)), SearchStep::TryNode(address(1)));
    search.record_refusal(refusal(1, true, 110));
    assert_eq!(
        search.find_next(time(2)),
        SearchStep::WaitAt {
            node: address(1),
            finish_within: Duration::from_millis(298),
        }
    );
}

/// Failure: while the local zone is evacuated, a request waits at one of two full nodes of another zone, though a third one is
/// idle.
#[test]
fn find_next_without_local_zone() {
    let candidates = (1..=6).map(|last| candidate(last, false)).collect();
    let mut search = SlotSearch::begin(candidates, TARGET, 0.0);
    for last in 1..=4 {
        assert_eq!(
            search.find_next(time(0)),
            SearchStep::TryNode(address(last))
        );
        search.record_refusal(refusal(last, false, 110));
    }
    assert!(matches!(
        search.find_next(time(2)),
        SearchStep::WaitAt { .. }
    ));
}

/// Failure: under overload a fifth of the bytes between zones is spent on requests, with their bodies, that are refused. Each
/// request is sent to nodes that refused the one before for lack of a slot.
#[test]
fn find_next_uses_reported_refusals() {
    let full = PlacementCandidate {
        reported_finish: Some(Duration::from_millis(250)),
        ..candidate(2, false)
    };
    let mut search = SlotSearch::begin(vec![full, candidate(3, false)], TARGET, 0.0);
    assert_eq!(search.find_next(time(0)), SearchStep::TryNode(address(3)));
    search.record_refusal(refusal(3, false, 280));
    assert_eq!(
        search.find_next(time(3)),
        SearchStep::WaitAt {
            node: address(2),
            finish_within: Duration::from_millis(297),
        }
    );
}

#[test]
fn find_next_other_zone_depends_on_bytes() {
    let asks_other_zone = |kilobytes| {
        let candidates = vec![candidate(1, true), candidate(2, false)];
        let mut search = SlotSearch::begin(candidates, TARGET, kilobytes);
        search.find_next(time(0));
        search.record_refusal(refusal(1, true, 200));
        search.find_next(time(2)) == SearchStep::TryNode(address(2))
    };
    assert!(asks_other_zone(0.0));
    assert!(!asks_other_zone(5.0));
}

#[test]
fn find_next_beyond_target_waits_until_deadline() {
    let mut search = SlotSearch::begin(vec![candidate(1, true)], TARGET, 0.0);
    search.find_next(time(0));
    search.record_refusal(refusal(1, true, 500));
    let finish_within = Duration::from_millis(1_190);
    let node = address(1);
    assert_eq!(
        search.find_next(time(10)),
        SearchStep::WaitAt {
            node,
            finish_within
        }
    );
}

#[test]
fn find_next_beyond_deadline_gives_up() {
    let mut search = SlotSearch::begin(vec![candidate(1, true)], TARGET, 0.0);
    search.find_next(time(0));
    search.record_refusal(refusal(1, true, 1_300));
    assert_eq!(search.find_next(time(10)), SearchStep::GiveUp);
}

/// For any answers at any time: a limited number of nodes is asked, each once, those of the local zone first. A request waits at
/// most twice, only at a node that reported an early enough finish. The `Retry-After` time is within its limits.
#[test]
fn find_next_any_answers() {
    check!()
        .with_type::<(Vec<bool>, Vec<(Option<u16>, u8)>, u8)>()
        .for_each(|(zones, answers, kilobytes)| {
            let candidates: Vec<PlacementCandidate> = zones
                .iter()
                .zip(1..=u8::MAX)
                .map(|(in_local_zone, last)| candidate(last, *in_local_zone))
                .collect();
            let mut search = SlotSearch::begin(candidates.clone(), TARGET, f64::from(*kilobytes));
            let mut asked: Vec<PlacementCandidate> = Vec::new();
            let mut reported: HashMap<SocketAddr, Duration> = HashMap::new();
            let mut waits = 0;
            let mut elapsed = 0;
            for (finish, passed) in answers {
                elapsed += u64::from(*passed);
                let node = match search.find_next(time(elapsed)) {
                    SearchStep::TryNode(node) => {
                        let known = candidates.iter().find(|known| known.address == node);
                        asked.push(*known.expect("a candidate"));
                        node
                    }
                    SearchStep::WaitAt {
                        node,
                        finish_within,
                    } => {
                        waits += 1;
                        assert!(
                            reported[&node] <= finish_within,
                            "{node} reported a later finish"
                        );
                        assert!(finish_within <= time(elapsed).remaining);
                        node
                    }
                    SearchStep::GiveUp => break,
                };
                if let Some(finish) = finish {
                    let finish = Duration::from_millis(u64::from(*finish));
                    reported.insert(node, finish);
                    let in_local_zone = asked
                        .iter()
                        .any(|known| known.address == node && known.in_local_zone);
                    search.record_refusal(Refusal {
                        node,
                        in_local_zone,
                        finish_in: finish,
                    });
                }
            }
            let local_count = asked.iter().filter(|known| known.in_local_zone).count();
            let first_remote = asked.iter().position(|known| !known.in_local_zone);
            let has_local = candidates.iter().any(|candidate| candidate.in_local_zone);
            let max_remote_nodes = if has_local {
                MAX_REMOTE_ZONE_NODES
            } else {
                MAX_REMOTE_ZONE_NODES_WITHOUT_LOCAL
            };
            assert!(
                local_count <= MAX_LOCAL_ZONE_NODES
                    && asked.len() - local_count <= max_remote_nodes
            );
            assert!(
                first_remote
                    .is_none_or(|first| asked[first..].iter().all(|known| !known.in_local_zone))
            );
            assert!(waits <= MAX_WAITS);
            let mut addresses: Vec<SocketAddr> = asked.iter().map(|known| known.address).collect();
            addresses.sort_unstable();
            addresses.dedup();
            assert_eq!(addresses.len(), asked.len(), "a node was asked twice");
            let retry_after = search.find_retry_after(1.0);
            assert!((RETRY_AFTER_RANGE.0..=RETRY_AFTER_RANGE.1).contains(&retry_after));
        });
}

#[test]
fn find_hedge_delay_share_of_target() {
    assert_eq!(find_hedge_delay(TARGET), Duration::from_millis(180));
}
