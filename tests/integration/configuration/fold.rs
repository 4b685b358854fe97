//! Single steps of the fold.

use super::memory_log::{content, id, publish};
use camphorturn::state::{
    configuration::ConfigurationVersion,
    log_record::{
        DecodeError, Leave, LogRecord, LogRecordKind, Offset, decode_record, encode_record,
    },
    member::{Incarnation, Member},
    published::{FoldEffect, FoldedState, LogEntry, MembershipEffect, Verdict},
};

fn fold(state: &mut FoldedState, record: LogRecord) -> FoldEffect {
    let offset = state.next();
    state.apply(LogEntry {
        offset,
        time_ms: 7,
        record: Ok(record),
    })
}

fn join(name: &str, incarnation: u64, port: u16) -> LogRecord {
    LogRecord {
        id: id(1_000),
        kind: LogRecordKind::Join(Member {
            name: name.into(),
            incarnation: Incarnation(incarnation),
            service: "frontdesk".into(),
            region: "prairie-west".into(),
            availability_zone: "yxe-a".into(),
            peer_address: ([10, 0, 0, 1], port).into(),
            operator_address: ([10, 0, 0, 1], 9_000).into(),
            slots: 6,
        }),
    }
}

fn leave(name: &str, incarnation: u64) -> LogRecord {
    LogRecord {
        id: id(2_000),
        kind: LogRecordKind::Leave(Leave {
            node: name.into(),
            incarnation: Incarnation(incarnation),
        }),
    }
}

fn names(state: &FoldedState) -> Vec<&str> {
    state.members().map(|member| member.name.as_str()).collect()
}

#[test]
fn apply_two_operators_at_once_accepts_the_first() {
    // Symptom: an operator's change is in force, then silently gone.
    // Sequence: two operators read version 1; both publish; the second overwrites the first.
    // Cause: a publication that does not say which version its author saw.
    let mut state = FoldedState::default();
    fold(&mut state, publish(1, 0, 50));
    fold(&mut state, publish(2, 1, 40));
    let effect = fold(&mut state, publish(3, 1, 30));
    let FoldEffect::Publication(entry) = effect else {
        panic!("{effect:?}");
    };
    assert_eq!(entry.verdict, Verdict::Conflict(ConfigurationVersion(2)));
    assert_eq!(*state.configuration(), content(40));
    let since = state.publications().accepted_since(ConfigurationVersion(1));
    let meanwhile: Vec<String> = since
        .flat_map(|entry| entry.changes.iter().map(ToString::to_string))
        .collect();
    let expected = r#"frontdesk/lookup: target {"latency_ms":50,"share":0.99} -> {"latency_ms":40,"share":0.99}"#;
    assert_eq!(meanwhile, [expected]);
}

#[test]
fn apply_duplicate_id_folds_once() {
    // Symptom: a publication that was found in conflict is in force later.
    // Sequence: it was based on a version that did not exist yet; the log stores a second copy
    // after that version came.
    // Cause: judging the copy anew.
    let mut state = FoldedState::default();
    fold(&mut state, publish(1, 1, 10));
    fold(&mut state, publish(2, 0, 20));
    assert_eq!(
        fold(&mut state, publish(1, 1, 10)),
        FoldEffect::DuplicatePublication
    );
    assert_eq!(*state.configuration(), content(20));
}

#[test]
fn apply_record_below_next_changes_nothing() {
    let mut state = FoldedState::default();
    fold(&mut state, publish(1, 0, 10));
    let entry = LogEntry {
        offset: Offset(0),
        time_ms: 7,
        record: Ok(publish(2, 1, 20)),
    };
    assert_eq!(state.apply(entry), FoldEffect::AlreadyFolded);
}

#[test]
fn apply_late_join_of_an_ended_run_is_out_of_date() {
    // Symptom: a node that has left is a member again, and gets calls.
    // Sequence: join of run 1, leave of run 1, a second copy of the join.
    // Cause: forgetting which run has ended.
    let mut state = FoldedState::default();
    fold(&mut state, join("a", 1, 1));
    fold(&mut state, leave("a", 1));
    let effect = fold(&mut state, join("a", 1, 1));
    assert_eq!(effect, FoldEffect::Membership(MembershipEffect::OutOfDate));
    fold(&mut state, join("a", 2, 1));
    assert_eq!(names(&state), ["a"]);
    let effect = fold(&mut state, leave("a", 1));
    assert_eq!(effect, FoldEffect::Membership(MembershipEffect::OutOfDate));
    assert_eq!(names(&state), ["a"]);
}

#[test]
fn apply_join_at_an_address_displaces_the_node_that_had_it() {
    // Symptom: a node that no longer exists stays a member for ever.
    // Sequence: a VM is lost; another with its address starts under a new name.
    // Cause: the lost node can't leave any more.
    let mut state = FoldedState::default();
    fold(&mut state, join("a", 1, 1));
    fold(&mut state, join("b", 5, 1));
    assert_eq!(names(&state), ["b"]);
    fold(&mut state, join("a", 1, 1));
    assert_eq!(names(&state), ["b"]);
}

#[test]
fn decode_record_of_a_newer_version_is_skipped_and_counted() {
    // Symptom: all nodes of the older version stop reading during an upgrade.
    // Sequence: a node of a newer version writes a kind of record that they don't know.
    // Cause: taking an unknown kind for a damaged log.
    let record = r#"{"format": 1, "id": "00000000-0000-0000-0000-000000000001", "kind": "pause", "content": {}}"#;
    let decoded = decode_record(record);
    assert!(
        matches!(decoded, Err(DecodeError::Newer { .. })),
        "{decoded:?}"
    );
    let mut state = FoldedState::default();
    state.apply(LogEntry {
        offset: Offset(0),
        time_ms: 7,
        record: decoded,
    });
    fold(&mut state, publish(1, 0, 10));
    assert_eq!(
        (state.skipped(), state.version()),
        (1, ConfigurationVersion(1))
    );
}

#[test]
fn encode_record_round_trips() {
    for record in [publish(1, 0, 10), join("a", 1, 1), leave("a", 1)] {
        let text = encode_record(&record).expect("text");
        assert_eq!(decode_record(&text), Ok(record));
    }
}
