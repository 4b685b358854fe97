//! Credit that the keeper of an organisation's quota grants.

use camphorturn::{
    coordination::{
        quota_credits::{CreditDecision, MeshPosition, QuotaCredits},
        quota_keeper::{
            CreditDemand, CreditGrant, KEEPER_CANDIDATES, KeeperTenure, QuotaKeeper, QuotaSettings,
            find_keepers, rank_node_for,
        },
    },
    state::{names::OrganisationName, organisations::Quota, timestamp::Timestamp},
};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

const SETTINGS: QuotaSettings = QuotaSettings {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
/// 8 requests a second, and 8 more at once.
const QUOTA: Quota = Quota {
    requests_per_minute: 480,
    burst: 8,
};
const ONE: CreditDemand = CreditDemand {
    wanted: 1,
    is_late: false,
};
const LATE: CreditDemand = CreditDemand {
    wanted: 1,
    is_late: true,
};

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn organisation() -> OrganisationName {
    "marina".into()
}

fn grant(keeper: &mut QuotaKeeper, tenure: KeeperTenure, now: Timestamp) -> CreditGrant {
    keeper.grant(&organisation(), QUOTA, ONE, tenure, &SETTINGS, now)
}

/// Number of credits granted at one time to nodes that ask for one each.
fn grant_all(keeper: &mut QuotaKeeper, tenure: KeeperTenure, now: Timestamp) -> u32 {
    let mut granted = 0;
    while granted < 1_000 && grant(keeper, tenure, now).credits > 0 {
        granted += 1;
    }
    granted
}

#[test]
fn grant_burst_then_rate() {
    let mut keeper = QuotaKeeper::default();
    assert_eq!(grant_all(&mut keeper, KeeperTenure::Established, at(0)), 8);
    assert_eq!(
        grant_all(&mut keeper, KeeperTenure::Established, at(500)),
        4
    );
    assert_eq!(
        grant_all(&mut keeper, KeeperTenure::Established, at(60_000)),
        8
    );
}

/// Failure: a new keeper grants the whole burst again, although the lost one has just granted it.
#[test]
fn grant_new_keeper_begins_with_part_of_tolerated_excess() {
    let mut keeper = QuotaKeeper::default();
    let granted = grant_all(&mut keeper, KeeperTenure::Recent, at(0));
    assert!((1..=6).contains(&granted), "{granted}");
    let later = grant_all(&mut keeper, KeeperTenure::Recent, at(1_000));
    assert!(later <= 6, "{later}");
}

/// Failure: a node that kept the quota once refills its bucket while another node keeps the quota.
#[test]
fn grant_after_other_keeper() {
    let mut keeper = QuotaKeeper::default();
    grant_all(&mut keeper, KeeperTenure::Recent, at(0));
    let granted = grant_all(&mut keeper, KeeperTenure::Recent, at(30_000));
    assert!(granted <= 6, "{granted}");
}

/// Failure: refused clients all return at the same moment, and most are refused again.
#[test]
fn grant_spreads_returns() {
    let mut keeper = QuotaKeeper::default();
    grant_all(&mut keeper, KeeperTenure::Established, at(0));
    let returns: Vec<u64> = (0..8)
        .map(|_| grant(&mut keeper, KeeperTenure::Established, at(0)).retry_after_ms)
        .collect();
    let distinct: BTreeSet<u64> = returns.iter().copied().collect();
    assert_eq!(distinct.len(), returns.len(), "{returns:?}");
    assert!(returns[0] >= 125 && returns[7] <= 1_300, "{returns:?}");
    let many = (0..1_000).map(|_| grant(&mut keeper, KeeperTenure::Established, at(0)));
    let longest = many.map(|grant| grant.retry_after_ms).max();
    assert_eq!(longest, Some(5_000));
}

/// Failure: clients that return late use up the credit of requests that would have been in time.
#[test]
fn grant_late_requests_leave_reserve() {
    let mut keeper = QuotaKeeper::default();
    let mut late = 0;
    let tenure = KeeperTenure::Established;
    while keeper
        .grant(&organisation(), QUOTA, LATE, tenure, &SETTINGS, at(0))
        .credits
        > 0
    {
        late += 1;
    }
    assert_eq!(late, 6);
    assert_eq!(grant_all(&mut keeper, tenure, at(0)), 2);
}

/// Failure: an organisation whose limit was lowered spends the tokens of the former limit.
#[test]
fn grant_lowered_quota() {
    let mut keeper = QuotaKeeper::default();
    grant(&mut keeper, KeeperTenure::Established, at(0));
    let lowered = Quota {
        requests_per_minute: 60,
        burst: 1,
    };
    let mut granted = 0;
    let tenure = KeeperTenure::Established;
    while keeper
        .grant(&organisation(), lowered, ONE, tenure, &SETTINGS, at(10))
        .credits
        > 0
    {
        granted += 1;
    }
    assert_eq!(granted, 1);
}

#[test]
fn grant_quota_without_burst() {
    let mut keeper = QuotaKeeper::default();
    let quota = Quota {
        requests_per_minute: 60,
        burst: 0,
    };
    let tenure = KeeperTenure::Established;
    let mut granted = 0;
    for millis in (0..10_000).step_by(100) {
        granted += keeper
            .grant(&organisation(), quota, ONE, tenure, &SETTINGS, at(millis))
            .credits;
    }
    assert!((9..=10).contains(&granted), "{granted}");
}

#[test]
fn find_keepers_stable_order() {
    let nodes: Vec<SocketAddr> = (0..200)
        .map(|number| SocketAddr::from(([10, 0, 0, number], 7_660)))
        .collect();
    let keepers = find_keepers(&organisation(), nodes.iter().copied());
    assert_eq!(keepers.len(), KEEPER_CANDIDATES);
    let without = |lost: SocketAddr| nodes.iter().copied().filter(move |node| *node != lost);
    let after = find_keepers(&organisation(), without(keepers[0]));
    assert_eq!(after[..KEEPER_CANDIDATES - 1], keepers[1..]);
    let first: BTreeSet<SocketAddr> = (0..300)
        .map(|number| {
            let name = format!("organisation-{number}");
            find_keepers(&name.as_str().into(), nodes.iter().copied())[0]
        })
        .collect();
    assert!(first.len() > 100, "{} nodes keep 300 quotas", first.len());
}

#[test]
fn decide_uses_granted_credit_until_it_lapses() {
    let mut credits = QuotaCredits::default();
    assert_eq!(
        credits.decide(&organisation(), at(0)),
        CreditDecision::Ask { wanted: 1 }
    );
    let grant = CreditGrant {
        credits: 3,
        retry_after_ms: 0,
    };
    assert_eq!(
        credits.apply_grant(&organisation(), grant, at(1)),
        CreditDecision::Spent
    );
    assert_eq!(
        credits.decide(&organisation(), at(2)),
        CreditDecision::Spent
    );
    assert!(matches!(
        credits.decide(&organisation(), at(300)),
        CreditDecision::Ask { .. }
    ));
}

/// Failure: the credit of a request that no upstream executed is lost, or is returned again and again.
#[test]
fn return_credit_once() {
    let mut credits = QuotaCredits::default();
    credits.return_credit(&organisation(), at(0));
    assert_eq!(
        credits.decide(&organisation(), at(1)),
        CreditDecision::Spent
    );
    assert!(matches!(
        credits.decide(&organisation(), at(2)),
        CreditDecision::Ask { .. }
    ));
}

/// Failure: an entry node asks the keeper for each request of an organisation that is far beyond its limit.
#[test]
fn decide_refuses_without_asking_after_refusal() {
    let mut credits = QuotaCredits::default();
    let refused = CreditGrant {
        credits: 0,
        retry_after_ms: 400,
    };
    credits.apply_grant(&organisation(), refused, at(0));
    let decision = credits.decide(&organisation(), at(90));
    let retry_after = Duration::from_millis(310);
    assert_eq!(decision, CreditDecision::Refused { retry_after });
    assert!(matches!(
        credits.decide(&organisation(), at(110)),
        CreditDecision::Ask { .. }
    ));
}

/// Failure: two nodes grant the whole quota for seconds. The first keeper is busy and answers the second one too late, but it answers
/// other nodes.
#[test]
fn grant_while_preceding_keeper_is_busy() {
    let mut keeper = QuotaKeeper::default();
    let mut granted = 0;
    for millis in (0..5_000).step_by(10) {
        if millis % 400 == 0 {
            keeper.record_other_keeper(&organisation(), at(millis));
        }
        granted += grant(&mut keeper, KeeperTenure::Recent, at(millis)).credits;
    }
    let share = SETTINGS.tolerated_excess(&QUOTA) / 4.0;
    assert!(f64::from(granted) <= share, "{granted}");
}

/// Failure: a node that is cut off admits everything, or all such nodes together admit more than the tolerated excess.
#[test]
fn spend_unconfirmed_is_bounded() {
    let mut credits = QuotaCredits::default();
    let mut spend_all = |quota: &Quota, node_rank: f64, now| {
        let mesh = MeshPosition {
            nodes: 89,
            node_rank,
        };
        let spend =
            |_: &u32| credits.spend_unconfirmed(&organisation(), quota, mesh, &SETTINGS, now);
        (0..100_u32).filter(spend).count()
    };
    assert_eq!(spend_all(&QUOTA, 0.1, at(0)), 1);
    assert_eq!(spend_all(&QUOTA, 0.1, at(4_000)), 0);
    assert_eq!(spend_all(&QUOTA, 0.1, at(6_000)), 1);
    assert_eq!(spend_all(&QUOTA, 0.9, at(12_000)), 0);
}

/// Failure: nodes that are cut off admit a share of a large quota each, and all of them together more than the tolerated excess, while
/// the keeper grants the whole quota to the others.
#[test]
fn spend_unconfirmed_by_all_nodes_is_bounded() {
    let quotas = [(60, 1), (9_360, 156), (14_160, 236), (600_000, 1_000)];
    for (requests_per_minute, burst) in quotas {
        let quota = Quota {
            requests_per_minute,
            burst,
        };
        let excess = SETTINGS.tolerated_excess(&quota);
        for nodes in [2_u32, 12, 89, 300, 870] {
            let admitted = (0..nodes).map(|node| {
                let mesh = MeshPosition {
                    nodes: usize::try_from(nodes).expect("a small number"),
                    node_rank: f64::from(node) / f64::from(nodes),
                };
                let mut credits = QuotaCredits::default();
                let spend = |_: &u32| {
                    credits.spend_unconfirmed(&organisation(), &quota, mesh, &SETTINGS, at(0))
                };
                (0..10_000_u32).filter(spend).count()
            });
            let admitted = u32::try_from(admitted.sum::<usize>()).expect("a small number");
            assert!(
                admitted > 0 && f64::from(admitted) <= excess,
                "{admitted} by {nodes} nodes, {excess} tolerated"
            );
        }
    }
}

#[test]
fn rank_node_for_is_even() {
    let ranks = (0..200).map(|number| {
        let node = SocketAddr::from(([10, 0, 0, number], 7_660));
        rank_node_for(&organisation(), node)
    });
    let below_quarter = ranks.filter(|rank| *rank < 0.25).count();
    assert!((30..=70).contains(&below_quarter), "{below_quarter}");
}
