//! A log in memory, for tests of the fold without sockets.

use camphorturn::{
    protocol::platform_log::{AppendError, PlatformLog, ReadError, ReadPage, StoredBody},
    state::{
        class::Target,
        configuration::{Configuration, ConfigurationVersion, Service},
        log_record::{LogRecord, LogRecordKind, Offset, Publication, RecordId, encode_record},
    },
};
use std::{cell::RefCell, collections::VecDeque};
use uuid::Uuid;

#[derive(Default)]
pub struct MemoryLog {
    records: RefCell<VecDeque<StoredBody>>,
    next: RefCell<u64>,
}

impl MemoryLog {
    pub fn store(&self, record: &LogRecord) -> Offset {
        let text = encode_record(record).expect("a record that can be encoded");
        self.append(&text).expect("a log in memory")
    }

    pub fn forget_before(&self, offset: u64) {
        let mut records = self.records.borrow_mut();
        records.retain(|record| record.offset.0 >= offset);
    }

    pub fn next(&self) -> Offset {
        Offset(*self.next.borrow())
    }
}

impl PlatformLog for MemoryLog {
    fn append(&self, body: &str) -> Result<Offset, AppendError> {
        let offset = self.next.replace_with(|next| *next + 1);
        self.records.borrow_mut().push_back(StoredBody {
            offset: Offset(offset),
            time_ms: offset,
            body: body.to_owned(),
        });
        Ok(Offset(offset))
    }

    fn read(&self, from: Offset, limit: usize) -> Result<ReadPage, ReadError> {
        let records = self.records.borrow();
        let first_retained = records.front().map_or(self.next(), |record| record.offset);
        if from < first_retained {
            return Err(ReadError::Forgotten { first_retained });
        }
        let wanted = records.iter().filter(|record| record.offset >= from);
        Ok(ReadPage {
            first_retained,
            next: self.next(),
            records: wanted.take(limit).cloned().collect(),
        })
    }
}

pub fn id(number: u128) -> RecordId {
    RecordId(Uuid::from_u128(number))
}

/// A configuration with one class whose target is `latency_ms`.
pub fn content(latency_ms: u32) -> Configuration {
    let text = r#"{"services": [{"name": "frontdesk", "classes": [{
        "name": "lookup", "match": [{}], "target": {"latency_ms": 50, "share": 0.99},
        "deadline_ms": 1000, "idempotent": true}]}]}"#;
    let mut content: Configuration = serde_json::from_str(text).expect("a configuration");
    let service: &mut Service = &mut content.services[0];
    service.classes[0].target = Target {
        latency_ms,
        share: 0.99,
    };
    content
}

pub fn publish(number: u128, based_on: u64, latency_ms: u32) -> LogRecord {
    LogRecord {
        id: id(number),
        kind: LogRecordKind::Publish(Publication {
            author: format!("operator {number}"),
            note: "revise the target".to_owned(),
            based_on: ConfigurationVersion(based_on),
            content: content(latency_ms),
        }),
    }
}
