//! Readers that start late, fall behind, or meet a log that is down or emptied.

use super::memory_log::{MemoryLog, id, publish};
use camphorturn::{
    coordination::log_reader::{LogReader, LogUpdate, ReaderPace, SnapshotRules},
    protocol::platform_log::{PlatformLog, ReadError},
    state::{
        configuration::ConfigurationVersion,
        log_record::{LogRecord, LogRecordKind, Offset, Snapshot},
        moment::Moment,
        published::FoldedState,
    },
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

fn new_reader() -> LogReader {
    LogReader::new(ReaderPace::default(), SnapshotRules::default())
}

/// Reads until the reader has nothing more to do at once.
fn read_all(log: &MemoryLog, reader: &mut LogReader) -> Vec<LogUpdate> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut updates = Vec::new();
    let mut reads = 0;
    while reader.next_wait(&mut rng).is_zero() {
        reads += 1;
        assert!(reads < 100, "the reader reads the same over and over");
        let order = reader.next_read();
        updates.extend(match log.read(order.from, order.limit) {
            Ok(page) => reader.take_page(Moment(5), page),
            Err(error) => reader.take_failure(error),
        });
    }
    updates
}

/// Lets the reader's wait pass, then reads on.
fn read_again(log: &MemoryLog, reader: &mut LogReader) -> Vec<LogUpdate> {
    let order = reader.next_read();
    let mut updates = match log.read(order.from, order.limit) {
        Ok(page) => reader.take_page(Moment(6), page),
        Err(error) => reader.take_failure(error),
    };
    updates.extend(read_all(log, reader));
    updates
}

fn snapshot_of(reader: &LogReader) -> LogRecord {
    LogRecord {
        id: id(900),
        kind: LogRecordKind::Snapshot(Box::new(Snapshot {
            state: FoldedState::clone(reader.state()),
        })),
    }
}

fn version(reader: &LogReader) -> u64 {
    reader.state().version().0
}

#[test]
fn take_page_reports_what_was_known_when_the_read_was_sent() {
    let log = MemoryLog::default();
    log.store(&publish(1, 0, 10));
    let mut reader = new_reader();
    let updates = read_all(&log, &mut reader);
    let caught_up = LogUpdate::CaughtUp {
        next: Offset(1),
        fresh_at: Moment(5),
    };
    assert_eq!(updates.last(), Some(&caught_up));
}

#[test]
fn take_page_late_snapshot_of_a_paused_node_reverts_nothing() {
    // Symptom: version 1 is in force again after version 2.
    // Sequence: a node takes a snapshot at version 1 and pauses; version 2 is accepted; the node
    // wakes and appends its snapshot; a fresh node starts from it.
    // Cause: taking a snapshot for the state at its own place in the log.
    let log = MemoryLog::default();
    let mut paused = new_reader();
    log.store(&publish(1, 0, 10));
    read_all(&log, &mut paused);
    let late = snapshot_of(&paused);
    log.store(&publish(2, 1, 20));
    let mut follower = new_reader();
    read_all(&log, &mut follower);
    log.store(&late);
    read_again(&log, &mut follower);
    assert_eq!(version(&follower), 2);
    log.forget_before(1);
    let mut fresh = new_reader();
    read_all(&log, &mut fresh);
    assert_eq!(fresh.state(), follower.state());
}

#[test]
fn take_page_snapshot_that_does_not_join_is_no_base() {
    // Symptom: a fresh node runs on version 1 although version 2 was accepted.
    // Sequence: as above, but the record of version 2 is gone when the fresh node starts.
    // Cause: starting at a snapshot while records after its state are forgotten.
    let log = MemoryLog::default();
    let mut paused = new_reader();
    log.store(&publish(1, 0, 10));
    read_all(&log, &mut paused);
    log.store(&publish(2, 1, 20));
    let mut follower = new_reader();
    read_all(&log, &mut follower);
    log.store(&snapshot_of(&paused));
    log.forget_before(2);
    let mut fresh = new_reader();
    let first_retained = Offset(2);
    let updates = read_all(&log, &mut fresh);
    assert_eq!(updates, [LogUpdate::NoBase { first_retained }]);
    assert!(!fresh.has_base());
    log.store(&snapshot_of(&follower));
    read_again(&log, &mut fresh);
    assert_eq!(version(&fresh), 2);
}

#[test]
fn take_failure_of_forgotten_records_jumps_to_a_snapshot() {
    // Symptom: a node that was paused for long stays on its old version for ever.
    // Sequence: it sleeps while the log forgets what it had not read yet.
    // Cause: asking for the same forgotten offset again and again.
    let log = MemoryLog::default();
    let mut paused = new_reader();
    let mut follower = new_reader();
    log.store(&publish(1, 0, 10));
    read_all(&log, &mut paused);
    log.store(&publish(2, 1, 20));
    log.store(&publish(3, 2, 30));
    read_all(&log, &mut follower);
    log.store(&snapshot_of(&follower));
    log.forget_before(3);
    read_again(&log, &mut paused);
    assert_eq!(version(&paused), 3);
}

#[test]
fn adopt_serves_a_fresh_node_while_the_log_is_down() {
    let log = MemoryLog::default();
    log.store(&publish(1, 0, 10));
    let mut peer = new_reader();
    read_all(&log, &mut peer);
    let mut fresh = new_reader();
    fresh.take_failure(ReadError::Unavailable("outage".to_owned()));
    fresh.adopt(FoldedState::clone(peer.state()));
    assert_eq!((version(&fresh), fresh.has_base()), (1, true));
    log.store(&publish(2, 1, 20));
    read_again(&log, &mut fresh);
    assert_eq!(version(&fresh), 2);
    assert!(fresh.adopt(FoldedState::clone(peer.state())).is_empty());
    assert_eq!(version(&fresh), 2);
}

#[test]
fn take_page_emptied_log_keeps_the_state() {
    // Symptom: all nodes go back to the empty configuration.
    // Sequence: the platform's log loses its records and starts at 0 again.
    // Cause: folding another log's records as if they followed.
    let log = MemoryLog::default();
    log.store(&publish(1, 0, 10));
    let mut reader = new_reader();
    read_all(&log, &mut reader);
    let emptied = MemoryLog::default();
    let updates = read_again(&emptied, &mut reader);
    assert_eq!(updates, [LogUpdate::WentBackwards { next: Offset(0) }]);
    assert_eq!(reader.state().version(), ConfigurationVersion(1));
}

#[test]
fn take_failure_retries_less_often_and_within_a_bound() {
    let mut reader = new_reader();
    let mut rng = SmallRng::seed_from_u64(2);
    let pace = ReaderPace::default();
    let mut last = Duration::ZERO;
    for _ in 0..40 {
        reader.take_failure(ReadError::Unavailable("outage".to_owned()));
        last = reader.next_wait(&mut rng);
        assert!(
            last <= pace.longest_retry && last >= pace.poll / 2,
            "{last:?}"
        );
    }
    assert!(last >= pace.longest_retry / 2);
}

#[test]
fn take_due_snapshot_comes_before_retention_ends() {
    // Symptom: an accepted configuration is forgotten.
    // Sequence: nothing is published for longer than the log keeps records.
    // Cause: no snapshot while its record was still there.
    let log = MemoryLog::default();
    log.store(&publish(1, 0, 10));
    let mut reader = new_reader();
    read_all(&log, &mut reader);
    let mut rng = SmallRng::seed_from_u64(3);
    let rules = SnapshotRules::default();
    let mut now = Moment(0);
    let mut appended = Vec::new();
    while now < Moment(0) + rules.retention * 3 {
        if let Some(snapshot) = reader.take_due_snapshot(now, 0, &mut rng) {
            appended.push(now);
            log.store(&LogRecord {
                id: id(901),
                kind: LogRecordKind::Snapshot(Box::new(snapshot)),
            });
            let order = reader.next_read();
            let page = log.read(order.from, order.limit).expect("a page");
            reader.take_page(now, page);
        }
        now = now + Duration::from_secs(10);
    }
    let gaps = appended.windows(2).map(|pair| pair[1].since(pair[0]));
    let widest = gaps.max().expect("several snapshots");
    assert!(appended[0] < Moment(0) + rules.retention / 4);
    assert!(
        widest <= rules.retention / 4 + Duration::from_secs(10),
        "{widest:?}"
    );
    assert!(appended.len() <= 24, "{}", appended.len());
}
