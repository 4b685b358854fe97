//! Measures what a request of an organisation costs before it is routed: the lookup of its key and the decision on its quota.
//!
//! `cargo run --release --example organisation_decisions`

use camphorturn::{
    coordination::{
        quota_credits::{CreditDecision, QuotaCredits},
        quota_keeper::{CreditDemand, KeeperShare, QuotaKeeper},
        quota_shares::{KeeperMembers, QuotaSettings, most_keepers},
    },
    state::{
        names::AvailabilityZoneName,
        organisations::{KeyDigest, Organisation, OrganisationIndex, Quota},
        timestamp::Timestamp,
    },
};
use std::{hint::black_box, net::SocketAddr, rc::Rc, time::Instant};

const ORGANISATIONS: usize = 10_000;
const NODES: u16 = 870;
const ZONES: usize = 3;
const ROUNDS: usize = 200_000;

fn main() {
    let quota = Quota {
        requests_per_minute: 480,
        burst: 8,
    };
    let organisations: Vec<Rc<Organisation>> = (0..ORGANISATIONS)
        .map(|number| {
            Rc::new(Organisation {
                name: format!("organisation-{number}").as_str().into(),
                keys: vec![KeyDigest::of(format!("key-{number}").as_bytes())],
                priority: 1,
                quota: Some(quota),
            })
        })
        .collect();
    let index = OrganisationIndex::new(&organisations);
    let nodes: Vec<SocketAddr> = (0..NODES)
        .map(|number| {
            let [high, low] = number.to_be_bytes();
            SocketAddr::from(([10, 0, high, low], 7_660))
        })
        .collect();
    let (mut credits, mut keeper) = (QuotaCredits::default(), QuotaKeeper::default());
    let settings = QuotaSettings::default();
    let zones: Vec<AvailabilityZoneName> = (0..ZONES)
        .map(|number| format!("zone-{number}").as_str().into())
        .collect();
    let mut members = KeeperMembers::default();
    let placed = nodes.iter().zip(zones.iter().cycle());
    let placed = placed.map(|(address, zone)| (*address, zone));
    members.update(1, placed, &settings, Timestamp::default());
    let mut lookups = Vec::with_capacity(ROUNDS);
    let mut decisions = Vec::with_capacity(ROUNDS);
    for round in 0..ROUNDS {
        let key = format!("key-{}", round % ORGANISATIONS);
        let started = Instant::now();
        let digest = KeyDigest::of(key.as_bytes());
        let organisation = index.find_by_key(&digest).expect("a known key");
        lookups.push(started.elapsed().as_nanos());
        let now = Timestamp(round as u64 * 2_000);
        let started = Instant::now();
        if let CreditDecision::Ask { wanted } = credits.decide(&organisation.name, now) {
            let most = most_keepers(&quota, &settings);
            let mut keepers = members.find_keepers(&organisation.name, most);
            members.order_for_entry(&mut keepers, nodes[0], &zones[0]);
            let demand = CreditDemand {
                wanted,
                is_late: false,
                lacks_keepers: false,
            };
            let share = KeeperShare {
                keepers: keepers.len(),
                since: Timestamp::default(),
                starts_full: true,
            };
            let name = &organisation.name;
            let address = keepers[0].address;
            black_box(credits.may_ask(name, address, now));
            let grant = keeper.grant(name, quota, share, demand, &settings, now);
            black_box(credits.apply_grant(name, address, grant, now, now));
        }
        decisions.push(started.elapsed().as_nanos());
    }
    for (what, mut times) in [("key lookup", lookups), ("quota decision", decisions)] {
        times.sort_unstable();
        let (middle, high) = (times[ROUNDS / 2], times[ROUNDS * 99 / 100]);
        println!("{what}: median {middle} ns, 99th percentile {high} ns");
    }
}
