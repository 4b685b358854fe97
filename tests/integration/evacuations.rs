//! Evacuated availability zones as of a position in the configuration topic of the store.

use bolero::check;
use camphorturn::state::{
    evacuations::{EvacuationChange, EvacuationRead, Evacuations},
    names::AvailabilityZoneName,
    store_position::StorePosition,
};

fn change(zone: &str, evacuated: bool, position: u64) -> EvacuationChange {
    EvacuationChange {
        zone: zone.into(),
        evacuated,
        position,
    }
}

fn list_zones(evacuations: &Evacuations) -> Vec<&str> {
    let zones = evacuations.zones().iter();
    zones.map(AvailabilityZoneName::as_str).collect()
}

#[test]
fn with_changes_two_zones() {
    let both = [change("a", true, 3), change("b", true, 4)];
    let known = Evacuations::default().with_changes(&both, 5, EvacuationRead::Incremental);
    assert_eq!(list_zones(&known), ["a", "b"]);
    assert_eq!((known.position(), known.changed_at()), (5, 5));
    let known = known.with_changes(&[change("a", false, 6)], 7, EvacuationRead::Incremental);
    assert_eq!(list_zones(&known), ["b"]);
}

/// Failure: records that are read a second time bring back an evacuation that has ended.
#[test]
fn with_changes_records_read_twice() {
    let started = [change("a", true, 3)];
    let ended = Evacuations::default()
        .with_changes(&started, 4, EvacuationRead::Incremental)
        .with_changes(&[change("a", false, 5)], 6, EvacuationRead::Incremental);
    assert!(list_zones(&ended).is_empty());
    assert_eq!(
        ended.with_changes(&started, 4, EvacuationRead::Incremental),
        ended
    );
    let next_records = [change("a", true, 3), change("b", true, 6)];
    assert_eq!(
        list_zones(&ended.with_changes(&next_records, 7, EvacuationRead::Incremental)),
        ["b"]
    );
}

/// Failure: an evacuation stays in force on a node that was disconnected when the record of the evacuation was deleted.
#[test]
fn with_changes_full_read_drops_deleted() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let known = known.with_changes(&[change("b", true, 8)], 12, EvacuationRead::Full);
    assert_eq!(list_zones(&known), ["b"]);
}

/// Failure: a node that was disconnected brings an ended evacuation back on other nodes.
#[test]
fn replace_if_newer_older_state() {
    let disconnected = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let mut known =
        disconnected.with_changes(&[change("a", false, 5)], 6, EvacuationRead::Incremental);
    assert!(!known.replace_if_newer(&disconnected));
    assert!(list_zones(&known).is_empty());
    let mut disconnected = disconnected;
    assert!(disconnected.replace_if_newer(&known));
    assert_eq!(disconnected, known);
}

#[test]
fn changed_at_unchanged_without_zone_change() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let known = known.with_changes(&[], 9, EvacuationRead::Incremental);
    assert_eq!((known.position(), known.changed_at()), (9, 4));
}

/// A packed position in the second epoch of the store.
const fn second_epoch(offset: u64) -> u64 {
    StorePosition { epoch: 2, offset }.pack()
}

/// Failure: evacuations end, or start again, because the store was restored from a backup.
#[test]
fn with_changes_restored_store() {
    let changes = [
        change("a", true, 3),
        change("b", true, 4),
        change("b", false, 6),
    ];
    let known = Evacuations::default().with_changes(&changes, 7, EvacuationRead::Incremental);
    // The restored store lacks the first evacuation and the end of the second.
    let restored = known.with_changes(
        &[change("b", true, second_epoch(4))],
        second_epoch(5),
        EvacuationRead::Full,
    );
    assert_eq!(list_zones(&restored), ["a"]);
    assert_eq!(restored.position(), second_epoch(5));
    let written = [
        change("a", true, second_epoch(5)),
        change("b", false, second_epoch(6)),
    ];
    let written = restored.with_changes(&written, second_epoch(7), EvacuationRead::Incremental);
    assert_eq!(list_zones(&written), ["a"]);
    let ended = written.with_changes(
        &[change("a", false, second_epoch(7))],
        second_epoch(8),
        EvacuationRead::Incremental,
    );
    assert!(list_zones(&ended).is_empty());
}

/// Failure: an evacuation that is ordered after the store was restored isn't in force until the second full read.
#[test]
fn with_changes_restored_store_new_evacuation() {
    let known = Evacuations::default().with_changes(
        &[change("b", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let known = known.with_changes(&[change("b", false, 4)], 5, EvacuationRead::Incremental);
    let restored = known.with_changes(
        &[change("b", true, second_epoch(6))],
        second_epoch(7),
        EvacuationRead::Full,
    );
    assert_eq!(list_zones(&restored), ["b"]);
}

/// Failure: a reader that learns from another node that the store was restored treats the restored store as complete.
#[test]
fn with_changes_restored_store_reported_before_read() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let restored = known.with_changes(&[], second_epoch(3), EvacuationRead::Full);
    let mut other = known;
    assert!(other.replace_if_newer(&restored));
    for next in [second_epoch(3), second_epoch(4)] {
        let read = other.with_changes(&[], next, EvacuationRead::Full);
        assert_eq!(list_zones(&read), ["a"]);
    }
}

/// Failure: an evacuation stays in force forever, because the store lost the record that ended it and nobody wrote it again.
#[test]
fn with_changes_restored_store_second_read() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let restored = known.with_changes(&[], second_epoch(3), EvacuationRead::Full);
    assert_eq!(list_zones(&restored), ["a"]);
    let settled = restored.with_changes(&[], second_epoch(3), EvacuationRead::AfterRewrites);
    assert!(list_zones(&settled).is_empty());
    let mut other = restored;
    assert!(other.replace_if_newer(&settled));
    assert!(list_zones(&other).is_empty());
}

/// Whatever a restored store lacks and whatever is written again: after the second full read, nodes agree with the store. Until
/// then, a zone whose evacuation nobody has ended stays evacuated.
#[test]
fn with_changes_restored_store_generated_changes() {
    check!()
        .with_type::<(Vec<(u8, bool)>, u8)>()
        .for_each(|(generated, kept)| {
            let names = ["a", "b", "c"];
            let log: Vec<(&str, bool)> = generated
                .iter()
                .map(|(zone, evacuated)| (names[usize::from(*zone) % names.len()], *evacuated))
                .collect();
            let kept = usize::from(*kept).min(log.len());
            let build_changes =
                |records: &[(&str, bool)], first: u64, epoch: u64| -> Vec<EvacuationChange> {
                    (first..)
                        .zip(records)
                        .map(|(offset, (zone, evacuated))| {
                            change(zone, *evacuated, StorePosition { epoch, offset }.pack())
                        })
                        .collect()
                };
            let build_end = |epoch, offset: usize| {
                let offset = offset as u64;
                StorePosition { epoch, offset }.pack()
            };
            let latest = |records: &[(&str, bool)], epoch| -> Vec<EvacuationChange> {
                let all = build_changes(records, 0, epoch);
                let is_latest = |change: &EvacuationChange| {
                    let is_newer = |other: &EvacuationChange| {
                        other.zone == change.zone && other.position > change.position
                    };
                    change.evacuated && !all.iter().any(is_newer)
                };
                all.iter()
                    .filter(|change| is_latest(change))
                    .cloned()
                    .collect()
            };
            let known = Evacuations::default().with_changes(
                &build_changes(&log, 0, 1),
                build_end(1, log.len()),
                EvacuationRead::Incremental,
            );
            let before = list_zones(&known).join(",");
            let restored = known.with_changes(
                &latest(&log[..kept], 2),
                build_end(2, kept),
                EvacuationRead::Full,
            );
            let lost = log[kept..].iter().filter(|(_, evacuated)| !evacuated);
            if lost.count() == 0 || kept == log.len() {
                assert_eq!(list_zones(&restored).join(","), before);
            }
            for zone in known.zones() {
                assert!(restored.contains(zone), "{zone} of {log:?}, {kept} kept");
            }
            // All lost records are written again, in the same order.
            let lost = build_changes(&log[kept..], kept as u64, 2);
            let written =
                restored.with_changes(&lost, build_end(2, log.len()), EvacuationRead::Incremental);
            let settled = written.with_changes(
                &latest(&log, 2),
                build_end(2, log.len()),
                EvacuationRead::AfterRewrites,
            );
            assert_eq!(list_zones(&settled).join(","), before);
        });
}
