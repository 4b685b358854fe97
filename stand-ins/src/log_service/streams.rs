//! Records of one stream and what is kept of them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long and how many records a stream keeps; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention {
    /// Age above which a record goes.
    pub time: Option<Duration>,
    /// Number of records above which the oldest go.
    pub count: Option<usize>,
}

/// A record as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Position in the stream, from 0, never used twice.
    pub offset: u64,
    /// Time of storing, in milliseconds since 1970.
    pub time_ms: u64,
    /// What was appended.
    pub body: String,
}

#[derive(Debug, Default)]
pub(super) struct Stream {
    records: VecDeque<(Instant, StoredRecord)>,
    next: u64,
    pub last_answer: Option<u64>,
}

impl Stream {
    pub fn next(&self) -> u64 {
        self.next
    }

    pub fn first_retained(&self) -> u64 {
        self.records
            .front()
            .map_or(self.next, |(_, record)| record.offset)
    }

    pub fn append(&mut self, body: String, now: Instant) -> u64 {
        let offset = self.next;
        self.next += 1;
        let record = StoredRecord {
            offset,
            time_ms: unix_millis(),
            body,
        };
        self.records.push_back((now, record));
        offset
    }

    pub fn expire(&mut self, retention: Retention, now: Instant) {
        if let Some(count) = retention.count {
            let extra = self.records.len().saturating_sub(count);
            self.records.drain(..extra);
        }
        let Some(span) = retention.time else { return };
        while self
            .records
            .front()
            .is_some_and(|(stored, _)| now.duration_since(*stored) > span)
        {
            self.records.pop_front();
        }
    }

    pub fn forget_before(&mut self, offset: u64) {
        self.records.retain(|(_, record)| record.offset >= offset);
    }

    pub fn page(&self, from: u64, limit: usize) -> Vec<&StoredRecord> {
        let skip = usize::try_from(from - self.first_retained()).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(limit);
        records.map(|(_, record)| record).collect()
    }

    pub fn retained(&self) -> Vec<StoredRecord> {
        self.records
            .iter()
            .map(|(_, record)| record.clone())
            .collect()
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Counts the appends of the present second.
#[derive(Debug)]
pub(super) struct ThrottleWindow {
    pub limit: Option<u32>,
    start: Instant,
    count: u32,
}

impl ThrottleWindow {
    pub fn new(now: Instant) -> Self {
        Self {
            limit: None,
            start: now,
            count: 0,
        }
    }

    pub fn admit(&mut self, now: Instant) -> bool {
        if now.duration_since(self.start) >= Duration::from_secs(1) {
            self.start = now;
            self.count = 0;
        }
        self.count += 1;
        self.limit.is_none_or(|limit| self.count <= limit)
    }
}
