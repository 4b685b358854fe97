//! How long a node has been behind the newest configuration that other nodes report.

use bolero::check;
use camphorturn::{
    coordination::version_lag::VersionLag,
    state::{configuration::ConfigurationVersion, timestamp::Timestamp},
};
use std::time::Duration;

const OWN_VERSION: ConfigurationVersion = ConfigurationVersion(5);
const START: Timestamp = Timestamp(1_000_000_000);
const LIMIT: Duration = Duration::from_secs(1);

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

#[test]
fn is_overdue_reported_for_longer_than_limit() {
    let mut lag = VersionLag::default();
    lag.record_report(ConfigurationVersion(6), OWN_VERSION, START);
    assert!(!lag.is_overdue(OWN_VERSION, after(1_000), LIMIT));
    assert!(lag.is_overdue(OWN_VERSION, after(1_001), LIMIT));
}

#[test]
fn is_overdue_version_in_force() {
    let mut lag = VersionLag::default();
    lag.record_report(ConfigurationVersion(6), OWN_VERSION, START);
    assert!(!lag.is_overdue(ConfigurationVersion(6), after(5_000), LIMIT));
}

/// Failure: when versions follow each other quickly, each one postpones the time at which the node counts as overdue.
#[test]
fn is_overdue_frequent_newer_versions() {
    let mut lag = VersionLag::default();
    for number in 0..40 {
        lag.record_report(
            ConfigurationVersion(6 + number),
            OWN_VERSION,
            after(number * 100),
        );
    }
    assert!(lag.is_overdue(OWN_VERSION, after(4_000), LIMIT));
}

#[test]
fn is_overdue_counts_from_oldest_version_not_in_force() {
    let mut lag = VersionLag::default();
    lag.record_report(ConfigurationVersion(6), OWN_VERSION, START);
    lag.record_report(ConfigurationVersion(7), OWN_VERSION, after(900));
    let own_version = ConfigurationVersion(6);
    assert!(!lag.is_overdue(own_version, after(1_500), LIMIT));
    assert!(lag.is_overdue(own_version, after(2_000), LIMIT));
}

#[test]
fn is_overdue_no_longer_reported() {
    let mut lag = VersionLag::default();
    lag.record_report(ConfigurationVersion(6), OWN_VERSION, START);
    assert!(!lag.is_overdue(OWN_VERSION, after(10_000), LIMIT));
    lag.record_report(ConfigurationVersion(6), OWN_VERSION, after(20_000));
    assert!(!lag.is_overdue(OWN_VERSION, after(20_500), LIMIT));
}

/// For any reports: a node with the newest reported version in force is never overdue, and an overdue node got a report of a newer
/// version more than the limit ago.
#[test]
fn is_overdue_random_reports() {
    check!()
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|reports| {
            let mut lag = VersionLag::default();
            let (mut own_version, mut now) = (OWN_VERSION, START);
            let mut newest = OWN_VERSION;
            let mut reported: Vec<(ConfigurationVersion, Timestamp)> = Vec::new();
            for (version, step, pause) in reports {
                now = now + Duration::from_millis(u64::from(*pause));
                let version = ConfigurationVersion(u64::from(*version));
                lag.record_report(version, own_version, now);
                newest = newest.max(version);
                reported.push((version, now));
                assert!(!lag.is_overdue(newest, now, Duration::ZERO));
                if lag.is_overdue(own_version, now, LIMIT) {
                    let has_old_report = reported.iter().any(|(version, since)| {
                        *version > own_version && now.since(*since) > LIMIT
                    });
                    assert!(has_old_report, "{own_version:?} at {now:?}: {reported:?}");
                }
                own_version = own_version.max(ConfigurationVersion(u64::from(*step)));
            }
        });
}
