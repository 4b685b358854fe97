//! Evacuated availability zones as of a position in the store's topic.

use camphorturn::state::{
    evacuations::{EvacuationChange, Evacuations},
    names::AvailabilityZoneName,
};

fn change(zone: &str, evacuated: bool, offset: u64) -> EvacuationChange {
    EvacuationChange {
        zone: zone.into(),
        evacuated,
        offset,
    }
}

fn list(evacuations: &Evacuations) -> Vec<&str> {
    let zones = evacuations.zones().iter();
    zones.map(AvailabilityZoneName::as_str).collect()
}

#[test]
fn after_two_zones_at_once() {
    let both = [change("a", true, 3), change("b", true, 4)];
    let known = Evacuations::default().after(&both, 5, false);
    assert_eq!(list(&known), ["a", "b"]);
    assert_eq!((known.position(), known.changed_at()), (5, 5));
    let known = known.after(&[change("a", false, 6)], 7, false);
    assert_eq!(list(&known), ["b"]);
}

/// Failure: records that are read again bring back an evacuation that is over.
#[test]
fn after_records_read_again() {
    let begun = [change("a", true, 3)];
    let over =
        Evacuations::default()
            .after(&begun, 4, false)
            .after(&[change("a", false, 5)], 6, false);
    assert!(list(&over).is_empty());
    assert_eq!(over.after(&begun, 4, false), over);
    let read_on = [change("a", true, 3), change("b", true, 6)];
    assert_eq!(list(&over.after(&read_on, 7, false)), ["b"]);
}

/// Failure: an evacuation lives on at a node that was away when its record was deleted.
#[test]
fn after_all_records_were_read() {
    let known = Evacuations::default().after(&[change("a", true, 3)], 4, false);
    let known = known.after(&[change("b", true, 8)], 12, true);
    assert_eq!(list(&known), ["b"]);
}

/// Failure: a node that was away brings an evacuation back to others.
#[test]
fn replace_by_older() {
    let away = Evacuations::default().after(&[change("a", true, 3)], 4, false);
    let mut known = away.after(&[change("a", false, 5)], 6, false);
    assert!(!known.replace_by(&away));
    assert!(list(&known).is_empty());
    let mut away = away;
    assert!(away.replace_by(&known));
    assert_eq!(away, known);
}

#[test]
fn changed_at_stays_while_no_zone_changes() {
    let known = Evacuations::default().after(&[change("a", true, 3)], 4, false);
    let known = known.after(&[], 9, false);
    assert_eq!((known.position(), known.changed_at()), (9, 4));
}
