//! Records that a zone's reader has read lately, for nodes that could not be sent them.
//!
//! A node reads the records once at its start. The reader of its zone sends it later ones as soon as it knows the node, which is when
//! the node's own record is stored. Records that are stored between the two would reach the node only with its next read of the
//! store, many seconds later; meanwhile it would send no requests to their nodes, and take wrong nodes for keepers of quotas.

use crate::state::{known_node::StoredRecord, timestamp::Timestamp};
use std::{collections::VecDeque, time::Duration};

/// Time for which records are kept. A node's upstream announces itself within a few seconds after the node has read the records.
const KEPT_TIME: Duration = Duration::from_secs(10);

/// Records read within the last seconds, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentRecords {
    records: VecDeque<(Timestamp, StoredRecord)>,
}

impl RecentRecords {
    /// Adds records that have just been read, and returns those that were read before and are kept.
    pub fn add(&mut self, read: &[StoredRecord], now: Timestamp) -> Vec<StoredRecord> {
        let is_old = |at: Timestamp| now.since(at) > KEPT_TIME;
        while self.records.front().is_some_and(|(at, _)| is_old(*at)) {
            self.records.pop_front();
        }
        let earlier = self.records.iter().map(|(_, stored)| stored.clone());
        let earlier = earlier.collect();
        let read = read.iter().map(|stored| (now, stored.clone()));
        self.records.extend(read);
        earlier
    }
}
