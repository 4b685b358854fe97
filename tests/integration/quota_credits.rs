//! Credit of organisations at an entry node, and what it admits without a keeper.

use crate::quota_keeper::{QUOTA, SETTINGS, at, organisation};
use camphorturn::{
    coordination::{
        quota_credits::{CreditDecision, MeshPosition, QuotaCredits},
        quota_keeper::CreditGrant,
        quota_shares::rank_node_for,
    },
    state::organisations::Quota,
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

const fn keeper_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)), 7_660)
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
    let spent = CreditDecision::Spent { granted: at(0) };
    assert_eq!(
        credits.apply_grant(&organisation(), keeper_address(), grant, at(0), at(1)),
        Some(spent)
    );
    assert_eq!(credits.decide(&organisation(), at(2)), spent);
    assert!(matches!(
        credits.decide(&organisation(), at(200)),
        CreditDecision::Ask { .. }
    ));
}

/// Failure: the credit of a request that no upstream executed is lost, or is returned again and again, or lives on with each return.
#[test]
fn return_credit_once() {
    let mut credits = QuotaCredits::default();
    credits.return_credit(&organisation(), at(0), at(10));
    assert_eq!(
        credits.decide(&organisation(), at(150)),
        CreditDecision::Spent { granted: at(0) }
    );
    assert!(matches!(
        credits.decide(&organisation(), at(151)),
        CreditDecision::Ask { .. }
    ));
    credits.return_credit(&organisation(), at(0), at(200));
    assert!(matches!(
        credits.decide(&organisation(), at(201)),
        CreditDecision::Ask { .. }
    ));
}

/// Failure: an entry node asks the keepers for each request of an organisation that is far beyond its limit, or the refusal of one keeper
/// keeps it from asking the others.
#[test]
fn decide_refuses_without_asking_after_refusals() {
    let mut credits = QuotaCredits::default();
    let refused = |retry_after_ms| CreditGrant {
        credits: 0,
        retry_after_ms,
    };
    let (first, second) = (keeper_address(), SocketAddr::from(([10, 0, 0, 2], 7_660)));
    let name = organisation();
    assert_eq!(credits.refuse(&name, &[first, second], at(0)), None);
    assert_eq!(
        credits.apply_grant(&name, first, refused(400), at(0), at(0)),
        None
    );
    assert!(!credits.may_ask(&name, first, at(90)) && credits.may_ask(&name, first, at(100)));
    assert!(credits.may_ask(&name, second, at(0)));
    assert!(matches!(
        credits.decide(&name, at(1)),
        CreditDecision::Ask { .. }
    ));
    credits.apply_grant(&name, second, refused(5_000), at(0), at(0));
    assert!(!credits.may_ask(&name, second, at(240)) && credits.may_ask(&name, second, at(250)));
    let retry_after = Duration::from_millis(400);
    let decision = credits.refuse(&name, &[first, second], at(0));
    assert_eq!(decision, Some(CreditDecision::Refused { retry_after }));
    let retry_after = Duration::from_millis(310);
    let decision = credits.decide(&name, at(90));
    assert_eq!(decision, CreditDecision::Refused { retry_after });
    assert!(matches!(
        credits.decide(&name, at(110)),
        CreditDecision::Ask { .. }
    ));
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
    assert_eq!(spend_all(&QUOTA, 0.03, at(0)), 1);
    assert_eq!(spend_all(&QUOTA, 0.03, at(4_000)), 0);
    assert_eq!(spend_all(&QUOTA, 0.03, at(6_000)), 1);
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
