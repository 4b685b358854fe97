//! Records of nodes that are gone, and of nodes that only seem to be.

use bolero::check;
use camphorturn::{
    coordination::retiring::{Reachability, RetirementTracker, TrackedRecord, judge_reachability},
    proxy::directory::{Directory, StateSource},
    state::{
        incarnation_id::IncarnationId,
        known_node::{NodeRecord, StoredRecord},
        timestamp::Timestamp,
    },
};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

const MINUTE: Duration = Duration::from_mins(1);
/// Step of the simulated watch.
const STEP: Duration = Duration::from_secs(10);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, (number & 0xff) as u8], 7_000))
}

fn watched(number: u16, zone: &str, revision: u64) -> TrackedRecord {
    TrackedRecord {
        address: address(number),
        availability_zone: zone.into(),
        revision,
    }
}

fn record(number: u16) -> NodeRecord {
    NodeRecord {
        name: format!("n{number}").as_str().into(),
        address: address(number),
        service: "desk".into(),
        availability_zone: "a".into(),
        incarnation: IncarnationId {
            instance: format!("i{number}"),
            started_ms: None,
        },
        slots: 6,
        leaving: false,
        operator_address: None,
    }
}

fn stored(number: u16, revision: u64) -> StoredRecord {
    StoredRecord {
        revision,
        record: record(number),
    }
}

/// Runs a watch for `span`; nodes in `alive` answer whenever they are asked. Returns the most questions of a
/// step.
fn run_watch(
    watch: &mut RetirementTracker,
    records: &[TrackedRecord],
    alive: &BTreeSet<SocketAddr>,
    (from, span): (Timestamp, Duration),
) -> usize {
    let mut most = 0;
    let mut now = from;
    while now.since(from) <= span {
        watch.apply_records(records.iter().cloned(), now);
        let due = watch.take_due_probes(watch.count_probes_per_interval(STEP), now);
        most = most.max(due.len());
        for to in due.into_iter().filter(|to| alive.contains(to)) {
            watch.record_contact(to, now);
        }
        now = now + STEP;
    }
    most
}

#[test]
fn list_gone_after_long_silence() {
    let records = [watched(1, "a", 1), watched(2, "a", 2)];
    let alive = BTreeSet::from([address(1)]);
    let mut watch = RetirementTracker::default();
    run_watch(&mut watch, &records, &alive, (Timestamp(0), MINUTE * 29));
    let soon = Timestamp(0) + MINUTE * 29;
    assert!(watch.list_suspects(soon).is_empty());
    run_watch(&mut watch, &records, &alive, (soon, MINUTE * 2));
    assert_eq!(watch.list_suspects(soon + MINUTE * 2), [address(2)]);
}

/// Symptom: after two regions have been apart for an hour, each has forgotten the other. Cause: silence of a
/// whole zone was taken for the loss of each of its nodes.
#[test]
fn list_gone_zone_cut_off() {
    let records = [watched(1, "a", 1), watched(2, "b", 2), watched(3, "b", 3)];
    let alive = BTreeSet::from([address(1)]);
    let mut watch = RetirementTracker::default();
    run_watch(&mut watch, &records, &alive, (Timestamp(0), MINUTE * 60));
    let hour = Timestamp(0) + MINUTE * 60;
    assert!(watch.list_suspects(hour).is_empty());
    let day = hour + MINUTE * 60 * 24;
    run_watch(&mut watch, &records, &alive, (hour, MINUTE * 60 * 24));
    assert_eq!(watch.list_suspects(day), [address(2), address(3)]);
}

#[test]
fn list_gone_new_record_counts_as_a_sign() {
    let mut watch = RetirementTracker::default();
    let alive = BTreeSet::from([address(1)]);
    let before = [watched(1, "a", 1), watched(2, "a", 2)];
    run_watch(&mut watch, &before, &alive, (Timestamp(0), MINUTE * 25));
    let after = [watched(1, "a", 1), watched(2, "a", 9)];
    let later = Timestamp(0) + MINUTE * 25;
    run_watch(&mut watch, &after, &alive, (later, MINUTE * 10));
    assert!(watch.list_suspects(later + MINUTE * 10).is_empty());
}

/// Symptom: a node that others reach loses its record. Sequence: the link between it and the watching node is
/// cut for long. Cause: the word of one was enough.
#[test]
fn weigh_testimony_of_witnesses() {
    assert_eq!(
        judge_reachability(&[Some(false), Some(false)]),
        Reachability::Unreachable
    );
    assert_eq!(
        judge_reachability(&[Some(false), Some(true)]),
        Reachability::Reachable
    );
    assert_eq!(
        judge_reachability(&[Some(false), None]),
        Reachability::Inconclusive
    );
    assert_eq!(judge_reachability(&[]), Reachability::Inconclusive);
}

#[test]
fn list_witnesses_of_the_same_zone_first() {
    let mut watch = RetirementTracker::default();
    let records = [watched(1, "a", 1), watched(2, "b", 2), watched(3, "b", 3)];
    watch.apply_records(records.into_iter(), Timestamp(0));
    let witnesses = watch.list_confirming_nodes(address(3), Timestamp(1));
    assert_eq!(witnesses, [address(2), address(1)]);
}

/// Each node that is not heard of otherwise is asked every five minutes, a few in each step.
#[test]
fn take_due_reaches_all_evenly() {
    let records: Vec<TrackedRecord> = (0..870).map(|n| watched(n, "a", 1)).collect();
    let alive: BTreeSet<SocketAddr> = (0..870).map(address).collect();
    let mut watch = RetirementTracker::default();
    let most = run_watch(&mut watch, &records, &alive, (Timestamp(0), MINUTE * 60));
    assert_eq!(most, 29);
    assert!(watch.list_suspects(Timestamp(0) + MINUTE * 60).is_empty());
}

/// Nodes that answer are never listed, whatever else happens.
#[test]
fn list_gone_never_those_that_answer() {
    check!()
        .with_type::<Vec<(u8, bool, u8)>>()
        .for_each(|drawn| {
            let records: Vec<TrackedRecord> = drawn
                .iter()
                .enumerate()
                .map(|(n, (zone, _, revision))| {
                    let number = u16::try_from(n).unwrap_or(u16::MAX);
                    watched(number, &format!("z{}", zone % 3), u64::from(*revision) + 1)
                })
                .take(20)
                .collect();
            let answering = drawn
                .iter()
                .zip(&records)
                .filter(|((_, answers, _), _)| *answers);
            let alive: BTreeSet<SocketAddr> = answering.map(|(_, record)| record.address).collect();
            let mut watch = RetirementTracker::default();
            run_watch(&mut watch, &records, &alive, (Timestamp(0), MINUTE * 40));
            let gone = watch.list_suspects(Timestamp(0) + MINUTE * 40);
            assert!(gone.iter().all(|address| !alive.contains(address)));
        });
}

/// Symptom: a node that is gone comes back to one that had forgotten it. Sequence: its record is dropped; another
/// node that has not read so far tells all it knows to one that was started anew. Cause: what a node tells was
/// believed over what the store no longer held.
#[test]
fn take_record_dropped_stays_dropped() {
    let mut directory = Directory::default();
    assert!(directory.apply_record(stored(1, 3), StateSource::Store));
    directory.advance_read_position(4);
    let dropped = directory.remove_dropped(4, |known| known.address == address(1));
    assert_eq!(dropped.len(), 1);
    assert!(!directory.apply_record(stored(1, 3), StateSource::Peer));
    assert!(directory.nodes.is_empty());
    assert!(directory.apply_record(stored(1, 5), StateSource::Peer));
}

#[test]
fn forget_dropped_keeps_what_came_later() {
    let mut directory = Directory::default();
    directory.apply_record(stored(1, 6), StateSource::Peer);
    assert!(directory.remove_dropped(5, |_| true).is_empty());
    assert_eq!(directory.nodes.len(), 1);
}

/// Symptom: memory and the first read of a node grow from day to day. Sequence: 55 VMs a day are replaced by
/// others with other addresses, for ten days. Cause: nobody drops the records of those that are gone.
#[test]
fn watch_days_of_replacements_keeps_records_few() {
    const NODES: u16 = 100;
    const REPLACED_A_DAY: u16 = 55;
    const DAYS: u16 = 10;
    let mut records: Vec<TrackedRecord> = (0..NODES).map(|n| watched(n, "a", 1)).collect();
    let mut alive: BTreeSet<SocketAddr> = (0..NODES).map(address).collect();
    let mut watch = RetirementTracker::default();
    let mut now = Timestamp(0);
    let mut most = 0;
    let between = MINUTE * 60 * 24 / u32::from(REPLACED_A_DAY);
    for replaced in 0..REPLACED_A_DAY * DAYS {
        alive.remove(&address(replaced));
        let new = NODES + replaced;
        alive.insert(address(new));
        records.push(watched(new, "a", u64::from(new)));
        run_watch(&mut watch, &records, &alive, (now, between));
        now = now + between;
        let gone = watch.list_suspects(now);
        records.retain(|record| !gone.contains(&record.address));
        most = most.max(records.len());
    }
    assert!(
        alive
            .iter()
            .all(|alive| records.iter().any(|record| record.address == *alive))
    );
    assert!(most <= usize::from(NODES) + 3, "{most} records at once");
}
