//! How long a node has been behind the newest configuration that other nodes report.
//!
//! Requests between nodes carry the version in force at the sender. A node that can't fetch a reported version, because the
//! nodes that have it or the links to them fail, must not handle requests with the older one indefinitely.

use crate::state::{configuration::ConfigurationVersion, timestamp::Timestamp};
use std::{collections::VecDeque, time::Duration};

/// Maximum number of versions whose first report is remembered. Only the oldest version not in force here matters.
const MAX_VERSIONS: usize = 16;
/// Time after the last report from which the reported versions are assumed to be in force nowhere.
const REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// Reports of versions newer than the one in force here.
#[derive(Debug, Default)]
pub struct VersionLag {
    /// In ascending order, each with the time of the first report of it or of a newer one.
    first_reports: VecDeque<(ConfigurationVersion, Timestamp)>,
    last_report: Timestamp,
}

impl VersionLag {
    /// Records that another node reported `version` while `own_version` was in force here.
    pub fn record_report(
        &mut self,
        version: ConfigurationVersion,
        own_version: ConfigurationVersion,
        now: Timestamp,
    ) {
        if version <= own_version {
            return;
        }
        if !self.is_reported(now) {
            self.first_reports.clear();
        }
        self.last_report = now;
        self.first_reports.retain(|(known, _)| *known > own_version);
        let newest = self.first_reports.back();
        let is_newer = newest.is_none_or(|(known, _)| *known < version);
        if is_newer && self.first_reports.len() < MAX_VERSIONS {
            self.first_reports.push_back((version, now));
        }
    }

    /// Whether a version newer than `own_version` was first reported more than `limit` ago and is still reported.
    #[must_use]
    pub fn is_overdue(
        &self,
        own_version: ConfigurationVersion,
        now: Timestamp,
        limit: Duration,
    ) -> bool {
        let mut newer = self.first_reports.iter();
        let oldest = newer.find(|(version, _)| *version > own_version);
        self.is_reported(now) && oldest.is_some_and(|(_, since)| now.since(*since) > limit)
    }

    fn is_reported(&self, now: Timestamp) -> bool {
        now.since(self.last_report) < REPORT_VALIDITY
    }
}
