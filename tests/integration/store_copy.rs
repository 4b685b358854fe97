//! What nodes know beside what a store holds that has come back from a copy.

use camphorturn::{
    proxy::directory::{Directory, StateSource},
    state::{
        incarnation_id::IncarnationId,
        known_node::{NodeRecord, StoredRecord},
        quarantine::{Quarantine, QuarantineSource},
        request_fingerprint::RequestFingerprint,
        store_position::StorePosition,
        timestamp::Timestamp,
    },
};
use std::{collections::BTreeSet, net::SocketAddr};

const NOW: Timestamp = Timestamp(1_000_000);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn stored(number: u8, instance: &str, (era, offset): (u64, u64)) -> StoredRecord {
    StoredRecord {
        revision: StorePosition { epoch: era, offset }.pack() + 1,
        record: NodeRecord {
            name: format!("n{number}").as_str().into(),
            address: address(number),
            service: "desk".into(),
            availability_zone: "a".into(),
            incarnation: IncarnationId {
                instance: instance.into(),
                started_ms: None,
            },
            slots: 6,
            leaving: false,
            operator_address: None,
        },
    }
}

fn instance_of(directory: &Directory, number: u8) -> String {
    let record = directory.find_record(address(number)).expect("known");
    record.incarnation.instance
}

/// Guards against an upstream's former run that takes the place of the present one, and against nodes that are forgotten.
#[test]
fn compare_with_copy_older_record() {
    let mut directory = Directory::default();
    for known in [
        stored(1, "i-1", (1, 0)),
        stored(2, "i-2b", (1, 5)),
        stored(3, "i-3", (1, 6)),
    ] {
        assert!(directory.apply_record(known, StateSource::Store));
    }
    directory.advance_read_position(
        StorePosition {
            epoch: 1,
            offset: 7,
        }
        .pack(),
    );
    let copy = [stored(1, "i-1", (2, 0)), stored(2, "i-2a", (2, 1))];
    let lost = directory.reconcile_with_restored_store(&copy);
    let lost: Vec<SocketAddr> = lost.iter().map(|record| record.address).collect();
    assert_eq!(lost, [address(2), address(3)]);
    assert_eq!(instance_of(&directory, 2), "i-2b");
    // What the nodes write again counts, also at an offset below that of the record which was lost.
    assert!(!directory.apply_record(stored(3, "i-3", (2, 2)), StateSource::Store));
    assert!(directory.apply_record(stored(2, "i-2c", (2, 3)), StateSource::Store));
    assert_eq!(instance_of(&directory, 2), "i-2c");
    // What another node tells of the earlier era doesn't.
    assert!(!directory.apply_record(stored(2, "i-2b", (1, 90)), StateSource::Peer));
    assert_eq!(instance_of(&directory, 2), "i-2c");
}

/// Guards against requests that crash upstreams again, or are refused again, after the store came back.
#[test]
fn list_unlike_lost_and_lifted() {
    let digest = |path| RequestFingerprint::compute("GET", "shop.example", path, b"");
    let (lost, kept, lifted) = (digest("/lost"), digest("/kept"), digest("/lifted"));
    let mut quarantine = Quarantine::default();
    for known in [lost, kept, lifted] {
        assert!(quarantine.insert(known, QuarantineSource::Counted, NOW));
    }
    assert!(quarantine.lift(lifted, NOW).is_some());
    let copy = BTreeSet::from([kept, lifted]);
    assert_eq!(quarantine.list_differences(&copy, NOW), [lost, lifted]);
}
