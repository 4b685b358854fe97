//! The form in which records of nodes are stored and told, which nodes of other versions read and write too.

use camphorturn::state::known_node::{NodeRecord, StoredRecord};

/// As stored by nodes of version 0.1.0: with all members, and with the least.
const WRITTEN: [&str; 2] = [
    r#"{"name":"n1","address":"10.0.0.1:7000","service":"desk","availability_zone":"a","instance":"i-1","born":1767225600123,"slots":6,"leaving":true,"operators":"10.0.0.1:7001"}"#,
    r#"{"name":"n2","address":"[::1]:7000","service":"desk","availability_zone":"b","instance":"i-2","slots":65535,"leaving":false}"#,
];

#[test]
fn node_record_keeps_its_form() {
    for written in WRITTEN {
        let record: NodeRecord = serde_json::from_str(written).expect("a record");
        assert_eq!(serde_json::to_string(&record).expect("plain data"), written);
        let told = format!(r#"{{"revision":7,"record":{written}}}"#);
        let stored: StoredRecord = serde_json::from_str(&told).expect("a record");
        assert_eq!(stored.record, record);
        assert_eq!(serde_json::to_string(&stored).expect("plain data"), told);
    }
}

#[test]
fn node_record_with_members_of_a_later_version() {
    let written = WRITTEN[0].replace('}', r#","later":{"born":1}}"#);
    let record: NodeRecord = serde_json::from_str(&written).expect("a record");
    assert_eq!(
        serde_json::to_string(&record).expect("plain data"),
        WRITTEN[0]
    );
}

#[test]
fn node_record_without_a_run_is_refused() {
    let last = WRITTEN[1];
    let bad = [
        last.replace(r#""instance":"i-2","#, ""),
        last.replace(r#""instance":"i-2""#, r#""instance":2"#),
        last.replace(
            r#""instance":"i-2""#,
            r#""instance":"i-2","instance":"i-3""#,
        ),
        last.replace(r#""instance":"i-2""#, r#""instance":"i-2","born":7.5"#),
        last.replace(r#""instance":"i-2""#, r#""instance":"i-2","born":-1"#),
        last.replace(r#""instance":"i-2""#, r#""instance":"i-2","born":"7""#),
    ];
    for written in bad {
        assert!(
            serde_json::from_str::<NodeRecord>(&written).is_err(),
            "{written}"
        );
    }
}
