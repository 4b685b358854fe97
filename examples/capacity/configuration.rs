//! What a publication costs the log, a reader and each node.

use crate::{
    memory::{float, resident_bytes},
    samples::{new_configuration, new_member},
};
use camphorturn::state::{
    configuration::{Configuration, ConfigurationVersion},
    log_record::{
        LogRecord, LogRecordKind, Offset, Publication, RecordId, Snapshot, decode_record,
        encode_record,
    },
    published::{FoldedState, LogEntry},
};
use serde::Serialize;
use std::time::Instant;
use uuid::Uuid;

/// Upstreams for each service: 870 for 100.
const MEMBERS_PER_TEN_SERVICES: usize = 87;
/// Publications that are folded.
const PUBLICATIONS: usize = 50;

/// Cost of a configuration of so many services.
#[derive(Debug, Serialize)]
pub struct ConfigurationCost {
    services: usize,
    members: usize,
    /// Bytes of a publication as stored in the log.
    publication_bytes: usize,
    /// Bytes of a snapshot of the folded state as stored in the log.
    snapshot_bytes: usize,
    /// Time to decode and fold one publication.
    publication_micros: f64,
    /// Time to decode one snapshot.
    snapshot_micros: f64,
    /// Growth of the process by the folded state after the publications.
    state_bytes: u64,
}

/// Measures for so many services.
pub fn measure(services: usize) -> ConfigurationCost {
    let members = services * MEMBERS_PER_TEN_SERVICES / 10;
    let before = resident_bytes();
    let mut state = FoldedState::default();
    for number in 0..members {
        fold(&mut state, number, LogRecordKind::Join(new_member(number)));
    }
    let content = new_configuration(services);
    let publication = encode(new_publication(&content, 0));
    let start = Instant::now();
    for version in 0..PUBLICATIONS {
        let kind = new_publication(&content, version);
        let record = decode_record(&encode(kind)).expect("what was encoded");
        fold(&mut state, members + version, record.kind);
    }
    let folding = start.elapsed();
    let state_bytes = resident_bytes().saturating_sub(before);
    let snapshot = encode(LogRecordKind::Snapshot(Box::new(Snapshot { state })));
    let start = Instant::now();
    decode_record(&snapshot).expect("what was encoded");
    ConfigurationCost {
        services,
        members,
        publication_bytes: publication.len(),
        snapshot_bytes: snapshot.len(),
        publication_micros: folding.as_secs_f64() * 1e6 / float(PUBLICATIONS),
        snapshot_micros: start.elapsed().as_secs_f64() * 1e6,
        state_bytes,
    }
}

fn new_publication(content: &Configuration, based_on: usize) -> LogRecordKind {
    LogRecordKind::Publish(Publication {
        author: "operator".to_owned(),
        note: "a target was revised".to_owned(),
        based_on: ConfigurationVersion(u64::try_from(based_on).expect("a small number")),
        content: content.clone(),
    })
}

fn new_record(kind: LogRecordKind) -> LogRecord {
    LogRecord {
        id: RecordId(Uuid::new_v4()),
        kind,
    }
}

fn encode(kind: LogRecordKind) -> String {
    encode_record(&new_record(kind)).expect("plain content")
}

fn fold(state: &mut FoldedState, offset: usize, kind: LogRecordKind) {
    state.apply(LogEntry {
        offset: Offset(u64::try_from(offset).expect("a small number")),
        time_ms: 0,
        record: Ok(new_record(kind)),
    });
}
