//! Removal of the records of nodes that no longer exist, but not of nodes that are only unreachable for a time.

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
/// Interval between two steps of the simulated tracker.
const STEP: Duration = Duration::from_secs(10);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, (number & 0xff) as u8], 7_000))
}

fn tracked(number: u16, zone: &str, revision: u64) -> TrackedRecord {
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

/// Runs the tracker for `span`; nodes in `alive` answer every probe. Returns the maximum number of probes in one step.
fn run_tracker(
    tracker: &mut RetirementTracker,
    records: &[TrackedRecord],
    alive: &BTreeSet<SocketAddr>,
    (from, span): (Timestamp, Duration),
) -> usize {
    let mut max_probes = 0;
    let mut now = from;
    while now.since(from) <= span {
        tracker.apply_records(records.iter().cloned(), now);
        let due = tracker.take_due_probes(tracker.count_probes_per_interval(STEP), now);
        max_probes = max_probes.max(due.len());
        for to in due.into_iter().filter(|to| alive.contains(to)) {
            tracker.record_contact(to, now);
        }
        now = now + STEP;
    }
    max_probes
}

#[test]
fn list_suspects_after_long_silence() {
    let records = [tracked(1, "a", 1), tracked(2, "a", 2)];
    let alive = BTreeSet::from([address(1)]);
    let mut tracker = RetirementTracker::default();
    run_tracker(&mut tracker, &records, &alive, (Timestamp(0), MINUTE * 29));
    let soon = Timestamp(0) + MINUTE * 29;
    assert!(tracker.list_suspects(soon).is_empty());
    run_tracker(&mut tracker, &records, &alive, (soon, MINUTE * 2));
    assert_eq!(tracker.list_suspects(soon + MINUTE * 2), [address(2)]);
}

/// Failure: after two regions have been disconnected for an hour, each has removed the records of the other, because the silence
/// of a whole zone counted as the loss of each of its nodes.
#[test]
fn list_suspects_zone_disconnected() {
    let records = [tracked(1, "a", 1), tracked(2, "b", 2), tracked(3, "b", 3)];
    let alive = BTreeSet::from([address(1)]);
    let mut tracker = RetirementTracker::default();
    run_tracker(&mut tracker, &records, &alive, (Timestamp(0), MINUTE * 60));
    let hour = Timestamp(0) + MINUTE * 60;
    assert!(tracker.list_suspects(hour).is_empty());
    let day = hour + MINUTE * 60 * 24;
    run_tracker(&mut tracker, &records, &alive, (hour, MINUTE * 60 * 24));
    assert_eq!(tracker.list_suspects(day), [address(2), address(3)]);
}

#[test]
fn list_suspects_new_record_counts_as_contact() {
    let mut tracker = RetirementTracker::default();
    let alive = BTreeSet::from([address(1)]);
    let old_records = [tracked(1, "a", 1), tracked(2, "a", 2)];
    run_tracker(
        &mut tracker,
        &old_records,
        &alive,
        (Timestamp(0), MINUTE * 25),
    );
    let new_records = [tracked(1, "a", 1), tracked(2, "a", 9)];
    let later = Timestamp(0) + MINUTE * 25;
    run_tracker(&mut tracker, &new_records, &alive, (later, MINUTE * 10));
    assert!(tracker.list_suspects(later + MINUTE * 10).is_empty());
}

/// Failure: a node that other nodes reach loses its record, because the link between it and the tracking node fails for a long
/// time and no other node is asked.
#[test]
fn judge_reachability_from_answers() {
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
fn list_confirming_nodes_same_zone_first() {
    let mut tracker = RetirementTracker::default();
    let records = [tracked(1, "a", 1), tracked(2, "b", 2), tracked(3, "b", 3)];
    tracker.apply_records(records.into_iter(), Timestamp(0));
    let confirming_nodes = tracker.list_confirming_nodes(address(3), Timestamp(1));
    assert_eq!(confirming_nodes, [address(2), address(1)]);
}

/// Each node without other contact is probed every five minutes, a few in each step.
#[test]
fn take_due_probes_evenly_distributed() {
    let records: Vec<TrackedRecord> = (0..870).map(|n| tracked(n, "a", 1)).collect();
    let alive: BTreeSet<SocketAddr> = (0..870).map(address).collect();
    let mut tracker = RetirementTracker::default();
    let max_probes = run_tracker(&mut tracker, &records, &alive, (Timestamp(0), MINUTE * 60));
    assert_eq!(max_probes, 29);
    assert!(tracker.list_suspects(Timestamp(0) + MINUTE * 60).is_empty());
}

/// For any records: nodes that answer probes are never suspected.
#[test]
fn list_suspects_never_responding_nodes() {
    check!()
        .with_type::<Vec<(u8, bool, u8)>>()
        .for_each(|inputs| {
            let records: Vec<TrackedRecord> = inputs
                .iter()
                .enumerate()
                .map(|(n, (zone, _, revision))| {
                    let number = u16::try_from(n).unwrap_or(u16::MAX);
                    tracked(number, &format!("z{}", zone % 3), u64::from(*revision) + 1)
                })
                .take(20)
                .collect();
            let answering = inputs
                .iter()
                .zip(&records)
                .filter(|((_, answers, _), _)| *answers);
            let alive: BTreeSet<SocketAddr> = answering.map(|(_, record)| record.address).collect();
            let mut tracker = RetirementTracker::default();
            run_tracker(&mut tracker, &records, &alive, (Timestamp(0), MINUTE * 40));
            let suspects = tracker.list_suspects(Timestamp(0) + MINUTE * 40);
            assert!(suspects.iter().all(|address| !alive.contains(address)));
        });
}

/// Failure: the record of a lost node returns after its removal. The record is removed, and a node that has not read the store
/// since then sends all its records to a restarted node, which accepts a record that the store no longer holds.
#[test]
fn apply_record_removed_stays_removed() {
    let mut directory = Directory::default();
    assert!(directory.apply_record(stored(1, 3), StateSource::Store));
    directory.advance_read_position(4);
    let removed = directory.remove_dropped(4, |known| known.address == address(1));
    assert_eq!(removed.len(), 1);
    assert!(!directory.apply_record(stored(1, 3), StateSource::Peer));
    assert!(directory.nodes.is_empty());
    assert!(directory.apply_record(stored(1, 5), StateSource::Peer));
}

#[test]
fn remove_dropped_keeps_newer_record() {
    let mut directory = Directory::default();
    directory.apply_record(stored(1, 6), StateSource::Peer);
    assert!(directory.remove_dropped(5, |_| true).is_empty());
    assert_eq!(directory.nodes.len(), 1);
}

/// Failure: the memory of the nodes and their first read of the store grow from day to day. For ten days, 55 VMs a day are
/// replaced by others with new addresses, and no node removes the records of the replaced ones.
#[test]
fn tracker_removes_records_of_replaced_nodes() {
    const NODES: u16 = 100;
    const REPLACED_A_DAY: u16 = 55;
    const DAYS: u16 = 10;
    let mut records: Vec<TrackedRecord> = (0..NODES).map(|n| tracked(n, "a", 1)).collect();
    let mut alive: BTreeSet<SocketAddr> = (0..NODES).map(address).collect();
    let mut tracker = RetirementTracker::default();
    let mut now = Timestamp(0);
    let mut max_records = 0;
    let replacement_interval = MINUTE * 60 * 24 / u32::from(REPLACED_A_DAY);
    for replaced in 0..REPLACED_A_DAY * DAYS {
        alive.remove(&address(replaced));
        let new = NODES + replaced;
        alive.insert(address(new));
        records.push(tracked(new, "a", u64::from(new)));
        run_tracker(&mut tracker, &records, &alive, (now, replacement_interval));
        now = now + replacement_interval;
        let suspects = tracker.list_suspects(now);
        records.retain(|record| !suspects.contains(&record.address));
        max_records = max_records.max(records.len());
    }
    assert!(
        alive
            .iter()
            .all(|alive| records.iter().any(|record| record.address == *alive))
    );
    assert!(
        max_records <= usize::from(NODES) + 3,
        "{max_records} records at once"
    );
}
