//! Credit that the keepers of an organisation's quota grant.

use camphorturn::{
    coordination::{
        quota_keeper::{CreditDemand, CreditGrant, KeeperShare, QuotaKeeper},
        quota_shares::{KeeperMembers, QuotaSettings, most_keepers},
    },
    state::{
        names::{AvailabilityZoneName, OrganisationName},
        organisations::Quota,
        timestamp::Timestamp,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

pub const SETTINGS: QuotaSettings = QuotaSettings {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
/// 8 requests a second, and 8 more at once.
pub const QUOTA: Quota = Quota {
    requests_per_minute: 480,
    burst: 8,
};
const ONE: CreditDemand = CreditDemand {
    wanted: 1,
    is_late: false,
    lacks_keepers: false,
};
const LATE: CreditDemand = CreditDemand {
    wanted: 1,
    is_late: true,
    lacks_keepers: false,
};

pub const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

pub fn organisation() -> OrganisationName {
    "marina".into()
}

/// The share of one of several keepers that start with full buckets.
const fn one_of(keepers: usize) -> KeeperShare {
    KeeperShare {
        keepers,
        since: at(0),
        starts_full: true,
    }
}

fn grant(keeper: &mut QuotaKeeper, share: KeeperShare, now: Timestamp) -> CreditGrant {
    keeper.grant(&organisation(), QUOTA, share, ONE, &SETTINGS, now)
}

/// Number of credits granted at one time to nodes that ask for one each.
fn grant_all(
    keeper: &mut QuotaKeeper,
    quota: Quota,
    share: KeeperShare,
    demand: CreditDemand,
    now: Timestamp,
) -> u32 {
    let mut granted = 0;
    while granted < 10_000
        && keeper
            .grant(&organisation(), quota, share, demand, &SETTINGS, now)
            .credits
            > 0
    {
        granted += 1;
    }
    granted
}

#[test]
fn grant_burst_then_rate() {
    let mut keeper = QuotaKeeper::default();
    let mut grant_all = |now| grant_all(&mut keeper, QUOTA, one_of(1), ONE, now);
    assert_eq!(grant_all(at(0)), 8);
    assert_eq!(grant_all(at(500)), 4);
    assert_eq!(grant_all(at(60_000)), 8);
}

/// Failure: a restarted keeper grants its burst again, although it has just granted it, or refuses a small organisation for seconds.
#[test]
fn grant_restarted_keeper_begins_with_part_of_excess() {
    let mut keeper = QuotaKeeper::default();
    let share = KeeperShare {
        keepers: 2,
        since: at(10_000),
        starts_full: false,
    };
    // A fifth of the tolerated excess of 24.8 requests, divided by two keepers.
    assert_eq!(grant_all(&mut keeper, QUOTA, share, ONE, at(10_000)), 2);
    assert_eq!(grant_all(&mut keeper, QUOTA, share, ONE, at(11_000)), 4);
}

/// Failure: all keepers are restarted within a window, and together with what they granted before they exceed the quota by more than is
/// tolerated, of which nodes that reach no keeper have a part.
#[test]
fn grant_restarted_keepers_within_bound() {
    let short = CreditDemand {
        lacks_keepers: true,
        ..ONE
    };
    for (requests_per_minute, burst) in [(60, 1), (180, 3), (480, 8), (14_160, 236)] {
        let quota = Quota {
            requests_per_minute,
            burst,
        };
        let keepers = most_keepers(&quota, &SETTINGS);
        let mut granted = 0;
        for _ in 0..keepers {
            for (from, starts_full) in [(0, true), (25, false)] {
                let mut keeper = QuotaKeeper::default();
                let share = KeeperShare {
                    keepers,
                    since: at(from * 100),
                    starts_full,
                };
                let steps = from..from + 25;
                granted += steps
                    .map(|step| grant_all(&mut keeper, quota, share, short, at(step * 100)))
                    .sum::<u32>();
            }
        }
        let bound =
            quota.permitted_within(SETTINGS.window) + 0.85 * SETTINGS.tolerated_excess(&quota);
        assert!(
            f64::from(granted) <= bound,
            "{granted} of {bound}, {quota:?}, {keepers} keepers"
        );
    }
}

/// Failure: all keepers together grant more than the quota and the tolerated excess within a window, also to nodes that can't reach some
/// of them, while nodes that reach none use their part of the excess.
#[test]
fn grant_all_keepers_within_bound() {
    let short = CreditDemand {
        lacks_keepers: true,
        ..ONE
    };
    for (requests_per_minute, burst) in [(60, 0), (60, 1), (180, 3), (480, 8), (14_160, 236)] {
        let quota = Quota {
            requests_per_minute,
            burst,
        };
        let permitted = quota.permitted_within(SETTINGS.window);
        let excess = SETTINGS.tolerated_excess(&quota);
        for keepers in 1..=most_keepers(&quota, &SETTINGS) {
            let mut granted = 0;
            for _ in 0..keepers {
                let mut keeper = QuotaKeeper::default();
                let mut grant_all =
                    |now| grant_all(&mut keeper, quota, one_of(keepers), short, now);
                let in_window: u32 = (0..50).map(|step| grant_all(at(step * 100))).sum();
                assert!(in_window > 0, "{quota:?}, {keepers} keepers");
                granted += in_window;
            }
            let bound = permitted + 0.7 * excess + f64::from(u32::from(burst == 0));
            assert!(
                f64::from(granted) <= bound,
                "{granted} of {bound}, {quota:?}, {keepers} keepers"
            );
        }
    }
}

/// Failure: the burst of a small organisation is divided among so many keepers that none of them has a whole token.
#[test]
fn most_keepers_leaves_whole_tokens() {
    let strict = QuotaSettings {
        slack: 0.0,
        ..SETTINGS
    };
    let quota = Quota {
        requests_per_minute: 60,
        burst: 1,
    };
    assert_eq!(most_keepers(&quota, &strict), 1);
    assert!(most_keepers(&quota, &SETTINGS) >= 8);
    let mut keeper = QuotaKeeper::default();
    let share = one_of(most_keepers(&quota, &SETTINGS));
    assert_eq!(grant_all(&mut keeper, quota, share, ONE, at(0)), 1);
}

/// Failure: refused clients all return at the same moment, and most are refused again.
#[test]
fn grant_spreads_returns() {
    let mut keeper = QuotaKeeper::default();
    grant_all(&mut keeper, QUOTA, one_of(1), ONE, at(0));
    let returns: Vec<u64> = (0..8)
        .map(|_| grant(&mut keeper, one_of(1), at(0)).retry_after_ms)
        .collect();
    let distinct: BTreeSet<u64> = returns.iter().copied().collect();
    assert_eq!(distinct.len(), returns.len(), "{returns:?}");
    assert!(returns[0] >= 125 && returns[7] <= 1_300, "{returns:?}");
    let many = (0..1_000).map(|_| grant(&mut keeper, one_of(1), at(0)));
    let longest = many.map(|grant| grant.retry_after_ms).max();
    assert_eq!(longest, Some(5_000));
}

/// Failure: clients that return late use up the credit of requests that would have been in time.
#[test]
fn grant_late_requests_leave_reserve() {
    let mut keeper = QuotaKeeper::default();
    let late = grant_all(&mut keeper, QUOTA, one_of(1), LATE, at(0));
    assert_eq!(late, 6);
    assert_eq!(grant_all(&mut keeper, QUOTA, one_of(1), ONE, at(0)), 2);
}

/// Failure: an organisation whose limit was lowered spends the tokens of the former limit.
#[test]
fn grant_lowered_quota() {
    let mut keeper = QuotaKeeper::default();
    grant(&mut keeper, one_of(1), at(0));
    let lowered = Quota {
        requests_per_minute: 60,
        burst: 1,
    };
    let granted = grant_all(&mut keeper, lowered, one_of(1), ONE, at(10));
    assert_eq!(granted, 1);
}

#[test]
fn grant_quota_without_burst() {
    let mut keeper = QuotaKeeper::default();
    let quota = Quota {
        requests_per_minute: 60,
        burst: 0,
    };
    let mut granted = 0;
    for millis in (0..10_000).step_by(100) {
        granted += keeper
            .grant(
                &organisation(),
                quota,
                one_of(1),
                ONE,
                &SETTINGS,
                at(millis),
            )
            .credits;
    }
    assert!((9..=10).contains(&granted), "{granted}");
}

fn zone(number: u8) -> AvailabilityZoneName {
    format!("zone-{number}").as_str().into()
}

/// Nodes whose zones are named in order.
fn place_nodes(zones: &[u8]) -> BTreeMap<SocketAddr, AvailabilityZoneName> {
    let nodes = zones.iter().enumerate().map(|(number, in_zone)| {
        let host = u8::try_from(number).expect("few nodes");
        (SocketAddr::from(([10, 0, 0, host], 7_660)), zone(*in_zone))
    });
    nodes.collect()
}

fn find_addresses(
    members: &KeeperMembers,
    name: &OrganisationName,
    most: usize,
) -> Vec<SocketAddr> {
    let keepers = members.find_keepers(name, most);
    keepers.iter().map(|keeper| keeper.address).collect()
}

fn update(
    members: &mut KeeperMembers,
    generation: u64,
    nodes: &BTreeMap<SocketAddr, AvailabilityZoneName>,
    now: Timestamp,
) {
    let present = nodes.iter().map(|(address, zone)| (*address, zone));
    members.update(generation, present, &SETTINGS, now);
}

fn members_of(zones: &[u8]) -> KeeperMembers {
    let mut members = KeeperMembers::default();
    update(&mut members, 1, &place_nodes(zones), at(0));
    members
}

#[test]
fn find_keepers_two_in_each_zone() {
    let zones: Vec<u8> = (0..99).map(|number| number % 3).collect();
    let (members, nodes) = (members_of(&zones), place_nodes(&zones));
    let mut keeping = BTreeSet::new();
    for number in 0..300 {
        let name = format!("organisation-{number}").as_str().into();
        let keepers = find_addresses(&members, &name, 10);
        assert_eq!(keepers.len(), 6);
        for number in 0..3 {
            let in_zone = keepers
                .iter()
                .filter(|keeper| nodes[*keeper] == zone(number));
            assert_eq!(in_zone.count(), 2);
        }
        assert_eq!(find_addresses(&members, &name, 3), keepers[..3]);
        keeping.extend(keepers);
    }
    assert!(
        keeping.len() > 90,
        "{} nodes keep 300 quotas",
        keeping.len()
    );
    let count = |zones: &[u8]| find_addresses(&members_of(zones), &organisation(), 10).len();
    assert_eq!(count(&[0]), 1);
    assert_eq!(count(&[0, 0, 0, 0, 0, 0]), 4);
    assert_eq!(count(&[0, 0, 0, 0, 0, 1]), 4);
    assert_eq!(count(&[0, 1, 2]), 3);
}

/// Failure: a node that is gone for those that learn of it early, and grants credit to the others, is replaced at once.
#[test]
fn update_keeps_gone_nodes_for_two_windows() {
    let mut nodes = place_nodes(&[0, 0, 0, 1, 1, 1]);
    let mut members = KeeperMembers::default();
    update(&mut members, 1, &nodes, at(0));
    let before = find_addresses(&members, &organisation(), 10);
    nodes.remove(&before[0]);
    update(&mut members, 2, &nodes, at(1_000));
    assert_eq!(find_addresses(&members, &organisation(), 10), before);
    assert!(!members.needs_update(2, at(10_900)));
    assert!(members.needs_update(2, at(11_000)));
    update(&mut members, 2, &nodes, at(11_000));
    let after = find_addresses(&members, &organisation(), 10);
    assert!(!after.contains(&before[0]) && after.len() == 4);
}

/// Failure: entry nodes ask keepers of other zones first, or all nodes of a zone the same one.
#[test]
fn order_for_entry_own_zone_first() {
    let zones: Vec<u8> = (0..60).map(|number| number % 3).collect();
    let (members, nodes) = (members_of(&zones), place_nodes(&zones));
    let mut first = BTreeSet::new();
    for (entry, own_zone) in &nodes {
        let mut keepers = members.find_keepers(&organisation(), 10);
        members.order_for_entry(&mut keepers, *entry, own_zone);
        let in_zone = |place: usize| nodes[&keepers[place].address] == *own_zone;
        assert!(in_zone(0) && in_zone(1) && !in_zone(2));
        first.insert(keepers[0].address);
    }
    assert_eq!(first.len(), 6);
}
