//! Evacuated availability zones as of a position in the store's topic.

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

fn list(evacuations: &Evacuations) -> Vec<&str> {
    let zones = evacuations.zones().iter();
    zones.map(AvailabilityZoneName::as_str).collect()
}

#[test]
fn after_two_zones_at_once() {
    let both = [change("a", true, 3), change("b", true, 4)];
    let known = Evacuations::default().with_changes(&both, 5, EvacuationRead::Incremental);
    assert_eq!(list(&known), ["a", "b"]);
    assert_eq!((known.position(), known.changed_at()), (5, 5));
    let known = known.with_changes(&[change("a", false, 6)], 7, EvacuationRead::Incremental);
    assert_eq!(list(&known), ["b"]);
}

/// Failure: records that are read again bring back an evacuation that is over.
#[test]
fn after_records_read_again() {
    let begun = [change("a", true, 3)];
    let over = Evacuations::default()
        .with_changes(&begun, 4, EvacuationRead::Incremental)
        .with_changes(&[change("a", false, 5)], 6, EvacuationRead::Incremental);
    assert!(list(&over).is_empty());
    assert_eq!(
        over.with_changes(&begun, 4, EvacuationRead::Incremental),
        over
    );
    let read_on = [change("a", true, 3), change("b", true, 6)];
    assert_eq!(
        list(&over.with_changes(&read_on, 7, EvacuationRead::Incremental)),
        ["b"]
    );
}

/// Failure: an evacuation lives on at a node that was away when its record was deleted.
#[test]
fn after_all_records_were_read() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let known = known.with_changes(&[change("b", true, 8)], 12, EvacuationRead::Full);
    assert_eq!(list(&known), ["b"]);
}

/// Failure: a node that was away brings an evacuation back to others.
#[test]
fn replace_by_older() {
    let away = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let mut known = away.with_changes(&[change("a", false, 5)], 6, EvacuationRead::Incremental);
    assert!(!known.replace_if_newer(&away));
    assert!(list(&known).is_empty());
    let mut away = away;
    assert!(away.replace_if_newer(&known));
    assert_eq!(away, known);
}

#[test]
fn changed_at_stays_while_no_zone_changes() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let known = known.with_changes(&[], 9, EvacuationRead::Incremental);
    assert_eq!((known.position(), known.changed_at()), (9, 4));
}

/// A place in the second era of the store.
const fn later(offset: u64) -> u64 {
    StorePosition { epoch: 2, offset }.pack()
}

/// Guards against evacuations that end, or begin anew, with a store that has come back from a copy.
#[test]
fn after_copy_of_store() {
    let changes = [
        change("a", true, 3),
        change("b", true, 4),
        change("b", false, 6),
    ];
    let known = Evacuations::default().with_changes(&changes, 7, EvacuationRead::Incremental);
    // The copy lacks the first evacuation and the end of the second.
    let returned = known.with_changes(
        &[change("b", true, later(4))],
        later(5),
        EvacuationRead::Full,
    );
    assert_eq!(list(&returned), ["a"]);
    assert_eq!(returned.position(), later(5));
    let written = [change("a", true, later(5)), change("b", false, later(6))];
    let written = returned.with_changes(&written, later(7), EvacuationRead::Incremental);
    assert_eq!(list(&written), ["a"]);
    let over = written.with_changes(
        &[change("a", false, later(7))],
        later(8),
        EvacuationRead::Incremental,
    );
    assert!(list(&over).is_empty());
}

/// Guards against an evacuation after the return that waits for the second read.
#[test]
fn after_copy_new_evacuation() {
    let known = Evacuations::default().with_changes(
        &[change("b", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let known = known.with_changes(&[change("b", false, 4)], 5, EvacuationRead::Incremental);
    let returned = known.with_changes(
        &[change("b", true, later(6))],
        later(7),
        EvacuationRead::Full,
    );
    assert_eq!(list(&returned), ["b"]);
}

/// Guards against a reader that was told of the return by another node, and then takes the copy for the truth.
#[test]
fn after_copy_told_before_read() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let returned = known.with_changes(&[], later(3), EvacuationRead::Full);
    let mut other = known;
    assert!(other.replace_if_newer(&returned));
    for next in [later(3), later(4)] {
        let read = other.with_changes(&[], next, EvacuationRead::Full);
        assert_eq!(list(&read), ["a"]);
    }
}

/// Guards against an evacuation that is in force for good, since its end was lost and nobody wrote it again.
#[test]
fn after_copy_second_read() {
    let known = Evacuations::default().with_changes(
        &[change("a", true, 3)],
        4,
        EvacuationRead::Incremental,
    );
    let returned = known.with_changes(&[], later(3), EvacuationRead::Full);
    assert_eq!(list(&returned), ["a"]);
    let settled = returned.with_changes(&[], later(3), EvacuationRead::AfterRewrites);
    assert!(list(&settled).is_empty());
    let mut other = returned;
    assert!(other.replace_if_newer(&settled));
    assert!(list(&other).is_empty());
}

/// Whatever a copy lacks and whatever is written again: after the second read, nodes that read it agree with the store, and a zone
/// whose evacuation nobody has taken back stays evacuated all the while.
#[test]
fn after_copy_drawn_changes() {
    check!()
        .with_type::<(Vec<(u8, bool)>, u8)>()
        .for_each(|(drawn, kept)| {
            let names = ["a", "b", "c"];
            let log: Vec<(&str, bool)> = drawn
                .iter()
                .map(|(zone, evacuated)| (names[usize::from(*zone) % names.len()], *evacuated))
                .collect();
            let kept = usize::from(*kept).min(log.len());
            let read = |records: &[(&str, bool)], first: u64, era: u64| -> Vec<EvacuationChange> {
                (first..)
                    .zip(records)
                    .map(|(offset, (zone, evacuated))| {
                        change(
                            zone,
                            *evacuated,
                            StorePosition { epoch: era, offset }.pack(),
                        )
                    })
                    .collect()
            };
            let end = |era, offset: usize| {
                let offset = offset as u64;
                StorePosition { epoch: era, offset }.pack()
            };
            let newest = |records: &[(&str, bool)], era| -> Vec<EvacuationChange> {
                let all = read(records, 0, era);
                let is_newest = |change: &EvacuationChange| {
                    let newer = |other: &EvacuationChange| {
                        other.zone == change.zone && other.position > change.position
                    };
                    change.evacuated && !all.iter().any(newer)
                };
                all.iter()
                    .filter(|change| is_newest(change))
                    .cloned()
                    .collect()
            };
            let known = Evacuations::default().with_changes(
                &read(&log, 0, 1),
                end(1, log.len()),
                EvacuationRead::Incremental,
            );
            let before = list(&known).join(",");
            let returned =
                known.with_changes(&newest(&log[..kept], 2), end(2, kept), EvacuationRead::Full);
            let lost = log[kept..].iter().filter(|(_, evacuated)| !evacuated);
            if lost.count() == 0 || kept == log.len() {
                assert_eq!(list(&returned).join(","), before);
            }
            for zone in known.zones() {
                assert!(returned.contains(zone), "{zone} of {log:?}, {kept} kept");
            }
            // All that was lost is written again, in the same order.
            let lost = read(&log[kept..], kept as u64, 2);
            let written =
                returned.with_changes(&lost, end(2, log.len()), EvacuationRead::Incremental);
            let settled = written.with_changes(
                &newest(&log, 2),
                end(2, log.len()),
                EvacuationRead::AfterRewrites,
            );
            assert_eq!(list(&settled).join(","), before);
        });
}
