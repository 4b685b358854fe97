//! From updates of the log reader to owners, leases and waits.

use camphorturn::{
    coordination::{
        log_reader::{FoldedRecord, LogUpdate},
        ownership::{Begin, ClockReading, OwnershipSettings, directory::OwnerDirectory},
    },
    state::{
        key_table::key::{Fingerprint, KeyId, WallMillis},
        log_record::{LogRecord, LogRecordKind, Offset, RecordId},
        member::Incarnation,
        moment::Moment,
        names::{NodeName, ServiceName},
        ownership::{EpochNumber, Owner, OwnershipEpoch, ProposedBy},
        published::{FoldedState, LogEntry},
    },
};
use std::{sync::Arc, time::Duration};
use uuid::Uuid;

fn owner(name: &str) -> Owner {
    Owner {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
    }
}

fn second(count: u64) -> ClockReading {
    ClockReading {
        wall: WallMillis(1_000_000 + 1_000 * count),
        now: Moment(1_000_000 * count),
    }
}

fn fold(state: &mut FoldedState, service: &str, epoch: u64, node: &str) -> FoldedRecord {
    let offset = state.next();
    let kind = LogRecordKind::OwnershipEpoch(OwnershipEpoch {
        service: ServiceName::from(service),
        epoch: EpochNumber(epoch),
        owners: vec![owner(node)],
        proposed_by: ProposedBy::Owner,
    });
    let record = LogRecord {
        id: RecordId(Uuid::from_u128(u128::from(offset.0))),
        kind,
    };
    let entry = LogEntry {
        offset,
        time_ms: 0,
        record: Ok(record),
    };
    FoldedRecord {
        offset,
        time_ms: 0,
        effect: state.apply(entry),
    }
}

fn folded(state: &FoldedState, records: Vec<FoldedRecord>) -> LogUpdate {
    LogUpdate::Folded {
        state: Arc::new(state.clone()),
        records,
    }
}

fn caught_up(at: ClockReading) -> LogUpdate {
    LogUpdate::CaughtUp {
        next: Offset(9),
        fresh_at: at.now,
    }
}

fn directory() -> OwnerDirectory<u8> {
    let service = ServiceName::from("booking");
    OwnerDirectory::new(service, owner("a"), OwnershipSettings::default())
}

fn begin(directory: &mut OwnerDirectory<u8>, at: ClockReading) -> Begin<u8> {
    let key = KeyId::from_parts(at.wall, 1);
    directory.own_mut().begin(key, Fingerprint([0; 16]), at)
}

#[test]
fn on_log_update_gives_a_lease_after_the_wait() {
    let mut state = FoldedState::default();
    let mut directory = directory();
    let records = vec![
        fold(&mut state, "booking", 1, "a"),
        fold(&mut state, "dock", 1, "d"),
    ];
    directory.on_log_update(&folded(&state, records), second(0));
    directory.on_log_update(&caught_up(second(0)), second(0));
    assert!(matches!(
        begin(&mut directory, second(1)),
        Begin::NotReady(_)
    ));
    directory.own_mut().on_time(second(6));
    directory.on_log_update(&caught_up(second(9)), second(9));
    assert!(matches!(begin(&mut directory, second(9)), Begin::Run(_)));
    let dock = directory.view(&ServiceName::from("dock"));
    let key = KeyId::from_parts(WallMillis(1), 1);
    assert_eq!(dock.and_then(|view| view.owner_of(key)), Some(&owner("d")));
    assert!(directory.view(&ServiceName::from("none")).is_none());
}

#[test]
fn on_log_update_waits_again_after_a_jump() {
    // Symptom: a booking runs twice.
    // Sequence: an owner is cut off from the log while it is replaced and takes over again; the records
    // between are gone when the log is back, and it starts from a snapshot in which it owns the keys.
    // Cause: seeing itself as the owner before and after looked like having been it all the time.
    let mut state = FoldedState::default();
    let mut directory = directory();
    let records = vec![fold(&mut state, "booking", 1, "a")];
    directory.on_log_update(&folded(&state, records), second(0));
    directory.own_mut().on_time(second(6));
    fold(&mut state, "booking", 2, "b");
    fold(&mut state, "booking", 3, "a");
    directory.on_log_update(&folded(&state, Vec::new()), second(60));
    directory.on_log_update(&caught_up(second(60)), second(60));
    let outage_cover = OwnershipSettings::default().times.outage_cover;
    let Begin::NotReady(until) = begin(&mut directory, second(60)) else {
        panic!("it must wait for leases that were extended without the log");
    };
    assert!(until > second(60).now + outage_cover);
}

#[test]
fn on_log_update_keeps_the_lease_over_a_jump_to_the_same_epoch() {
    let mut state = FoldedState::default();
    let mut directory = directory();
    let records = vec![fold(&mut state, "booking", 1, "a")];
    directory.on_log_update(&folded(&state, records), second(0));
    directory.own_mut().on_time(second(6));
    directory.on_log_update(&folded(&state, Vec::new()), second(9));
    directory.on_log_update(&caught_up(second(9)), second(9));
    assert!(matches!(begin(&mut directory, second(9)), Begin::Run(_)));
    let lapsed = second(9 + 200);
    assert_eq!(begin(&mut directory, lapsed), Begin::Lapsed);
    assert!(lapsed.now.since(second(9).now) > Duration::from_mins(2));
}
