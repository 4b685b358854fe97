//! State of a node after the store was restored from a backup that lacks the newest records.

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

fn build_record(number: u8, instance: &str, (epoch, offset): (u64, u64)) -> StoredRecord {
    StoredRecord {
        revision: StorePosition { epoch, offset }.pack() + 1,
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

fn find_instance(directory: &Directory, number: u8) -> String {
    let record = directory.find_record(address(number)).expect("known");
    record.incarnation.instance
}

/// The backup holds an older record of one node and none of another. Guards against a former incarnation of an upstream that
/// replaces the current one, and against the removal of nodes whose record was lost.
#[test]
fn reconcile_with_restored_store_older_record() {
    let mut directory = Directory::default();
    for known in [
        build_record(1, "i-1", (1, 0)),
        build_record(2, "i-2b", (1, 5)),
        build_record(3, "i-3", (1, 6)),
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
    let restored = [
        build_record(1, "i-1", (2, 0)),
        build_record(2, "i-2a", (2, 1)),
    ];
    let lost = directory.reconcile_with_restored_store(&restored);
    let lost: Vec<SocketAddr> = lost.iter().map(|record| record.address).collect();
    assert_eq!(lost, [address(2), address(3)]);
    assert_eq!(find_instance(&directory, 2), "i-2b");
    // Records that are written again are applied, even at a lower offset than that of the lost record.
    assert!(!directory.apply_record(build_record(3, "i-3", (2, 2)), StateSource::Store));
    assert!(directory.apply_record(build_record(2, "i-2c", (2, 3)), StateSource::Store));
    assert_eq!(find_instance(&directory, 2), "i-2c");
    // A record of the earlier epoch from another node is not applied.
    assert!(!directory.apply_record(build_record(2, "i-2b", (1, 90)), StateSource::Peer));
    assert_eq!(find_instance(&directory, 2), "i-2c");
}

/// The backup lacks a quarantine and holds one that was lifted since. Guards against requests that crash upstreams again or are
/// refused again after the store was restored.
#[test]
fn list_differences_lost_and_lifted() {
    let compute_fingerprint = |path| RequestFingerprint::compute("GET", "shop.example", path, b"");
    let (lost, kept, lifted) = (
        compute_fingerprint("/lost"),
        compute_fingerprint("/kept"),
        compute_fingerprint("/lifted"),
    );
    let mut quarantine = Quarantine::default();
    for known in [lost, kept, lifted] {
        assert!(quarantine.insert(known, QuarantineSource::Counted, NOW));
    }
    assert!(quarantine.lift(lifted, NOW).is_some());
    let restored = BTreeSet::from([kept, lifted]);
    assert_eq!(quarantine.list_differences(&restored, NOW), [lost, lifted]);
}
